// Statistics of upstream instances, collected from the outcomes of this daemon's requests.
#include "core/relay/instancechoiceinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace {

using choicedetail::learnedDelay;
using choicedetail::prefillTime;

void recordFailure(InstanceStats &record, const ChoiceSettings &settings, bool ejects, MonoTime now)
{
    ++record.consecutiveFailures_;
    if (!ejects && record.consecutiveFailures_ < settings.ejectAfterFailures_)
        return;
    const std::uint32_t doublings = std::min(record.consecutiveFailures_ - 1, 6U);
    record.ejectedUntil_
        = now + std::min(settings.baseEjectionTime_ * (1 << doublings), settings.maxEjectionTime_);
}

/// Returns the prompt tokens per millisecond that a prediction was based on.
double tokensPerMs(const Choice &choice, const ChoiceSettings &settings)
{
    return choice.prefillPerMs_ > 0.0 ? choice.prefillPerMs_ : settings.prefillTokensPerMs_;
}

/// Learns the speed of an engine from a request that found little queue there.
void learnSpeed(InstanceStats &record, const ChoiceSettings &settings, const Choice &choice,
                PreciseMicros observed, MonoTime now)
{
    const double longestQueue
        = static_cast<double>(choice.uncached_.count_) * settings.speed_.maxQueueShare_;
    // How much the running requests delay the first output is an estimate, which must not dominate.
    if (static_cast<double>(choice.queued_.count_) > longestQueue
        || choice.runningDelay_ > observed / 2)
        return;
    recordPrefill(record.speed_, settings.speed_, choice.uncached_, observed - choice.runningDelay_,
                  tokensPerMs(choice, settings), now);
}

/// Adapts the limit on waiting requests to the time that one of them has waited.
void adaptWaitingLimit(InstanceStats &record, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros waited, Millis latencyObjective, MonoTime now)
{
    if (latencyObjective <= Millis {})
        return;
    const PreciseMicros inQueue
        = waited - prefillTime(tokensPerMs(choice, settings), choice.uncached_);
    if (inQueue <= PreciseMicros {latencyObjective} * settings.maxWaitShare_) {
        record.maxWaiting_
            = std::min(record.maxWaiting_ + 1.0 / record.maxWaiting_, settings.maxWaiting_);
        return;
    }
    // Requests that were sent before the last reduction say nothing about its effect.
    if (PreciseMicros {now - record.maxWaitingReducedAt_} < waited)
        return;
    const double waiting = std::min(record.maxWaiting_, static_cast<double>(record.waiting_));
    record.maxWaiting_ = std::max(waiting * settings.waitingDecrease_, 1.0);
    record.maxWaitingReducedAt_ = now;
}

/// Forgets the prompt parts that were used longest ago, so that there is room for @a added ones.
void evictOldParts(InstanceStats &record, const ChoiceSettings &settings, std::size_t added,
                   MonoTime now)
{
    if (record.cachedParts_.size() < settings.pruneCachedPartsFrom_)
        return;
    Millis age = settings.cacheLifetime_ / 2;
    const auto forgetOlderThan = [&](Millis limit) {
        std::erase_if(record.cachedParts_,
                      [&](const auto &item) { return now - item.second > limit; });
    };
    forgetOlderThan(age);
    while (record.cachedParts_.size() + added > settings.maxCachedParts_ && age > Millis {}) {
        age /= 2;
        forgetOlderThan(age);
    }
    if (record.cachedParts_.size() + added > settings.maxCachedParts_)
        record.cachedParts_.clear();
}

/// Records the parts that the engine will have cached after a request.
void recordCachedParts(InstanceStats &record, const ChoiceSettings &settings,
                       const std::vector<PromptPart> &parts, MonoTime now)
{
    // A part is of use only with all parts before it.
    const std::size_t count = std::min(parts.size(), settings.maxCachedParts_);
    evictOldParts(record, settings, count, now);
    for (std::size_t i = 0; i < count; ++i)
        record.cachedParts_[parts[i].id_] = now;
}

} // namespace

void recordNotice(ChoiceState &state, const ChoiceSettings &settings,
                  const InstanceProcess &process, const InstanceNotice &notice, MonoTime now)
{
    if (!notice.leaving_ && !notice.retryAfter_)
        return;
    std::erase_if(state.withdrawals_, [&](const auto &entry) {
        return now >= std::max(entry.second.statedAt_, entry.second.closedUntil_)
            + settings.withdrawalLifetime_;
    });
    Withdrawal &withdrawal = state.withdrawals_[process];
    withdrawal.statedAt_ = now;
    if (notice.leaving_ && !withdrawal.leavingSince_)
        withdrawal.leavingSince_ = now;
    if (notice.retryAfter_)
        withdrawal.closedUntil_ = std::max(withdrawal.closedUntil_, now + *notice.retryAfter_);
}

std::optional<MonoTime> closedUntil(const ChoiceState &state, const InstanceProcess &process,
                                    MonoTime now)
{
    const auto it = state.withdrawals_.find(process);
    if (it == state.withdrawals_.end() || it->second.closedUntil_ <= now)
        return std::nullopt;
    return it->second.closedUntil_;
}

bool isLeaving(const ChoiceState &state, const InstanceProcess &process)
{
    const auto it = state.withdrawals_.find(process);
    return it != state.withdrawals_.end() && it->second.leavingSince_.has_value();
}

void recordSent(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                const RelayRequest &request, WallTime startedAt, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    if (record.startedAt_ != startedAt) {
        // Requests sent before the restart have not ended yet and are still counted.
        const std::uint32_t running = record.running_;
        const std::uint32_t waiting = record.waiting_;
        const Tokens ahead = record.queuedPrefill_;
        const Tokens context = record.contextTokens_;
        record = InstanceStats {};
        record.running_ = running;
        record.waiting_ = waiting;
        record.queuedPrefill_ = ahead;
        record.contextTokens_ = context;
        record.maxWaiting_ = settings.maxWaiting_;
        record.startedAt_ = startedAt;
    }
    ++record.running_;
    ++record.waiting_;
    record.queuedPrefill_ += choice.uncached_;
    record.contextTokens_ += choice.contextTokens_;
    if (request.usage_)
        recordCachedParts(record, settings, request.usage_->parts_, now);
}

void recordFirstOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                       PreciseMicros observed, Millis latencyObjective, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    adaptWaitingLimit(record, settings, choice, observed, latencyObjective, now);
    if (latencyObjective > Millis {})
        learnSpeed(record, settings, choice, observed, now);
    record.waiting_ -= std::min(record.waiting_, 1U);
    record.queuedPrefill_ = std::max(record.queuedPrefill_ - choice.uncached_, Tokens {});
    const PreciseMicros previous = learnedDelay(record, settings, now);
    const PreciseMicros extra
        = std::max(observed - (choice.predicted_ - previous), PreciseMicros {});
    record.extraDelay_ = previous + (extra - previous) * settings.learningRate_;
    record.observedAt_ = now;
}

void recordEnded(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                 InstanceOutcome outcome, bool hadOutput, MonoTime now)
{
    InstanceStats &record = state.instanceStats_[choice.instance_];
    record.running_ -= std::min(record.running_, 1U);
    record.contextTokens_ = std::max(record.contextTokens_ - choice.contextTokens_, Tokens {});
    if (!hadOutput) {
        record.queuedPrefill_ = std::max(record.queuedPrefill_ - choice.uncached_, Tokens {});
        record.waiting_ -= std::min(record.waiting_, 1U);
    }
    const auto learn = [&](double failed) {
        record.failureRate_ += (failed - record.failureRate_) * settings.learningRate_;
    };
    switch (outcome) {
    case InstanceOutcome::Success:
        learn(0.0);
        record.consecutiveFailures_ = 0;
        break;
    case InstanceOutcome::Failed:
        learn(1.0);
        recordFailure(record, settings, false, now);
        break;
    case InstanceOutcome::Unreachable:
        learn(1.0);
        record.unreachableAt_ = now;
        record.cachedParts_.clear();
        recordFailure(record, settings, true, now);
        break;
    case InstanceOutcome::Refused:
        record.ejectedUntil_ = std::max(record.ejectedUntil_, now + settings.baseEjectionTime_);
        break;
    case InstanceOutcome::Replaced:
        record.replaced_ = true;
        break;
    case InstanceOutcome::Neutral:
        break;
    }
}

void recordNoOutput(ChoiceState &state, const ChoiceSettings &settings, const Choice &choice,
                    PreciseMicros waited, Millis latencyObjective, MonoTime now)
{
    const PreciseMicros inQueue
        = waited - prefillTime(tokensPerMs(choice, settings), choice.uncached_);
    // How long the request would have waited is unknown, but it was longer than that.
    if (inQueue > PreciseMicros {latencyObjective} * settings.maxWaitShare_)
        adaptWaitingLimit(state.instanceStats_[choice.instance_], settings, choice, waited,
                          latencyObjective, now);
}

Result<void> checkInvariants(const ChoiceState &state)
{
    for (const auto &[id, record] : state.instanceStats_) {
        if (record.queuedPrefill_ < Tokens {} || record.failureRate_ < 0.0
            || record.failureRate_ > 1.0 || record.maxWaiting_ < 1.0)
            return fail(ErrorKind::Internal, "tamarack.choice.101",
                        fmt::format("instance {}: queued prefill {}, failure rate {} or waiting "
                                    "limit {} is out of range; restart this daemon and report the "
                                    "error",
                                    id.value_, record.queuedPrefill_.count_, record.failureRate_,
                                    record.maxWaiting_));
    }
    return {};
}

} // namespace tamarack
