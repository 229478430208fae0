// bench-routing: compares routing policies in a simulation and measures the CPU cost of a routing
// decision. Simulated time, single-threaded, no network.
#include "benchreport.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <fstream>

namespace tamarack::bench {

namespace {

constexpr int decisions = 20'000;
const ModelId model {"m"};

std::vector<Row> runScenarios(std::uint64_t seed)
{
    std::vector<Row> rows;
    for (const double load : {0.5, 0.9, 1.2}) {
        for (const Fault fault : {Fault::None, Fault::Dies, Fault::Freezes, Fault::SlowsDown}) {
            for (const Policy policy : {Policy::RoundRobin, Policy::LeastOutstanding,
                                        Policy::TwoChoices, Policy::Predicted}) {
                const Scenario scenario {policy, fault, load, seed};
                rows.push_back(Row {scenario, simulate(scenario)});
            }
        }
    }
    return rows;
}

/// Routing state in which every upstream has a learned speed and a recent load report.
RoutingState makeLoadedRoutingState(std::size_t upstreams, std::size_t sample, MonoTime now)
{
    Bundle bundle;
    bundle.version_ = BundleVersion {1};
    for (std::size_t i = 0; i < upstreams; ++i) {
        Upstream upstream;
        upstream.id_ = UpstreamId {fmt::format("engine-{:04}.tw-north", i)};
        upstream.zone_ = ZoneId {"z" + std::to_string(i % 6)};
        upstream.models_ = {model};
        bundle.upstreams_[upstream.id_] = upstream;
    }
    RoutingState state;
    state.settings_.sampleSize_ = sample;
    indexUpstreams(state, bundle);
    for (UpstreamState &upstream : state.upstreams_) {
        upstream.speed_.samples_ = 100;
        upstream.speed_.promptToken_ = PreciseMicros {100.0};
        upstream.speed_.service_ = PreciseMicros {1e6};
        upstream.speed_.correction_ = 0.1;
        upstream.speed_.updatedAt_ = now - Seconds {5};
        LoadReport report;
        report.upstream_ = upstream.id_;
        report.running_ = static_cast<std::uint32_t>(state.random_() % 8);
        report.slots_ = 8;
        report.models_ = {LoadedModel {ModelId {"other"}, {}, {}}, LoadedModel {model, {}, {}}};
        report.modelsKnown_ = true;
        report.requestedAt_ = now - Millis {300};
        recordLoadReport(state, report, now);
    }
    return state;
}

/// Returns the mean time of one routing decision.
PreciseMicros measureDecision(std::size_t upstreams, std::size_t sample)
{
    const MonoTime now {Seconds {1000}};
    RoutingState state = makeLoadedRoutingState(upstreams, sample, now);
    RouteQuery query;
    query.model_ = model;
    query.zone_ = ZoneId {"z0"};
    query.promptTokens_ = 500;
    query.promptBlocks_ = {1, 2, 3, 4};
    for (std::uint64_t holder = 0; holder < 8; ++holder)
        recordCachedPrefix(state.cache_, UpstreamIndex {holder}, query.promptBlocks_, now);
    std::size_t considered = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i)
        considered += chooseUpstream(state, query, now).considered_;
    const PreciseMicros total = std::chrono::steady_clock::now() - begin;
    if (considered == 0)
        fmt::print(stderr, "no routing decision considered any upstream\n");
    return total / decisions;
}

std::vector<DecisionCost> measureDecisions()
{
    std::vector<DecisionCost> costs;
    const std::size_t sample = RoutingSettings {}.sampleSize_;
    for (const std::size_t upstreams : {20, 200, 880})
        costs.push_back(DecisionCost {upstreams, measureDecision(upstreams, sample),
                                      measureDecision(upstreams, upstreams)});
    return costs;
}

} // namespace

} // namespace tamarack::bench

int main(int argc, char **argv)
{
    CLI::App app {"bench-routing: compares routing policies in a simulation"};
    std::string plot;
    std::uint64_t seed = 1;
    app.add_option("--svg", plot, "output file for an SVG plot");
    app.add_option("--seed", seed, "seed of the random number generator");
    CLI11_PARSE(app, argc, argv);
    const std::vector<tamarack::bench::Row> rows = tamarack::bench::runScenarios(seed);
    fmt::print("{}\n", tamarack::bench::markdownTable(rows));
    fmt::print("{}", tamarack::bench::markdownTable(tamarack::bench::measureDecisions()));
    if (!plot.empty())
        std::ofstream(plot) << tamarack::bench::svgPlot(rows);
}
