// Output of the routing benchmark: a Markdown table and an SVG plot.
#pragma once

#include "routingsimulation.h"

#include <string>
#include <vector>

namespace tamarack::bench {

/// @brief One scenario and its outcome.
struct Row
{
    Scenario scenario_;
    Outcome outcome_;
};

/// @brief Mean time of one routing decision.
struct DecisionCost
{
    std::size_t upstreams_ = 0;
    /// With the default sample size.
    PreciseMicros sampled_ {};
    /// With a sample of all upstreams.
    PreciseMicros all_ {};
};

/// @brief Returns a percentile of unsorted values, or 0 if there are none. Linear in their number.
/// @param rank percentile as a fraction, 0.95 for the 95th
double percentile(std::vector<double> values, double rank);

std::string markdownTable(const std::vector<Row> &rows);
std::string markdownTable(const std::vector<DecisionCost> &costs);

/// @brief Plots the 95th percentile of the time to first token for each scenario and policy as bars
/// on a logarithmic scale.
std::string svgPlot(const std::vector<Row> &rows);

} // namespace tamarack::bench
