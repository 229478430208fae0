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

} // namespace tamarack::choicedetail
