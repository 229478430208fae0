// Several control state machines that share one in-memory store and exchange messages over an
// in-memory bus. The bus can drop, duplicate and reorder messages and partition pairs of daemons.
#pragma once

#include "core/core.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack::homefixture {

/// One daemon.
struct Daemon
{
    ControlState state_;
    std::deque<SubmitStoreCall> calls_;
    std::map<WaiterId, Decision> decisions_;
    bool running_ = true;
    bool stopped_ = false;
};

/// A message that was sent but not delivered.
struct InFlightMessage
{
    HostId from_;
    HostId to_;
    PeerMessage message_;
};

/// Returns the number of copies of a message that are delivered; 0 drops it.
using DeliveryRule = std::function<std::size_t(const InFlightMessage &)>;

struct Fleet
{
    std::map<HostId, Daemon> daemons_;
    std::map<StoreKey, VersionedValue> store_;
    std::uint64_t revision_ = 0;
    std::vector<InFlightMessage> bus_;
    DeliveryRule rule_;
    /// Delivers the newest message first.
    bool reorder_ = false;
    /// Pairs of hosts that cannot communicate.
    std::set<std::pair<HostId, HostId>> partitions_;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::uint64_t lastWaiter_ = 0;
    /// Sum of the worst cases of dispatched requests.
    Tokens dispatched_;
    std::size_t messages_ = 0;
    std::vector<std::string> logged_;
};

inline const AccountId account {"acct"};
inline const BudgetId budget {"b"};
inline const ZoneId zone {"z"};

/// @brief Creates daemons h1, h2, ... in one zone that know each other's registrations.
Fleet makeFleet(std::size_t daemons, std::int64_t funded);

/// @brief Delivers the registrations of the daemons in @a hosts to every running daemon.
void publishRegistrations(Fleet &fleet, const std::vector<HostId> &hosts);

/// @brief Advances the time by @a span and delivers store replies and messages meanwhile.
void run(Fleet &fleet, Millis span);

/// @brief Ends a daemon without a graceful shutdown.
void kill(Fleet &fleet, const HostId &host);

void stop(Fleet &fleet, const HostId &host);

WaiterId admit(Fleet &fleet, const HostId &entry, std::int64_t worstCase,
               const std::string &request, Millis deadline = Seconds {10});

const Dispatch *dispatched(const Fleet &fleet, const HostId &entry, WaiterId waiter);

const Refusal *refused(const Fleet &fleet, const HostId &entry, WaiterId waiter);

/// @brief Completes the exchange and the request at its entry daemon.
void finish(Fleet &fleet, const HostId &entry, WaiterId waiter, std::int64_t used);

BudgetRecord budgetRecord(const Fleet &fleet);

/// @brief Returns the record of a request, or a default record if there is none.
RequestRecord requestRecord(const Fleet &fleet, const std::string &request);

/// @brief Returns the home host of the test's budget as @a viewer computes it.
HostId homeHost(const Fleet &fleet, const HostId &viewer);

/// @brief Returns a host of the fleet other than @a host.
HostId otherThan(const Fleet &fleet, const HostId &host);

bool hasLogged(const Fleet &fleet, const std::string &name);

} // namespace tamarack::homefixture
