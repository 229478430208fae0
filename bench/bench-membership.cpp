// Cost of membership for one daemon: messages, bytes and CPU time of heartbeats, sizes of the other
// messages, and the cost of three ways to announce a bundle version. Single-threaded, no sockets.
#include "adapters/peers/peers.h"
#include "adapters/shardcodec/shardcodec.h"
#include "core/core.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <random>

namespace tamarack {

namespace {

using std::chrono::nanoseconds;

constexpr int measuredSeconds = 600;
/// Bytes per message: TCP/IP headers of a segment and of its acknowledgement, and the ZMTP frame
/// headers.
constexpr std::size_t wireOverhead = 40 + 40 + 4;

nanoseconds threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds {time.tv_sec} + nanoseconds {time.tv_nsec};
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

RegisteredMember makeMember(std::size_t number, std::size_t zones)
{
    const std::string host = fmt::format("entry-{:04}", number);
    return RegisteredMember {
        Registration {HostId {host}, HolderId {host + "-0123456789abcdef"},
                      ZoneId {fmt::format("zone-{}", number % zones)},
                      fmt::format("10.0.{}.{}:7400", number / 250, number % 250), false},
        Revision {number + 1}};
}

std::vector<RegisteredMember> makeMembers(std::size_t count, std::size_t zones)
{
    std::vector<RegisteredMember> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back(makeMember(i, zones));
    return members;
}

Membership makeMembership(const std::vector<RegisteredMember> &members, std::size_t self)
{
    Membership membership;
    membership.self_ = members.at(self).registration_;
    updateRegistrations(membership, members, MonoTime {Seconds {1}});
    return membership;
}

struct Traffic
{
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
};

/// Encodes the peer messages among the commands, as the peer socket does, and counts them.
std::vector<std::string> encodePeerMessages(const Commands &commands, Traffic &traffic)
{
    std::vector<std::string> encoded;
    for (const Command &command : commands) {
        const auto *send = std::get_if<SendPeer>(&command);
        if (!send)
            continue;
        encoded.push_back(encodePeerMessage(PeerEnvelope {HostId {"entry-0000"}, send->message_}));
        ++traffic.messages_;
        traffic.bytes_ += encoded.back().size();
    }
    return encoded;
}

/// Makes the heartbeats that this daemon receives in one second: as many as it sends, from the
/// other members in turn, with the digest of an equal member list.
std::vector<std::string> makeIncomingHeartbeats(const std::vector<RegisteredMember> &members,
                                                MembersDigest digest, std::size_t count,
                                                std::size_t &next)
{
    std::vector<std::string> encoded;
    for (std::size_t i = 0; i < count; ++i) {
        next = next % (members.size() - 1) + 1;
        const Registration &from = members.at(next).registration_;
        Heartbeat heartbeat {
            from.holder_, from.zone_,    from.peerAddress_, BundleVersion {123'456},
            false,        digest.count_, digest.hash_};
        encoded.push_back(encodePeerMessage(PeerEnvelope {from.host_, heartbeat}));
    }
    return encoded;
}

void measureHeartbeats(std::size_t count, std::size_t zones)
{
    const std::vector<RegisteredMember> members = makeMembers(count, zones);
    const std::size_t heapBefore = heapBytes();
    ControlState state;
    state.settings_.holder_ = members.at(0).registration_.holder_;
    state.membership_ = makeMembership(members, 0);
    const std::size_t heap = heapBytes() - heapBefore;
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {123'456};
    state.bundle_ = bundle;
    Traffic sent;
    Traffic received;
    nanoseconds cpuTime {};
    std::size_t next = 0;
    for (int second = 0; second < measuredSeconds; ++second) {
        const Now now {MonoTime {Seconds {1 + second}}, WallTime {}};
        const std::size_t before = sent.messages_;
        const nanoseconds start = threadTime();
        encodePeerMessages(handle(state, Tick {}, now), sent);
        cpuTime += threadTime() - start;
        const std::vector<std::string> inbox = makeIncomingHeartbeats(
            members, digestOf(state.membership_), sent.messages_ - before, next);
        const nanoseconds resumed = threadTime();
        for (const std::string &bytes : inbox) {
            PeerEnvelope envelope = decodePeerMessage(bytes).value();
            handle(state, PeerMessageReceived {envelope.from_, std::move(envelope.message_)}, now);
            ++received.messages_;
            received.bytes_ += bytes.size();
        }
        cpuTime += threadTime() - resumed;
    }
    const auto perSecond = [](std::size_t value) {
        return static_cast<double>(value) / measuredSeconds;
    };
    const std::size_t messages = sent.messages_ + received.messages_;
    const std::size_t bytes = sent.bytes_ + received.bytes_;
    fmt::print("| {} | {:.1f} | {:.0f} | {:.0f} | {:.4f} | {:.0f} |\n", count, perSecond(messages),
               perSecond(bytes), perSecond(bytes + messages * wireOverhead),
               100.0 * static_cast<double>(cpuTime.count()) / (measuredSeconds * 1e9),
               static_cast<double>(heap) / 1024.0);
}

std::size_t encodedSize(const PeerMessage &message)
{
    return encodePeerMessage(PeerEnvelope {HostId {"entry-0000"}, message}).size();
}

void printSizes()
{
    const HolderId entry {"entry-0001-0123456789abcdef"};
    const HolderId home {"entry-0002-0123456789abcdef"};
    const AdmissionId admission {entry.value_ + ".000000012345"};
    const std::size_t reserve = encodedSize(Reserve {
        admission, entry, home, RequestId {"r" + std::string(32, 'a')}, AccountId {"account-100"},
        BudgetId {"budget-00000100"}, Tokens {4000}, Millis {30'000}});
    const std::size_t reserved = encodedSize(Reserved {admission, home});
    const std::size_t settle = encodedSize(Settle {admission, entry, home, Tokens {1200}});
    const std::size_t ack = encodedSize(SettleAck {admission, home});
    const std::size_t registration
        = encodeStoredValue(StoredValue {makeMember(1, 6).registration_}).size();
    fmt::print("\nbytes: Reserve {} Reserved {} Settle {} SettleAck {} BundleOffer {} "
               "BundleFetch {} registration {}\n",
               reserve, reserved, settle, ack, encodedSize(BundleOffer {BundleVersion {123'456}}),
               encodedSize(BundleFetch {BundleVersion {123'456}}), registration);
    const double requests = 14'000.0 / 410;
    const std::size_t exchange = reserve + reserved + settle + ack;
    fmt::print("one reserved request: 4 messages, {} bytes, {} with headers; at {:.1f} requests/s "
               "and daemon: {:.0f} bytes/s sent and as many received, {:.0f} each with headers\n",
               exchange, exchange + 4 * wireOverhead, requests,
               requests * static_cast<double>(exchange),
               requests * static_cast<double>(exchange + 4 * wireOverhead));
}

/// Simulates epidemic dissemination over heartbeats.
/// @return rounds until every daemon knows a version that one daemon had at the start
int epidemicRounds(std::size_t count, std::size_t zones, std::mt19937 &random)
{
    const std::vector<RegisteredMember> members = makeMembers(count, zones);
    std::map<HolderId, std::size_t> numbers;
    std::vector<Membership> fleet;
    for (std::size_t i = 0; i < count; ++i) {
        numbers[members[i].registration_.holder_] = i;
        fleet.push_back(makeMembership(members, i));
        // The daemons started at different times.
        const std::size_t earlier = random() % 50;
        for (std::size_t round = 0; round < earlier; ++round)
            nextHeartbeatTargets(fleet.back());
    }
    std::vector<bool> knows(count, false);
    knows.at(random() % count) = true;
    int rounds = 0;
    while (std::find(knows.begin(), knows.end(), false) != knows.end()) {
        const std::vector<bool> before = knows;
        for (std::size_t i = 0; i < count; ++i) {
            for (const HolderId &target : nextHeartbeatTargets(fleet[i])) {
                if (before[i])
                    knows[numbers.at(target)] = true;
            }
        }
        ++rounds;
    }
    return rounds;
}

struct TreeCost
{
    std::size_t bytes_ = 0;
    std::size_t depth_ = 0;
};

/// Bytes of all messages of a broadcast over a balanced tree, and its depth. Each message carries
/// the shape of the receiver's subtree as balanced parentheses (2 bits a node) and the identifier
/// of every node in it.
TreeCost treeCost(std::size_t nodes, std::size_t degree, std::size_t idBytes, std::size_t header)
{
    TreeCost cost;
    std::size_t rest = nodes - 1;
    for (std::size_t child = 0; child < degree && rest > 0; ++child) {
        const std::size_t size = (rest + degree - child - 1) / (degree - child);
        rest -= size;
        const TreeCost below = treeCost(size, degree, idBytes, header);
        cost.bytes_ += header + (2 * size + 7) / 8 + size * idBytes + below.bytes_;
        cost.depth_ = std::max(cost.depth_, below.depth_ + 1);
    }
    return cost;
}

void printDissemination()
{
    constexpr std::size_t daemons = 410;
    constexpr std::size_t zones = 6;
    constexpr double changes = 1900;
    constexpr double day = 86'400;
    // IPv4 address and port. An index into the sorted member list would be smaller, but requires
    // equal lists on all daemons.
    constexpr std::size_t idBytes = 6;
    constexpr std::size_t fanDegree = 4;
    const std::size_t offer = encodedSize(BundleOffer {BundleVersion {123'456}});
    const std::size_t fetch = encodedSize(BundleFetch {BundleVersion {123'456}});
    std::mt19937 random {7};
    constexpr std::size_t repetitions = 9;
    std::vector<int> rounds;
    rounds.reserve(repetitions);
    for (std::size_t i = 0; i < repetitions; ++i)
        rounds.push_back(epidemicRounds(daemons, zones, random));
    std::sort(rounds.begin(), rounds.end());
    const std::size_t peers = daemons - 1;
    const TreeCost tree = treeCost(daemons, fanDegree, idBytes, offer);
    const auto row
        = [&](const char *name, std::size_t messages, std::size_t bytes, const std::string &steps) {
              const std::size_t wire = bytes + messages * wireOverhead;
              fmt::print("| {} | {} | {} | {} | {:.2f} | {} |\n", name, messages, bytes, wire,
                         static_cast<double>(wire) * changes / day / daemons, steps);
          };
    fmt::print("\n| announcement | messages | bytes | with headers | B/s and daemon | steps |\n");
    row("plain fan-out", peers, peers * offer, "1");
    row("heartbeats", 0, 0,
        fmt::format("{} to {}, median {}", rounds.front(), rounds.back(),
                    rounds.at(rounds.size() / 2)));
    row("tree", peers, tree.bytes_, std::to_string(tree.depth_));
    fmt::print("fetch of the changed parts, the same for all three: {} messages of {} bytes and "
               "the parts\n",
               2 * peers, fetch);
    for (const std::size_t part : {std::size_t {8192}, std::size_t {262'144}}) {
        const std::size_t size = encodedSize(BundleParts {BundleVersion {123'456},
                                                          std::string(2048, 'm'),
                                                          OperatorId {"operator-1"},
                                                          std::string(88, 's'),
                                                          {std::string(part, 'p')}});
        fmt::print("a part of {} bytes: BundleParts {} bytes, {:.0f} B/s and daemon on average\n",
                   part, size, static_cast<double>(size) * changes / day);
    }
}

} // namespace

} // namespace tamarack

int main()
{
    using namespace tamarack;
    fmt::print("| members | messages/s | bytes/s | with headers | % of a core | KB of memory |\n");
    measureHeartbeats(8, 3);
    measureHeartbeats(50, 3);
    measureHeartbeats(100, 3);
    measureHeartbeats(410, 6);
    printSizes();
    printDissemination();
}
