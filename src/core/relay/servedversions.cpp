// The record of the software versions at which streams have begun lately.
#include "core/relay/servedversions.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Call ids of the ledger count from 1, so these never meet them.
constexpr std::uint64_t firstCallId = std::uint64_t {1} << 62U;

/// Returns the versions of the record that may be removed.
std::set<ServedVersion> removable(const ServedVersions &versions,
                                  const ServedVersionSettings &settings, MonoTime now)
{
    std::set<ServedVersion> result;
    for (const ServedVersion &version : versions.copy_->record_.versions_) {
        const auto seen = versions.seenAt_.find(version);
        if (seen != versions.seenAt_.end() && now - seen->second > settings.retention_)
            result.insert(version);
    }
    return result;
}

/// Returns what the record should contain, or nothing if it needs no write.
std::optional<VersionRecord> wantedRecord(const ServedVersions &versions,
                                          const ServedVersionSettings &settings, bool followsStore,
                                          MonoTime now)
{
    VersionRecord wanted = versions.copy_->record_;
    bool changed = false;
    for (const auto &[version, since] : versions.unconfirmedSince_) {
        const bool due = followsStore || now >= since + settings.peerWait_;
        if (!due || isConfirmed(versions, version))
            continue;
        wanted.versions_.insert(version);
        changed = true;
    }
    if (!followsStore)
        return changed ? std::optional(std::move(wanted)) : std::nullopt;
    for (const ServedVersion &version : removable(versions, settings, now))
        changed = wanted.versions_.erase(version) > 0 || changed;
    return changed ? std::optional(std::move(wanted)) : std::nullopt;
}

/// Returns when a copy is to be read, if it is.
std::optional<MonoTime> nextRead(const ServedVersions &versions,
                                 const ServedVersionSettings &settings)
{
    if (!versions.copy_)
        return versions.services_.empty() ? std::nullopt : std::optional(versions.nextCallAt_);
    if (!versions.readWantedAt_ || versions.copy_->readAt_ >= *versions.readWantedAt_)
        return std::nullopt;
    return std::max(versions.nextCallAt_, versions.copy_->readAt_ + settings.readInterval_);
}

void forgetConfirmed(ServedVersions &versions)
{
    std::erase_if(versions.unconfirmedSince_,
                  [&](const auto &entry) { return isConfirmed(versions, entry.first); });
}

void takeCopy(ServedVersions &versions, const VersionedValue &value, MonoTime readAt)
{
    VersionRecordCopy copy;
    if (value.value_) {
        if (const auto *record = std::get_if<VersionRecord>(&*value.value_))
            copy.record_ = *record;
    }
    copy.revision_ = value.revision_;
    copy.readAt_ = readAt;
    versions.copy_ = std::move(copy);
}

} // namespace

void noteServed(ServedVersions &versions, const ServedVersionSettings &settings,
                const std::set<ServedVersion> &served, MonoTime now)
{
    std::erase_if(versions.unconfirmedSince_,
                  [&](const auto &entry) { return !served.contains(entry.first); });
    for (const ServedVersion &version : served) {
        const auto seen = versions.seenAt_.find(version);
        const bool isBack
            = seen != versions.seenAt_.end() && now - seen->second > settings.retention_ / 2;
        if (isBack) {
            versions.renewals_.insert(version);
            versions.confirmedByPeers_.erase(version);
        }
        versions.seenAt_[version] = now;
        if (!isConfirmed(versions, version))
            versions.unconfirmedSince_.emplace(version, now);
    }
}

bool isConfirmed(const ServedVersions &versions, const ServedVersion &version)
{
    const bool isRecorded = versions.copy_ && versions.copy_->record_.versions_.contains(version)
        && !versions.renewals_.contains(version);
    return isRecorded || versions.confirmedByPeers_.contains(version);
}

std::set<SoftwareVersion> confirmedVersions(const ServedVersions &versions,
                                            const ServiceId &service)
{
    std::set<SoftwareVersion> confirmed;
    for (const auto &[version, seenAt] : versions.seenAt_) {
        if (version.service_ == service && isConfirmed(versions, version))
            confirmed.insert(version.version_);
    }
    return confirmed;
}

ConfirmedVersions versionsToConfirm(const ServedVersions &versions)
{
    ConfirmedVersions confirmed {versions.era_, {}};
    if (!versions.copy_)
        return confirmed;
    // Only what the store itself has confirmed, so that no word goes round among daemons.
    for (const ServedVersion &version : versions.copy_->record_.versions_) {
        if (versions.seenAt_.contains(version) && !versions.renewals_.contains(version))
            confirmed.versions_.push_back(version);
    }
    return confirmed;
}

bool noteConfirmedByPeer(ServedVersions &versions, const ConfirmedVersions &confirmed)
{
    if (confirmed.era_ != versions.era_)
        return false;
    bool isNew = false;
    for (const ServedVersion &version : confirmed.versions_) {
        // A peer that has not noticed that a version was away may still rely on the old record.
        if (isConfirmed(versions, version) || versions.renewals_.contains(version))
            continue;
        versions.confirmedByPeers_.insert(version);
        isNew = true;
    }
    forgetConfirmed(versions);
    return isNew;
}

bool hasSeveralVersions(const ServedVersions &versions, const ServedVersionSettings &settings,
                        const ServiceId &service, MonoTime now)
{
    return std::count_if(versions.seenAt_.begin(), versions.seenAt_.end(),
                         [&](const auto &entry) {
                             return entry.first.service_ == service
                                 && now - entry.second <= settings.retention_;
                         })
        > 1;
}

void requestRead(ServedVersions &versions, MonoTime since)
{
    versions.readWantedAt_ = std::max(versions.readWantedAt_.value_or(since), since);
}

std::optional<std::set<SoftwareVersion>> possibleOrigins(const ServedVersions &versions,
                                                         const ServedVersionSettings &settings,
                                                         const ServiceId &service, MonoTime before,
                                                         MonoTime now)
{
    if (!versions.copy_ || versions.copy_->readAt_ < before)
        return std::nullopt;
    std::set<SoftwareVersion> possible;
    for (const ServedVersion &version : versions.copy_->record_.versions_) {
        if (version.service_ == service)
            possible.insert(version.version_);
    }
    // The store may have returned from a copy that lacks some.
    for (const auto &[version, seenAt] : versions.seenAt_) {
        if (version.service_ == service && now - seenAt <= settings.retention_)
            possible.insert(version.version_);
    }
    return possible;
}

std::optional<SubmitStoreCall> startVersionCall(ServedVersions &versions,
                                                const ServedVersionSettings &settings,
                                                bool followsStore, MonoTime now)
{
    if (versions.call_ || now < versions.nextCallAt_)
        return std::nullopt;
    const CallId id {firstCallId + versions.lastCall_ + 1};
    const std::optional<MonoTime> read = nextRead(versions, settings);
    if (read && *read <= now) {
        ++versions.lastCall_;
        versions.call_ = VersionCall {id, now, std::nullopt};
        return SubmitStoreCall {id, ReadCall {settings.key_, StoredKind::VersionRecord}};
    }
    if (!versions.copy_)
        return std::nullopt;
    std::optional<VersionRecord> wanted = wantedRecord(versions, settings, followsStore, now);
    if (!wanted)
        return std::nullopt;
    ++versions.lastCall_;
    versions.call_ = VersionCall {id, now, wanted};
    return SubmitStoreCall {
        id, CompareAndSwapCall {settings.key_, versions.copy_->revision_, std::move(*wanted), {}}};
}

bool finishVersionCall(ServedVersions &versions, const ServedVersionSettings &settings,
                       const StoreReply &reply, MonoTime now)
{
    if (!versions.call_ || versions.call_->id_ != reply.call_)
        return false;
    const VersionCall call = *std::exchange(versions.call_, std::nullopt);
    noteVersionEra(versions, reply.era_);
    const bool isOutdated = reply.era_ < versions.era_;
    const bool failed = reply.status_ == StoreStatus::Unavailable
        || reply.status_ == StoreStatus::Unknown || isOutdated;
    if (failed) {
        // A write without a reply may have taken effect.
        if (call.written_)
            versions.copy_.reset();
        versions.nextCallAt_ = now + versions.backoff_;
        versions.backoff_ = std::min(versions.backoff_ * 2, settings.maxRetryDelay_);
        return true;
    }
    versions.backoff_ = settings.retryDelay_;
    if (call.written_ && reply.status_ == StoreStatus::Ok) {
        for (const ServedVersion &version : call.written_->versions_)
            versions.renewals_.erase(version);
        takeCopy(versions, VersionedValue {reply.current_.revision_, *call.written_},
                 call.startedAt_);
        // Nothing is known of a version that was removed until an instance of it is seen.
        std::erase_if(versions.seenAt_, [&](const auto &entry) {
            return !call.written_->versions_.contains(entry.first)
                && now - entry.second > settings.retention_;
        });
    } else {
        takeCopy(versions, reply.current_, call.startedAt_);
        // They count from now on: this daemon has not seen when their instances left.
        for (const ServedVersion &version : versions.copy_->record_.versions_)
            versions.seenAt_.try_emplace(version, now);
    }
    forgetConfirmed(versions);
    return true;
}

std::optional<MonoTime> nextVersionCall(const ServedVersions &versions,
                                        const ServedVersionSettings &settings, bool followsStore)
{
    if (versions.call_)
        return std::nullopt;
    std::optional<MonoTime> next = nextRead(versions, settings);
    const auto takeEarlier = [&next](MonoTime time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!versions.copy_)
        return next;
    for (const auto &[version, since] : versions.unconfirmedSince_)
        takeEarlier(
            std::max(followsStore ? since : since + settings.peerWait_, versions.nextCallAt_));
    if (!followsStore)
        return next;
    for (const ServedVersion &version : versions.copy_->record_.versions_) {
        const auto seen = versions.seenAt_.find(version);
        if (seen != versions.seenAt_.end())
            takeEarlier(
                std::max(seen->second + settings.retention_ + Millis {1}, versions.nextCallAt_));
    }
    return next;
}

void noteVersionEra(ServedVersions &versions, StoreEra era)
{
    if (era <= versions.era_)
        return;
    const bool isFirst = versions.era_ == StoreEra {};
    versions.era_ = era;
    if (isFirst)
        return;
    versions.copy_.reset();
    versions.confirmedByPeers_.clear();
}

void distrustConfirmations(ServedVersions &versions)
{
    versions.copy_.reset();
    versions.confirmedByPeers_.clear();
    // A removal that another daemon has in progress must fail, so a read does not suffice.
    for (const auto &[version, seenAt] : versions.seenAt_)
        versions.renewals_.insert(version);
}

} // namespace tamarack
