// A discrete-event loop over the routing and admission functions, with simple queue models of
// upstreams. It measures policies against each other; it is no model of the fleet.
#pragma once

#include "core/core.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace tamarack::bench {

enum class Policy {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    Predicted,
};

/// What happens to the fastest upstream in the middle third of a run.
enum class Fault {
    None,
    Dies,
    Freezes,
    SlowsDown,
};

std::string_view policyName(Policy policy);
std::string_view faultName(Fault fault);

struct Scenario
{
    Policy policy_ = Policy::Predicted;
    Fault fault_ = Fault::None;
    /// Arrivals as a share of what all upstreams can serve.
    double load_ = 0.5;
    std::uint64_t seed_ = 1;
};

struct Outcome
{
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t answered_ = 0;
    /// Sent to an engine, but without a first token before the deadline.
    std::uint64_t missed_ = 0;
    /// Refused at the deadline, without having been sent.
    std::uint64_t expired_ = 0;
    /// Refused before the deadline.
    std::uint64_t refused_ = 0;
    /// Refused early although the engines could have served everything that waited, first come
    /// first served over all accounts, in time.
    std::uint64_t falseRefusalsAnyAccount_ = 0;
    /// Refused early although a later request of the same account and daemon had its first token
    /// before the deadline of the refused one. This respects the fair shares of the accounts.
    std::uint64_t falseRefusalsOwnAccount_ = 0;
    /// Times to first token in milliseconds.
    std::vector<double> firstTokens_;
    std::vector<std::vector<double>> byAccount_;
};

/// @brief Runs one scenario; the same scenario gives the same outcome.
Outcome simulate(const Scenario &scenario);

} // namespace tamarack::bench
