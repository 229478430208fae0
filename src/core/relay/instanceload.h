// What a daemon knows of the load that the other daemons cause at the instances.
//
// Each daemon adds its own counts to the requests for documents that it sends to the observers of
// its zone anyway, and the observers add the sums that they know to their replies. Counts that are
// not renewed lose weight, and the sums are scaled up to all daemons of a zone, so that a silent
// daemon is taken for an average one and not for an idle one.
#pragma once

#include "core/ids.h"
#include "core/instanceload.h"
#include "core/relay/peerranking.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace tamarack {

struct ChoiceState;

struct LoadSettings
{
    /// A report has its full weight up to this age. A daemon reports to one of two observers every
    /// 300 ms, and now and then to another zone.
    Millis fullWeightAge_ {600};
    /// A report of this age has no weight.
    Millis maxAge_ {2000};
    /// If a smaller share of a zone's daemons reports, the sums are scaled as for this share, so
    /// that the last report of a zone that falls silent doesn't stand for all its daemons.
    double minReportShare_ = 0.25;
    /// Maximum number of instances in a report or in sums. The busiest ones are reported.
    std::size_t maxEntries_ = 128;
    /// Sums of an observer are renewed at most this often, because each takes a pass over all
    /// reports.
    Millis refreshInterval_ {200};
};

using LoadList = std::shared_ptr<const std::vector<InstanceLoad>>;

/// @brief The load that one daemon reported.
struct PeerLoad
{
    ZoneId zone_;
    MonoTime at_ {};
    LoadList loads_;
};

/// @brief Weighted sum of the load that daemons cause at one instance.
struct LoadSum
{
    double running_ = 0.0;
    double queuedPrefill_ = 0.0;
    double contextTokens_ = 0.0;
    /// Mean of the learned speeds, in prompt tokens per millisecond; 0 if unknown.
    double prefillPerMs_ = 0.0;
    double speedWeight_ = 0.0;
};

using LoadSums = std::map<UpstreamId, LoadSum>;

/// @brief Sums that an observer replied with.
struct ReceivedLoads
{
    LoadSums sums_;
    /// Number of daemons that the sums stand for.
    std::uint32_t daemons_ = 0;
    bool sameZone_ = true;
    MonoTime at_ {};
};

/// @brief The load of other daemons, as far as this daemon knows it.
///
/// Invariants: reports_ contains only daemons of the last known fleet; weight_ is in [0, 1] and 0
/// if nothing is known.
struct InstanceLoads
{
    ZoneId zone_;
    /// Other live daemons by zone.
    std::map<ZoneId, std::uint32_t> daemonsOfZone_;
    std::map<HostId, ZoneId> zoneOfPeer_;
    std::map<HostId, PeerLoad> reports_;
    std::optional<ReceivedLoads> received_;
    /// Sums for the choice of an instance: of the reports or those received, whichever stand for
    /// more daemons.
    LoadSums others_;
    /// How far others_ is to be trusted; the rest is estimated from this daemon's own requests.
    double weight_ = 0.0;
    /// Number of daemons that others_ stands for, and when the newest of it arrived.
    std::uint32_t daemons_ = 0;
    std::optional<MonoTime> knownAt_;
    std::optional<MonoTime> refreshedAt_;
};

/// @brief Updates the known daemons, and forgets the reports of all others.
void updateLoadPeers(InstanceLoads &loads, const PeerAddress &self,
                     const std::vector<PeerAddress> &peers);

/// @brief Returns the load that this daemon causes, the busiest instances first.
std::vector<InstanceLoad> ownLoads(const ChoiceState &state, const LoadSettings &settings);

/// @brief Records the report of a daemon; ignored if the daemon is not known.
void recordLoadReport(InstanceLoads &loads, const LoadSettings &settings, const HostId &from,
                      LoadList report, MonoTime now);

/// @brief Records the sums that an observer replied with.
/// @param daemons number of daemons that the sums stand for; 0 if the observer knows none
void recordReceivedLoads(InstanceLoads &loads, const LoadSettings &settings, const HostId &from,
                         const std::vector<InstanceLoad> &sums, std::uint32_t daemons,
                         MonoTime now);

/// @brief Returns the weight of counts of this age.
double loadWeight(const LoadSettings &settings, Millis age);

/// @brief Renews the sums for the choice if they are older than the refresh interval.
/// @return true if they were renewed
/// @note O(reports x instances)
bool refreshLoads(InstanceLoads &loads, const LoadSettings &settings, MonoTime now);

/// @brief Forgets all reports and sums.
void forgetLoads(InstanceLoads &loads);

/// @brief Sums for replies to other daemons, with what is needed to leave out the receiver.
struct LoadOffer
{
    LoadSums sums_;
    double daemons_ = 0.0;
    std::size_t maxEntries_ = 0;
    /// Reports that the sums contain, with their weights.
    std::map<HostId, std::pair<double, LoadList>> included_;
};

/// @brief Loads for one reply.
struct OfferedLoads
{
    std::vector<InstanceLoad> loads_;
    std::uint32_t daemons_ = 0;
};

/// @brief Returns the sums of the reports and of this daemon's own load.
/// @note O(reports x instances)
LoadOffer makeLoadOffer(const InstanceLoads &loads, const LoadSettings &settings,
                        const std::vector<InstanceLoad> &own, MonoTime now);

/// @brief Returns the sums without the load of the receiver.
/// @note O(instances)
OfferedLoads offeredLoads(const LoadOffer &offer, const HostId &receiver);

} // namespace tamarack
