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
struct RelayFrontendPort
{
    std::function<void(RelayCommand)> submit_;
};

/// @brief Levels of the control state, as they are after an event.
struct RelayGauges
{
    std::size_t active_ = 0;
    std::size_t instances_ = 0;
    ConfigVersion config_;
    std::uint32_t daemons_ = 0;
    Tokens tokensAvailable_;
    std::uint64_t droppedLogLines_ = 0;
};

/// @brief Records what the control thread sees and decides. Empty functions record nothing.
struct RelayMetricsPort
{
    std::function<void(const RelayEvent &)> event_;
    std::function<void(const RelayCommand &)> command_;
    /// An event was handled in @a time.
    std::function<void(Micros time, const RelayGauges &)> onEventHandled_;
};

} // namespace tamarack
