// Decides which instances are cold: from when to when, and why.
//
// A cold instance accepts few requests per second and crashes if it receives far more. What an
// instance says about itself arrives late, so an instance that may be cold counts as cold until its
// entry in the store shows that it is warm.
#pragma once

#include "core/relay/instances.h"
#include "core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace tamarack {

enum class ColdCause {
    /// The entry of the instance says so.
    Entry,
    /// A response of the instance said so.
    Response,
    /// The process appeared after the first complete listing of instances.
    Started,
    /// A connection failed or was reset: the process may have been replaced under the same id.
    MayHaveRestarted,
    /// The availability zone is back from an evacuation.
    ZoneReturned,
};

/// @brief Returns the stable code of a cause, such as "started".
std::string_view coldCauseCode(ColdCause cause);

/// @brief An entry that was received this long after an event was written after it: the batching
/// delay of instance changes is 400 ms, and peers ask each other for documents every 300 ms.
inline constexpr Millis maxEntryDelay {1000};

/// @brief What is known about one instance.
struct ColdRecord
{
    std::optional<MonoTime> entryUntil_;
    std::optional<MonoTime> responseUntil_;
    /// When the process appeared, unless it was part of the first complete listing.
    std::optional<MonoTime> appearedAt_;
    std::optional<MonoTime> connectionLostAt_;
    /// First response after connectionLostAt_.
    std::optional<MonoTime> respondedAt_;
    std::optional<MonoTime> zoneReturnedAt_;
    /// The instance was reported as cold by takeColdChanges().
    bool reported_ = false;
};

/// @brief The newest process of an instance id.
struct SeenProcess
{
    WallTime startedAt_ {};
    StorePosition position_;
};

/// @brief All instances that are cold or may be, as one daemon knows.
struct ColdInstances
{
    std::map<UpstreamId, SeenProcess> seen_;
    std::map<UpstreamId, ColdRecord> records_;
};

/// @brief The time for which an instance is still cold.
struct ColdPeriod
{
    ColdCause cause_ = ColdCause::Entry;
    /// Nothing if the end depends on an entry or a response that has not arrived.
    std::optional<MonoTime> until_;
};

/// @brief Records an entry of the store that the directory of instances has applied.
/// @param isFirstListing the entry is part of the first complete listing; its process may have
/// started long ago
void recordEntry(ColdInstances &cold, const ListedInstance &listed, bool isFirstListing,
                 MonoTime now);

/// @brief Records that a response stated for how long the instance stays cold.
void recordColdResponse(ColdInstances &cold, const UpstreamId &id, Millis remaining, MonoTime now);

/// @brief Records that a connection could not be established, or was reset before any response.
/// @param startedAt start of the process that the request was sent to
void recordPossibleRestart(ColdInstances &cold, const UpstreamId &id, WallTime startedAt,
                           MonoTime now);

/// @brief Records a response of an instance to a request that was sent at @a sentAt.
void recordResponse(ColdInstances &cold, const UpstreamId &id, MonoTime sentAt, MonoTime now);

/// @brief Records that an availability zone is back from an evacuation. Its instances count as cold
/// until their entries, renewed since, show that they are warm, at most for the cold start time of
/// their service.
void markZoneCold(ColdInstances &cold, const InstanceDirectory &directory, const ZoneId &zone,
                  MonoTime now);

/// @brief Returns for how long an instance is cold, or nothing if it is warm.
/// @param coldStart how long a process of its service is cold after its start
std::optional<ColdPeriod> coldPeriod(const ColdInstances &cold, const UpstreamId &id,
                                     Millis coldStart, MonoTime now);

/// @brief An instance that became cold, or warm if there is no period.
struct ColdChange
{
    UpstreamId id_;
    std::optional<ColdPeriod> period_;
};

/// @brief What a service says about its cold instances.
struct ColdRule
{
    /// Cold instances of the service have a request limit.
    bool limited_ = false;
    Millis coldStart_ {};
};

/// @brief Returns the rule for an instance, or nothing if the instance or its service is not known.
using ColdRuleOf = std::function<std::optional<ColdRule>(const UpstreamId &)>;

/// @brief Returns the changes since the last call, and forgets what has ended.
std::vector<ColdChange> takeColdChanges(ColdInstances &cold, const ColdRuleOf &ruleOf,
                                        MonoTime now);

/// @brief Returns when the first instance that was reported as cold becomes warm.
std::optional<MonoTime> nextColdEnd(const ColdInstances &cold, const ColdRuleOf &ruleOf,
                                    MonoTime now);

/// @brief Forgets instances that are not in the directory if very many are remembered.
void forgetUnknownInstances(ColdInstances &cold, const InstanceDirectory &directory);

/// @brief Returns the number of instances that were reported as cold.
std::size_t coldCount(const ColdInstances &cold);

} // namespace tamarack
