// Prompt parts that are expected to be cached at an instance. Guards against memory that clients
// with long prompts can fill.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <string>

namespace tamarack {

namespace {

constexpr MonoTime start {Seconds {100}};

/// Sends a prompt with parts that no other prompt has.
void sendPrompt(ChoiceState &state, const ChoiceSettings &settings, int number, std::size_t length,
                MonoTime now)
{
    RelayRequest request;
    request.usage_ = PromptUsage {};
    for (std::size_t i = 0; i < length; ++i)
        request.usage_->parts_.push_back(
            PromptPart {std::to_string(number) + '-' + std::to_string(i), Tokens {1}});
    Choice choice;
    choice.instance_ = UpstreamId {"i"};
    recordSent(state, settings, choice, request, WallTime {}, now);
}

} // namespace

TEST_CASE("prompts with many parts don't grow the memory of an instance's cached parts")
{
    // Only parts of a certain age were forgotten, whatever their number.
    const ChoiceSettings settings;
    const std::size_t length = GENERATE(3U, 1000U, 4096U, 9000U);
    const Millis interval {GENERATE(0, 1, 20)};
    ChoiceState state;
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        sendPrompt(state, settings, i, length, start + i * interval);
        const InstanceStats &record = state.instanceStats_.at(UpstreamId {"i"});
        most = std::max(most, record.cachedParts_.size());
        CHECK(record.cachedParts_.contains(std::to_string(i) + "-0"));
    }
    CHECK(most <= settings.maxCachedParts_);
}

} // namespace tamarack
