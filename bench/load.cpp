// tamarack-load: load generator for a chat-completions endpoint; prints latencies and errors. The
// load is closed-loop, or open-loop with seeded Poisson arrivals if --rate is given.
#include "loadrun.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace tamarack::load {

namespace {

/// Returns a quantile of sorted times, or 0 if there are none.
/// @param share quantile as a fraction, 0.5 for the median
Micros quantile(const std::vector<Micros> &sorted, double share)
{
    if (sorted.empty())
        return Micros {0};
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

void printQuantiles(const char *name, std::vector<Micros> times)
{
    std::sort(times.begin(), times.end());
    fmt::print("{}_us p50 {} p95 {} p99 {}\n", name, quantile(times, 0.50).count(),
               quantile(times, 0.95).count(), quantile(times, 0.99).count());
}

void printReport(const LoadResult &result)
{
    const double seconds = std::chrono::duration<double>(result.elapsed_).count();
    std::map<std::string, std::size_t> outcomes;
    std::vector<Micros> firstBytes;
    std::vector<Micros> totals;
    std::uint64_t tokens = 0;
    for (const Sample &sample : result.samples_) {
        ++outcomes[sample.outcome_];
        tokens += sample.tokens_;
        if (sample.outcome_ != "ok")
            continue;
        firstBytes.push_back(sample.timeToFirstByte_);
        totals.push_back(sample.total_);
    }
    fmt::print("requests {} seconds {:.2f} requests_per_s {:.1f}\n", result.samples_.size(),
               seconds, static_cast<double>(result.samples_.size()) / seconds);
    for (const auto &[outcome, count] : outcomes)
        fmt::print("outcome {} {}\n", outcome, count);
    fmt::print("truncated {}\n", outcomes["truncated"]);
    printQuantiles("first_byte", std::move(firstBytes));
    printQuantiles("total", std::move(totals));
    fmt::print("tokens_per_s {:.0f}\n", static_cast<double>(tokens) / seconds);
}

int run(int argc, char **argv)
{
    CLI::App app {"tamarack-load: load generator for a chat-completions endpoint"};
    LoadPlan plan;
    double seconds = 10.0;
    app.add_option("--address", plan.address_, "IP:port of the endpoint")->required();
    app.add_option("--key", plan.keys_, "caller keys, used round-robin");
    app.add_option("--model", plan.model_, "requested model");
    app.add_flag("--stream", plan.stream_, "request streamed responses");
    app.add_option("--prompt-bytes", plan.promptBytes_, "size of the prompt in bytes");
    app.add_option("--max-tokens", plan.maxTokens_, "maximum number of output tokens");
    app.add_option("--concurrency", plan.concurrency_, "maximum number of concurrent requests")
        ->check(CLI::Range(1, 4000));
    app.add_option("--rate", plan.rate_,
                   "arrivals per second of an open loop; 0 for a closed loop");
    app.add_option("--count", plan.count_, "number of requests to send; 0 to use --seconds");
    app.add_option("--seconds", seconds, "duration of the load in seconds");
    app.add_option("--seed", plan.seed_, "seed of the arrival times");
    CLI11_PARSE(app, argc, argv);
    plan.duration_ = std::chrono::duration_cast<Millis>(std::chrono::duration<double> {seconds});
    printReport(runLoad(plan));
    return 0;
}

} // namespace

} // namespace tamarack::load

int main(int argc, char **argv)
{
    return tamarack::load::run(argc, argv);
}
