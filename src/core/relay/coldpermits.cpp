// Permits for cold instances.
#include "core/relay/coldpermits.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

using FractionalSeconds = std::chrono::duration<double>;

enum class GrantRole {
    None,
    Partial,
    Full,
};

/// Returns the allowance of which at most @a permits are granted within @a time. The number of
/// permits is whole, so that the fraction that is left may be used as well.
PermitAllowance allowanceFor(double permits, double burst, Millis time)
{
    /// Less than the whole permit, because of rounding in the bucket.
    constexpr double fraction = 0.95;
    return {(permits + fraction - burst) / FractionalSeconds {time}.count(), burst};
}

bool isFirst(const std::vector<PeerAddress> &ranked, const HostId &host)
{
    return !ranked.empty() && ranked.front().host_ == host;
}

/// Returns whether this daemon is first in rank, also among those that have left the fleet lately
/// and may not know it.
bool isFirstOfAll(const InstanceLimits &limits, const RequestLimitSettings &settings,
                  const ColdTarget &target, MonoTime now)
{
    std::vector<PeerAddress> candidates = limits.daemons_;
    for (const auto &[daemon, since] : limits.departed_) {
        if (now < since + settings.fullRateAfter_)
            candidates.push_back(daemon);
    }
    sortForInstance(candidates, target.process_.instance_, target.zone_, 1);
    return isFirst(candidates, limits.self_);
}

/// Returns what this daemon may grant for an instance.
GrantRole roleFor(const ColdPermits &permits, const InstanceLimits &limits,
                  const ColdPermitSettings &settings, const RequestLimitSettings &limitSettings,
                  const ColdTarget &target, MonoTime now)
{
    if (limits.stopping_ || !limits.startedAt_ || now < *limits.startedAt_ + settings.startDelay_)
        return GrantRole::None;
    // Such a daemon is missing in what the others know, so its rank is not known to them.
    if (limits.address_.empty() && limits.fleetSize_ > 1)
        return GrantRole::None;
    std::vector<PeerAddress> ranked = limits.daemons_;
    sortForInstance(ranked, target.process_.instance_, target.zone_, settings.coordinators_);
    const bool known = std::any_of(ranked.begin(), ranked.end(), [&](const PeerAddress &daemon) {
        return daemon.host_ == limits.self_;
    });
    const bool inContact
        = permits.contactAt_ && now <= *permits.contactAt_ + settings.contactGrace_;
    const bool first = isFirst(ranked, limits.self_);
    // Daemons that lost contact at different times know different fleets, and each of these has a
    // first and a second in rank.
    if (!known || (!first && !inContact))
        return GrantRole::None;
    // It may have been started while the store listed few daemons.
    if (!limits.isComplete_ && !inContact)
        return GrantRole::None;
    const auto isLongAgo = [&](const std::optional<MonoTime> &event) {
        return !event || now >= *event + limitSettings.fullRateAfter_;
    };
    const bool isSure = inContact && limits.isComplete_ && isLongAgo(limits.startedAt_)
        && isLongAgo(permits.resumedAt_);
    return first && isSure && isFirstOfAll(limits, limitSettings, target, now) ? GrantRole::Full
                                                                               : GrantRole::Partial;
}

/// Decides about a permit that a daemon requests.
/// @param statedLimit the limit that the instance states in its responses, if it states one
std::pair<PermitResult, Millis> decide(ColdPermits &permits, const InstanceLimits &limits,
                                       const ColdPermitSettings &settings,
                                       const RequestLimitSettings &limitSettings,
                                       const ColdTarget &target, std::optional<double> statedLimit,
                                       MonoTime now)
{
    const GrantRole role = roleFor(permits, limits, settings, limitSettings, target, now);
    const ColdBudget budget = coldBudget(settings, target.perSecond_);
    std::optional<PermitAllowance> allowance;
    if (role == GrantRole::Full)
        allowance = budget.full_;
    else if (role == GrantRole::Partial)
        allowance = budget.partial_;
    if (!allowance)
        return {PermitResult::Denied, limitSettings.maxRetryAfter_};
    allowance->perSecond_ = std::max(allowance->perSecond_, limitSettings.minRate_);
    if (statedLimit) {
        const double share = role == GrantRole::Full ? 1.0 : limitSettings.partialShare_;
        const double limit = std::max(*statedLimit * share, limitSettings.minRate_);
        allowance->perSecond_ = std::min(allowance->perSecond_, limit);
    }
    const auto [bucket, added] = permits.buckets_.try_emplace(target.process_.instance_);
    if (added) {
        // This daemon has granted nothing for longer than a second, see startDelay_ and lifetime_.
        bucket->second.available_ = 1.0;
        bucket->second.refilledAt_ = now;
    }
    const std::optional<Millis> wait
        = takePermit(bucket->second, *allowance, limitSettings.maxRetryAfter_, now);
    if (!wait)
        return {PermitResult::Granted, Millis {}};
    return {PermitResult::Denied, *wait};
}

/// Returns the daemon to ask, or nothing if none of the first in rank replies.
std::optional<PeerAddress> chooseColdCoordinator(const InstanceLimits &limits,
                                                 const ColdPermitSettings &settings,
                                                 const ColdTarget &target, MonoTime now)
{
    std::vector<PeerAddress> candidates = limits.daemons_;
    // The others have left out this daemon if it is stopping.
    if (limits.stopping_)
        std::erase_if(candidates,
                      [&](const PeerAddress &daemon) { return daemon.host_ == limits.self_; });
    sortForInstance(candidates, target.process_.instance_, target.zone_, settings.coordinators_);
    const auto found
        = std::find_if(candidates.begin(), candidates.end(), [&](const PeerAddress &candidate) {
              return !isExcluded(limits.unresponsive_, candidate.host_, now);
          });
    return found == candidates.end() ? std::nullopt : std::optional(std::move(*found));
}

} // namespace

ColdBudget coldBudget(const ColdPermitSettings &settings, double perSecond)
{
    const Millis time = Millis {Seconds {1}} + settings.useWithin_;
    const double bound = std::floor(perSecond * settings.overrun_ + settings.slack_);
    const auto partialGranters = static_cast<double>(settings.partialGranters_);
    ColdBudget budget;
    double left = bound;
    if (bound >= partialGranters * settings.minShareOfFull_) {
        budget.partial_ = allowanceFor(1.0, 1.0, time);
        budget.partial_->perSecond_ = std::min(budget.partial_->perSecond_, perSecond);
        left -= partialGranters;
    }
    if (left >= 1.0) {
        budget.full_ = allowanceFor(left, std::clamp(left / 2.0, 1.0, settings.fullBurst_), time);
        budget.full_->perSecond_ = std::min(budget.full_->perSecond_, perSecond);
    }
    return budget;
}

void noteColdPermitTime(ColdPermits &permits, const InstanceLimits &limits,
                        const ColdPermitSettings &settings, bool fleetListed, MonoTime now)
{
    const bool hasPeers = limits.daemons_.size() > 1;
    const bool wasSuspended
        = hasPeers && permits.notedAt_ && now > *permits.notedAt_ + settings.stallLimit_;
    const bool contactRegained
        = fleetListed && permits.contactAt_ && now > *permits.contactAt_ + settings.contactGrace_;
    if (wasSuspended || (hasPeers && contactRegained))
        permits.resumedAt_ = now;
    permits.notedAt_ = now;
    if (fleetListed)
        permits.contactAt_ = now;
    if (now < permits.prunedAt_ + settings.lifetime_)
        return;
    permits.prunedAt_ = now;
    std::erase_if(permits.buckets_, [&](const auto &entry) {
        return now >= entry.second.refilledAt_ + settings.lifetime_;
    });
    std::erase_if(permits.awaited_, [now](const auto &entry) { return entry.second <= now; });
}

PermitAnswer askForColdPermit(ColdPermits &permits, InstanceLimits &limits,
                              const ColdPermitSettings &settings,
                              const RequestLimitSettings &limitSettings, const ColdTarget &target,
                              MonoTime now)
{
    PermitAnswer answer;
    const auto stated = limits.stated_.find(target.process_);
    const std::optional<double> statedLimit
        = stated == limits.stated_.end() ? std::nullopt : std::optional(stated->second.perSecond_);
    const std::optional<PeerAddress> coordinator
        = chooseColdCoordinator(limits, settings, target, now);
    if (coordinator && coordinator->host_ != limits.self_) {
        answer.coordinator_ = *coordinator;
        answer.request_
            = PermitRequest {limits.address_,
                             target.process_,
                             ++limits.lastNumber_,
                             std::min(statedLimit.value_or(target.perSecond_), target.perSecond_),
                             Millis {},
                             target.perSecond_,
                             target.zone_};
        permits.awaited_[target.process_.instance_] = now + limitSettings.replyTimeout_;
        return answer;
    }
    auto [result, wait] = coordinator
        ? decide(permits, limits, settings, limitSettings, target, statedLimit, now)
        : std::pair(PermitResult::Denied, limitSettings.maxRetryAfter_);
    answer.coordinator_.host_ = limits.self_;
    answer.result_ = result;
    if (result == PermitResult::Denied)
        recordDenial(limits, target.process_, now + wait);
    return answer;
}

PermitReply handleColdPermitRequest(ColdPermits &permits, const InstanceLimits &limits,
                                    const ColdPermitSettings &settings,
                                    const RequestLimitSettings &limitSettings,
                                    const PermitRequest &request, const ColdTarget &target,
                                    MonoTime now)
{
    PermitReply reply {request.process_, request.number_, PermitResult::Unavailable, Millis {}};
    const bool isStarting = !limits.startedAt_ || now < *limits.startedAt_ + settings.startDelay_;
    if (limits.stopping_ || isStarting)
        return reply;
    std::tie(reply.result_, reply.retryAfter_)
        = decide(permits, limits, settings, limitSettings, target, request.limit_, now);
    return reply;
}

bool isColdPermitAwaited(const ColdPermits &permits, const UpstreamId &instance, MonoTime now)
{
    const auto awaited = permits.awaited_.find(instance);
    return awaited != permits.awaited_.end() && awaited->second > now;
}

} // namespace tamarack
