// What a daemon knows of the load that the other daemons cause at the instances.
#include "core/relay/instanceload.h"

#include "core/relay/instancechoice.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

Millis ageOf(MonoTime at, MonoTime now)
{
    return std::chrono::duration_cast<Millis>(now - at);
}

/// Adds counts to a sum. The weight may be negative to take them out again.
void addLoad(LoadSum &sum, const InstanceLoad &load, double weight)
{
    sum.running_ += weight * load.running_;
    sum.queuedPrefill_ += weight * static_cast<double>(load.queuedPrefill_.count_);
    sum.contextTokens_ += weight * static_cast<double>(load.contextTokens_.count_);
    if (load.prefillPerMs_ <= 0.0 || weight <= 0.0)
        return;
    sum.speedWeight_ += weight;
    sum.prefillPerMs_ += (load.prefillPerMs_ - sum.prefillPerMs_) * weight / sum.speedWeight_;
}

/// Sums of reports, and the number of daemons that they stand for.
struct ScaledSums
{
    LoadSums sums_;
    double daemons_ = 0.0;
    /// How far the sums cover the daemons of this zone, in [0, 1].
    double weight_ = 0.0;
    std::optional<MonoTime> newest_;
};

/// Weights of the reports of each zone, divided by the share of its daemons that report.
std::map<ZoneId, double> zoneScales(const InstanceLoads &loads, const LoadSettings &settings,
                                    MonoTime now)
{
    std::map<ZoneId, double> weights;
    for (const auto &[host, report] : loads.reports_)
        weights[report.zone_] += loadWeight(settings, ageOf(report.at_, now));
    std::map<ZoneId, double> scales;
    for (const auto &[zone, weight] : weights) {
        const auto known = loads.daemonsOfZone_.find(zone);
        if (known == loads.daemonsOfZone_.end() || weight <= 0.0)
            continue;
        const double daemons = known->second;
        scales[zone] = std::clamp(daemons / weight, 1.0, 1.0 / settings.minReportShare_);
    }
    return scales;
}

ScaledSums sumReports(const InstanceLoads &loads, const LoadSettings &settings, MonoTime now)
{
    ScaledSums result;
    double ownZone = 0.0;
    const std::map<ZoneId, double> scales = zoneScales(loads, settings, now);
    for (const auto &[host, report] : loads.reports_) {
        const auto scale = scales.find(report.zone_);
        const double weight = loadWeight(settings, ageOf(report.at_, now));
        if (scale == scales.end() || weight <= 0.0)
            continue;
        for (const InstanceLoad &load : *report.loads_)
            addLoad(result.sums_[load.instance_], load, weight * scale->second);
        result.daemons_ += weight * scale->second;
        result.newest_ = std::max(result.newest_.value_or(report.at_), report.at_);
        if (report.zone_ == loads.zone_)
            ownZone += weight;
    }
    const auto zone = loads.daemonsOfZone_.find(loads.zone_);
    if (zone != loads.daemonsOfZone_.end() && zone->second > 0)
        result.weight_ = std::min(ownZone / (zone->second * settings.minReportShare_), 1.0);
    return result;
}

template <typename Number>
Number rounded(double value)
{
    return static_cast<Number>(std::llround(std::max(value, 0.0)));
}

InstanceLoad toLoad(const UpstreamId &id, const LoadSum &sum)
{
    return InstanceLoad {id, rounded<std::uint32_t>(sum.running_),
                         Tokens {rounded<std::int64_t>(sum.queuedPrefill_)},
                         Tokens {rounded<std::int64_t>(sum.contextTokens_)}, sum.prefillPerMs_};
}

/// Keeps the busiest instances.
void limitEntries(std::vector<InstanceLoad> &loads, std::size_t maxEntries)
{
    const auto isBusier = [](const InstanceLoad &a, const InstanceLoad &b) {
        return a.running_ > b.running_;
    };
    if (loads.size() <= maxEntries)
        return;
    std::nth_element(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(maxEntries),
                     loads.end(), isBusier);
    loads.resize(maxEntries);
}

/// Returns the fraction of the other daemons of the zone whose load the received sums contain.
double receivedCoverage(const InstanceLoads &loads)
{
    const auto others = static_cast<double>(
        std::count_if(loads.zoneOfPeer_.begin(), loads.zoneOfPeer_.end(),
                      [&loads](const auto &peer) { return peer.second == loads.zone_; }));
    return others > 0.0 ? std::min(loads.received_->daemons_ / others, 1.0) : 1.0;
}

} // namespace

double loadWeight(const LoadSettings &settings, Millis age)
{
    if (age <= settings.fullWeightAge_)
        return 1.0;
    if (age >= settings.maxAge_)
        return 0.0;
    return PreciseMicros {settings.maxAge_ - age}
    / PreciseMicros {settings.maxAge_ - settings.fullWeightAge_};
}

void updateLoadPeers(InstanceLoads &loads, const PeerAddress &self,
                     const std::vector<PeerAddress> &peers)
{
    loads.zone_ = self.zone_;
    loads.daemonsOfZone_.clear();
    loads.zoneOfPeer_.clear();
    for (const PeerAddress &peer : peers) {
        ++loads.daemonsOfZone_[peer.zone_];
        loads.zoneOfPeer_[peer.host_] = peer.zone_;
    }
    std::erase_if(loads.reports_,
                  [&](const auto &entry) { return !loads.zoneOfPeer_.contains(entry.first); });
}

std::vector<InstanceLoad> ownLoads(const ChoiceState &state, const LoadSettings &settings)
{
    std::vector<InstanceLoad> loads;
    for (const auto &[id, record] : state.instanceStats_) {
        if (record.running_ > 0)
            loads.push_back(InstanceLoad {id, record.running_, record.queuedPrefill_,
                                          record.contextTokens_, sampledPerMs(record.speed_)});
    }
    limitEntries(loads, settings.maxEntries_);
    return loads;
}

void recordLoadReport(InstanceLoads &loads, const LoadSettings &settings, const HostId &from,
                      LoadList report, MonoTime now)
{
    const auto peer = loads.zoneOfPeer_.find(from);
    if (peer == loads.zoneOfPeer_.end() || !report || report->size() > settings.maxEntries_)
        return;
    loads.reports_[from] = PeerLoad {peer->second, now, std::move(report)};
}

void recordReceivedLoads(InstanceLoads &loads, const LoadSettings &settings, const HostId &from,
                         const std::vector<InstanceLoad> &sums, std::uint32_t daemons, MonoTime now)
{
    if (daemons == 0 || sums.size() > settings.maxEntries_)
        return;
    const auto peer = loads.zoneOfPeer_.find(from);
    const bool sameZone = peer != loads.zoneOfPeer_.end() && peer->second == loads.zone_;
    // The observers of this zone know the load of its daemons better than those of other zones.
    const bool hasBetter = loads.received_ && loads.received_->sameZone_ && !sameZone
        && ageOf(loads.received_->at_, now) <= settings.fullWeightAge_;
    if (hasBetter)
        return;
    ReceivedLoads received {{}, daemons, sameZone, now};
    for (const InstanceLoad &load : sums)
        addLoad(received.sums_[load.instance_], load, 1.0);
    loads.received_ = std::move(received);
    loads.refreshedAt_.reset();
}

bool refreshLoads(InstanceLoads &loads, const LoadSettings &settings, MonoTime now)
{
    if (loads.refreshedAt_ && now - *loads.refreshedAt_ < settings.refreshInterval_)
        return false;
    loads.refreshedAt_ = now;
    std::erase_if(loads.reports_, [&](const auto &entry) {
        return ageOf(entry.second.at_, now) >= settings.maxAge_;
    });
    if (loads.received_ && ageOf(loads.received_->at_, now) >= settings.maxAge_)
        loads.received_.reset();
    // An observer that has just become one knows the reports of few daemons.
    const double receivedWeight = loads.received_
        ? loadWeight(settings, ageOf(loads.received_->at_, now)) * receivedCoverage(loads)
        : 0.0;
    ScaledSums reported = sumReports(loads, settings, now);
    if (loads.received_ && loads.received_->daemons_ * receivedWeight >= reported.daemons_) {
        loads.others_ = loads.received_->sums_;
        loads.weight_ = receivedWeight;
        loads.daemons_ = loads.received_->daemons_;
        loads.knownAt_ = loads.received_->at_;
        return true;
    }
    loads.others_ = std::move(reported.sums_);
    loads.weight_ = reported.weight_;
    loads.daemons_ = rounded<std::uint32_t>(reported.daemons_);
    loads.knownAt_ = reported.newest_;
    return true;
}

void forgetLoads(InstanceLoads &loads)
{
    loads.reports_.clear();
    loads.received_.reset();
    loads.others_.clear();
    loads.weight_ = 0.0;
    loads.daemons_ = 0;
    loads.knownAt_.reset();
    loads.refreshedAt_.reset();
}

LoadOffer makeLoadOffer(const InstanceLoads &loads, const LoadSettings &settings,
                        const std::vector<InstanceLoad> &own, MonoTime now)
{
    ScaledSums reported = sumReports(loads, settings, now);
    LoadOffer offer;
    offer.maxEntries_ = settings.maxEntries_;
    offer.sums_ = std::move(reported.sums_);
    for (const InstanceLoad &load : own)
        addLoad(offer.sums_[load.instance_], load, 1.0);
    offer.daemons_ = reported.daemons_ + 1.0;
    const std::map<ZoneId, double> scales = zoneScales(loads, settings, now);
    for (const auto &[host, report] : loads.reports_) {
        const auto scale = scales.find(report.zone_);
        const double weight = loadWeight(settings, ageOf(report.at_, now));
        if (scale != scales.end() && weight > 0.0)
            offer.included_[host] = {weight * scale->second, report.loads_};
    }
    return offer;
}

OfferedLoads offeredLoads(const LoadOffer &offer, const HostId &receiver)
{
    OfferedLoads offered;
    const auto own = offer.included_.find(receiver);
    const double ownWeight = own == offer.included_.end() ? 0.0 : own->second.first;
    std::map<UpstreamId, const InstanceLoad *> ownLoad;
    if (own != offer.included_.end()) {
        for (const InstanceLoad &load : *own->second.second)
            ownLoad[load.instance_] = &load;
    }
    for (const auto &[id, sum] : offer.sums_) {
        LoadSum others = sum;
        if (const auto found = ownLoad.find(id); found != ownLoad.end())
            addLoad(others, *found->second, -ownWeight);
        const InstanceLoad load = toLoad(id, others);
        if (load.running_ > 0)
            offered.loads_.push_back(load);
    }
    limitEntries(offered.loads_, offer.maxEntries_);
    offered.daemons_ = rounded<std::uint32_t>(offer.daemons_ - ownWeight);
    return offered;
}

} // namespace tamarack
