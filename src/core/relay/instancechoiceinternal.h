// Predictions that the choice of an instance and its statistics share. Internal to the library.
#pragma once

#include "core/relay/instancechoice.h"

#include <cmath>

namespace tamarack::choicedetail {

/// @brief Returns the extra delay that is left of what was last observed.
inline PreciseMicros learnedDelay(const InstanceStats &record, const ChoiceSettings &settings,
                                  MonoTime now)
{
    const PreciseMicros age = now - record.observedAt_;
    return record.extraDelay_ * std::exp(-age / PreciseMicros {settings.delayLifetime_});
}

/// @brief Returns the time in which an engine processes @a tokens of prompts.
inline PreciseMicros prefillTime(double tokensPerMs, Tokens tokens)
{
    return PreciseMicros {Millis {1}} / tokensPerMs * static_cast<double>(tokens.count_);
}

/// @brief Returns the statistics of an instance's current process, or nullptr.
const InstanceStats *findStats(const ChoiceState &state, const KnownInstance &known);

/// @brief Returns true if the load of other daemons is known.
bool knowsLoad(const ChoiceQuery &query);

/// @brief Returns the tokens of engine memory that a request may take.
Tokens contextTokens(const RelayRequest &request);

/// @brief Load of all daemons at an instance: own counts, and those of the others as far as they
/// are known.
struct Occupancy
{
    double running_ = 0.0;
    double queuedPrefill_ = 0.0;
    double contextTokens_ = 0.0;
};

Occupancy occupancyOf(const InstanceStats *record, const UpstreamId &id, const ChoiceQuery &query);

/// @brief Speeds that predictions for the engines of a service are based on.
struct Speeds
{
    /// Speeds are learned; otherwise mean_ applies to all engines.
    bool learned_ = false;
    /// Prompt tokens per millisecond of an engine of which nothing was learned.
    double mean_ = 0.0;
};

/// @brief Returns the mean of the learned speeds of a service's engines.
/// @note O(instances)
Speeds speedsOf(const ChoiceState &state, const ChoiceSettings &settings,
                const InstanceDirectory &directory, const ChoiceQuery &query);

/// @brief Returns the prompt tokens per millisecond of an engine: what this daemon has learned,
/// otherwise what others have, otherwise the mean.
double speedOf(const Speeds &speeds, const InstanceStats *record, const UpstreamId &id,
               const ChoiceSettings &settings, const ChoiceQuery &query, MonoTime now);

/// @brief Prediction for an instance.
struct Estimate
{
    PreciseMicros predicted_ {};
    /// Prompt tokens of earlier requests that an engine has still to process.
    Tokens queued_;
    /// Part of the prediction that the running requests cause.
    PreciseMicros runningDelay_ {};
};

Estimate engineEstimate(const Occupancy &occupancy, Tokens uncached, double tokensPerMs,
                        const ChoiceSettings &settings, const ChoiceQuery &query);

Estimate serviceEstimate(const Occupancy &occupancy, std::uint32_t slots,
                         const ChoiceSettings &settings);

} // namespace tamarack::choicedetail
