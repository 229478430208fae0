// Limits of client accounts and queues of waiting requests.
#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double drainWeight = 0.02;
constexpr double requestTimeWeight = 0.1;
constexpr Millis minRelease {50};
constexpr Millis maxPromise {60'000};

std::int64_t agedPriority(const AccountLine &line, const AdmissionSettings &settings, MonoTime now)
{
    const auto waited = now - line.requests_.front().since_;
    return line.priority_ + waited / settings.ageingStep_;
}

/// True if line @a a goes before line @a b.
bool goesBefore(const AccountLine &a, const AccountLine &b, const AdmissionSettings &settings,
                MonoTime now)
{
    const std::int64_t priorityA = agedPriority(a, settings, now);
    const std::int64_t priorityB = agedPriority(b, settings, now);
    if (priorityA != priorityB)
        return priorityA > priorityB;
    if (a.served_ != b.served_)
        return a.served_ < b.served_;
    return a.requests_.front().since_ < b.requests_.front().since_;
}

void noteRemoved(AdmissionState &state, TargetQueue &queue, const WaitingRequest &request,
                 MonoTime now)
{
    state.deadlines_.erase({request.deadline_, request.admission_});
    --queue.size_;
    if (queue.size_ == 0)
        queue.emptySince_ = now;
}

void noteDrain(TargetQueue &queue, MonoTime now)
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

std::optional<Millis> takeRate(AccountAdmission &account, const AdmissionSettings &settings,
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
    const MonoTime earliest = std::max(now + missing, account.promisedUntil_ + tokenTime);
    account.promisedUntil_ = std::min(earliest, now + std::max(missing, maxPromise));
    return std::chrono::ceil<Millis>(account.promisedUntil_ - now);
}

Millis expectedRelease(const AccountAdmission &account)
{
    const PreciseMicros each = account.requestTime_ / std::max(account.inFlight_, 1U);
    return std::max(std::chrono::ceil<Millis>(each), minRelease);
}

void noteAnswered(AccountAdmission &account, PreciseMicros duration)
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
        if (now - queue.emptySince_ > state.settings_.drainMemory_)
            queue.drainSamples_ = 0;
    }
    AccountLine &line = queue.lines_[account];
    if (line.requests_.empty())
        line.served_ = std::max(line.served_, queue.virtualTime_);
    line.priority_ = priority;
    state.deadlines_.emplace(request.deadline_, request.admission_);
    line.requests_.push_back(std::move(request));
    ++queue.size_;
}

std::optional<NextWaiting> nextWaiting(const TargetQueue &queue, const AdmissionSettings &settings,
                                       MonoTime now)
{
    const AccountLine *best = nullptr;
    const AccountId *owner = nullptr;
    for (const auto &[account, line] : queue.lines_) {
        if (line.requests_.empty())
            continue;
        if (!best || goesBefore(line, *best, settings, now)) {
            best = &line;
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
    AccountLine &line = queue.lines_.at(next.account_);
    queue.virtualTime_ = std::max(queue.virtualTime_, line.served_);
    const WaitingRequest served = std::move(line.requests_.front());
    line.requests_.pop_front();
    line.served_ += served.cost_;
    noteDrain(queue, now);
    noteRemoved(state, queue, served, now);
}

void removeWaiting(AdmissionState &state, const RouteTarget &target, const AccountId &account,
                   const AdmissionId &admission, MonoTime now)
{
    const auto queue = state.queues_.find(target);
    if (queue == state.queues_.end())
        return;
    const auto line = queue->second.lines_.find(account);
    if (line == queue->second.lines_.end())
        return;
    std::deque<WaitingRequest> &requests = line->second.requests_;
    const auto it
        = std::find_if(requests.begin(), requests.end(), [&](const WaitingRequest &request) {
              return request.admission_ == admission;
          });
    if (it == requests.end())
        return;
    const WaitingRequest removed = *it;
    requests.erase(it);
    noteRemoved(state, queue->second, removed, now);
}

std::optional<Millis> predictedWait(const TargetQueue &queue, const AdmissionSettings &settings,
                                    const AccountId &account, int priority, MonoTime now)
{
    if (queue.size_ == 0)
        return Millis {};
    if (queue.drainSamples_ < settings.minDrainSamples_)
        return std::nullopt;
    const auto own = queue.lines_.find(account);
    const std::size_t before = own == queue.lines_.end() ? 0 : own->second.requests_.size();
    std::size_t ahead = before;
    for (const auto &[other, line] : queue.lines_) {
        if (line.requests_.empty() || other == account)
            continue;
        const std::int64_t aged = agedPriority(line, settings, now);
        if (aged > priority)
            ahead += line.requests_.size();
        else if (aged == priority)
            ahead += std::min(line.requests_.size(), before + 1);
    }
    return std::chrono::ceil<Millis>(queue.drainInterval_ * static_cast<double>(ahead + 1));
}

bool willMissDeadline(const TargetQueue &queue, const AdmissionSettings &settings,
                      std::optional<Millis> wait, Millis afterwards, Millis left, MonoTime now)
{
    if (!wait || *wait + afterwards <= left * settings.refusalMargin_)
        return false;
    MonoTime oldest = now;
    for (const auto &[account, line] : queue.lines_) {
        if (!line.requests_.empty())
            oldest = std::min(oldest, line.requests_.front().since_);
    }
    return now - oldest >= left * settings.confirmingShare_;
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

void planService(AdmissionState &state, MonoTime now)
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
                state.due_.insert(target);
        }
    }
    state.retryAt_ = now + state.settings_.retryInterval_;
}

} // namespace tamarack
