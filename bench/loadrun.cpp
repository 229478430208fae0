// Load generator for a chat-completions endpoint.
#include "loadrun.h"

#include "adapters/http/upstreamclient.h"
#include "adapters/json/json.h"

#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace tamarack::load {

namespace {

constexpr std::uint64_t maxPlannedArrivals = 5'000'000;

/// State shared by the worker threads of one run.
struct LoadRun
{
    const LoadPlan &plan_;
    UpstreamPort port_ {};
    std::string body_ {};
    MonoTime start_ {};
    /// Arrival times of an open loop, relative to the start.
    std::vector<Micros> arrivals_ {};
    std::atomic<std::uint64_t> next_ {0};
    std::mutex mutex_ {};
    std::vector<Sample> samples_ {};
};

/// Draws the Poisson arrivals of an open loop; empty for a closed loop.
std::vector<Micros> planArrivals(const LoadPlan &plan)
{
    std::vector<Micros> arrivals;
    if (plan.rate_ <= 0.0)
        return arrivals;
    std::mt19937_64 random(plan.seed_);
    std::exponential_distribution<double> gap(plan.rate_);
    const std::uint64_t limit = plan.count_ > 0 ? plan.count_ : maxPlannedArrivals;
    std::chrono::duration<double> time {0.0};
    while (arrivals.size() < limit) {
        time += std::chrono::duration<double> {gap(random)};
        if (plan.count_ == 0 && time > plan.duration_)
            break;
        arrivals.push_back(std::chrono::duration_cast<Micros>(time));
    }
    return arrivals;
}

std::string chatBody(const LoadPlan &plan)
{
    return fmt::format(
        R"({{"model":"{}","messages":[{{"role":"user","content":"{}"}}],"max_tokens":{},"stream":{}}})",
        plan.model_, std::string(plan.promptBytes_, 'x'), plan.maxTokens_, plan.stream_);
}

ExchangeRequest makeRequest(const LoadRun &run, std::uint64_t index)
{
    ExchangeRequest request;
    request.address_ = run.plan_.address_;
    request.method_ = "POST";
    request.path_ = "/v1/chat/completions";
    request.contentType_ = "application/json";
    request.body_ = run.body_;
    request.request_ = RequestId {fmt::format("load-{}-{}", run.plan_.seed_, index)};
    request.attempt_ = AttemptId {"load"};
    request.idempotent_ = true;
    request.stream_ = run.plan_.stream_;
    request.silenceLimit_ = run.plan_.silenceLimit_;
    const std::vector<std::string> &keys = run.plan_.keys_;
    if (!keys.empty())
        request.headers_.push_back(
            HeaderField {"Authorization", "Bearer " + keys[index % keys.size()]});
    return request;
}

/// Returns the `code` of an error response, or the HTTP status if it has none.
std::string errorCode(const ExchangeResult &result)
{
    constexpr std::string_view codeKey = R"("code":")";
    const std::size_t at = result.body_.find(codeKey);
    if (at == std::string::npos)
        return fmt::format("status_{}", result.status_);
    const std::size_t begin = at + codeKey.size();
    return result.body_.substr(begin, result.body_.find('"', begin) - begin);
}

std::string outcomeName(const ExchangeResult &result)
{
    if (result.result_ == AttemptResult::Complete)
        return result.status_ == 200 ? "ok" : errorCode(result);
    if (result.result_ == AttemptResult::Truncated)
        return "truncated";
    if (result.status_ >= 400)
        return errorCode(result);
    return std::string(attemptResultCode(result.result_));
}

/// Sends one request and waits for its end. Latencies count from @a plannedAt.
Sample sendRequest(LoadRun &run, std::uint64_t index, MonoTime plannedAt)
{
    Sample sample;
    std::optional<MonoTime> firstEvent;
    const MonoTime sentAt = std::chrono::steady_clock::now();
    const ExchangeResult result
        = run.port_.exchange_(makeRequest(run, index), [&](const StreamEvent &) {
              if (!firstEvent)
                  firstEvent = std::chrono::steady_clock::now();
              ++sample.tokens_;
              return true;
          });
    const MonoTime end = std::chrono::steady_clock::now();
    sample.outcome_ = outcomeName(result);
    if (!run.plan_.stream_ && result.usage_)
        sample.tokens_ = static_cast<std::uint64_t>(result.usage_->count_);
    const MonoTime first
        = firstEvent.value_or(result.timeToFirstByte_ ? sentAt + *result.timeToFirstByte_ : end);
    sample.timeToFirstByte_ = std::chrono::duration_cast<Micros>(first - plannedAt);
    sample.total_ = std::chrono::duration_cast<Micros>(end - plannedAt);
    return sample;
}

/// Sleeps until the arrival time of a request in an open loop; returns immediately in a closed
/// loop.
/// @return arrival time, or nothing after the last request
std::optional<MonoTime> waitForArrival(const LoadRun &run, std::uint64_t index)
{
    const LoadPlan &plan = run.plan_;
    if (plan.rate_ > 0.0) {
        if (index >= run.arrivals_.size())
            return std::nullopt;
        const MonoTime plannedAt = run.start_ + run.arrivals_[index];
        std::this_thread::sleep_until(plannedAt);
        return plannedAt;
    }
    const MonoTime now = std::chrono::steady_clock::now();
    const bool over = plan.count_ > 0 ? index >= plan.count_ : now >= run.start_ + plan.duration_;
    return over ? std::nullopt : std::optional<MonoTime> {now};
}

void runWorker(LoadRun &run)
{
    std::vector<Sample> samples;
    while (true) {
        const std::uint64_t index = run.next_++;
        const std::optional<MonoTime> plannedAt = waitForArrival(run, index);
        if (!plannedAt)
            break;
        samples.push_back(sendRequest(run, index, *plannedAt));
    }
    const std::lock_guard lock(run.mutex_);
    run.samples_.insert(run.samples_.end(), samples.begin(), samples.end());
}

} // namespace

LoadResult runLoad(const LoadPlan &plan)
{
    LoadRun run {.plan_ = plan};
    run.port_ = makeHttpUpstreamPort();
    run.body_ = chatBody(plan);
    run.arrivals_ = planArrivals(plan);
    run.start_ = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < plan.concurrency_; ++i)
        threads.emplace_back(runWorker, std::ref(run));
    for (std::thread &thread : threads)
        thread.join();
    LoadResult result;
    result.elapsed_
        = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - run.start_);
    result.samples_ = std::move(run.samples_);
    return result;
}

} // namespace tamarack::load
