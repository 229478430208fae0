// Delivery of evacuations with the documents of the store. Guards against an evacuation that does
// not reach a daemon that learns documents from peers only, and against one that ends because a
// listing did not contain it.
#include "exchangefixture.h"

namespace tamarack {

namespace {

const ZoneId zone {"z1"};

/// A daemon that follows evacuations.
struct EvacuationDaemon : ExchangeDaemon
{
    EvacuationDaemon()
    {
        formats_.operatorPrefix_ = "operator/";
        formats_.configKey_ = "operator/config";
        formats_.evacuationPrefix_ = "operator/evacuate/";
        reader_.cache_.feeds_.at("store.config").prefix_ = configFeedPrefix(formats_);
    }
};

const FeedEntry config = entry("operator/config", 1);

FeedEntry evacuation(std::uint64_t revision)
{
    return entry("operator/evacuate/z1", revision, "{}");
}

StorePosition at(std::uint64_t era, std::uint64_t revision)
{
    return StorePosition {StoreEra {era}, Revision {revision}};
}

/// Lists the operator's documents as the store does.
void listDocuments(ExchangeDaemon &daemon, const std::vector<FeedEntry> &entries,
                   StorePosition position)
{
    daemon.config_.onListing_(entries, position);
    daemon.config_.onProgress_(position, std::chrono::steady_clock::now());
    applyEvents(daemon);
}

void change(ExchangeDaemon &daemon, const FeedEntry &entry, StorePosition position)
{
    daemon.config_.onChange_(entry, position.era_);
    daemon.config_.onProgress_(position, std::chrono::steady_clock::now());
    applyEvents(daemon);
}

FeedEntry removal(std::uint64_t revision)
{
    return FeedEntry {StoreKey {"operator/evacuate/z1"}, Revision {revision}, std::nullopt};
}

bool evacuated(const ExchangeDaemon &daemon)
{
    return isEvacuated(daemon.evacuations_, zone);
}

} // namespace

TEST_CASE("an evacuation and its end reach a daemon by a peer only")
{
    EvacuationDaemon observer;
    EvacuationDaemon daemon;
    listDocuments(observer, {config}, at(1, 10));
    ask(daemon, observer);
    applyEvents(daemon);
    CHECK(!evacuated(daemon));
    change(observer, evacuation(12), at(1, 12));
    CHECK(evacuated(observer));
    ask(daemon, observer);
    applyEvents(daemon);
    CHECK(evacuated(daemon));
    // It forwards them.
    EvacuationDaemon third;
    ask(third, daemon);
    applyEvents(third);
    CHECK(evacuated(third));
    SECTION("removed")
    {
        change(observer, removal(14), at(1, 14));
        ask(daemon, observer);
        applyEvents(daemon);
        CHECK(!evacuated(daemon));
        ask(third, daemon);
        applyEvents(third);
        CHECK(!evacuated(third));
    }
    SECTION("the peer has seen the removal by a listing only")
    {
        listDocuments(observer, {config}, at(1, 20));
        CHECK(!evacuated(observer));
        ask(daemon, observer);
        applyEvents(daemon);
        CHECK(!evacuated(daemon));
    }
    SECTION("the store has dropped its history")
    {
        listDocuments(observer, {config, evacuation(12)}, at(1, 20));
        ask(daemon, observer);
        applyEvents(daemon);
        CHECK(evacuated(observer));
        CHECK(evacuated(daemon));
    }
    SECTION("a peer that knows less")
    {
        EvacuationDaemon behind;
        listDocuments(behind, {config}, at(1, 11));
        ask(daemon, behind);
        applyEvents(daemon);
        CHECK(evacuated(daemon));
    }
}

TEST_CASE("a starting daemon knows the evacuations before it has a configuration")
{
    // With a configuration and instances it is ready, and requests would be sent to the zone.
    EvacuationDaemon observer;
    listDocuments(observer, {config, evacuation(5)}, at(1, 10));
    EvacuationDaemon daemon;
    ask(daemon, observer);
    bool known = false;
    bool hasConfig = false;
    while (const auto event = take(daemon.queue_, std::chrono::steady_clock::now())) {
        known = known || std::holds_alternative<EvacuationsListed>(*event);
        if (!std::holds_alternative<ConfigReceived>(*event))
            continue;
        hasConfig = true;
        CHECK(known);
    }
    CHECK(hasConfig);
}

TEST_CASE("a listing without the configuration ends no evacuation")
{
    EvacuationDaemon daemon;
    listDocuments(daemon, {config, evacuation(5)}, at(1, 10));
    REQUIRE(evacuated(daemon));
    listDocuments(daemon, {}, at(1, 20));
    CHECK(evacuated(daemon));
    // It is still told to peers.
    EvacuationDaemon other;
    listDocuments(other, {config}, at(1, 15));
    ask(other, daemon);
    applyEvents(other);
    CHECK(evacuated(other));
}

TEST_CASE("an evacuation that the store has lost is told to daemons that start meanwhile")
{
    EvacuationDaemon observer;
    listDocuments(observer, {config, evacuation(5)}, at(1, 10));
    listDocuments(observer, {config}, at(2, 8));
    CHECK(evacuated(observer));
    EvacuationDaemon started;
    const auto reply = ask(started, observer);
    applyEvents(started);
    CHECK(evacuated(started));
    CHECK(nextEvacuationTime(started.evacuations_));
    SECTION("written again")
    {
        change(observer, evacuation(9), at(2, 9));
        ask(started, observer);
        applyEvents(started);
        CHECK(!nextEvacuationTime(observer.evacuations_));
        CHECK(!nextEvacuationTime(started.evacuations_));
        const MonoTime later = std::chrono::steady_clock::now() + Seconds {10};
        EvacuationDaemon other;
        applyDocumentsReply(other.reader_,
                            makeDocumentsReply(observer.reader_,
                                               makeDocumentsRequest(other.reader_, "a:1"), later));
        applyEvents(other);
        CHECK(evacuated(other));
    }
    SECTION("not written again")
    {
        const MonoTime later = std::chrono::steady_clock::now() + settleTime;
        EvacuationDaemon other;
        applyDocumentsReply(other.reader_,
                            makeDocumentsReply(observer.reader_,
                                               makeDocumentsRequest(other.reader_, "a:1"), later));
        applyEvents(other);
        CHECK(!evacuated(other));
    }
}

TEST_CASE("other keys of the operator are neither read nor told to peers")
{
    EvacuationDaemon observer;
    listDocuments(observer,
                  {config, entry("operator/evacuate/", 2), entry("operator/notes", 3, "x"),
                   entry("operator/config/old", 4, "x")},
                  at(1, 10));
    CHECK(observer.evacuations_.zones_.empty());
    EvacuationDaemon daemon;
    const DocumentsReply reply = ask(daemon, observer);
    REQUIRE(reply.changes_.size() == 1);
    CHECK(reply.changes_.front().documents_.size() == 1);
}

TEST_CASE("without the setting, only the configuration is followed")
{
    RelayDocuments formats = makeFormats();
    formats.operatorPrefix_ = "operator/";
    CHECK(configFeedPrefix(formats) == formats.configKey_);
    ExchangeDaemon daemon;
    daemon.formats_.operatorPrefix_ = "operator/";
    listDocuments(daemon, {entry("config", 1), entry("operator/evacuate/z1", 2, "{}")}, at(1, 10));
    CHECK(daemon.evacuations_.zones_.empty());
}

} // namespace tamarack
