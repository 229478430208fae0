// Tests the peers adapter on the loopback interface. Guards against fields that are lost in a
// message, malformed input that stops the daemon, and a dead peer that blocks the sender or stays
// unreachable after its restart.
#include "adapters/peers/peers.h"
#include "loopback.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace tamarack {

namespace {

constexpr Seconds waitLimit {20};

/// Records the received messages and the log events of a socket.
struct Recorder
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<PeerMessageReceived> received_;
    std::vector<LogEvent> logged_;
};

EventPort recordEvents(Recorder &recorder)
{
    return EventPort {[&recorder](const Event &event) {
        const std::lock_guard lock(recorder.mutex_);
        recorder.received_.push_back(std::get<PeerMessageReceived>(event));
        recorder.changed_.notify_all();
    }};
}

LogPort recordLog(Recorder &recorder)
{
    return LogPort {[&recorder](const LogEvent &event) {
        const std::lock_guard lock(recorder.mutex_);
        recorder.logged_.push_back(event);
        recorder.changed_.notify_all();
    }};
}

template <typename Condition>
bool waitFor(Recorder &recorder, Condition condition, Millis limit = waitLimit)
{
    std::unique_lock lock(recorder.mutex_);
    return recorder.changed_.wait_for(lock, limit, condition);
}

PeerSettings makeSettings(const std::string &host, const std::string &address)
{
    PeerSettings settings;
    settings.host_ = HostId {host};
    settings.address_ = address;
    settings.maxMessageBytes_ = 4096;
    settings.reconnectMin_ = Millis {10};
    settings.reconnectMax_ = Millis {50};
    settings.linger_ = Millis {0};
    return settings;
}

PeerSocket start(const PeerSettings &settings, Recorder &recorder)
{
    return startPeerSocket(settings, recordEvents(recorder), recordLog(recorder)).value();
}

PeerMessage heartbeat(std::uint64_t bundle)
{
    Heartbeat message;
    message.holder_ = HolderId {"a-1"};
    message.zone_ = ZoneId {"z"};
    message.peerAddress_ = "127.0.0.1:1";
    message.bundle_ = BundleVersion {bundle};
    message.leaving_ = true;
    message.members_ = 3;
    message.membersDigest_ = 0xfedcba9876543210U;
    return message;
}

/// Returns messages of all kinds with all fields set.
std::vector<PeerMessage> sampleMessages()
{
    const AdmissionId admission {"a-1.000000000007"};
    const HolderId entry {"a-1"};
    const HolderId home {"b-1"};
    const Refusal plain {RefusalReason::Stopping, Execution::NotRun, "stops", std::nullopt};
    const Refusal timed {RefusalReason::BudgetExhausted, Execution::Unknown, "m", Millis {9}};
    return {
        heartbeat(7),
        Reserve {admission, entry, home, RequestId {"r"}, AccountId {"c"}, BudgetId {"b"},
                 Tokens {99}, Millis {1234}},
        ReserveQueued {admission, home},
        Reserved {admission, home},
        Refused {admission, home, BundleVersion {4}, plain},
        Refused {admission, home, BundleVersion {4}, timed},
        Settle {admission, entry, home, Tokens {12}},
        SettleAck {admission, home},
        BundleOffer {BundleVersion {5}},
        BundleFetch {BundleVersion {5}},
        BundleParts {BundleVersion {5}, std::string("m\0n", 3), OperatorId {"o"}, "s", {"p", "q"}},
        ReleaseRequest {home, BudgetId {"b"}},
        Leaving {entry},
        DocumentsRequest {"127.0.0.1:2", {FeedPosition {"f", Revision {9}}}},
        DocumentsReply {
            {FeedChanges {"f",
                          Revision {3},
                          Revision {9},
                          {PeerDocument {StoreKey {"k"}, Revision {8}, std::string("v\0w", 3)},
                           PeerDocument {StoreKey {"l"}, Revision {7}, std::nullopt}}}},
            Millis {40}},
        DocumentsReply {{}, std::nullopt},
        DocumentsRequest {"127.0.0.1:2", {}, {}, LargeDocuments::Announce},
        DocumentsRequest {"127.0.0.1:2", {}, {}, LargeDocuments::Compress},
        DocumentsReply {{},
                        Millis {40},
                        {},
                        0,
                        {},
                        {AnnouncedChanges {"f", Revision {9}, 77}},
                        "10.0.0.1:7340"},
        DocumentsReply {{FeedChanges {"f",
                                      Revision {3},
                                      Revision {9},
                                      {PeerDocument {StoreKey {"k"}, Revision {8}, std::nullopt,
                                                     std::string("c\0w", 3)}}}},
                        Millis {40},
                        {},
                        0,
                        {},
                        {},
                        {},
                        true},
        LoanRequest {entry, "127.0.0.1:2", home, AccountId {"c"}, Tokens {7}, Tokens {9},
                     Tokens {3}, Tokens {1}},
        LoanReply {home, AccountId {"c"}, Tokens {8}, LoanRefusal::Exhausted, true, true, entry},
        QuarantineReport {
            "10.0.0.1:7340",
            ReportPurpose::Exchange,
            77,
            {ReportedCrash {InstanceProcess {UpstreamId {"i-1"}, WallTime {Millis {1234}}},
                            "10.0.0.9:80",
                            Millis {250},
                            {SuspectId {5}, SuspectId {~std::uint64_t {0}}},
                            {SuspectId {6}},
                            Millis {90},
                            3}}},
        QuarantineReport {"10.0.0.1:7340",
                          ReportPurpose::Compare,
                          78,
                          {ReportedCrash {InstanceProcess {UpstreamId {"i-2"}, WallTime {}},
                                          "10.0.0.9:80",
                                          Millis {250},
                                          {SuspectId {5}},
                                          {},
                                          std::nullopt}},
                          QuarantineScope::Requests},
        PermitRequest {"10.0.0.1:7340",
                       InstanceProcess {UpstreamId {"i-1"}, WallTime {Millis {1234}}}, 7, 2.25,
                       Millis {40}},
        PermitRequest {"10.0.0.1:7340",
                       InstanceProcess {UpstreamId {"i-1"}, WallTime {Millis {1234}}}, 7,
                       std::nullopt, Millis {40}},
        PermitRequest {"10.0.0.1:7340",
                       InstanceProcess {UpstreamId {"i-1"}, WallTime {Millis {1234}}}, 7, 2.25,
                       Millis {40}, 11.0, ZoneId {"z-1"}},
        PermitReply {InstanceProcess {UpstreamId {"i-1"}, WallTime {Millis {1234}}}, 7,
                     PermitResult::Denied, Millis {210}},
        DocumentsReply {
            {},
            Millis {40},
            {},
            0,
            ConfirmedVersions {StoreEra {3}, {{ServiceId {"s"}, SoftwareVersion {"v1"}}}}},
        StreamBegan {StreamKey {77}, {ServiceId {"s"}, SoftwareVersion {"v1"}}, Millis {4000}},
        StreamOriginRequest {"10.0.0.1:7340", StreamKey {77}},
        StreamOriginReply {
            StreamKey {77}, OriginKnowledge::Known, {ServiceId {"s"}, SoftwareVersion {"v1"}}},
        PresenceRequest {"10.0.0.1:7340"},
        PresenceReply {true, 8, true},
        GrantReport {entry,
                     StoreEra {3},
                     {ReportedGrant {BudgetId {"b"}, Tokens {9}, Tokens {4}, Tokens {2}},
                      ReportedGrant {BudgetId {"c"}, Tokens {8}, Tokens {1}, Tokens {7}}}},
    };
}

} // namespace

TEST_CASE("peer message codec")
{
    SECTION("every message is unchanged by a round trip")
    {
        std::vector<std::size_t> kinds;
        for (const PeerMessage &message : sampleMessages()) {
            const std::string bytes = encodePeerMessage(PeerEnvelope {HostId {"a"}, message});
            const PeerEnvelope copy = decodePeerMessage(bytes).value();
            CHECK(copy.from_ == HostId {"a"});
            CHECK(copy.message_.index() == message.index());
            // Equal bytes mean equal fields, because no field of these messages has its default
            // value.
            CHECK(encodePeerMessage(copy) == bytes);
            kinds.push_back(message.index());
        }
        std::sort(kinds.begin(), kinds.end());
        kinds.erase(std::unique(kinds.begin(), kinds.end()), kinds.end());
        CHECK(kinds.size() == std::variant_size_v<PeerMessage>);
    }
    SECTION("fields are decoded into the right members")
    {
        const auto copy = std::get<Reserve>(
            decodePeerMessage(
                encodePeerMessage(PeerEnvelope {HostId {"a"}, sampleMessages().at(1)}))
                .value()
                .message_);
        CHECK(copy.admission_ == AdmissionId {"a-1.000000000007"});
        CHECK(copy.entry_ == HolderId {"a-1"});
        CHECK(copy.home_ == HolderId {"b-1"});
        CHECK(copy.request_ == RequestId {"r"});
        CHECK(copy.account_ == AccountId {"c"});
        CHECK(copy.budget_ == BudgetId {"b"});
        CHECK(copy.worstCase_ == Tokens {99});
        CHECK(copy.remaining_ == Millis {1234});
    }
    SECTION("a refusal with an unknown reason is rejected")
    {
        Refused message;
        message.refusal_.reason_ = static_cast<RefusalReason>(1000);
        CHECK_FALSE(decodePeerMessage(encodePeerMessage(PeerEnvelope {HostId {"a"}, message})));
    }
    SECTION("malformed bytes are rejected")
    {
        const std::string good = encodePeerMessage(PeerEnvelope {HostId {"a"}, heartbeat(1)});
        const std::vector<std::string> cases {
            "", "\xff\xff\xff", good.substr(0, good.size() - 1), std::string(100, '\0'),
            encodePeerMessage(PeerEnvelope {HostId {}, heartbeat(1)}),
            // An envelope with a sender and no message.
            "\x0a\x01\x61"};
        for (const std::string &bytes : cases)
            CHECK_FALSE(decodePeerMessage(bytes));
    }
}

TEST_CASE("peer sockets")
{
    Recorder recorder;
    const std::string address = reserveAddress();
    PeerSocket receiver = start(makeSettings("b", address), recorder);
    Recorder senderRecorder;
    PeerSocket sender = start(makeSettings("a", reserveAddress()), senderRecorder);
    const PeerPort port = peerPort(sender);
    const auto send = [&](PeerMessage message) {
        port.send_(SendPeer {HostId {"b"}, address, std::move(message)});
    };
    const auto receivedAtLeast = [&recorder](std::size_t count) {
        return waitFor(recorder, [&] { return recorder.received_.size() >= count; });
    };

    SECTION("messages arrive in order with the sender's host")
    {
        for (const PeerMessage &message : sampleMessages())
            send(message);
        REQUIRE(receivedAtLeast(sampleMessages().size()));
        for (std::size_t i = 0; i < sampleMessages().size(); ++i) {
            CHECK(recorder.received_[i].from_ == HostId {"a"});
            CHECK(recorder.received_[i].message_.index() == sampleMessages()[i].index());
        }
    }
    SECTION("a message over the limit is dropped by the sender and logged")
    {
        send(BundleParts {BundleVersion {1}, std::string(5000, 'x'), OperatorId {}, "", {}});
        send(heartbeat(1));
        REQUIRE(receivedAtLeast(1));
        CHECK(std::holds_alternative<Heartbeat>(recorder.received_[0].message_));
        CHECK(waitFor(senderRecorder, [&] { return !senderRecorder.logged_.empty(); }));
    }
    SECTION("malformed, oversized and split messages are dropped and the listener continues")
    {
        zmq::context_t context;
        const auto connect = [&] {
            zmq::socket_t socket(context, zmq::socket_type::dealer);
            socket.set(zmq::sockopt::linger, 0);
            socket.connect("tcp://" + address);
            return socket;
        };
        zmq::socket_t malformed = connect();
        malformed.send(zmq::str_buffer("no protobuf"), zmq::send_flags::none);
        zmq::socket_t split = connect();
        split.send(zmq::str_buffer("one"), zmq::send_flags::sndmore);
        split.send(zmq::str_buffer("two"), zmq::send_flags::none);
        zmq::socket_t oversized = connect();
        oversized.send(zmq::buffer(std::string(5000, 'x')), zmq::send_flags::none);
        REQUIRE(waitFor(recorder, [&] { return !recorder.logged_.empty(); }));
        CHECK(recorder.logged_[0].name_ == "peers.dropped");
        send(heartbeat(1));
        REQUIRE(receivedAtLeast(1));
        CHECK(recorder.received_.size() == 1);
        CHECK(recorder.logged_.size() == 1);
    }
    SECTION("a peer that is down does not block the sender and is reached after its restart")
    {
        send(heartbeat(1));
        REQUIRE(receivedAtLeast(1));
        stopPeerSocket(receiver);
        const MonoTime before = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < 5000; ++i)
            send(heartbeat(2));
        CHECK(std::chrono::steady_clock::now() - before < Seconds {1});
        receiver = start(makeSettings("b", address), recorder);
        const auto newest = [&recorder] {
            return !recorder.received_.empty()
                && std::get<Heartbeat>(recorder.received_.back().message_).bundle_
                == BundleVersion {3};
        };
        bool reached = false;
        for (int i = 0; i < 200 && !reached; ++i) {
            send(heartbeat(3));
            reached = waitFor(recorder, newest, Millis {100});
        }
        CHECK(reached);
    }
    SECTION("a message to an invalid address is dropped and logged")
    {
        port.send_(SendPeer {HostId {"c"}, "not an address", heartbeat(1)});
        CHECK(waitFor(senderRecorder, [&] { return !senderRecorder.logged_.empty(); }));
    }
    SECTION("listening on an address in use is an error")
    {
        Recorder other;
        CHECK_FALSE(
            startPeerSocket(makeSettings("c", address), recordEvents(other), recordLog(other)));
    }
    stopPeerSocket(sender);
    stopPeerSocket(receiver);
    send(heartbeat(9));
}

} // namespace tamarack
