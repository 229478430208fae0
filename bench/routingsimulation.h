// Discrete-event simulation of the routing and admission functions against queueing models of
// engines. It compares routing policies; its absolute figures don't predict those of a fleet.
#pragma once

#include "core/core.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace tamarack::bench {

/// @brief Routing policy of all daemons in a run.
enum class Policy {
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    Predicted,
};

/// @brief Fault of engine 0, one of the fastest, during the middle third of a run.
enum class Fault {
    None,
    Dies,
    Freezes,
    SlowsDown,
};

std::string_view policyName(Policy policy);
std::string_view faultName(Fault fault);

/// @brief Parameters of one run.
struct Scenario
{
    Policy policy_ = Policy::Predicted;
    Fault fault_ = Fault::None;
    /// Arrival rate as a fraction of the total capacity of the engines.
    double load_ = 0.5;
    std::uint64_t seed_ = 1;
};

/// @brief Counts of the requests that arrived after the warm-up.
struct Outcome
{
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t answered_ = 0;
    /// Dispatched at least once and not refused, but without a first token before the deadline: the
    /// first token came too late, or the request failed without one.
    std::uint64_t missed_ = 0;
    /// Never dispatched to an engine: still in the admission queue at the deadline.
    std::uint64_t expired_ = 0;
    /// Refused before the deadline.
    std::uint64_t refused_ = 0;
    /// Refused early, although the engines could have served the request in time after all waiting
    /// requests of all accounts, in first-come, first-served order.
    std::uint64_t falseRefusalsAnyAccount_ = 0;
    /// Refused early, although a later request of the same account and daemon got its first token
    /// before the deadline of the refused one. Accounts are compared only with themselves because
    /// fair sharing may rightly prefer another account.
    std::uint64_t falseRefusalsSameAccount_ = 0;
    /// Times from arrival to first token in milliseconds, of the answered requests.
    std::vector<double> firstTokenLatencies_;
    /// The same times, by account index.
    std::vector<std::vector<double>> byAccount_;
};

/// @brief Runs one scenario. Deterministic: equal scenarios give equal outcomes.
Outcome simulate(const Scenario &scenario);

} // namespace tamarack::bench
