// Membership. Guards against a verdict of death without a lapsed lease, homes that move with every
// short silence, and heartbeat traffic that grows with the fleet.
#include "core/core.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace tamarack {

namespace {

const ZoneId near {"near"};
const ZoneId far {"far"};
constexpr MonoTime start {Seconds {1000}};

RegisteredMember registered(const std::string &host, int run = 1, const ZoneId &zone = near)
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

/// One step of a member's history and the state it must lead to.
struct Step
{
    Millis after_;
    enum class What { Nothing, Registered, Lapsed, Heard, Unanswered, Leaving } what_;
    MemberState expected_;
};

struct History
{
    const char *name_;
    std::vector<Step> steps_;
};

using What = Step::What;

std::vector<History> histories()
{
    return {
        {"silent but registered: suspect, never dead",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Seconds {4}, What::Nothing, MemberState::Suspect},
          {Seconds {3600}, What::Nothing, MemberState::Suspect},
          {Seconds {1}, What::Heard, MemberState::Live}}},
        {"lapsed and silent: dead after the grace",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Seconds {1}, What::Lapsed, MemberState::Suspect},
          {Seconds {9}, What::Nothing, MemberState::Suspect},
          {Seconds {2}, What::Nothing, MemberState::Dead}}},
        {"lapsed but heard: not dead",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Seconds {1}, What::Lapsed, MemberState::Suspect},
          {Seconds {8}, What::Heard, MemberState::Suspect},
          {Seconds {8}, What::Heard, MemberState::Suspect},
          {Seconds {8}, What::Nothing, MemberState::Suspect},
          {Seconds {3}, What::Nothing, MemberState::Dead}}},
        {"a lapse that is mended in time leaves no trace",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Seconds {1}, What::Lapsed, MemberState::Suspect},
          {Seconds {8}, What::Registered, MemberState::Live},
          {Seconds {2}, What::Heard, MemberState::Live}}},
        {"unanswered: held down although it is heard, longer the second time",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Millis {100}, What::Unanswered, MemberState::Suspect},
          {Seconds {1}, What::Heard, MemberState::Suspect},
          {Millis {1100}, What::Heard, MemberState::Live},
          {Millis {100}, What::Unanswered, MemberState::Suspect},
          {Millis {2500}, What::Heard, MemberState::Suspect},
          {Millis {1600}, What::Heard, MemberState::Live}}},
        {"leaving stays leaving",
         {{Millis {0}, What::Registered, MemberState::Live},
          {Millis {100}, What::Leaving, MemberState::Leaving},
          {Millis {100}, What::Heard, MemberState::Leaving},
          {Millis {100}, What::Registered, MemberState::Leaving}}},
    };
}

void apply(Membership &membership, const RegisteredMember &member, What what, MonoTime now)
{
    const HolderId &holder = member.registration_.holder_;
    switch (what) {
    case What::Nothing:
        break;
    case What::Registered:
        updateRegistrations(membership, {member}, now);
        break;
    case What::Lapsed:
        updateRegistrations(membership, {}, now);
        break;
    case What::Heard:
        recordHeartbeat(membership, member.registration_.host_, heartbeatOf(member), now);
        break;
    case What::Unanswered:
        recordTimeout(membership, holder, now);
        break;
    case What::Leaving:
        markLeaving(membership, holder);
        break;
    }
}

} // namespace

TEST_CASE("membership: histories of one member")
{
    for (const History &history : histories()) {
        INFO(history.name_);
        Membership membership = makeMembership();
        const RegisteredMember member = registered("a");
        MonoTime now = start;
        for (const Step &step : history.steps_) {
            now += step.after_;
            apply(membership, member, step.what_, now);
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
    SECTION("after a pause of this daemon nobody is declared dead at once")
    {
        updateRegistrations(membership, {a}, start);
        removeDeadMembers(membership, start);
        updateRegistrations(membership, {}, start + Seconds {1});
        CHECK(removeDeadMembers(membership, start + Seconds {600}).empty());
        recordHeartbeat(membership, HostId {"a"}, heartbeatOf(a), start + Seconds {600});
        CHECK(removeDeadMembers(membership, start + Seconds {604}).empty());
    }
    SECTION("nobody is gone before the registrations were read and the grace passed")
    {
        CHECK_FALSE(isDeparted(membership, HolderId {"x"}, start));
        updateRegistrations(membership, {}, start);
        CHECK_FALSE(isDeparted(membership, HolderId {"x"}, start + Seconds {1}));
        CHECK(isDeparted(membership, HolderId {"x"}, start + Seconds {10}));
    }
    SECTION("a restarted host is a new holder and the former run is not relied on")
    {
        const RegisteredMember next = registered("a", 2);
        updateRegistrations(membership, {a, next}, start);
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
        CHECK(stateOfHolder(membership, next, start) == MemberState::Live);
    }
    SECTION("a heartbeat alone does not make a member reliable")
    {
        recordHeartbeat(membership, HostId {"a"}, heartbeatOf(a), start);
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
    }
    SECTION("the host list makes a host leaving, and its lag does not matter")
    {
        updateRegistrations(membership, {a}, start);
        updateHostList(membership, {});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Live);
        updateHostList(membership, {ListedHost {HostId {"a"}, near, "", false}});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Live);
        updateHostList(membership, {ListedHost {HostId {"a"}, near, "", true}});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Leaving);
        updateHostList(membership, {});
        CHECK(stateOfHolder(membership, a, start) == MemberState::Suspect);
    }
    SECTION("a different digest asks for a new read, but seldom")
    {
        updateRegistrations(membership, {a}, start);
        Heartbeat heartbeat = heartbeatOf(a);
        heartbeat.members_ = 7;
        const auto asks = [&](Seconds after) {
            return recordHeartbeat(membership, HostId {"a"}, heartbeat, start + after);
        };
        CHECK_FALSE(asks(Seconds {1}));
        CHECK(asks(Seconds {40}));
        CHECK_FALSE(asks(Seconds {50}));
        CHECK(asks(Seconds {71}));
        const MembersDigest own = digestOf(membership);
        heartbeat.members_ = own.count_;
        heartbeat.membersDigest_ = own.hash_;
        CHECK_FALSE(asks(Seconds {200}));
    }
    SECTION("only live daemons of the zone are homes")
    {
        std::vector<RegisteredMember> members {a, registered("b"), registered("c", 1, far)};
        updateRegistrations(membership, members, start);
        updateStates(membership, start);
        markLeaving(membership, HolderId {"b-1"});
        std::set<HolderId> homes;
        for (int key = 0; key < 200; ++key)
            homes.insert(homeOf(membership, std::to_string(key), near).value());
        CHECK(homes == std::set<HolderId> {HolderId {"a-1"}, HolderId {"self-1"}});
        CHECK(homeOf(membership, "k", far) == HolderId {"c-1"});
        CHECK_FALSE(homeOf(membership, "k", ZoneId {"none"}));
        membership.self_.leaving_ = true;
        CHECK(homeOf(membership, "k", near) == HolderId {"a-1"});
    }
    SECTION("only the keys of a lost daemon move")
    {
        std::vector<RegisteredMember> members;
        members.reserve(20);
        for (int i = 0; i < 20; ++i)
            members.push_back(registered("m" + std::to_string(i)));
        updateRegistrations(membership, members, start);
        updateStates(membership, start);
        std::map<std::string, HolderId> before;
        for (int key = 0; key < 500; ++key)
            before[std::to_string(key)] = homeOf(membership, std::to_string(key), near).value();
        const HolderId lost {"m7-1"};
        recordTimeout(membership, lost, start);
        for (const auto &[key, home] : before) {
            const HolderId after = homeOf(membership, key, near).value();
            CHECK((home == lost ? after != lost : after == home));
        }
    }
}

TEST_CASE("membership: heartbeats")
{
    rc::check("a bounded number is sent and every member gets its turn", [] {
        Membership membership = makeMembership();
        const auto nearCount = *rc::gen::inRange<std::size_t>(0, 80);
        const auto farCount = *rc::gen::inRange<std::size_t>(0, 200);
        std::vector<RegisteredMember> members;
        members.reserve(nearCount + farCount);
        for (std::size_t i = 0; i < nearCount; ++i)
            members.push_back(registered("n" + std::to_string(i)));
        for (std::size_t i = 0; i < farCount; ++i)
            members.push_back(registered("f" + std::to_string(i), 1, far));
        updateRegistrations(membership, members, start);
        const MembershipSettings &settings = membership.settings_;
        const Millis gap
            = std::max(heartbeatGap(membership, near),
                       settings.heartbeatInterval_
                           * static_cast<Millis::rep>(std::max<std::size_t>(1, farCount)));
        std::set<HolderId> reached;
        for (Millis passed {0}; passed < gap; passed += settings.heartbeatInterval_) {
            const std::vector<HolderId> targets = nextHeartbeatTargets(membership);
            RC_ASSERT(targets.size() <= settings.zoneFanout_ + settings.remoteZoneFanout_);
            reached.insert(targets.begin(), targets.end());
        }
        RC_ASSERT(reached.size() == members.size());
    });
}

} // namespace tamarack
