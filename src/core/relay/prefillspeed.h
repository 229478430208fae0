// Learned speed at which an engine processes prompts.
//
// Each engine process has its own speed, which the time to the first output shows if the request
// found no queue. The speed is the ratio of two decayed sums, so that long prompts count more than
// short ones, whose time is mostly network and first output.
#pragma once

#include "core/time.h"
#include "core/tokens.h"

namespace tamarack {

struct PrefillSpeedSettings
{
    /// Shorter prompts say nothing about the speed.
    Tokens minTokens_ {128};
    /// A request found little queue if the tokens before it were at most this share of its own.
    double maxQueueShare_ = 0.1;
    /// Weight that older samples keep with each new one.
    double retention_ = 0.97;
    /// Time constant of the decay of the samples of an unused engine.
    Millis lifetime_ {Seconds {180}};
    /// The initial value counts as much as a sample of this many tokens.
    Tokens initialWeight_ {1500};
    /// A sample that deviates from the assumed speed by more than this factor is limited to it: a
    /// prompt part was not cached as expected, or the engine had a queue that this daemon could not
    /// know.
    double maxDeviation_ = 3.0;
};

/// @brief Samples of an engine process. Invariant: time_ > 0 if tokens_ > 0.
struct PrefillSpeed
{
    double tokens_ = 0.0;
    PreciseMicros time_ {};
    MonoTime sampledAt_ {};
};

/// @brief Records the time in which an engine processed @a tokens of a prompt.
/// @param assumedPerMs tokens per millisecond that the prediction was based on
void recordPrefill(PrefillSpeed &speed, const PrefillSpeedSettings &settings, Tokens tokens,
                   PreciseMicros time, double assumedPerMs, MonoTime now);

/// @brief Returns the tokens per millisecond of the samples alone; 0 without samples.
double sampledPerMs(const PrefillSpeed &speed);

/// @brief Returns the tokens per millisecond to expect.
/// @param initialPerMs value without samples, which also limits the effect of the first ones
double learnedPerMs(const PrefillSpeed &speed, const PrefillSpeedSettings &settings,
                    double initialPerMs, MonoTime now);

} // namespace tamarack
