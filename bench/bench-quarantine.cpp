// Measures what prompts with many parts cost the control thread, in the quarantine and in the
// choice of an instance, for docs/decisions/quarantine.md. Prints a Markdown table of microseconds
// for each call.
#include "core/relay/relay.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

namespace tamarack {

namespace {

constexpr MonoTime start {Seconds {1000}};

RelayRequest requestWithParts(const std::string &name, std::size_t parts)
{
    RelayRequest request;
    request.usage_ = PromptUsage {};
    for (std::size_t i = 0; i <= parts; ++i)
        request.usage_->parts_.push_back(PromptPart {name + std::to_string(i), Tokens {10}});
    return request;
}

InstanceProcess process(int number)
{
    return InstanceProcess {UpstreamId {"i" + std::to_string(number)}, WallTime {Millis {1}}};
}

PreciseMicros timePerCall(int calls, const std::function<void(int)> &call)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i)
        call(i);
    return PreciseMicros {std::chrono::steady_clock::now() - begin} / calls;
}

/// A quarantine that remembers crashes on which requests with different parts were waiting.
Quarantine withCrashes(const QuarantineSettings &settings, int crashes, std::size_t parts)
{
    Quarantine quarantine;
    for (int i = 0; i < crashes; ++i)
        recordCrash(quarantine, settings, process(i), std::to_string(i),
                    sharedParts(requestWithParts("c" + std::to_string(i) + '-', parts)),
                    start + Seconds {i});
    return quarantine;
}

/// Returns the time to choose one of 20 engines that all have the prompt cached, and to record it.
PreciseMicros timeOfChoice(const RelayRequest &request, int calls)
{
    constexpr int engines = 20;
    const ChoiceSettings settings;
    ChoiceState state;
    InstanceDirectory directory;
    RelayService service {ServiceId {"llm"}, 370, EngineSpec {64, Tokens {400'000}, 3}};
    for (int i = 0; i < engines; ++i) {
        ListedInstance listed;
        listed.instance_.id_ = UpstreamId {"e" + std::to_string(i)};
        listed.instance_.service_ = service.id_;
        listed.instance_.zone_ = ZoneId {"z"};
        upsertInstance(directory, listed);
        Choice choice;
        choice.instance_ = listed.instance_.id_;
        recordSent(state, settings, choice, request, WallTime {}, start);
        recordEnded(state, settings, choice, InstanceOutcome::Success, false, start);
    }
    ChoiceQuery query;
    query.request_ = &request;
    query.service_ = &service;
    query.zone_ = ZoneId {"z"};
    return timePerCall(calls, [&](int) {
        const auto choice = chooseInstance(state, settings, directory, query, start);
        if (!choice)
            return;
        recordSent(state, settings, *choice, request, WallTime {}, start);
        recordEnded(state, settings, *choice, InstanceOutcome::Success, true, start);
    });
}

void printRow(std::size_t parts)
{
    const QuarantineSettings settings;
    const RelayRequest request = requestWithParts("shared", parts);
    constexpr int calls = 200;

    Quarantine calm;
    const PreciseMicros response = timePerCall(calls, [&](int i) {
        recordResponse(calm, settings, sharedParts(request), start + Millis {i});
    });

    // Suspects at the bound of the memory.
    Quarantine full = withCrashes(settings, 100, parts);
    const PreciseMicros crash = timePerCall(20, [&](int i) {
        recordCrash(full, settings, process(1000 + i), std::to_string(i),
                    sharedParts(requestWithParts("d" + std::to_string(i) + '-', parts)),
                    start + Seconds {100 + i});
    });
    const PreciseMicros clearance = timePerCall(20, [&](int i) {
        recordResponse(full, settings,
                       sharedParts(requestWithParts("d" + std::to_string(i) + '-', parts)),
                       start + Seconds {130});
    });

    Quarantine condemning;
    for (int i = 0; i < 6; ++i)
        recordCrash(condemning, settings, process(i), std::to_string(i),
                    sharedParts(requestWithParts("deadly", 1)), start + Seconds {i});
    const PreciseMicros check = timePerCall(calls, [&](int) {
        checkQuarantine(condemning, settings, sharedParts(request), start + Seconds {7});
    });
    fmt::print("| {} | {:.1f} | {:.1f} | {:.0f} | {:.0f} | {} | {:.0f} |\n", parts,
               response.count(), check.count(), crash.count(), clearance.count(),
               full.suspects_.size(), timeOfChoice(request, calls).count());
}

} // namespace

} // namespace tamarack

int main()
{
    fmt::print("| parts | response | check while a part is quarantined | crash, memory full | "
               "response that clears, memory full | suspects | choice of an engine |\n"
               "|---|---|---|---|---|---|---|\n");
    for (const std::size_t parts : {std::size_t {3}, std::size_t {20}, std::size_t {100},
                                    std::size_t {1000}, std::size_t {2700}})
        tamarack::printRow(parts);
    return 0;
}
