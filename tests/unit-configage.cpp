// Refusals for good, 401 and 404, by a daemon whose configuration may be outdated. Guards against
// telling a client that a route or a key does not exist when a newer configuration has it.
#include "relayfixture.h"

namespace tamarack {

namespace {

/// Longest time in which a daemon may not know a new configuration.
constexpr Millis applyTime {3000};

/// A daemon that asks a peer for documents.
RelayFixture makeFixture()
{
    RelayFixture fixture;
    fixture.state_.settings_.host_ = HostId {"me"};
    fixture.state_.settings_.sync_ = documentSyncSettings(applyTime, Millis {4000});
    setUp(fixture);
    updateSyncPeers(fixture.state_.sync_, PeerAddress {HostId {"me"}, ZoneId {"near"}, "me:1", 1},
                    {PeerAddress {HostId {"o1"}, ZoneId {"near"}, "o1:1", 9},
                     PeerAddress {HostId {"o2"}, ZoneId {"near"}, "o2:1", 8}});
    return fixture;
}

DocumentsReplyReceived replyOf(const std::string &host, std::optional<Millis> contactAge)
{
    DocumentsReplyReceived reply;
    reply.from_ = HostId {host};
    reply.contactAge_ = contactAge;
    return reply;
}

int statusOf(RelayFixture &fixture, const std::string &route, const std::string &key)
{
    RelayRequest request = makeRequest(fixture, route);
    request.key_ = key;
    const auto response = findCommand<RespondToClient>(post(fixture, RequestRead {request}));
    return response ? response->status_ : 0;
}

void checkRefusals(RelayFixture &fixture, bool forGood)
{
    CHECK(statusOf(fixture, "added-later", "key") == (forGood ? 404 : 503));
    CHECK(statusOf(fixture, "safe", "key-added-later") == (forGood ? 401 : 503));
}

/// Lets time pass in which a peer replies to each request for documents.
void passTime(RelayFixture &fixture, Millis time, std::optional<Millis> contactAge,
              std::uint64_t announcedBytes = 0)
{
    constexpr Millis step {100};
    for (Millis passed {}; passed < time; passed += step) {
        const RelayCommands commands = advanceTime(fixture, step);
        for (const RelayCommand &command : commands) {
            const auto *asked = std::get_if<RequestPeerDocuments>(&command);
            if (!asked || asked->largeDocuments_ == LargeDocuments::Compress)
                continue;
            for (const PeerAddress &peer : asked->peers_) {
                DocumentsReplyReceived reply = replyOf(peer.host_.value_, contactAge);
                reply.announcedBytes_ = announcedBytes;
                reply.address_ = peer.address_;
                post(fixture, reply);
            }
        }
    }
}

} // namespace

TEST_CASE("a daemon that knows the newest configuration refuses for good")
{
    RelayFixture fixture = makeFixture();
    passTime(fixture, Seconds {10}, Millis {200});
    checkRefusals(fixture, true);
}

TEST_CASE("a newer configuration that has not arrived may have the route and the key")
{
    RelayFixture fixture = makeFixture();
    passTime(fixture, Seconds {2}, Millis {200});
    passTime(fixture, applyTime + Millis {500}, Millis {200}, 70'000);
    checkRefusals(fixture, false);
    SECTION("until it arrives")
    {
        DocumentsReplyReceived transfer
            = replyOf(fixture.state_.sync_.transfer_->from_.value_, Millis {200});
        transfer.isTransfer_ = true;
        post(fixture, transfer);
        checkRefusals(fixture, true);
    }
}

TEST_CASE("peers without contact to the store don't know whether the configuration is the newest")
{
    RelayFixture fixture = makeFixture();
    passTime(fixture, Seconds {2}, Millis {200});
    passTime(fixture, applyTime + Millis {500}, std::nullopt);
    checkRefusals(fixture, false);
}

TEST_CASE("a daemon that stood still doesn't know whether its configuration is the newest")
{
    RelayFixture fixture = makeFixture();
    passTime(fixture, Seconds {2}, Millis {200});
    SECTION("by no reply")
    {
        fixture.now_ += Seconds {4};
    }
    SECTION("nor by one that was on its way meanwhile")
    {
        const auto asked = findCommand<RequestPeerDocuments>(advanceTime(fixture, Millis {300}));
        REQUIRE(asked);
        fixture.now_ += Seconds {4};
        post(fixture, replyOf(asked->peers_.front().host_.value_, Millis {200}));
    }
    checkRefusals(fixture, false);
    // The requests that it has sent meanwhile got no reply.
    passTime(fixture, Seconds {5}, Millis {200});
    checkRefusals(fixture, true);
}

TEST_CASE(
    "a daemon whose machine was suspended doesn't know whether its configuration is the newest")
{
    // The clock has not counted the suspension.
    RelayFixture fixture = makeFixture();
    passTime(fixture, Seconds {2}, Millis {200});
    SECTION("by no reply")
    {
        CHECK(findCommand<ForgetStoreContact>(post(fixture, MachineResumed {})));
    }
    SECTION("nor by one that was on its way meanwhile")
    {
        const auto asked = findCommand<RequestPeerDocuments>(advanceTime(fixture, Millis {300}));
        REQUIRE(asked);
        post(fixture, MachineResumed {});
        post(fixture, replyOf(asked->peers_.front().host_.value_, Millis {200}));
    }
    checkRefusals(fixture, false);
    // The requests that it has sent meanwhile got no reply.
    passTime(fixture, Seconds {5}, Millis {200});
    checkRefusals(fixture, true);
}

} // namespace tamarack
