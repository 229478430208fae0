// Markdown and SVG output of the routing benchmark.
#include "benchreport.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::bench {

namespace {

constexpr double plotWidth = 1200.0;
constexpr double plotHeight = 420.0;
constexpr double leftMargin = 60.0;
constexpr double topMargin = 40.0;
constexpr double barsHeight = 300.0;
constexpr double plotMinMillis = 10.0;
constexpr double plotMaxMillis = 10'000.0;
constexpr std::array<const char *, 4> colours {"#9aa5b1", "#5b8def", "#f2a33a", "#2a9d5c"};

double percentage(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

/// Ratio of the worst to the best 95th percentile among the client accounts; 0 without values.
double fairness(const Outcome &outcome)
{
    double best = 0.0;
    double worst = 0.0;
    for (const std::vector<double> &values : outcome.byAccount_) {
        if (values.empty())
            continue;
        const double value = percentile(values, 0.95);
        best = best == 0.0 ? value : std::min(best, value);
        worst = std::max(worst, value);
    }
    return best == 0.0 ? 0.0 : worst / best;
}

double barHeight(double millis)
{
    const double clamped = std::clamp(millis, plotMinMillis, plotMaxMillis);
    return barsHeight * std::log(clamped / plotMinMillis) / std::log(plotMaxMillis / plotMinMillis);
}

std::string svgAxis()
{
    std::string out;
    for (double millis = plotMinMillis; millis <= plotMaxMillis; millis *= 10.0) {
        const double y = topMargin + barsHeight - barHeight(millis);
        out += fmt::format("<line x1='{}' y1='{:.0f}' x2='{}' y2='{:.0f}' stroke='#ddd'/>"
                           "<text x='{}' y='{:.0f}' text-anchor='end'>{:.0f} ms</text>\n",
                           leftMargin, y, plotWidth, y, leftMargin - 4, y + 4, millis);
    }
    return out;
}

std::string svgLegend()
{
    std::string out;
    for (std::size_t i = 0; i < colours.size(); ++i) {
        const double x = leftMargin + 190.0 * static_cast<double>(i);
        out += fmt::format("<rect x='{}' y='10' width='12' height='12' fill='{}'/>"
                           "<text x='{}' y='20'>{}</text>\n",
                           x, colours[i], x + 16, policyName(static_cast<Policy>(i)));
    }
    return out;
}

} // namespace

double percentile(std::vector<double> values, double rank)
{
    if (values.empty())
        return 0.0;
    const auto index = static_cast<std::size_t>(rank * static_cast<double>(values.size() - 1));
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

std::string markdownTable(const std::vector<Row> &rows)
{
    std::string out
        = "| load | fault | policy | p50 ms | p95 ms | p99 ms | missed % | expired % | refused "
          "early % | false, any account % | false, own account % | attempts per request | "
          "worst/best account |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const Row &row : rows) {
        const Outcome &result = row.outcome_;
        out += fmt::format(
            "| {:.0f}% | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | "
            "{:.2f} | {:.3f} | "
            "{:.2f} |\n",
            row.scenario_.load_ * 100, faultName(row.scenario_.fault_),
            policyName(row.scenario_.policy_), percentile(result.firstTokenLatencies_, 0.5),
            percentile(result.firstTokenLatencies_, 0.95),
            percentile(result.firstTokenLatencies_, 0.99),
            percentage(result.missed_, result.requests_),
            percentage(result.expired_, result.requests_),
            percentage(result.refused_, result.requests_),
            percentage(result.falseRefusalsAnyAccount_, result.requests_),
            percentage(result.falseRefusalsSameAccount_, result.requests_),
            static_cast<double>(result.attempts_) / static_cast<double>(result.requests_),
            fairness(result));
    }
    return out;
}

std::string markdownTable(const std::vector<DecisionCost> &costs)
{
    std::string out = "| upstreams | sampled, us | all looked at, us |\n|---|---|---|\n";
    for (const DecisionCost &cost : costs)
        out += fmt::format("| {} | {:.2f} | {:.2f} |\n", cost.upstreams_, cost.sampled_.count(),
                           cost.all_.count());
    return out;
}

std::string svgPlot(const std::vector<Row> &rows)
{
    std::string out = fmt::format(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' font-family='sans-serif' "
        "font-size='11'>\n<rect width='100%' height='100%' fill='white'/>\n",
        plotWidth, plotHeight);
    out += svgAxis() + svgLegend();
    const std::size_t groups = rows.size() / colours.size();
    const double groupWidth = (plotWidth - leftMargin) / static_cast<double>(groups);
    const double barWidth = groupWidth / (static_cast<double>(colours.size()) + 1.0);
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const std::size_t group = i / colours.size();
        const std::size_t policy = i % colours.size();
        const double left = leftMargin + groupWidth * static_cast<double>(group);
        const double millis = percentile(rows[i].outcome_.firstTokenLatencies_, 0.95);
        const double height = barHeight(millis);
        out += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'>"
                           "<title>{:.0f} ms</title></rect>\n",
                           left + barWidth * (static_cast<double>(policy) + 0.5),
                           topMargin + barsHeight - height, barWidth - 1, height, colours[policy],
                           millis);
        if (policy == 0)
            out += fmt::format("<text x='{:.1f}' y='{}'>{:.0f}%</text>"
                               "<text x='{:.1f}' y='{}'>{}</text>\n",
                               left + barWidth / 2, topMargin + barsHeight + 16,
                               rows[i].scenario_.load_ * 100, left + barWidth / 2,
                               topMargin + barsHeight + 32, faultName(rows[i].scenario_.fault_));
    }
    out += fmt::format("<text x='{}' y='{}'>95th percentile of the time to first token by load and "
                       "fault; lower is better</text>\n</svg>\n",
                       leftMargin, plotHeight - 12);
    return out;
}

} // namespace tamarack::bench
