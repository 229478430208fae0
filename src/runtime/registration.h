// The membership threads: one maintains this daemon's registration in the store, one reads the
// registrations of all daemons, one reads the platform's host list.
#pragma once

#include "ports/ports.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace tamarack {

struct RegistrationSettings
{
    std::string storePrefix_;
    /// Lifetime of the lease without a renewal.
    Seconds leaseTtl_ {15};
    Millis renewInterval_ {5000};
    /// Delay after a failed call.
    Millis retryInterval_ {1000};
    /// Timeout of a watch, because a watch can stop without an error.
    Millis watchTimeout_ {5000};
    /// Interval after which all registrations are read again even without a change.
    Millis rereadInterval_ {300'000};
    /// If set, registrations are polled by stale reads at this interval instead of being watched.
    /// In a large fleet, a watch would make all daemons read all registrations whenever a daemon
    /// starts. The first polls follow at shorter intervals because the daemons of a fleet start
    /// together.
    std::optional<Millis> pollInterval_;
    Millis hostListInterval_ {5000};
    /// Interval of the calls while the store is believed to be unavailable.
    Millis unavailableInterval_ {10'000};
};

/// @brief The threads and their shared data. The mutex guards all members after it.
struct RegistrationThreads
{
    RegistrationSettings settings_;
    Registration self_;
    StorePort store_;
    /// Empty if the settings contain no address of a host list.
    HostListPort hostList_;
    EventPort events_;
    LogPort log_;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool leaving_ = false;
    bool stopping_ = false;
    bool refreshRequested_ = false;
    bool storeContact_ = true;
    std::vector<std::thread> threads_;
};

/// @brief The registration as last written to the store, and its lease.
struct WrittenRegistration
{
    LeaseId lease_;
    Revision revision_;
    bool leavingWritten_ = false;
    /// Era of the store that granted the lease. Ids of leases are assigned again when the store
    /// returns from a copy, so the same id may belong to another daemon then.
    StoreEra era_;
};

/// @brief Renews the lease and writes the registration if it has changed.
///
/// A lease that has ended is replaced by a new one. After a lost reply, a conflict of the next
/// write returns the stored revision and the write is repeated.
/// @return false if the store didn't confirm it
bool refreshRegistration(const RegistrationThreads &threads, WrittenRegistration &written,
                         bool leaving);

/// @brief Starts the threads.
void startRegistration(RegistrationThreads &threads);

/// @brief Marks the registration as leaving. Called at the start of a graceful shutdown.
void announceLeaving(RegistrationThreads &threads);

/// @brief Reports whether the store is available. While it isn't, the threads call it rarely; they
/// call it at once when it returns.
void setStoreContact(RegistrationThreads &threads, bool contact);

/// @brief Makes the reading thread read all registrations again after its current watch.
void requestRefresh(RegistrationThreads &threads);

/// @brief Revokes the lease and joins the threads.
void stopRegistration(RegistrationThreads &threads);

} // namespace tamarack
