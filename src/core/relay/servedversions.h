// The record of the software versions at which streams have begun lately, one key of the store.
//
// A daemon that doesn't know where a stream began, for example because all daemons were killed, may
// continue it only if there is a single version at which it can have begun. The record shows these
// versions, also those whose instances have left meanwhile. So no stream is sent to a version
// before the store has confirmed that the record has it; that costs one write for each version of a
// service.
//
// A version leaves the record once no instance of it has been seen for longer than any client may
// take a stream up. A daemon stops relying on a confirmation after half of that time without an
// instance, so a version that comes back is written again before it is used.
#pragma once

#include "core/command.h"
#include "core/ids.h"
#include "core/store.h"
#include "core/streamorigin.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarack {

struct ServedVersionSettings
{
    StoreKey key_ {"tamarack/versions"};
    /// How long a version is kept after its last instance was seen. Longer than clients wait for a
    /// stream, plus the time for which a daemon without contact may use instances that have left.
    Millis retention_ {60'000};
    /// A daemon that does not follow the store waits this long for a peer to confirm a version
    /// before it calls the store itself: two intervals of document requests.
    Millis peerWait_ {700};
    /// Minimum time between two reads for streams of unknown origin.
    Millis readInterval_ {100};
    /// Delay after a failed call; it doubles with each further one up to maxRetryDelay_.
    Millis retryDelay_ {300};
    Millis maxRetryDelay_ {2400};
};

/// @brief A copy of the record.
struct VersionRecordCopy
{
    VersionRecord record_;
    Revision revision_;
    /// When the call that returned the copy was started: the copy has every version that was
    /// confirmed before.
    MonoTime readAt_ {};
};

/// @brief A call in progress.
struct VersionCall
{
    CallId id_;
    MonoTime startedAt_ {};
    /// What a write puts in the place of the record; nothing for a read.
    std::optional<VersionRecord> written_;
};

/// @brief What this daemon knows of the served versions.
struct ServedVersions
{
    /// Nothing if the store has not replied in its present era.
    std::optional<VersionRecordCopy> copy_;
    StoreEra era_;
    /// When an instance of each version was last seen, for the versions of the services that
    /// matter.
    std::map<ServedVersion, MonoTime> seenAt_;
    /// When each of the versions that are served now, and are not confirmed, was first seen.
    std::map<ServedVersion, MonoTime> unconfirmedSince_;
    /// Versions that were not served for so long that their place in the record has to be renewed.
    std::set<ServedVersion> renewals_;
    /// Versions that peers have confirmed in the present era.
    std::set<ServedVersion> confirmedByPeers_;
    std::optional<VersionCall> call_;
    std::uint64_t lastCall_ = 0;
    MonoTime nextCallAt_ {};
    /// Delay after the next failed call.
    Millis backoff_ {300};
    /// A copy that was read after this time is needed for a stream of unknown origin.
    std::optional<MonoTime> readWantedAt_;
    /// The services that have resumable streams.
    std::set<ServiceId> services_;
};

/// @brief Records the versions of the instances that are known now.
/// @note O(versions x log versions)
void noteServed(ServedVersions &versions, const ServedVersionSettings &settings,
                const std::set<ServedVersion> &served, MonoTime now);

/// @brief Returns true if streams may begin at a version.
bool isConfirmed(const ServedVersions &versions, const ServedVersion &version);

/// @brief Returns the versions at which streams of a service may begin.
std::set<SoftwareVersion> confirmedVersions(const ServedVersions &versions,
                                            const ServiceId &service);

/// @brief Returns the versions that this daemon may confirm to others.
ConfirmedVersions versionsToConfirm(const ServedVersions &versions);

/// @brief Records the versions that a peer has confirmed.
/// @return true if one of them was not confirmed before
bool noteConfirmedByPeer(ServedVersions &versions, const ConfirmedVersions &confirmed);

/// @brief Returns true if streams of a service that are not remembered can have begun at more than
/// one version, as far as this daemon knows.
/// @note O(versions)
bool hasSeveralVersions(const ServedVersions &versions, const ServedVersionSettings &settings,
                        const ServiceId &service, MonoTime now);

/// @brief Requests a copy of the record that is read after @a since.
void requestRead(ServedVersions &versions, MonoTime since);

/// @brief Returns the versions at which a stream of a service may have begun before @a before, or
/// nothing if this is not known.
std::optional<std::set<SoftwareVersion>> possibleOrigins(const ServedVersions &versions,
                                                         const ServedVersionSettings &settings,
                                                         const ServiceId &service, MonoTime before,
                                                         MonoTime now);

/// @brief Starts a call to the store if one is due.
/// @param followsStore this daemon follows the documents of the store itself
std::optional<SubmitStoreCall> startVersionCall(ServedVersions &versions,
                                                const ServedVersionSettings &settings,
                                                bool followsStore, MonoTime now);

/// @brief Handles the reply to a call of startVersionCall().
/// @return false if the reply belongs to another call
bool finishVersionCall(ServedVersions &versions, const ServedVersionSettings &settings,
                       const StoreReply &reply, MonoTime now);

/// @brief Returns when startVersionCall() may have a call to start.
std::optional<MonoTime> nextVersionCall(const ServedVersions &versions,
                                        const ServedVersionSettings &settings, bool followsStore);

/// @brief Records that the store has returned from a copy, which may lack versions.
void noteVersionEra(ServedVersions &versions, StoreEra era);

/// @brief Makes all versions unconfirmed: this machine was suspended, and other daemons may have
/// removed some from the record meanwhile.
void distrustConfirmations(ServedVersions &versions);

} // namespace tamarack
