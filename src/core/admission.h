// Admission control: rate and concurrency limits of client accounts, and the queues of requests
// that wait for an upstream.
#pragma once

#include "core/bundle.h"
#include "core/ids.h"
#include "core/retrybudget.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace tamarack {

/// @brief Settings of admission control in one daemon.
struct AdmissionSettings
{
    /// Burst of an account's rate limit, as the time in which the rate yields it.
    Millis rateBurst_ {1000};
    /// Time in which a waiting request gains one priority level, which prevents starvation.
    Millis agingInterval_ {2000};
    std::size_t maxWaiting_ = 10'000;
    /// Factor on the remaining time: a request is refused early if its predicted wait exceeds the
    /// product. In bench-routing at 120% load, 1.25 sent 14% of the requests too late and 0.9
    /// refused 3% more.
    double refusalMargin_ = 1.0;
    /// A request is refused early only if another one has already waited this share of the
    /// remaining time, which confirms the prediction. Without this condition bench-routing refused
    /// 0.17% of the requests wrongly at 90% load.
    double minOldestWaitShare_ = 0.25;
    /// Dispatches from a queue that must be observed before its wait is predicted.
    std::uint32_t minDrainSamples_ = 8;
    /// The drain rate of a queue is discarded after the queue was empty for this long.
    Millis drainRateRetention_ {10'000};
    /// Interval for detecting slots that become free without an event.
    Millis retryInterval_ {200};
    RetrySettings accountRetries_;
    RetrySettings daemonRetries_;
};

/// @brief Admission counters of one client account.
struct AccountAdmission
{
    /// Requests admitted and not answered yet.
    std::uint32_t inFlight_ = 0;
    double rateTokens_ = 0.0;
    MonoTime rateUpdatedAt_ {};
    bool rateStarted_ = false;
    /// Latest retry time that a refused caller was given.
    MonoTime latestRetryAt_ {};
    /// Smoothed time from admission to response.
    PreciseMicros requestTime_ {};
    RetryBudget retries_;
};

/// @brief What a request waits for: any upstream with this model or service.
struct RouteTarget
{
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    std::string name_;

    auto operator<=>(const RouteTarget &) const = default;
};

/// @brief A queued request.
struct WaitingRequest
{
    AdmissionId admission_;
    MonoTime queuedAt_ {};
    MonoTime deadline_ {};
    /// Tokens that the request counts towards the account's fair share.
    double cost_ = 1.0;
};

/// @brief Queue of one client account, in order of arrival.
struct AccountQueue
{
    int priority_ = 0;
    /// Total cost dispatched so far. Among equal priorities, the account with the lowest total goes
    /// first.
    double servedCost_ = 0.0;
    std::deque<WaitingRequest> requests_;
};

/// @brief All requests queued for one target.
/// Invariant: size_ is the sum of the sizes of the account queues.
struct TargetQueue
{
    std::map<AccountId, AccountQueue> accountQueues_;
    std::size_t size_ = 0;
    /// Virtual time of fair queueing: servedCost_ of the account served last. An account that was
    /// idle starts from here.
    double virtualTime_ = 0.0;
    /// Smoothed time between dispatches while requests are queued.
    PreciseMicros drainInterval_ {};
    std::uint32_t drainSamples_ = 0;
    MonoTime lastServedAt_ {};
    MonoTime emptySince_ {};
};

/// @brief Admission state of one daemon.
/// Invariant: deadlines_ has one element for each request in queues_.
struct AdmissionState
{
    AdmissionSettings settings_;
    std::map<AccountId, AccountAdmission> accounts_;
    RetryBudget retries_;
    std::map<RouteTarget, TargetQueue> queues_;
    /// Deadlines of all queued requests.
    std::set<std::pair<MonoTime, AdmissionId>> deadlines_;
    /// Targets for which a slot may have become free.
    std::set<RouteTarget> readyTargets_;
    /// When all targets are tried again, because some slots become free without an event.
    std::optional<MonoTime> retryAt_;
};

/// @brief Consumes one request of the account's rate limit.
/// @return nothing if the request is within the limit, otherwise the delay before a retry
/// @note A rate of 0 means no limit. Callers refused at the same time receive different delays.
std::optional<Millis> consumeRateLimit(AccountAdmission &account, const AdmissionSettings &settings,
                                       double requestsPerSecond, MonoTime now);

/// @brief Returns the expected time until one of the account's requests in flight is answered.
Millis expectedCompletion(const AccountAdmission &account);

/// @brief Records that a request of the account was answered.
void recordAnswered(AccountAdmission &account, PreciseMicros duration);

/// @brief Adds a request to the queue of a target.
void enqueue(AdmissionState &state, const RouteTarget &target, const AccountId &account,
             int priority, WaitingRequest request, MonoTime now);

/// @brief The request to dispatch next.
struct NextWaiting
{
    AccountId account_;
    AdmissionId admission_;
};

/// @brief Returns the request to dispatch next: highest aged priority first, then the account with
/// the lowest served cost, then the oldest request.
/// @note O(accounts queued for the target)
std::optional<NextWaiting> nextWaiting(const TargetQueue &queue, const AdmissionSettings &settings,
                                       MonoTime now);

/// @brief Removes the request that nextWaiting() returned, when it is dispatched.
void dequeueNext(AdmissionState &state, const RouteTarget &target, const NextWaiting &next,
                 MonoTime now);

/// @brief Removes a request without dispatching it. Does nothing if it is not queued.
void removeWaiting(AdmissionState &state, const RouteTarget &target, const AccountId &account,
                   const AdmissionId &admission, MonoTime now);

/// @brief Predicts the queueing time of a new request.
/// @return nothing until AdmissionSettings::minDrainSamples_ dispatches were observed
std::optional<Millis> predictedWait(const TargetQueue &queue, const AdmissionSettings &settings,
                                    const AccountId &account, int priority, MonoTime now);

/// @brief Returns true if a new request is predicted to miss its deadline and the oldest queued
/// request has already waited AdmissionSettings::minOldestWaitShare_ of the remaining time.
/// @param timeToFirstToken predicted time from the dispatch to the first token
/// @param timeLeft time to the deadline
bool willMissDeadline(const TargetQueue &queue, const AdmissionSettings &settings,
                      std::optional<Millis> wait, Millis timeToFirstToken, Millis timeLeft,
                      MonoTime now);

/// @brief Returns the earlier of the first deadline and the next attempt to dispatch all targets,
/// or nothing if no request is queued.
std::optional<MonoTime> nextAdmissionWake(const AdmissionState &state);

/// @brief Returns a queued request whose deadline has passed.
std::optional<AdmissionId> nextExpired(const AdmissionState &state, MonoTime now);

/// @brief Adds all targets to readyTargets_ at each retry interval and schedules the next time.
void collectReadyTargets(AdmissionState &state, MonoTime now);

} // namespace tamarack
