// The availability zones to which a request must not be sent: evacuated ones, and those outside the
// allowed regions.
#include "core/relay/homes.h"
#include "core/relay/relayinternal.h"

#include <algorithm>
#include <utility>

namespace tamarack::relaydetail {

namespace {

constexpr int statusServiceUnavailable = 503;

void logZone(RelayCommands &out, const std::string &event, const ZoneId &zone,
             StorePosition position, const std::string &source)
{
    logLine(out, LogLevel::Warning, event,
            {{"zone", zone.value_},
             {"era", std::to_string(position.era_.value_)},
             {"revision", std::to_string(position.revision_.value_)},
             {"source", source}});
}

/// Handles the end of a zone's evacuation. Its instances may have become cold meanwhile.
void onZoneReturned(RelayState &state, const ZoneId &zone, StorePosition position,
                    const std::string &source, MonoTime now, RelayCommands &out)
{
    logZone(out, "zone.returned", zone, position, source);
    markZoneCold(state.cold_, state.directory_, zone, now);
}

bool isHome(const RelayState &state, const RelayedRequest &active, const ZoneId &zone)
{
    return !active.allowedRegions_
        || isAllowedZone(state.settings_.regions_, *active.allowedRegions_, zone);
}

/// Returns the zones with instances that are outside the regions that a request allows.
std::set<ZoneId> foreignZones(const RelayState &state, const RelayedRequest &active)
{
    std::set<ZoneId> zones;
    if (!active.allowedRegions_)
        return zones;
    for (const auto &[id, known] : state.directory_.known_) {
        if (!isHome(state, active, known.instance_.zone_))
            zones.insert(known.instance_.zone_);
    }
    return zones;
}

/// Returns true if all zones that have instances of the request's services, in regions that it
/// allows, are evacuated, and there is at least one.
bool areAllZonesEvacuated(const RelayState &state, const RelayedRequest &active)
{
    bool found = false;
    for (const auto &[id, known] : state.directory_.known_) {
        const Instance &instance = known.instance_;
        const bool isTarget
            = std::any_of(active.route_->targets_.begin(), active.route_->targets_.end(),
                          [&instance](const RelayTarget &target) {
                              return target.service_ == instance.service_ && target.weight_ > 0;
                          });
        if (!isTarget || !isHome(state, active, instance.zone_))
            continue;
        if (!isEvacuated(state.evacuations_, instance.zone_))
            return false;
        found = true;
    }
    return found;
}

} // namespace

std::set<ZoneId> excludedZones(const RelayState &state, const RelayedRequest &active)
{
    std::set<ZoneId> zones = foreignZones(state, active);
    for (const auto &[zone, evacuation] : state.evacuations_.zones_)
        zones.insert(zone);
    return zones;
}

void countEvacuationSkip(RelayState &state, RelayedRequest &active, MonoTime now)
{
    if (state.evacuations_.zones_.empty() || std::exchange(active.evacuationSkipChecked_, true))
        return;
    const std::optional<Placement> best
        = chooseAcrossServices(state, active, foreignZones(state, active), true, now);
    if (!best)
        return;
    const Instance &instance = state.directory_.known_.at(best->choice_.instance_).instance_;
    if (isEvacuated(state.evacuations_, instance.zone_))
        ++state.evacuationSkips_;
}

bool refuseWithoutZone(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (active.allowedRegions_
        && !hasAllowedZone(state.settings_.regions_, *active.allowedRegions_)) {
        refuse(state, active, statusServiceUnavailable, "no_home", now, out);
        return true;
    }
    if (state.evacuations_.zones_.empty() || !areAllZonesEvacuated(state, active))
        return false;
    countEvacuationSkip(state, active, now);
    failWithoutInstance(state, active, "zones_evacuated", std::nullopt, now, out);
    return true;
}

void recheckWaiting(RelayState &state, MonoTime now, RelayCommands &out)
{
    std::vector<ExchangeId> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ != RelayStage::AwaitingPermit || !active.awaitedPermit_)
            continue;
        const auto known = state.directory_.known_.find(active.awaitedPermit_->process_.instance_);
        if (known != state.directory_.known_.end()
            && isEvacuated(state.evacuations_, known->second.instance_.zone_))
            waiting.push_back(id);
    }
    for (const ExchangeId id : waiting)
        dispatch(state, state.active_.at(id), now, out);
    resumeWaitingForInstance(state, now, out);
}

void endLostEvacuations(RelayState &state, MonoTime now, RelayCommands &out)
{
    if (state.evacuations_.zones_.empty())
        return;
    const std::vector<ZoneId> ended = endUnconfirmedEvacuations(state.evacuations_, now);
    for (const ZoneId &zone : ended)
        onZoneReturned(state, zone, state.evacuations_.ended_.at(zone).position_, "unconfirmed",
                       now, out);
    if (!ended.empty())
        recheckWaiting(state, now, out);
}

void onEvent(RelayState &state, const EvacuationsListed &event, MonoTime now, RelayCommands &out)
{
    const EvacuationChanges changes
        = applyEvacuationListing(state.evacuations_, event.evacuations_, event.position_,
                                 state.settings_.evacuationSettleTime_, now);
    for (const ZoneId &zone : changes.began_)
        logZone(out, "zone.evacuated", zone, state.evacuations_.zones_.at(zone).position_,
                sourceName(event.source_));
    for (const ZoneId &zone : changes.ended_)
        onZoneReturned(state, zone, event.position_, sourceName(event.source_), now, out);
    if (!changes.began_.empty() || !changes.ended_.empty())
        recheckWaiting(state, now, out);
}

void onEvent(RelayState &state, const EvacuationChanged &event, MonoTime now, RelayCommands &out)
{
    const ListedEvacuation &listed = event.listed_;
    if (!applyEvacuation(state.evacuations_, listed.zone_, listed.position_, now))
        return;
    logZone(out, "zone.evacuated", listed.zone_, listed.position_, sourceName(event.source_));
    recheckWaiting(state, now, out);
}

void onEvent(RelayState &state, const EvacuationRemoved &event, MonoTime now, RelayCommands &out)
{
    const ListedEvacuation &listed = event.listed_;
    if (!removeEvacuation(state.evacuations_, listed.zone_, listed.position_, now))
        return;
    onZoneReturned(state, listed.zone_, listed.position_, sourceName(event.source_), now, out);
    recheckWaiting(state, now, out);
}

} // namespace tamarack::relaydetail
