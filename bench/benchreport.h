// Output of the routing benchmark: a Markdown table and an SVG plot.
#pragma once

#include "routingsimulation.h"

#include <string>
#include <vector>

namespace tamarack::bench {

struct Row
{
    Scenario scenario_;
    Outcome outcome_;
};

/// @brief Cost of one decision.
struct DecisionCost
{
    std::size_t upstreams_ = 0;
    PreciseMicros sampled_ {};
    PreciseMicros all_ {};
};

/// @brief Returns a percentile of unsorted values, 0 if there are none.
double percentile(std::vector<double> values, double share);

std::string markdownTable(const std::vector<Row> &rows);
std::string markdownTable(const std::vector<DecisionCost> &costs);

/// @brief Bars of the 95th percentile for each scenario and policy on a logarithmic scale.
std::string svgPlot(const std::vector<Row> &rows);

} // namespace tamarack::bench
