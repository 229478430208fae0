// Documents that daemons get from peers. Guards against instances that stay known after their
// removal, against documents that go back to an older revision, and against sending the same
// document again and again.
#include "exchangefixture.h"

namespace tamarack {

TEST_CASE("a daemon gets all documents from a peer, then only changes")
{
    ExchangeDaemon observer;
    ExchangeDaemon daemon;
    list(observer, {entry("instances/a", 3), entry("instances/b", 4)}, 10);
    ask(daemon, observer);
    CHECK(applyEvents(daemon) > 0);
    CHECK(isKnown(daemon, "a"));
    CHECK(isKnown(daemon, "b"));
    CHECK(ask(daemon, observer).changes_.empty());

    observer.instances_.onChange_(entry("instances/c", 11), {});
    observer.instances_.onChange_(FeedEntry {StoreKey {"instances/a"}, Revision {12}, std::nullopt},
                                  {});
    observer.instances_.onProgress_(Revision {12}, std::chrono::steady_clock::now());
    const DocumentsReply reply = ask(daemon, observer);
    REQUIRE(reply.changes_.size() == 1);
    CHECK(reply.changes_.front().documents_.size() == 2);
    applyEvents(daemon);
    CHECK(isKnown(daemon, "c"));
    CHECK(!isKnown(daemon, "a"));
}

TEST_CASE("a document is sent once, although the other feed has not advanced")
{
    // With one position for both feeds, the configuration was sent with each reply until the watch
    // of the instances ended.
    ExchangeDaemon observer;
    ExchangeDaemon daemon;
    list(observer, {entry("instances/a", 3)}, 10);
    ask(daemon, observer);
    observer.config_.onChange_(entry("config", 15, "2"), {});
    observer.config_.onProgress_(Revision {15}, std::chrono::steady_clock::now());
    CHECK(ask(daemon, observer).changes_.size() == 1);
    CHECK(ask(daemon, observer).changes_.empty());
}

TEST_CASE("a removal that the peer never saw reaches a daemon that knows the instance")
{
    // The peer listed the keys after the removal, so it has no record of it.
    ExchangeDaemon first;
    ExchangeDaemon second;
    ExchangeDaemon daemon;
    list(first, {entry("instances/a", 3), entry("instances/gone", 4)}, 10);
    ask(daemon, first);
    applyEvents(daemon);
    REQUIRE(isKnown(daemon, "gone"));
    list(second, {entry("instances/a", 3)}, 20);
    ask(daemon, second);
    applyEvents(daemon);
    CHECK(isKnown(daemon, "a"));
    CHECK(!isKnown(daemon, "gone"));
}

TEST_CASE("a peer that knows less changes nothing")
{
    ExchangeDaemon ahead;
    ExchangeDaemon behind;
    list(ahead, {entry("instances/a", 3), entry("instances/new", 18)}, 20);
    list(behind, {entry("instances/a", 3), entry("instances/old", 5)}, 10);
    const DocumentsRequest request {"127.0.0.1:1", {FeedPosition {"store.instances", Revision {}}}};
    applyDocumentsReply(
        ahead.reader_,
        makeDocumentsReply(behind.reader_, request, std::chrono::steady_clock::now()));
    CHECK(applyEvents(ahead) == 0);
    CHECK(isKnown(ahead, "new"));
    CHECK(!isKnown(ahead, "old"));
}

TEST_CASE("changes that don't continue the known position are ignored")
{
    // A late reply to an earlier request of a previous process at the same address.
    ExchangeDaemon daemon;
    list(daemon, {entry("instances/a", 3)}, 10);
    DocumentsReply reply;
    reply.changes_.push_back(FeedChanges {"store.instances", Revision {15}, Revision {20}, {}});
    reply.changes_.push_back(FeedChanges {"unknown", Revision {}, Revision {20}, {}});
    applyDocumentsReply(daemon.reader_, reply);
    const DocumentsRequest next = makeDocumentsRequest(daemon.reader_, "127.0.0.1:1");
    for (const FeedPosition &position : next.positions_)
        CHECK(position.position_ == StorePosition {Revision {10}});
}

TEST_CASE(
    "changes after the store has returned from a copy reach daemons that know later revisions")
{
    ExchangeDaemon observer;
    ExchangeDaemon daemon;
    listInEra(observer, StoreEra {1}, {entry("instances/a", 100), entry("instances/b", 140)}, "7",
              150);
    ask(daemon, observer);
    applyEvents(daemon);
    REQUIRE(isKnown(daemon, "b"));

    // The copy lacks b, and the revisions up to 150 are assigned again.
    listInEra(observer, StoreEra {2}, {entry("instances/a", 100)}, "6", 118);
    observer.config_.onChange_(entry("config", 137, "9"), StoreEra {2});
    observer.config_.onProgress_({StoreEra {2}, Revision {138}}, std::chrono::steady_clock::now());
    observer.instances_.onChange_(entry("instances/c", 138), StoreEra {2});
    observer.instances_.onProgress_({StoreEra {2}, Revision {138}},
                                    std::chrono::steady_clock::now());
    ask(daemon, observer);
    CHECK(newestConfig(daemon) == ConfigVersion {9});
    CHECK(isKnown(daemon, "a"));
    CHECK(!isKnown(daemon, "b"));
    CHECK(isKnown(daemon, "c"));

    SECTION("also if it returns once more")
    {
        listInEra(observer, StoreEra {3}, {entry("instances/a", 100)}, "9", 110);
        observer.instances_.onChange_(entry("instances/d", 111), StoreEra {3});
        observer.instances_.onProgress_({StoreEra {3}, Revision {111}},
                                        std::chrono::steady_clock::now());
        ask(daemon, observer);
        applyEvents(daemon);
        CHECK(isKnown(daemon, "d"));
        CHECK(!isKnown(daemon, "c"));
    }
    SECTION("a daemon that has not noticed the return overrules nobody")
    {
        ExchangeDaemon behind;
        listInEra(behind, StoreEra {1}, {entry("instances/a", 100), entry("instances/b", 140)}, "7",
                  160);
        CHECK(ask(daemon, behind).changes_.empty());
        ask(behind, daemon);
        applyEvents(behind);
        CHECK(isKnown(behind, "c"));
        CHECK(!isKnown(behind, "b"));
    }
}

TEST_CASE("the older configuration of a copy is not offered to a daemon that has just started")
{
    ExchangeDaemon observer;
    listInEra(observer, StoreEra {1}, {}, "7", 150);
    listInEra(observer, StoreEra {2}, {}, "6", 118);
    CHECK(newestConfig(observer) == ConfigVersion {7});
    ExchangeDaemon started;
    ask(started, observer);
    CHECK(newestConfig(started) == ConfigVersion {7});
    // The operator writes the lost version again, and then a new one.
    observer.config_.onChange_(entry("config", 120, "7"), StoreEra {2});
    observer.config_.onChange_(entry("config", 130, "8"), StoreEra {2});
    observer.config_.onProgress_({StoreEra {2}, Revision {130}}, std::chrono::steady_clock::now());
    ask(started, observer);
    CHECK(newestConfig(started) == ConfigVersion {8});
}

TEST_CASE("daemons of a version without eras exchange documents with this one")
{
    ExchangeDaemon daemon;
    listInEra(daemon, StoreEra {3}, {entry("instances/a", 100)}, "7", 150);
    DocumentsReply reply;
    reply.changes_.push_back(
        FeedChanges {"store.instances",
                     Revision {150},
                     Revision {155},
                     {PeerDocument {StoreKey {"instances/b"}, Revision {155}, std::string("1")}}});
    applyDocumentsReply(daemon.reader_, reply);
    applyEvents(daemon);
    CHECK(isKnown(daemon, "b"));
    const DocumentsRequest request {"127.0.0.1:1",
                                    {FeedPosition {"store.instances", Revision {155}},
                                     FeedPosition {"store.config", Revision {150}}}};
    CHECK(makeDocumentsReply(daemon.reader_, request, std::chrono::steady_clock::now())
              .changes_.empty());
}

TEST_CASE("each reply of the store to the watch of the configuration is posted")
{
    // Without it, a daemon takes the store for silent and asks its peers all the time.
    ExchangeDaemon daemon;
    daemon.instances_.onProgress_(Revision {4}, std::chrono::steady_clock::now());
    daemon.config_.onProgress_(Revision {4}, std::chrono::steady_clock::now());
    std::size_t replies = 0;
    while (const auto event = takePosted(daemon.queue_, std::chrono::steady_clock::now()))
        replies += std::holds_alternative<ConfigFeedReplied>(event->item_) ? 1 : 0;
    CHECK(replies == 1);
}

TEST_CASE("the contact age is that of the newest contact while all feeds are available")
{
    ExchangeDaemon observer;
    const DocumentsRequest request {"127.0.0.1:1", {}};
    const MonoTime now = std::chrono::steady_clock::now();
    const auto ageAt = [&](MonoTime time) {
        return makeDocumentsReply(observer.reader_, request, time).contactAge_;
    };
    const auto setContact = [&](const std::string &feed, MonoTime time) {
        observer.reader_.cache_.feeds_.at(feed).contactAt_ = time;
    };
    CHECK(!ageAt(now));
    observer.config_.onProgress_(Revision {4}, std::chrono::steady_clock::now());
    CHECK(!ageAt(now));
    observer.instances_.onProgress_(Revision {4}, std::chrono::steady_clock::now());
    CHECK(ageAt(now));
    setContact("store.instances", now);
    setContact("store.config", now + Seconds {2});
    CHECK(ageAt(now + Millis {2500}) == Millis {500});
    SECTION("a feed whose watch is overdue has no contact")
    {
        CHECK(ageAt(now + maxContactAge));
        CHECK(!ageAt(now + maxContactAge + Millis {1}));
    }
    SECTION("a feed that the store doesn't deliver has no contact")
    {
        observer.instances_.onAvailability_(false, "no connection");
        CHECK(!makeDocumentsReply(observer.reader_, request, now).contactAge_);
    }
    SECTION("a daemon that doesn't follow the store has no contact")
    {
        clearStoreContact(observer.reader_);
        CHECK(!makeDocumentsReply(observer.reader_, request, now).contactAge_);
    }
}

} // namespace tamarack
