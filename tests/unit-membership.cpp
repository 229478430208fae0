// Tests of membership and failure detection. Guards against declaring a registered daemon dead,
// reassigning home daemons whenever heartbeats are briefly missing, and heartbeat traffic that
// grows with the fleet.
#include "core/core.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace tamarack {

namespace {

const ZoneId localZone {"near"};
const ZoneId remoteZone {"far"};
constexpr MonoTime start {Seconds {1000}};

RegisteredMember registered(const std::string &host, int run = 1, const ZoneId &zone = localZone)
{
    const HolderId holder {host + '-' + std::to_string(run)};
    return RegisteredMember {Registration {HostId {host}, holder, zone, "127.0.0.1:1", false},
                             Revision {static_cast<std::uint64_t>(run)}};
}

Heartbeat heartbeatOf(const RegisteredMember &member)
{
    Heartbeat heartbeat;
    heartbeat.holder_ = member.registration_.holder_;
    heartbeat.zone_ = member.registration_.zone_;
    heartbeat.peerAddress_ = member.registration_.peerAddress_;
    return heartbeat;
}

Membership makeMembership()
{
    Membership membership;
    membership.self_ = registered("self").registration_;
    return membership;
}

MemberState stateOfHolder(const Membership &membership, const RegisteredMember &member,
                          MonoTime now)
{
    const Member *found = findMember(membership, member.registration_.holder_);
    return found ? stateOf(membership, *found, now) : MemberState::Dead;
}

/// One event in the history of a member and the expected state after it.
struct Step
{
    Millis delay_;
    enum class MemberEvent {
        None,
        Registered,
        Unregistered,
        HeartbeatReceived,
        TimedOut,
        Leaving
    } event_;
    MemberState expected_;
};

struct History
{
    const char *name_;
    std::vector<Step> steps_;
};

using MemberEvent = Step::MemberEvent;

std::vector<History> histories()
{
    return {
        {"no heartbeats but registered: suspect, never dead",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Seconds {4}, MemberEvent::None, MemberState::Suspect},
          {Seconds {3600}, MemberEvent::None, MemberState::Suspect},
          {Seconds {1}, MemberEvent::HeartbeatReceived, MemberState::Live}}},
        {"unregistered and no heartbeats: dead after the grace period",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Seconds {1}, MemberEvent::Unregistered, MemberState::Suspect},
          {Seconds {9}, MemberEvent::None, MemberState::Suspect},
          {Seconds {2}, MemberEvent::None, MemberState::Dead}}},
        {"unregistered but sending heartbeats: not dead",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Seconds {1}, MemberEvent::Unregistered, MemberState::Suspect},
          {Seconds {8}, MemberEvent::HeartbeatReceived, MemberState::Suspect},
          {Seconds {8}, MemberEvent::HeartbeatReceived, MemberState::Suspect},
          {Seconds {8}, MemberEvent::None, MemberState::Suspect},
          {Seconds {3}, MemberEvent::None, MemberState::Dead}}},
        {"registered again within the grace period: live",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Seconds {1}, MemberEvent::Unregistered, MemberState::Suspect},
          {Seconds {8}, MemberEvent::Registered, MemberState::Live},
          {Seconds {2}, MemberEvent::HeartbeatReceived, MemberState::Live}}},
        {"timeout: suspect despite heartbeats, longer after the second timeout",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Millis {100}, MemberEvent::TimedOut, MemberState::Suspect},
          {Seconds {1}, MemberEvent::HeartbeatReceived, MemberState::Suspect},
          {Millis {1100}, MemberEvent::HeartbeatReceived, MemberState::Live},
          {Millis {100}, MemberEvent::TimedOut, MemberState::Suspect},
          {Millis {2500}, MemberEvent::HeartbeatReceived, MemberState::Suspect},
          {Millis {1600}, MemberEvent::HeartbeatReceived, MemberState::Live}}},
        {"leaving: stays leaving",
         {{Millis {0}, MemberEvent::Registered, MemberState::Live},
          {Millis {100}, MemberEvent::Leaving, MemberState::Leaving},
          {Millis {100}, MemberEvent::HeartbeatReceived, MemberState::Leaving},
          {Millis {100}, MemberEvent::Registered, MemberState::Leaving}}},
    };
}

void apply(Membership &membership, const RegisteredMember &member, MemberEvent event, MonoTime now)
{
    const HolderId &holder = member.registration_.holder_;
    switch (event) {
    case MemberEvent::None:
        break;
    case MemberEvent::Registered:
        updateRegistrations(membership, {member}, now);
        break;
    case MemberEvent::Unregistered:
        updateRegistrations(membership, {}, now);
        break;
    case MemberEvent::HeartbeatReceived:
        recordHeartbeat(membership, member.registration_.host_, heartbeatOf(member), now);
        break;
    case MemberEvent::TimedOut:
        recordTimeout(membership, holder, now);
        break;
    case MemberEvent::Leaving:
        markLeaving(membership, holder);
        break;
    }
}

} // namespace

TEST_CASE("membership: state of one member after each event")
{
    for (const History &history : histories()) {
        INFO(history.name_);
        Membership membership = makeMembership();
        const RegisteredMember member = registered("a");
        MonoTime now = start;
        for (const Step &step : history.steps_) {
            now += step.delay_;
            apply(membership, member, step.event_, now);
            INFO((now - start) / Millis {1});
            CHECK(memberStateCode(stateOfHolder(membership, member, now))
                  == memberStateCode(step.expected_));
        }
    }
}

TEST_CASE("membership")
{
    Membership membership = makeMembership();
    const RegisteredMember a = registered("a");

    SECTION("a dead member is reported once")
    {
        updateRegistrations(membership, {a}, start);
        updateRegistrations(membership, {}, start + Seconds {1});
        std::vector<HolderId> dead;
        for (int second = 2; second < 40; ++second) {
            for (const HolderId &holder : removeDeadMembers(membership, start + Seconds {second}))
                dead.push_back(holder);
        }
        CHECK(dead == std::vector<HolderId> {a.registration_.holder_});
        CHECK(isDeparted(membership, a.registration_.holder_, start + Seconds {40}));
    }
    SECTION("no member is declared dead right after a pause of this daemon")
    {
        updateRegistrations(membership, {a}, start);
        removeDeadMembers(membership, start);
        updateRegistrations(membership, {}, start + Seconds {1});
        CHECK(removeDeadMembers(membership, start + Seconds {600}).empty());
        recordHeartbeat(membership, HostId {"a"}, heartbeatOf(a), start + Seconds {600});
        CHECK(removeDeadMembers(membership, start + Seconds {604}).empty());
    }
    SECTION("an unknown holder is not departed before the grace period after the first read")
    {
        CHECK_FALSE(isDeparted(membership, HolderId {"x"}, start));
        updateRegistrations(membership, {}, start);
        CHECK_FALSE(isDeparted(membership, HolderId {"x"}, start + Seconds {1}));
        CHECK(isDeparted(membership, HolderId {"x"}, start + Seconds {10}));
    }
    SECTION("a restarted daemon is a new holder and its former process is suspect")
    {
        const RegisteredMember next = registered("a", 2);
        updateRegistrations(membership, {a, next}, start);
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
        CHECK(stateOfHolder(membership, next, start) == MemberState::Live);
    }
    SECTION("a member without a registration is suspect despite its heartbeat")
    {
        recordHeartbeat(membership, HostId {"a"}, heartbeatOf(a), start);
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
    }
    SECTION("the host list marks members as leaving and ignores hosts that it has never contained")
    {
        updateRegistrations(membership, {a}, start);
        updateHostList(membership, {});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Live);
        updateHostList(membership, {ListedHost {HostId {"a"}, localZone, "", false}});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Live);
        updateHostList(membership, {ListedHost {HostId {"a"}, localZone, "", true}});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Leaving);
        updateHostList(membership, {});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
    }
    SECTION("a different digest requests a new read at a limited rate")
    {
        updateRegistrations(membership, {a}, start);
        Heartbeat heartbeat = heartbeatOf(a);
        heartbeat.members_ = 7;
        const auto requestsRefresh = [&](Seconds after) {
            return recordHeartbeat(membership, HostId {"a"}, heartbeat, start + after);
        };
        CHECK_FALSE(requestsRefresh(Seconds {1}));
        CHECK(requestsRefresh(Seconds {40}));
        CHECK_FALSE(requestsRefresh(Seconds {50}));
        CHECK(requestsRefresh(Seconds {71}));
        const MembersDigest own = digestOf(membership);
        heartbeat.members_ = own.count_;
        heartbeat.membersDigest_ = own.hash_;
        CHECK_FALSE(requestsRefresh(Seconds {200}));
    }
    SECTION("only live daemons of the zone are home daemons")
    {
        std::vector<RegisteredMember> members {a, registered("b"), registered("c", 1, remoteZone)};
        updateRegistrations(membership, members, start);
        updateStates(membership, start);
        markLeaving(membership, HolderId {"b-1"});
        std::set<HolderId> homes;
        for (int key = 0; key < 200; ++key)
            homes.insert(homeOf(membership, std::to_string(key), localZone).value());
        CHECK(homes == std::set<HolderId> {HolderId {"a-1"}, HolderId {"self-1"}});
        CHECK(homeOf(membership, "k", remoteZone) == HolderId {"c-1"});
        CHECK_FALSE(homeOf(membership, "k", ZoneId {"none"}));
        membership.self_.leaving_ = true;
        CHECK(homeOf(membership, "k", localZone) == HolderId {"a-1"});
    }
    SECTION("only the keys of a lost daemon get another home daemon")
    {
        std::vector<RegisteredMember> members;
        members.reserve(20);
        for (int i = 0; i < 20; ++i)
            members.push_back(registered("m" + std::to_string(i)));
        updateRegistrations(membership, members, start);
        updateStates(membership, start);
        std::map<std::string, HolderId> before;
        for (int key = 0; key < 500; ++key)
            before[std::to_string(key)]
                = homeOf(membership, std::to_string(key), localZone).value();
        const HolderId lost {"m7-1"};
        recordTimeout(membership, lost, start);
        for (const auto &[key, home] : before) {
            const HolderId after = homeOf(membership, key, localZone).value();
            CHECK((home == lost ? after != lost : after == home));
        }
    }
}

TEST_CASE("membership: heartbeats")
{
    rc::check("the number per interval is bounded and every member receives one", [] {
        Membership membership = makeMembership();
        const auto localCount = *rc::gen::inRange<std::size_t>(0, 80);
        const auto remoteCount = *rc::gen::inRange<std::size_t>(0, 200);
        std::vector<RegisteredMember> members;
        members.reserve(localCount + remoteCount);
        for (std::size_t i = 0; i < localCount; ++i)
            members.push_back(registered("n" + std::to_string(i)));
        for (std::size_t i = 0; i < remoteCount; ++i)
            members.push_back(registered("f" + std::to_string(i), 1, remoteZone));
        updateRegistrations(membership, members, start);
        const MembershipSettings &settings = membership.settings_;
        const Millis interval
            = std::max(expectedHeartbeatInterval(membership, localZone),
                       settings.heartbeatInterval_
                           * static_cast<Millis::rep>(std::max<std::size_t>(1, remoteCount)));
        std::set<HolderId> reached;
        for (Millis passed {0}; passed < interval; passed += settings.heartbeatInterval_) {
            const std::vector<HolderId> targets = nextHeartbeatTargets(membership);
            RC_ASSERT(targets.size() <= settings.zoneFanout_ + settings.remoteZoneFanout_);
            reached.insert(targets.begin(), targets.end());
        }
        RC_ASSERT(reached.size() == members.size());
    });
}

} // namespace tamarack
