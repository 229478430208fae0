// The threads of membership: one keeps this daemon's registration in the store alive, one reads
// the registrations of all daemons, one reads the platform's host list.
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
    /// Lifetime of the lease without a keepalive.
    Seconds leaseTtl_ {15};
    Millis renewInterval_ {5000};
    /// Pause after a failed call.
    Millis retryInterval_ {1000};
    /// Longest wait for a change; a watch that went silent is replaced after it.
    Millis watchTimeout_ {5000};
    /// All registrations are read again after this time without a change.
    Millis rereadInterval_ {300'000};
    /// With a value, registrations are polled by stale reads at this interval in place of a watch:
    /// in a large fleet each start would have all daemons read all registrations. Polls begin
    /// faster, because a fleet starts together.
    std::optional<Millis> pollInterval_;
    Millis hostListInterval_ {5000};
};

/// @brief The threads and what they share. The mutex guards all members after it.
struct RegistrationThreads
{
    RegistrationSettings settings_;
    Registration self_;
    StorePort store_;
    /// Empty if the settings name no host list.
    HostListPort hostList_;
    EventPort events_;
    LogPort log_;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool leaving_ = false;
    bool stopping_ = false;
    bool refreshRequested_ = false;
    std::vector<std::thread> threads_;
};

/// @brief One step of the registering thread: grants or keeps the lease and writes the
/// registration.
struct WrittenRegistration
{
    LeaseId lease_;
    Revision revision_;
    bool leavingWritten_ = false;
};

/// @brief Brings the registration in the store up to date.
///
/// A lapsed lease is replaced by a new one; a lost answer is resolved by reading.
/// @return false if the store did not confirm it
bool refreshRegistration(const RegistrationThreads &threads, WrittenRegistration &written,
                         bool leaving);

void startRegistration(RegistrationThreads &threads);

/// @brief Marks the registration as leaving at a planned stop.
void announceLeaving(RegistrationThreads &threads);

/// @brief Has the registrations read again soon.
void requestRefresh(RegistrationThreads &threads);

/// @brief Revokes the lease and joins the threads.
void stopRegistration(RegistrationThreads &threads);

} // namespace tamarack
