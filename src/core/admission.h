// Admission: limits of client accounts, and the queue of requests that wait for an upstream.
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

/// @brief Limits of admission in one daemon.
struct AdmissionSettings
{
    /// An account may use this much of its rate limit at once.
    Millis rateBurst_ {1000};
    /// A waiting request gains one priority level in this time, so that none starves.
    Millis ageingStep_ {2000};
    std::size_t maxWaiting_ = 10'000;
    /// A request is refused early if its predicted wait exceeds the time left by this factor.
    /// At 1.25 bench-routing at 120% load sent 14% of the requests too late; at 0.9 it refused 3%
    /// more.
    double refusalMargin_ = 1.0;
    /// A request is refused early only if another one has waited this share of its time left, which
    /// confirms the prediction. Without it bench-routing refused 0.17% falsely at 90% load.
    double confirmingShare_ = 0.25;
    /// Dispatches from a queue that must have been seen before its wait is predicted.
    std::uint32_t minDrainSamples_ = 8;
    /// A queue that was empty for this long forgets its drain rate.
    Millis drainMemory_ {10'000};
    /// Slots that become free without an event are found in this time.
    Millis retryInterval_ {200};
    RetrySettings accountRetries_;
    RetrySettings daemonRetries_;
};

/// @brief What a daemon counts for one client account.
struct AccountAdmission
{
    /// Requests admitted and not answered yet.
    std::uint32_t inFlight_ = 0;
    double rateTokens_ = 0.0;
    MonoTime rateUpdatedAt_ {};
    bool rateStarted_ = false;
    /// The latest time that a refused caller was told to retry at.
    MonoTime promisedUntil_ {};
    /// Time from admission to answer, smoothed.
    PreciseMicros requestTime_ {};
    RetryBudget retries_;
};

/// @brief What requests wait for: any upstream with this model or service.
struct RouteTarget
{
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    std::string name_;

    auto operator<=>(const RouteTarget &) const = default;
};

/// @brief A request that waits for an upstream.
struct WaitingRequest
{
    AdmissionId admission_;
    MonoTime since_ {};
    MonoTime deadline_ {};
    /// Share of the account's turn that the request takes, in tokens.
    double cost_ = 1.0;
};

/// @brief The waiting requests of one client account, in order of arrival.
struct AccountLine
{
    int priority_ = 0;
    /// Cost served so far. Among equal priorities the account with the least goes first.
    double served_ = 0.0;
    std::deque<WaitingRequest> requests_;
};

/// @brief The requests that wait for one target.
/// Invariant: size_ is the sum of the lines' sizes.
struct TargetQueue
{
    std::map<AccountId, AccountLine> lines_;
    std::size_t size_ = 0;
    /// served_ of the line that was served last; a line that starts anew starts here.
    double virtualTime_ = 0.0;
    /// Time between dispatches while requests wait, smoothed.
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
    /// Deadlines of all waiting requests.
    std::set<std::pair<MonoTime, AdmissionId>> deadlines_;
    /// Targets for which a slot may have become free.
    std::set<RouteTarget> due_;
    /// When all targets are tried again, because some slots become free without an event.
    std::optional<MonoTime> retryAt_;
};

/// @brief Takes one request from the account's rate limit.
/// @return nothing if it is within the limit, else the time after which a request is
/// @note a rate of 0 means no limit; callers that are refused at the same time get different times
std::optional<Millis> takeRate(AccountAdmission &account, const AdmissionSettings &settings,
                               double requestsPerSecond, MonoTime now);

/// @brief Expected time until one of the account's requests in flight is answered.
Millis expectedRelease(const AccountAdmission &account);

/// @brief Records that a request of the account was answered.
void noteAnswered(AccountAdmission &account, PreciseMicros duration);

/// @brief Adds a request to the queue of a target.
void enqueue(AdmissionState &state, const RouteTarget &target, const AccountId &account,
             int priority, WaitingRequest request, MonoTime now);

/// @brief The request that is served next.
struct NextWaiting
{
    AccountId account_;
    AdmissionId admission_;
};

/// @brief Returns the request that is served next: highest priority after ageing, then the account
/// that was served least, then the oldest.
/// @note O(accounts that wait for the target)
std::optional<NextWaiting> nextWaiting(const TargetQueue &queue, const AdmissionSettings &settings,
                                       MonoTime now);

/// @brief Removes the request that nextWaiting() returned, because it is dispatched.
void dequeueNext(AdmissionState &state, const RouteTarget &target, const NextWaiting &next,
                 MonoTime now);

/// @brief Removes a request that waits no longer. Does nothing if it is not in the queue.
void removeWaiting(AdmissionState &state, const RouteTarget &target, const AccountId &account,
                   const AdmissionId &admission, MonoTime now);

/// @brief Predicts how long a new request would wait in the queue.
/// @return nothing while too few dispatches have been seen
std::optional<Millis> predictedWait(const TargetQueue &queue, const AdmissionSettings &settings,
                                    const AccountId &account, int priority, MonoTime now);

/// @brief Returns true if a new request is predicted to wait past its deadline, and the waits seen
/// so far confirm it.
/// @param afterwards time to first token after the wait
/// @param left time to the deadline
bool willMissDeadline(const TargetQueue &queue, const AdmissionSettings &settings,
                      std::optional<Millis> wait, Millis afterwards, Millis left, MonoTime now);

/// @brief Earliest deadline of a waiting request, or of the next attempt to serve the queues.
std::optional<MonoTime> nextAdmissionWake(const AdmissionState &state);

/// @brief Returns a waiting request whose deadline has passed.
std::optional<AdmissionId> nextExpired(const AdmissionState &state, MonoTime now);

/// @brief Marks the targets that are due to be served, and plans the next time for all of them.
void planService(AdmissionState &state, MonoTime now);

} // namespace tamarack
