// Daemons that tell each other their load with the requests for documents. Guards against messages
// that change in small fleets, against a daemon that gets its own load back, and against load that
// is told after its sender has gone.
#include "relayfixture.h"

#include "relayd/documents.h"

namespace tamarack {

namespace {

RelayDocuments makeFormats()
{
    RelayDocuments formats;
    formats.configKey_ = "config";
    formats.instancePrefix_ = "instances/";
    return formats;
}

/// A daemon with the documents that its peer thread uses.
struct LoadDaemon
{
    RelayFixture fixture_;
    RelayDocuments formats_ = makeFormats();
    BlockingQueue<RelayEvent> queue_;
    DocumentReader reader_ {formats_, queue_, LogPort {[](const LogEvent &) {
                            }},
                            Millis {3000}};
};

PeerAddress peer(const std::string &host, const std::string &zone = "near")
{
    return PeerAddress {HostId {host}, ZoneId {zone}, host + ":1", 0};
}

/// Makes a daemon of a fleet, with a configuration and two engines.
void setUpDaemon(LoadDaemon &daemon, const std::string &host, std::uint32_t shareFrom,
                 const std::vector<std::string> &others)
{
    RelayFixture &fixture = daemon.fixture_;
    fixture.state_.settings_.host_ = HostId {host};
    fixture.state_.settings_.shareLoadFrom_ = shareFrom;
    setUp(fixture);
    auto config = makeConfig(2);
    config->accounts_.at(AccountId {"acme"}).prepaid_.reset();
    post(fixture, ConfigReceived {config, ChangeSource::Store});
    FleetView fleet;
    fleet.daemons_ = static_cast<std::uint32_t>(others.size()) + 1;
    fleet.zoneDaemons_ = fleet.daemons_;
    for (const std::string &other : others)
        fleet.peers_.push_back(peer(other));
    post(fixture, fleet);
}

void sendToEngine(LoadDaemon &daemon, int count)
{
    for (int i = 0; i < count; ++i) {
        RelayRequest request = makeRequest(daemon.fixture_, "stream");
        request.usage_ = PromptUsage {Tokens {400}, Tokens {100}, {}};
        post(daemon.fixture_, RequestRead {request});
    }
}

void run(LoadDaemon &daemon, const RelayCommands &commands)
{
    if (const auto published = findCommand<PublishLoads>(commands))
        publishLoads(daemon.reader_, published->offer_);
}

/// Returns the next request for documents that a daemon sends.
std::optional<DocumentsRequest> nextRequest(LoadDaemon &daemon)
{
    for (int i = 0; i < 10; ++i) {
        const RelayCommands out = advanceTime(daemon.fixture_, Millis {300});
        run(daemon, out);
        if (auto command = findCommand<RequestPeerDocuments>(out))
            return makeDocumentsRequest(daemon.reader_, "127.0.0.1:1", *command);
    }
    return std::nullopt;
}

/// Delivers a request to an observer, and returns its reply.
DocumentsReply deliver(LoadDaemon &observer, const std::string &from,
                       const DocumentsRequest &request)
{
    DocumentsReply reply
        = makeDocumentsReply(observer.reader_, request, std::chrono::steady_clock::now());
    addLoads(observer.reader_, HostId {from}, request, reply);
    LoadList loads;
    if (request.loads_)
        loads = std::make_shared<const std::vector<InstanceLoad>>(*request.loads_);
    run(observer, post(observer.fixture_, DocumentsRequestReceived {HostId {from}, loads}));
    return reply;
}

std::uint32_t running(const std::vector<InstanceLoad> &loads)
{
    std::uint32_t sum = 0;
    for (const InstanceLoad &load : loads)
        sum += load.running_;
    return sum;
}

/// Brings both clocks to the same time, and reports the load of @a host to the observer twice, so
/// that the sums of its reply contain it.
DocumentsReply exchange(LoadDaemon &observer, const std::string &host,
                        const DocumentsRequest &request)
{
    deliver(observer, host, request);
    run(observer, advanceTime(observer.fixture_, Millis {300}));
    return deliver(observer, host, request);
}

DocumentsRequest requestWith(std::uint32_t count)
{
    return DocumentsRequest {"127.0.0.1:1",
                             {},
                             std::vector<InstanceLoad> {InstanceLoad {UpstreamId {"e1"}, count,
                                                                      Tokens {}, Tokens {}, 0.0}}};
}

const std::vector<std::string> fleetOfFour {"a", "b", "observer"};

} // namespace

TEST_CASE("with fewer daemons than the setting, no load is told")
{
    for (const std::uint32_t shareFrom : {0U, 5U}) {
        LoadDaemon daemon;
        setUpDaemon(daemon, "self", shareFrom, fleetOfFour);
        // Not an observer itself, so that it asks the others.
        daemon.fixture_.state_.sync_.unavailableFeeds_.insert("config");
        sendToEngine(daemon, 3);
        const auto request = nextRequest(daemon);
        REQUIRE(request);
        CHECK(!request->loads_);
        const RelayCommands out
            = post(daemon.fixture_, DocumentsRequestReceived {HostId {"a"}, nullptr});
        CHECK(!findCommand<PublishLoads>(out));
        const DocumentsReply reply = exchange(daemon, "a", requestWith(7));
        CHECK(reply.loads_.empty());
        CHECK(reply.loadReporters_ == 0);
    }
}

TEST_CASE("a daemon tells its load with the request for documents, and gets that of the others")
{
    LoadDaemon daemon;
    setUpDaemon(daemon, "self", 4, fleetOfFour);
    daemon.fixture_.state_.sync_.unavailableFeeds_.insert("config");
    sendToEngine(daemon, 3);
    const auto request = nextRequest(daemon);
    REQUIRE(request);
    REQUIRE(request->loads_);
    CHECK(running(*request->loads_) == 3);
    LoadDaemon observer;
    setUpDaemon(observer, "observer", 4, {"a", "b", "self"});
    sendToEngine(observer, 2);
    deliver(observer, "a", requestWith(5));
    deliver(observer, "b", requestWith(7));
    const DocumentsReply reply = exchange(observer, "self", *request);
    CHECK(running(reply.loads_) == 14);
    CHECK(reply.loadReporters_ == 3);
    // What the daemon uses for its choice.
    post(daemon.fixture_,
         DocumentsReplyReceived {HostId {"observer"}, Millis {0}, reply.loads_, 3});
    const InstanceLoads &known = daemon.fixture_.state_.loads_;
    CHECK(known.weight_ == 1.0);
    CHECK(known.daemons_ == 3);
    CHECK(known.others_.at(UpstreamId {"e1"}).running_ >= 12.0);
}

TEST_CASE("a daemon that gets no request for documents publishes nothing")
{
    LoadDaemon daemon;
    setUpDaemon(daemon, "self", 4, fleetOfFour);
    sendToEngine(daemon, 3);
    for (int i = 0; i < 10; ++i)
        CHECK(!findCommand<PublishLoads>(advanceTime(daemon.fixture_, Millis {300})));
}

TEST_CASE("the load of a daemon that stops is no longer told")
{
    LoadDaemon observer;
    setUpDaemon(observer, "observer", 4, {"a", "b", "self"});
    deliver(observer, "a", requestWith(5));
    run(observer, advanceTime(observer.fixture_, Millis {300}));
    CHECK(running(deliver(observer, "b", requestWith(7)).loads_) > 0);
    // Its registration says that it is stopping, and then nobody asks any more.
    FleetView fleet;
    fleet.daemons_ = 4;
    fleet.zoneDaemons_ = 4;
    fleet.peers_ = {peer("b"), peer("self"), peer("c")};
    fleet.leaving_[HostId {"a"}] = HolderId {};
    run(observer, post(observer.fixture_, fleet));
    run(observer, advanceTime(observer.fixture_, Millis {300}));
    CHECK(running(deliver(observer, "b", requestWith(7)).loads_) == 0);
    for (int i = 0; i < 10; ++i)
        run(observer, advanceTime(observer.fixture_, Millis {300}));
    const DocumentsReply reply = deliver(observer, "b", requestWith(7));
    CHECK(reply.loads_.empty());
    CHECK(reply.loadReporters_ == 0);
}

TEST_CASE("a cut between zones leaves the load of the own zone known")
{
    LoadDaemon observer;
    setUpDaemon(observer, "observer", 4, {"a", "b"});
    FleetView fleet;
    fleet.daemons_ = 5;
    fleet.zoneDaemons_ = 3;
    fleet.peers_ = {peer("a"), peer("b"), peer("x", "far"), peer("y", "far")};
    post(observer.fixture_, fleet);
    deliver(observer, "x", requestWith(9));
    deliver(observer, "y", requestWith(9));
    deliver(observer, "b", requestWith(2));
    CHECK(running(exchange(observer, "a", requestWith(3)).loads_) == 20);
    for (int i = 0; i < 7; ++i) {
        deliver(observer, "b", requestWith(2));
        exchange(observer, "a", requestWith(3));
    }
    const DocumentsReply reply = exchange(observer, "a", requestWith(3));
    CHECK(running(reply.loads_) == 2);
    CHECK(reply.loadReporters_ == 2);
}

TEST_CASE("sharing ends when the fleet becomes smaller than the setting")
{
    LoadDaemon observer;
    setUpDaemon(observer, "observer", 4, {"a", "b", "self"});
    deliver(observer, "a", requestWith(5));
    run(observer, advanceTime(observer.fixture_, Millis {300}));
    CHECK(running(deliver(observer, "b", requestWith(7)).loads_) > 0);
    FleetView fleet;
    fleet.daemons_ = 3;
    fleet.zoneDaemons_ = 3;
    fleet.peers_ = {peer("a"), peer("b")};
    run(observer, post(observer.fixture_, fleet));
    // The daemons that are not listed any more are asked whether they run, and don't reply.
    for (int i = 0; i < 6; ++i)
        run(observer, advanceTime(observer.fixture_, Seconds {1}));
    CHECK(deliver(observer, "b", requestWith(7)).loadReporters_ == 0);
    CHECK(observer.fixture_.state_.loads_.reports_.empty());
    CHECK(observer.fixture_.state_.loads_.weight_ == 0.0);
}

} // namespace tamarack
