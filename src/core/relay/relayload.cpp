// Load at the instances: what this daemon tells the others, and what it knows of theirs.
#include "core/relay/relayinternal.h"

#include <memory>
#include <string>
#include <utility>

namespace tamarack::relaydetail {

namespace {

void logSharing(RelayState &state, bool shares, RelayCommands &out)
{
    if (std::exchange(state.sharesLoad_, shares) == shares)
        return;
    logLine(
        out, LogLevel::Info, "load.sharing",
        {{"active", shares ? "yes" : "no"}, {"daemons", std::to_string(state.fleet_.daemons_)}});
}

void publish(RelayState &state, std::shared_ptr<const LoadOffer> offer, RelayCommands &out)
{
    const bool publishes = offer != nullptr;
    if (publishes || state.loadsPublished_)
        out.emplace_back(PublishLoads {std::move(offer)});
    state.loadsPublished_ = publishes;
}

} // namespace

bool sharesLoad(const RelayState &state)
{
    return state.settings_.shareLoadFrom_ > 0
        && state.fleet_.daemons_ >= state.settings_.shareLoadFrom_;
}

const InstanceLoads *loadsForChoice(const RelayState &state)
{
    return sharesLoad(state) ? &state.loads_ : nullptr;
}

void updateLoads(RelayState &state, MonoTime now, RelayCommands &out)
{
    const bool shares = sharesLoad(state);
    logSharing(state, shares, out);
    if (!shares) {
        forgetLoads(state.loads_);
        publish(state, nullptr, out);
        return;
    }
    const LoadSettings &settings = state.settings_.load_;
    if (!refreshLoads(state.loads_, settings, now))
        return;
    // Only the observers are asked for documents, so the other daemons have no reports.
    if (state.loads_.reports_.empty()) {
        publish(state, nullptr, out);
        return;
    }
    publish(state,
            std::make_shared<const LoadOffer>(
                makeLoadOffer(state.loads_, settings, ownLoads(state.choice_, settings), now)),
            out);
}

} // namespace tamarack::relaydetail
