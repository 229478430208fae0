// Several control state machines with one store, joined by a bus in memory that can lose, double
// and reorder messages and cut the connection between two daemons.
#pragma once

#include "core/core.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack::homefleet {

/// One daemon.
struct Daemon
{
    ControlState state_;
    std::deque<SubmitStoreCall> calls_;
    std::map<WaiterId, Decision> decisions_;
    bool running_ = true;
    bool stopped_ = false;
};

/// A message on its way.
struct Transit
{
    HostId from_;
    HostId to_;
    PeerMessage message_;
};

/// What the bus does with a message: the number of copies that arrive.
using Rule = std::function<std::size_t(const Transit &)>;

struct Fleet
{
    std::map<HostId, Daemon> daemons_;
    std::map<StoreKey, VersionedValue> store_;
    std::uint64_t revision_ = 0;
    std::vector<Transit> bus_;
    Rule rule_;
    /// Delivers the newest message first.
    bool reorder_ = false;
    /// Pairs of hosts that can't reach each other.
    std::set<std::pair<HostId, HostId>> cuts_;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::uint64_t lastWaiter_ = 0;
    /// Tokens that callers were allowed to use.
    Tokens dispatched_;
    std::size_t messages_ = 0;
    std::vector<std::string> logged_;
};

inline const AccountId account {"acct"};
inline const BudgetId budget {"b"};
inline const ZoneId zone {"z"};

/// @brief Makes daemons h1, h2, ... of one zone and lets them see each other.
Fleet makeFleet(std::size_t daemons, std::int64_t funded);

/// @brief Lets every running daemon see the registrations of the daemons in @a hosts.
void announce(Fleet &fleet, const std::vector<HostId> &hosts);

/// @brief Lets time pass, the store answer and messages arrive until @a span is over.
void run(Fleet &fleet, Millis span);

/// @brief Ends a daemon without warning.
void kill(Fleet &fleet, const HostId &host);

void stop(Fleet &fleet, const HostId &host);

WaiterId admit(Fleet &fleet, const HostId &entry, std::int64_t worstCase,
               const std::string &request, Millis deadline = Seconds {10});

const Dispatch *dispatched(const Fleet &fleet, const HostId &entry, WaiterId waiter);

const Refusal *refused(const Fleet &fleet, const HostId &entry, WaiterId waiter);

/// @brief Ends the exchange and the request at its entry daemon.
void finish(Fleet &fleet, const HostId &entry, WaiterId waiter, std::int64_t used);

BudgetRecord budgetRecord(const Fleet &fleet);

/// @brief Returns the record of a request, or a default one.
RequestRecord requestRecord(const Fleet &fleet, const std::string &request);

/// @brief Returns the host that is home of the test's budget in the view of @a viewer.
HostId homeHost(const Fleet &fleet, const HostId &viewer);

/// @brief Returns a host of the fleet other than @a host.
HostId otherThan(const Fleet &fleet, const HostId &host);

bool hasLogged(const Fleet &fleet, const std::string &name);

} // namespace tamarack::homefleet
