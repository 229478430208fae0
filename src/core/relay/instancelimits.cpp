// Request limits of instances: who coordinates them, and the permits that a coordinator grants.
#include "core/relay/instancelimits.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

using FractionalSeconds = std::chrono::duration<double>;

/// Returns true if no other daemon grants at the full rate for the instance: this one is first in
/// rank among all members, and was already before daemons may have disagreed about the fleet.
bool mayGrantAtFullRate(const InstanceLimits &limits, const RequestLimitSettings &settings,
                        const InstanceProcess &process, const ZoneId &zone, MonoTime now)
{
    if (!limits.isComplete_ || !limits.startedAt_
        || now < *limits.startedAt_ + settings.fullRateAfter_)
        return false;
    std::vector<PeerAddress> candidates = limits.daemons_;
    for (const auto &[daemon, since] : limits.departed_) {
        if (now < since + settings.fullRateAfter_)
            candidates.push_back(daemon);
    }
    sortForInstance(candidates, process.instance_, zone, 1);
    return candidates.front().host_ == limits.self_;
}

/// Returns the daemon to ask, or nothing if none of the first in rank replies.
std::optional<PeerAddress> chooseCoordinator(const InstanceLimits &limits,
                                             const RequestLimitSettings &settings,
                                             const InstanceProcess &process, const ZoneId &zone,
                                             MonoTime now)
{
    std::vector<PeerAddress> candidates = limits.daemons_;
    sortForInstance(candidates, process.instance_, zone, settings.coordinators_);
    for (PeerAddress &candidate : candidates) {
        if (!isExcluded(limits.unresponsive_, candidate.host_, now))
            return std::move(candidate);
    }
    return std::nullopt;
}

/// Takes a permit from a bucket that is filled at @a perSecond.
/// @return nothing if a permit is available, otherwise when to come back
std::optional<Millis> takePermit(PermitBucket &bucket, const RequestLimitSettings &settings,
                                 double perSecond, MonoTime now)
{
    const double rate = std::max(perSecond, settings.minRate_);
    const double capacity = 1.0 + rate * FractionalSeconds {settings.burst_}.count();
    return takePermit(bucket.tokens_, {rate, capacity}, settings.maxRetryAfter_, now);
}

PermitBucket &bucketFor(InstanceLimits &limits, const RequestLimitSettings &settings,
                        const InstanceProcess &process, const ZoneId &zone, MonoTime now)
{
    const auto [bucket, added] = limits.buckets_.try_emplace(process);
    if (added) {
        bucket->second.tokens_.refilledAt_ = now;
        bucket->second.tokens_.available_
            = mayGrantAtFullRate(limits, settings, process, zone, now) ? 1.0 : 0.0;
    }
    return bucket->second;
}

void updateStatement(PermitBucket &bucket, const StatedLimit &statement)
{
    if (statement.statedAt_ >= bucket.limit_.statedAt_)
        bucket.limit_ = statement;
}

void recordLimitEnd(InstanceLimits &limits, const InstanceProcess &process, MonoTime at)
{
    const auto bucket = limits.buckets_.find(process);
    if (bucket != limits.buckets_.end())
        bucket->second.endedAt_ = std::max(bucket->second.endedAt_.value_or(at), at);
}

/// Decides about a permit that one daemon requests, with what it knows of the limit.
std::pair<PermitResult, Millis> decide(InstanceLimits &limits, const RequestLimitSettings &settings,
                                       const InstanceProcess &process, const ZoneId &zone,
                                       const StatedLimit &statement, double share, MonoTime now)
{
    PermitBucket &bucket = bucketFor(limits, settings, process, zone, now);
    if (bucket.endedAt_ && *bucket.endedAt_ > statement.statedAt_)
        return {PermitResult::LimitEnded, Millis {}};
    updateStatement(bucket, statement);
    const std::optional<Millis> wait
        = takePermit(bucket, settings, bucket.limit_.perSecond_ * share, now);
    if (!wait)
        return {PermitResult::Granted, Millis {}};
    return {PermitResult::Denied, *wait};
}

/// Returns the fraction of a limit that each daemon takes if no coordinator can be found; 0 if
/// nothing is known of the fleet.
double equalShare(const InstanceLimits &limits)
{
    const auto known
        = std::max(limits.fleetSize_, static_cast<std::uint32_t>(limits.daemons_.size()));
    const bool isUnknown = !limits.startedAt_ && known <= 1;
    return isUnknown ? 0.0 : 1.0 / std::max(known, 1U);
}

double coordinatorShare(const InstanceLimits &limits, const RequestLimitSettings &settings,
                        const InstanceProcess &process, const ZoneId &zone, MonoTime now)
{
    if (mayGrantAtFullRate(limits, settings, process, zone, now))
        return 1.0;
    const bool isInContact = limits.listedAt_ && now <= *limits.listedAt_ + settings.contactGrace_;
    const bool knowsAll = limits.daemons_.size() >= limits.fleetSize_;
    if (limits.isComplete_ || (isInContact && knowsAll))
        return settings.partialShare_;
    return std::min(settings.partialShare_, equalShare(limits));
}

} // namespace

void recordDenial(InstanceLimits &limits, const InstanceProcess &process, MonoTime until)
{
    MonoTime &denied = limits.deniedUntil_[process];
    denied = std::max(denied, until);
}

std::string_view permitResultCode(PermitResult result)
{
    switch (result) {
    case PermitResult::Granted:
        return "granted";
    case PermitResult::Denied:
        return "denied";
    case PermitResult::Unavailable:
        return "unavailable";
    case PermitResult::LimitEnded:
        break;
    }
    return "limit_ended";
}

void updateLimitPeers(InstanceLimits &limits, const RequestLimitSettings &settings,
                      FleetPeers fleet, MonoTime now)
{
    limits.self_ = fleet.self_.host_;
    limits.daemons_ = std::move(fleet.peers_);
    limits.daemons_.push_back(std::move(fleet.self_));
    limits.departed_ = std::move(fleet.departed_);
    limits.isComplete_ = fleet.isComplete_;
    limits.listedAt_ = fleet.listedAt_;
    if (!limits.startedAt_)
        limits.startedAt_ = now;
    std::erase_if(limits.unresponsive_, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(limits.deniedUntil_, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(limits.stated_, [&](const auto &entry) {
        return now >= entry.second.statedAt_ + settings.lifetime_;
    });
    std::erase_if(limits.buckets_, [&](const auto &entry) {
        return now >= entry.second.tokens_.refilledAt_ + settings.lifetime_;
    });
}

bool recordStatedLimit(InstanceLimits &limits, const RequestLimitSettings &settings,
                       const InstanceProcess &process, std::optional<double> perSecond,
                       MonoTime now)
{
    if (perSecond) {
        const StatedLimit statement {*perSecond, now};
        limits.stated_[process] = statement;
        const auto bucket = limits.buckets_.find(process);
        if (bucket != limits.buckets_.end())
            updateStatement(bucket->second, statement);
        return false;
    }
    const auto stated = limits.stated_.find(process);
    if (stated == limits.stated_.end() || now < stated->second.statedAt_ + settings.endTolerance_)
        return false;
    limits.stated_.erase(stated);
    limits.deniedUntil_.erase(process);
    recordLimitEnd(limits, process, now);
    return true;
}

bool needsPermit(const InstanceLimits &limits, const InstanceProcess &process)
{
    return limits.stated_.contains(process);
}

std::optional<MonoTime> deniedUntil(const InstanceLimits &limits, const InstanceProcess &process,
                                    MonoTime now)
{
    const auto denied = limits.deniedUntil_.find(process);
    if (denied == limits.deniedUntil_.end() || denied->second <= now)
        return std::nullopt;
    return denied->second;
}

PermitAnswer askForPermit(InstanceLimits &limits, const RequestLimitSettings &settings,
                          const InstanceProcess &process, const ZoneId &zone, MonoTime now)
{
    PermitAnswer answer;
    const StatedLimit statement = limits.stated_.at(process);
    const std::optional<PeerAddress> coordinator
        = chooseCoordinator(limits, settings, process, zone, now);
    if (coordinator && coordinator->host_ != limits.self_) {
        answer.coordinator_ = *coordinator;
        answer.request_
            = PermitRequest {limits.address_, process, ++limits.lastNumber_, statement.perSecond_,
                             std::chrono::duration_cast<Millis>(now - statement.statedAt_)};
        return answer;
    }
    const double share
        = coordinator ? coordinatorShare(limits, settings, process, zone, now) : equalShare(limits);
    const auto [result, wait] = decide(limits, settings, process, zone, statement, share, now);
    answer.coordinator_.host_ = limits.self_;
    answer.result_ = result;
    if (result == PermitResult::Denied)
        recordDenial(limits, process, now + wait);
    else if (result == PermitResult::LimitEnded)
        limits.stated_.erase(process);
    return answer;
}

std::optional<PermitAnswer> reportLimitEnded(InstanceLimits &limits,
                                             const RequestLimitSettings &settings,
                                             const InstanceProcess &process, const ZoneId &zone,
                                             MonoTime now)
{
    const std::optional<PeerAddress> coordinator
        = chooseCoordinator(limits, settings, process, zone, now);
    if (!coordinator || coordinator->host_ == limits.self_)
        return std::nullopt;
    return PermitAnswer {
        std::nullopt, *coordinator,
        PermitRequest {limits.address_, process, ++limits.lastNumber_, std::nullopt, Millis {}}};
}

std::optional<PermitReply> handlePermitRequest(InstanceLimits &limits,
                                               const RequestLimitSettings &settings,
                                               const PermitRequest &request, const ZoneId &zone,
                                               MonoTime now)
{
    const MonoTime statedAt = now - std::max(request.statedAge_, Millis {});
    if (!request.limit_) {
        const auto stated = limits.stated_.find(request.process_);
        if (stated != limits.stated_.end()
            && stated->second.statedAt_ + settings.endTolerance_ < statedAt)
            limits.stated_.erase(stated);
        bucketFor(limits, settings, request.process_, zone, now);
        recordLimitEnd(limits, request.process_, statedAt);
        return std::nullopt;
    }
    PermitReply reply {request.process_, request.number_, PermitResult::Unavailable, Millis {}};
    if (limits.stopping_)
        return reply;
    const double share = coordinatorShare(limits, settings, request.process_, zone, now);
    const StatedLimit statement {std::max(*request.limit_, 0.0), statedAt};
    std::tie(reply.result_, reply.retryAfter_)
        = decide(limits, settings, request.process_, zone, statement, share, now);
    return reply;
}

void handlePermitReply(InstanceLimits &limits, const RequestLimitSettings &settings,
                       const PermitReply &reply, const HostId &coordinator, MonoTime askedAt,
                       MonoTime now)
{
    switch (reply.result_) {
    case PermitResult::Granted:
        break;
    case PermitResult::Denied:
        recordDenial(limits, reply.process_,
                     now + std::clamp(reply.retryAfter_, Millis {1}, settings.maxRetryAfter_));
        break;
    case PermitResult::Unavailable:
        limits.unresponsive_[coordinator] = now + settings.unresponsiveExclusion_;
        break;
    case PermitResult::LimitEnded: {
        const auto stated = limits.stated_.find(reply.process_);
        // A newer statement is not affected.
        if (stated != limits.stated_.end() && stated->second.statedAt_ <= askedAt)
            limits.stated_.erase(stated);
        break;
    }
    }
}

void recordMissingPermitReply(InstanceLimits &limits, const RequestLimitSettings &settings,
                              const InstanceProcess &process, const HostId &coordinator,
                              MonoTime now)
{
    limits.unresponsive_[coordinator] = now + settings.unresponsiveExclusion_;
    recordDenial(limits, process, now + settings.replyTimeout_);
}

} // namespace tamarack
