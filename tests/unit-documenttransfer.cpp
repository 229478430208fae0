// Transfers of large documents between daemons. Guards against several transfers of a document at
// once, documents that a daemon of an earlier release can't read, and damaged ones.
#include "exchangefixture.h"

#include "adapters/peers/peers.h"

namespace tamarack {

namespace {

constexpr std::size_t largeBytes = 200'000;

/// Only the version at its beginning is decoded.
std::string largeConfig(std::uint64_t version)
{
    return std::to_string(version) + ' ' + std::string(largeBytes, 'x');
}

void listLarge(ExchangeDaemon &daemon, std::uint64_t version)
{
    daemon.reader_.address_ = "127.0.0.1:9";
    daemon.config_.onListing_({entry("config", version, largeConfig(version))}, Revision {version});
    daemon.config_.onProgress_(Revision {version}, std::chrono::steady_clock::now());
    newestConfig(daemon);
}

DocumentsReply askFor(ExchangeDaemon &receiver, ExchangeDaemon &sender, LargeDocuments large)
{
    RequestPeerDocuments command;
    command.largeDocuments_ = large;
    const DocumentsRequest request = makeDocumentsRequest(receiver.reader_, "127.0.0.1:1", command);
    return makeDocumentsReply(sender.reader_, request, std::chrono::steady_clock::now());
}

/// Returns what the control thread learns from a reply beside the documents.
std::optional<DocumentsReplyReceived> receive(ExchangeDaemon &receiver, const DocumentsReply &reply)
{
    receiveDocumentsReply(receiver.reader_, HostId {"sender"}, reply);
    std::optional<DocumentsReplyReceived> received;
    while (const std::optional<RelayEvent> event
           = take(receiver.queue_, std::chrono::steady_clock::now())) {
        if (const auto *replied = std::get_if<DocumentsReplyReceived>(&*event))
            received = *replied;
    }
    return received;
}

ConfigVersion knownConfig(const ExchangeDaemon &daemon)
{
    return daemon.reader_.cache_.newestConfigVersion_;
}

} // namespace

TEST_CASE("a large document is announced, and sent compressed on request")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    listLarge(sender, 2);
    const DocumentsReply poll = askFor(receiver, sender, LargeDocuments::Announce);
    CHECK(poll.changes_.empty());
    REQUIRE(poll.announced_.size() == 1);
    const auto announced = receive(receiver, poll);
    REQUIRE(announced);
    CHECK(announced->announcedBytes_ == poll.announced_.front().bytes_);
    CHECK(announced->address_ == "127.0.0.1:9");
    CHECK(knownConfig(receiver) == ConfigVersion {});

    const DocumentsReply transfer = askFor(receiver, sender, LargeDocuments::Compress);
    const std::string message = encodePeerMessage({HostId {"sender"}, transfer});
    CHECK(message.size() < largeBytes / 10);
    const auto ended
        = receive(receiver, std::get<DocumentsReply>(decodePeerMessage(message).value().message_));
    REQUIRE(ended);
    CHECK(ended->isTransfer_);
    CHECK(knownConfig(receiver) == ConfigVersion {2});

    SECTION("its receiver sends it on")
    {
        ExchangeDaemon next;
        receive(next, askFor(next, receiver, LargeDocuments::Compress));
        CHECK(knownConfig(next) == ConfigVersion {2});
    }
    SECTION("an announcement of it that arrives later asks for no transfer")
    {
        CHECK(receive(receiver, poll)->announcedBytes_ == 0);
    }
    SECTION("nothing is announced any more")
    {
        CHECK(askFor(receiver, sender, LargeDocuments::Announce).announced_.empty());
    }
}

TEST_CASE("many small documents are announced like a large one")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    sender.reader_.address_ = "127.0.0.1:9";
    constexpr std::size_t instances = 1000;
    const std::string value(100, 'x');
    std::vector<FeedEntry> entries;
    for (std::size_t i = 0; i < instances; ++i)
        entries.push_back(entry("instances/" + std::to_string(i), 3, value));
    list(sender, entries, 10);
    const DocumentsReply poll = askFor(receiver, sender, LargeDocuments::Announce);
    REQUIRE(poll.announced_.size() == 1);
    CHECK(poll.announced_.front().bytes_ >= instances * value.size());
    CHECK(encodePeerMessage({HostId {"sender"}, poll}).size() < instances);
    receiveDocumentsReply(receiver.reader_, HostId {"sender"},
                          askFor(receiver, sender, LargeDocuments::Compress));
    applyEvents(receiver);
    CHECK(receiver.directory_.known_.size() == instances);
    CHECK(askFor(receiver, sender, LargeDocuments::Announce).announced_.empty());
}

TEST_CASE("daemons of earlier releases exchange large documents as they are")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    listLarge(sender, 2);
    const DocumentsReply reply = askFor(receiver, sender, LargeDocuments::Include);
    REQUIRE(reply.changes_.size() == 1);
    CHECK(reply.changes_.front().documents_.front().value_ == largeConfig(2));
    CHECK(reply.announced_.empty());
    const auto received = receive(receiver, reply);
    REQUIRE(received);
    CHECK_FALSE(received->isTransfer_);
    CHECK(knownConfig(receiver) == ConfigVersion {2});
}

TEST_CASE("small documents are sent without an announcement")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    list(sender, {entry("instances/a", 3)}, 10);
    receive(receiver, askFor(receiver, sender, LargeDocuments::Announce));
    CHECK(knownConfig(receiver) == ConfigVersion {1});
}

TEST_CASE("a damaged document changes nothing and is requested again")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    listLarge(sender, 2);
    DocumentsReply transfer = askFor(receiver, sender, LargeDocuments::Compress);
    std::string &bytes = transfer.changes_.front().documents_.front().compressed_;
    const std::string whole = bytes;
    const auto damaged = GENERATE_REF(whole.substr(0, whole.size() / 2), std::string("x") + whole,
                                      whole.substr(0, whole.size() - 1) + '?',
                                      compress(std::string(std::size_t {5} << 20U, 'x')));
    bytes = damaged;
    receive(receiver, transfer);
    CHECK(knownConfig(receiver) == ConfigVersion {});
    CHECK_FALSE(askFor(receiver, sender, LargeDocuments::Announce).announced_.empty());
}

TEST_CASE("a configuration that the store has lost is sent as the newest one that is known")
{
    ExchangeDaemon sender;
    ExchangeDaemon receiver;
    listLarge(sender, 7);
    askFor(receiver, sender, LargeDocuments::Compress);
    const StorePosition copy {StoreEra {2}, Revision {3}};
    sender.config_.onListing_({entry("config", 3, largeConfig(6))}, copy);
    sender.config_.onProgress_(copy, std::chrono::steady_clock::now());
    receive(receiver, askFor(receiver, sender, LargeDocuments::Compress));
    CHECK(knownConfig(receiver) == ConfigVersion {7});
}

TEST_CASE("one transfer is in progress at a time")
{
    const DocumentSyncSettings settings;
    DocumentSync sync;
    const MonoTime now {Seconds {100}};
    REQUIRE(startTransfer(sync, settings, HostId {"a"}, 1000, now));
    CHECK_FALSE(startTransfer(sync, settings, HostId {"b"}, 1000, now + settings.replyTimeout_));
    SECTION("a reply ends it")
    {
        CHECK(endTransfer(sync, HostId {"a"}, Millis {9}));
        CHECK(startTransfer(sync, settings, HostId {"b"}, 1000, now));
    }
    SECTION("it is overdue later if it is larger")
    {
        CHECK(startTransfer(sync, settings, HostId {"b"}, 1'000'000, now + Seconds {1}));
        CHECK_FALSE(startTransfer(sync, settings, HostId {"c"}, 1000, now + Seconds {5}));
        CHECK(startTransfer(sync, settings, HostId {"c"}, 1000, now + Seconds {10}));
    }
    SECTION("the reply to an overdue one does not end the next")
    {
        REQUIRE(startTransfer(sync, settings, HostId {"b"}, 1000, now + Seconds {1}));
        CHECK_FALSE(endTransfer(sync, HostId {"a"}, Millis {9}));
        CHECK_FALSE(startTransfer(sync, settings, HostId {"c"}, 1000, now + Seconds {1}));
    }
}

} // namespace tamarack
