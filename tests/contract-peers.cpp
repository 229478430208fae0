// The peers adapter on loopback. Guards against messages that lose a field, malformed input that
// ends the daemon, and a dead peer that blocks the sender or stays unreachable after its return.
#include "adapters/peers/peers.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace tamarack {

namespace {

constexpr Seconds waitLimit {20};

/// Collects what a socket posts and logs.
struct Sink
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<PeerMessageReceived> received_;
    std::vector<LogEvent> logged_;
};

EventPort eventsInto(Sink &sink)
{
    return EventPort {[&sink](const Event &event) {
        const std::lock_guard lock(sink.mutex_);
        sink.received_.push_back(std::get<PeerMessageReceived>(event));
        sink.changed_.notify_all();
    }};
}

LogPort logInto(Sink &sink)
{
    return LogPort {[&sink](const LogEvent &event) {
        const std::lock_guard lock(sink.mutex_);
        sink.logged_.push_back(event);
        sink.changed_.notify_all();
    }};
}

template <typename Condition>
bool await(Sink &sink, Condition condition, Millis limit = waitLimit)
{
    std::unique_lock lock(sink.mutex_);
    return sink.changed_.wait_for(lock, limit, condition);
}

/// A port that was free a moment ago.
std::string freeAddress()
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::router);
    socket.bind("tcp://127.0.0.1:*");
    return socket.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
}

PeerSettings settingsOf(const std::string &host, const std::string &address)
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

PeerSocket start(const PeerSettings &settings, Sink &sink)
{
    return startPeerSocket(settings, eventsInto(sink), logInto(sink)).value();
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

/// One message of every kind with every field set.
std::vector<PeerMessage> samples()
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
        DocumentsRequest {"127.0.0.1:2", Revision {9}},
        DocumentsReply {Revision {3},
                        Revision {9},
                        {PeerDocument {StoreKey {"k"}, Revision {8}, std::string("v\0w", 3)},
                         PeerDocument {StoreKey {"l"}, Revision {7}, std::nullopt}}},
        LoanRequest {entry, "127.0.0.1:2", home, AccountId {"c"}, Tokens {7}, Tokens {9},
                     Tokens {3}, Tokens {1}},
        LoanReply {home, AccountId {"c"}, Tokens {8}, LoanRefusal::Exhausted, true, true},
    };
}

} // namespace

TEST_CASE("peer message codec")
{
    SECTION("every message survives the round trip")
    {
        std::vector<std::size_t> kinds;
        for (const PeerMessage &message : samples()) {
            const std::string bytes = encodePeerMessage(PeerEnvelope {HostId {"a"}, message});
            const PeerEnvelope copy = decodePeerMessage(bytes).value();
            CHECK(copy.from_ == HostId {"a"});
            CHECK(copy.message_.index() == message.index());
            // Equal bytes mean equal fields, because no field of the samples has its default.
            CHECK(encodePeerMessage(copy) == bytes);
            kinds.push_back(message.index());
        }
        std::sort(kinds.begin(), kinds.end());
        kinds.erase(std::unique(kinds.begin(), kinds.end()), kinds.end());
        CHECK(kinds.size() == std::variant_size_v<PeerMessage>);
    }
    SECTION("fields arrive where they belong")
    {
        const auto copy = std::get<Reserve>(
            decodePeerMessage(encodePeerMessage(PeerEnvelope {HostId {"a"}, samples().at(1)}))
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
    SECTION("a refusal with an unknown reason is refused")
    {
        Refused message;
        message.refusal_.reason_ = static_cast<RefusalReason>(1000);
        CHECK_FALSE(decodePeerMessage(encodePeerMessage(PeerEnvelope {HostId {"a"}, message})));
    }
    SECTION("malformed bytes are refused")
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
    Sink sink;
    const std::string address = freeAddress();
    PeerSocket receiver = start(settingsOf("b", address), sink);
    Sink senderSink;
    PeerSocket sender = start(settingsOf("a", freeAddress()), senderSink);
    const PeerPort port = peerPort(sender);
    const auto send = [&](PeerMessage message) {
        port.send_(SendPeer {HostId {"b"}, address, std::move(message)});
    };
    const auto got = [&sink](std::size_t count) {
        return await(sink, [&] { return sink.received_.size() >= count; });
    };

    SECTION("messages arrive in order with the sender's host")
    {
        for (const PeerMessage &message : samples())
            send(message);
        REQUIRE(got(samples().size()));
        for (std::size_t i = 0; i < samples().size(); ++i) {
            CHECK(sink.received_[i].from_ == HostId {"a"});
            CHECK(sink.received_[i].message_.index() == samples()[i].index());
        }
    }
    SECTION("a message over the limit is dropped by the sender and logged")
    {
        send(BundleParts {BundleVersion {1}, std::string(5000, 'x'), OperatorId {}, "", {}});
        send(heartbeat(1));
        REQUIRE(got(1));
        CHECK(std::holds_alternative<Heartbeat>(sink.received_[0].message_));
        CHECK(await(senderSink, [&] { return !senderSink.logged_.empty(); }));
    }
    SECTION("malformed, oversized and split input is dropped and the listener goes on")
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
        REQUIRE(await(sink, [&] { return !sink.logged_.empty(); }));
        CHECK(sink.logged_[0].name_ == "peers.dropped");
        send(heartbeat(1));
        REQUIRE(got(1));
        CHECK(sink.received_.size() == 1);
        CHECK(sink.logged_.size() == 1);
    }
    SECTION("a peer that is down blocks nobody and is reached again when it comes back")
    {
        send(heartbeat(1));
        REQUIRE(got(1));
        stopPeerSocket(receiver);
        const MonoTime before = std::chrono::steady_clock::now();
        for (std::uint64_t i = 0; i < 5000; ++i)
            send(heartbeat(2));
        CHECK(std::chrono::steady_clock::now() - before < Seconds {1});
        receiver = start(settingsOf("b", address), sink);
        const auto newest = [&sink] {
            return !sink.received_.empty()
                && std::get<Heartbeat>(sink.received_.back().message_).bundle_ == BundleVersion {3};
        };
        bool reached = false;
        for (int i = 0; i < 200 && !reached; ++i) {
            send(heartbeat(3));
            reached = await(sink, newest, Millis {100});
        }
        CHECK(reached);
    }
    SECTION("an address that can't be used is dropped and logged")
    {
        port.send_(SendPeer {HostId {"c"}, "not an address", heartbeat(1)});
        CHECK(await(senderSink, [&] { return !senderSink.logged_.empty(); }));
    }
    SECTION("an address in use is refused with the remedy")
    {
        Sink other;
        CHECK_FALSE(startPeerSocket(settingsOf("c", address), eventsInto(other), logInto(other)));
    }
    stopPeerSocket(sender);
    stopPeerSocket(receiver);
    send(heartbeat(9));
}

} // namespace tamarack
