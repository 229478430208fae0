// The ports between a relay's control thread and its front end.
#pragma once

#include "core/relay/relay.h"

#include <functional>

namespace tamarack {

/// @brief Hands events to the relay's control thread. Safe to call from any thread.
struct RelayEventPort
{
    std::function<void(RelayEvent)> post_;
};

/// @brief Hands commands to the front end's traffic thread. Safe to call from any thread; never
/// blocks.
struct RelayFrontPort
{
    std::function<void(RelayCommand)> submit_;
};

} // namespace tamarack
