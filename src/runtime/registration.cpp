// Maintains the registration of this daemon and reads those of other daemons.
#include "runtime/registration.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

StoreKey membersPrefix(const RegistrationThreads &threads)
{
    return StoreKey {threads.settings_.storePrefix_ + "/members/"};
}

StoreKey ownKey(const RegistrationThreads &threads)
{
    return StoreKey {membersPrefix(threads).value_ + threads.self_.holder_.value_};
}

void logRegistration(const RegistrationThreads &threads, LogLevel level, std::string name)
{
    threads.log_.write_(
        LogEvent {level, std::move(name), {{"holder", threads.self_.holder_.value_}}});
}

bool writeRegistration(const RegistrationThreads &threads, WrittenRegistration &written,
                       bool leaving)
{
    Registration value = threads.self_;
    value.leaving_ = leaving;
    const CompareAndSwapCall swap {ownKey(threads), written.revision_, StoredValue {value},
                                   written.lease_};
    const StoreReply reply = threads.store_.call_(StoreCall {swap});
    // Only this daemon writes the key, so a conflict is caused by its own unconfirmed write or by
    // an expired lease.
    if (reply.status_ == StoreStatus::Ok || reply.status_ == StoreStatus::Conflict)
        written.revision_ = reply.current_.revision_;
    if (reply.status_ != StoreStatus::Ok)
        return false;
    written.leavingWritten_ = leaving;
    return true;
}

/// Waits until @a limit passes, @a flag differs from @a lastValue or the threads must stop. @a flag
/// is guarded by the mutex. With threads.stopping_ and false, this is a sleep that ends when the
/// threads must stop.
/// @return false if the threads must stop
bool waitForFlagChange(RegistrationThreads &threads, Millis limit, const bool &flag, bool lastValue)
{
    std::unique_lock lock(threads.mutex_);
    threads.changed_.wait_for(lock, limit, [&] { return threads.stopping_ || flag != lastValue; });
    return !threads.stopping_;
}

/// Waits for the next call: for @a limit while the store is available, otherwise until it returns.
/// Ends early if @a flag differs from @a lastValue.
/// @return false if the threads must stop
bool waitForNextCall(RegistrationThreads &threads, Millis limit, const bool &flag, bool lastValue)
{
    const auto ended = [&] {
        return threads.stopping_ || flag != lastValue;
    };
    std::unique_lock lock(threads.mutex_);
    threads.changed_.wait_for(lock, limit, ended);
    if (!ended() && !threads.storeContact_)
        threads.changed_.wait_for(lock, threads.settings_.unavailableInterval_,
                                  [&] { return ended() || threads.storeContact_; });
    return !threads.stopping_;
}

StoreEra currentEra(const RegistrationThreads &threads)
{
    return threads.store_.era_ ? threads.store_.era_() : StoreEra {};
}

bool isLeaving(RegistrationThreads &threads)
{
    const std::lock_guard lock(threads.mutex_);
    return threads.leaving_;
}

void maintainRegistration(RegistrationThreads &threads)
{
    WrittenRegistration written;
    bool registered = false;
    bool leaving = false;
    do {
        leaving = isLeaving(threads);
        const bool confirmed = refreshRegistration(threads, written, leaving);
        if (confirmed != registered)
            logRegistration(threads, confirmed ? LogLevel::Info : LogLevel::Warning,
                            confirmed ? "registration.confirmed" : "registration.unconfirmed");
        registered = confirmed;
    } while (waitForNextCall(
        threads, registered ? threads.settings_.renewInterval_ : threads.settings_.retryInterval_,
        threads.leaving_, leaving));
    if (written.lease_ != LeaseId {})
        threads.store_.revokeLease_(written.lease_);
}

/// Reads all registrations and posts them.
/// @return the revision of the read, or nothing if the store is unavailable
std::optional<Revision> readMembers(RegistrationThreads &threads, bool stale)
{
    const auto &read = stale ? threads.store_.readPrefixStale_ : threads.store_.readPrefix_;
    const PrefixReply reply = read(membersPrefix(threads), StoredKind::Registration);
    if (reply.status_ != StoreStatus::Ok)
        return std::nullopt;
    RegistrationsLoaded seen;
    seen.era_ = currentEra(threads);
    for (const StoredEntry &entry : reply.entries_)
        seen.members_.push_back(
            RegisteredMember {std::get<Registration>(entry.value_), entry.created_});
    threads.events_.post_(std::move(seen));
    return reply.revision_;
}

bool consumeRefreshRequest(RegistrationThreads &threads)
{
    const std::lock_guard lock(threads.mutex_);
    return std::exchange(threads.refreshRequested_, false);
}

bool isStopping(RegistrationThreads &threads)
{
    const std::lock_guard lock(threads.mutex_);
    return threads.stopping_;
}

/// Waits for a change of the registrations. Adds a delay if the watch fails early, so that the
/// thread doesn't spin.
/// @return false if no change was seen
bool awaitChange(RegistrationThreads &threads, Revision seen)
{
    const Millis limit = threads.settings_.watchTimeout_;
    const MonoTime start = std::chrono::steady_clock::now();
    if (threads.store_.waitForPrefixChange_(membersPrefix(threads), seen, limit))
        return true;
    if (std::chrono::steady_clock::now() - start < limit / 2)
        waitForFlagChange(threads, threads.settings_.retryInterval_, threads.stopping_, false);
    return false;
}

void watchMembers(RegistrationThreads &threads)
{
    std::optional<Revision> seen;
    MonoTime readAt {};
    while (!isStopping(threads)) {
        const MonoTime now = std::chrono::steady_clock::now();
        const bool rereadNeeded = now - readAt >= threads.settings_.rereadInterval_;
        if (!seen || consumeRefreshRequest(threads) || rereadNeeded) {
            seen = readMembers(threads, false);
            readAt = now;
        }
        if (seen && awaitChange(threads, *seen))
            seen.reset();
        else if (!seen)
            waitForFlagChange(threads, threads.settings_.retryInterval_, threads.stopping_, false);
    }
}

void pollMembers(RegistrationThreads &threads)
{
    // Doubled before each wait, so the first wait is at most 1 s.
    constexpr Millis initialInterval {500};
    Millis interval = initialInterval;
    do {
        readMembers(threads, true);
        interval = std::min(interval * 2, *threads.settings_.pollInterval_);
    } while (waitForNextCall(threads, interval, threads.stopping_, false));
}

void watchHostList(RegistrationThreads &threads)
{
    do {
        std::optional<std::vector<ListedHost>> hosts = threads.hostList_.read_();
        if (hosts)
            threads.events_.post_(HostListLoaded {std::move(*hosts)});
    } while (
        waitForFlagChange(threads, threads.settings_.hostListInterval_, threads.stopping_, false));
}

} // namespace

bool refreshRegistration(const RegistrationThreads &threads, WrittenRegistration &written,
                         bool leaving)
{
    if (written.lease_ != LeaseId {}) {
        const LeaseRenewal renewal = threads.store_.renewLease_(written.lease_);
        if (renewal == LeaseRenewal::Unconfirmed)
            return false;
        if (renewal == LeaseRenewal::Ended || currentEra(threads) > written.era_)
            written.lease_ = LeaseId {};
    }
    if (written.lease_ == LeaseId {}) {
        written.lease_ = threads.store_.grantLease_(threads.settings_.leaseTtl_);
        if (written.lease_ == LeaseId {})
            return false;
        written.era_ = currentEra(threads);
        return writeRegistration(threads, written, leaving)
            || writeRegistration(threads, written, leaving);
    }
    if (written.revision_ != Revision {} && written.leavingWritten_ == leaving)
        return true;
    return writeRegistration(threads, written, leaving)
        || writeRegistration(threads, written, leaving);
}

void startRegistration(RegistrationThreads &threads)
{
    threads.threads_.emplace_back(maintainRegistration, std::ref(threads));
    const bool polls = threads.settings_.pollInterval_ && threads.store_.readPrefixStale_;
    threads.threads_.emplace_back(polls ? pollMembers : watchMembers, std::ref(threads));
    if (threads.hostList_.read_)
        threads.threads_.emplace_back(watchHostList, std::ref(threads));
}

void announceLeaving(RegistrationThreads &threads)
{
    {
        const std::lock_guard lock(threads.mutex_);
        threads.leaving_ = true;
    }
    threads.changed_.notify_all();
}

void setStoreContact(RegistrationThreads &threads, bool contact)
{
    {
        const std::lock_guard lock(threads.mutex_);
        threads.storeContact_ = contact;
    }
    threads.changed_.notify_all();
}

void requestRefresh(RegistrationThreads &threads)
{
    const std::lock_guard lock(threads.mutex_);
    threads.refreshRequested_ = true;
}

void stopRegistration(RegistrationThreads &threads)
{
    {
        const std::lock_guard lock(threads.mutex_);
        threads.stopping_ = true;
    }
    threads.changed_.notify_all();
    for (std::thread &thread : threads.threads_)
        thread.join();
    threads.threads_.clear();
}

} // namespace tamarack
