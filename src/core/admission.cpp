// Rate limits of client accounts and weighted fair queues of waiting requests.
#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double drainWeight = 0.02;
constexpr double requestTimeWeight = 0.1;
constexpr Millis minExpectedCompletion {50};
constexpr Millis maxRetryAfter {60'000};

std::int64_t agedPriority(const AccountQueue &accountQueue, const AdmissionSettings &settings,
                          MonoTime now)
{
    const auto waited = now - accountQueue.requests_.front().queuedAt_;
    return accountQueue.priority_ + waited / settings.agingInterval_;
}

/// Returns true if queue @a a is served before queue @a b.
bool precedes(const AccountQueue &a, const AccountQueue &b, const AdmissionSettings &settings,
              MonoTime now)
{
    const std::int64_t priorityA = agedPriority(a, settings, now);
    const std::int64_t priorityB = agedPriority(b, settings, now);
    if (priorityA != priorityB)
        return priorityA > priorityB;
    if (a.servedCost_ != b.servedCost_)
        return a.servedCost_ < b.servedCost_;
    return a.requests_.front().queuedAt_ < b.requests_.front().queuedAt_;
}

void recordRemoval(AdmissionState &state, TargetQueue &queue, const WaitingRequest &request,
                   MonoTime now)
{
    state.deadlines_.erase({request.deadline_, request.admission_});
    --queue.size_;
    if (queue.size_ == 0)
        queue.emptySince_ = now;
}

void recordDequeue(TargetQueue &queue, MonoTime now)
{
    if (queue.lastServedAt_ != MonoTime {}) {
        const PreciseMicros interval = now - queue.lastServedAt_;
        queue.drainInterval_ = queue.drainSamples_ == 0
            ? interval
            : queue.drainInterval_ + (interval - queue.drainInterval_) * drainWeight;
        ++queue.drainSamples_;
    }
    queue.lastServedAt_ = now;
}

} // namespace

std::optional<Millis> consumeRateLimit(AccountAdmission &account, const AdmissionSettings &settings,
                                       double requestsPerSecond, MonoTime now)
{
    if (requestsPerSecond <= 0.0)
        return std::nullopt;
    const std::chrono::duration<double> burst = settings.rateBurst_;
    const double capacity = std::max(requestsPerSecond * burst.count(), 1.0);
    const std::chrono::duration<double> passed = now - account.rateUpdatedAt_;
    account.rateTokens_ = account.rateStarted_
        ? std::min(account.rateTokens_ + passed.count() * requestsPerSecond, capacity)
        : capacity;
    account.rateStarted_ = true;
    account.rateUpdatedAt_ = now;
    if (account.rateTokens_ >= 1.0) {
        account.rateTokens_ -= 1.0;
        return std::nullopt;
    }
    const auto tokenTime
        = std::chrono::ceil<Millis>(std::chrono::duration<double>(1.0 / requestsPerSecond));
    const auto missing = std::chrono::ceil<Millis>(
        std::chrono::duration<double>((1.0 - account.rateTokens_) / requestsPerSecond));
    const MonoTime earliest = std::max(now + missing, account.latestRetryAt_ + tokenTime);
    account.latestRetryAt_ = std::min(earliest, now + std::max(missing, maxRetryAfter));
    return std::chrono::ceil<Millis>(account.latestRetryAt_ - now);
}

Millis expectedCompletion(const AccountAdmission &account)
{
    const PreciseMicros each = account.requestTime_ / std::max(account.inFlight_, 1U);
    return std::max(std::chrono::ceil<Millis>(each), minExpectedCompletion);
}

void recordAnswered(AccountAdmission &account, PreciseMicros duration)
{
    if (account.inFlight_ > 0)
        --account.inFlight_;
    account.requestTime_ = account.requestTime_ == PreciseMicros {}
        ? duration
        : account.requestTime_ + (duration - account.requestTime_) * requestTimeWeight;
}

void enqueue(AdmissionState &state, const RouteTarget &target, const AccountId &account,
             int priority, WaitingRequest request, MonoTime now)
{
    TargetQueue &queue = state.queues_[target];
    if (queue.size_ == 0) {
        queue.lastServedAt_ = {};
        if (now - queue.emptySince_ > state.settings_.drainRateRetention_)
            queue.drainSamples_ = 0;
    }
    AccountQueue &accountQueue = queue.accountQueues_[account];
    if (accountQueue.requests_.empty())
        accountQueue.servedCost_ = std::max(accountQueue.servedCost_, queue.virtualTime_);
    accountQueue.priority_ = priority;
    state.deadlines_.emplace(request.deadline_, request.admission_);
    accountQueue.requests_.push_back(std::move(request));
    ++queue.size_;
}

std::optional<NextWaiting> nextWaiting(const TargetQueue &queue, const AdmissionSettings &settings,
                                       MonoTime now)
{
    const AccountQueue *best = nullptr;
    const AccountId *owner = nullptr;
    for (const auto &[account, accountQueue] : queue.accountQueues_) {
        if (accountQueue.requests_.empty())
            continue;
        if (!best || precedes(accountQueue, *best, settings, now)) {
            best = &accountQueue;
            owner = &account;
        }
    }
    if (!best)
        return std::nullopt;
    return NextWaiting {*owner, best->requests_.front().admission_};
}

void dequeueNext(AdmissionState &state, const RouteTarget &target, const NextWaiting &next,
                 MonoTime now)
{
    TargetQueue &queue = state.queues_.at(target);
    AccountQueue &accountQueue = queue.accountQueues_.at(next.account_);
    queue.virtualTime_ = std::max(queue.virtualTime_, accountQueue.servedCost_);
    const WaitingRequest served = std::move(accountQueue.requests_.front());
    accountQueue.requests_.pop_front();
    accountQueue.servedCost_ += served.cost_;
    recordDequeue(queue, now);
    recordRemoval(state, queue, served, now);
}

void removeWaiting(AdmissionState &state, const RouteTarget &target, const AccountId &account,
                   const AdmissionId &admission, MonoTime now)
{
    const auto queue = state.queues_.find(target);
    if (queue == state.queues_.end())
        return;
    const auto accountQueue = queue->second.accountQueues_.find(account);
    if (accountQueue == queue->second.accountQueues_.end())
        return;
    std::deque<WaitingRequest> &requests = accountQueue->second.requests_;
    const auto it
        = std::find_if(requests.begin(), requests.end(), [&](const WaitingRequest &request) {
              return request.admission_ == admission;
          });
    if (it == requests.end())
        return;
    const WaitingRequest removed = *it;
    requests.erase(it);
    recordRemoval(state, queue->second, removed, now);
}

std::optional<Millis> predictedWait(const TargetQueue &queue, const AdmissionSettings &settings,
                                    const AccountId &account, int priority, MonoTime now)
{
    if (queue.size_ == 0)
        return Millis {};
    if (queue.drainSamples_ < settings.minDrainSamples_)
        return std::nullopt;
    const auto own = queue.accountQueues_.find(account);
    const std::size_t before = own == queue.accountQueues_.end() ? 0 : own->second.requests_.size();
    std::size_t ahead = before;
    for (const auto &[other, accountQueue] : queue.accountQueues_) {
        if (accountQueue.requests_.empty() || other == account)
            continue;
        const std::int64_t aged = agedPriority(accountQueue, settings, now);
        if (aged > priority)
            ahead += accountQueue.requests_.size();
        else if (aged == priority)
            ahead += std::min(accountQueue.requests_.size(), before + 1);
    }
    return std::chrono::ceil<Millis>(queue.drainInterval_ * static_cast<double>(ahead + 1));
}

bool willMissDeadline(const TargetQueue &queue, const AdmissionSettings &settings,
                      std::optional<Millis> wait, Millis timeToFirstToken, Millis timeLeft,
                      MonoTime now)
{
    if (!wait || *wait + timeToFirstToken <= timeLeft * settings.refusalMargin_)
        return false;
    MonoTime oldest = now;
    for (const auto &[account, accountQueue] : queue.accountQueues_) {
        if (!accountQueue.requests_.empty())
            oldest = std::min(oldest, accountQueue.requests_.front().queuedAt_);
    }
    return now - oldest >= timeLeft * settings.minOldestWaitShare_;
}

std::optional<MonoTime> nextAdmissionWake(const AdmissionState &state)
{
    if (state.deadlines_.empty())
        return std::nullopt;
    const MonoTime deadline = state.deadlines_.begin()->first;
    return state.retryAt_ ? std::min(*state.retryAt_, deadline) : deadline;
}

std::optional<AdmissionId> nextExpired(const AdmissionState &state, MonoTime now)
{
    if (state.deadlines_.empty() || state.deadlines_.begin()->first > now)
        return std::nullopt;
    return state.deadlines_.begin()->second;
}

void collectReadyTargets(AdmissionState &state, MonoTime now)
{
    if (state.deadlines_.empty()) {
        state.retryAt_.reset();
        return;
    }
    if (state.retryAt_ && now < *state.retryAt_)
        return;
    if (state.retryAt_) {
        for (const auto &[target, queue] : state.queues_) {
            if (queue.size_ > 0)
                state.readyTargets_.insert(target);
        }
    }
    state.retryAt_ = now + state.settings_.retryInterval_;
}

} // namespace tamarack
