// Decides which instances are cold.
#include "core/relay/coldinstances.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/// Far more instances than a fleet has within the lifetime of a daemon's process.
constexpr std::size_t maxSeen = 20'000;

bool isEmpty(const ColdRecord &record)
{
    return !record.entryUntil_ && !record.responseUntil_ && !record.appearedAt_
        && !record.connectionLostAt_ && !record.zoneReturnedAt_;
}

/// Clears an event that is old enough for an entry received at @a now to have been written after
/// it.
void clearBefore(std::optional<MonoTime> &event, MonoTime now)
{
    if (event && now >= *event + maxEntryDelay)
        event.reset();
}

/// Extends a period by another one; one without an end lasts longest.
void extend(std::optional<ColdPeriod> &period, ColdCause cause, std::optional<MonoTime> until,
            MonoTime now)
{
    if (until && *until <= now)
        return;
    if (!period || (period->until_ && (!until || *until > *period->until_)))
        period = ColdPeriod {cause, until};
}

std::optional<ColdPeriod> periodOf(const ColdRecord &record, Millis coldStart, MonoTime now)
{
    std::optional<ColdPeriod> period;
    if (record.entryUntil_)
        extend(period, ColdCause::Entry, record.entryUntil_, now);
    if (record.responseUntil_)
        extend(period, ColdCause::Response, record.responseUntil_, now);
    if (record.appearedAt_)
        extend(period, ColdCause::Started, *record.appearedAt_ + coldStart, now);
    if (record.zoneReturnedAt_)
        extend(period, ColdCause::ZoneReturned, *record.zoneReturnedAt_ + coldStart, now);
    if (record.connectionLostAt_) {
        const std::optional<MonoTime> end
            = record.respondedAt_ ? std::optional(*record.respondedAt_ + coldStart) : std::nullopt;
        extend(period, ColdCause::MayHaveRestarted, end, now);
    }
    return period;
}

} // namespace

std::string_view coldCauseCode(ColdCause cause)
{
    switch (cause) {
    case ColdCause::Entry:
        return "entry";
    case ColdCause::Response:
        return "response";
    case ColdCause::Started:
        return "started";
    case ColdCause::MayHaveRestarted:
        return "may_have_restarted";
    case ColdCause::ZoneReturned:
        break;
    }
    return "zone_returned";
}

void recordEntry(ColdInstances &cold, const ListedInstance &listed, bool isFirstListing,
                 MonoTime now)
{
    const Instance &instance = listed.instance_;
    const auto [seen, added]
        = cold.seen_.try_emplace(instance.id_, SeenProcess {instance.startedAt_, listed.position_});
    // The store may have returned from a copy of the time before a restart.
    if (!added
        && (listed.position_ <= seen->second.position_
            || instance.startedAt_ < seen->second.startedAt_))
        return;
    ColdRecord &record = cold.records_[instance.id_];
    if (added || instance.startedAt_ > seen->second.startedAt_) {
        const bool reported = record.reported_;
        record = ColdRecord {};
        record.reported_ = reported;
        if (!isFirstListing)
            record.appearedAt_ = now;
    } else if (instance.coldRemaining_ <= Millis {}) {
        clearBefore(record.appearedAt_, now);
        clearBefore(record.connectionLostAt_, now);
        clearBefore(record.zoneReturnedAt_, now);
    }
    seen->second = SeenProcess {instance.startedAt_, listed.position_};
    record.entryUntil_ = instance.coldRemaining_ > Millis {}
        ? std::optional(now + instance.coldRemaining_)
        : std::nullopt;
    if (isEmpty(record) && !record.reported_)
        cold.records_.erase(instance.id_);
}

void recordColdResponse(ColdInstances &cold, const UpstreamId &id, Millis remaining, MonoTime now)
{
    if (remaining <= Millis {})
        return;
    // A response may have been on its way longer than one that was received before.
    std::optional<MonoTime> &until = cold.records_[id].responseUntil_;
    until = std::max(until.value_or(now), now + remaining);
}

void recordPossibleRestart(ColdInstances &cold, const UpstreamId &id, WallTime startedAt,
                           MonoTime now)
{
    const auto seen = cold.seen_.find(id);
    // The entry of a newer process has arrived since the request was sent.
    if (seen != cold.seen_.end() && seen->second.startedAt_ > startedAt)
        return;
    ColdRecord &record = cold.records_[id];
    record.connectionLostAt_ = now;
    record.respondedAt_.reset();
}

void recordResponse(ColdInstances &cold, const UpstreamId &id, MonoTime sentAt, MonoTime now)
{
    const auto it = cold.records_.find(id);
    if (it == cold.records_.end() || it->second.respondedAt_ || !it->second.connectionLostAt_
        || sentAt < *it->second.connectionLostAt_)
        return;
    it->second.respondedAt_ = now;
}

void markZoneCold(ColdInstances &cold, const InstanceDirectory &directory, const ZoneId &zone,
                  MonoTime now)
{
    for (const auto &[id, known] : directory.known_) {
        if (known.instance_.zone_ == zone)
            cold.records_[id].zoneReturnedAt_ = now;
    }
}

std::optional<ColdPeriod> coldPeriod(const ColdInstances &cold, const UpstreamId &id,
                                     Millis coldStart, MonoTime now)
{
    const auto it = cold.records_.find(id);
    return it == cold.records_.end() ? std::nullopt : periodOf(it->second, coldStart, now);
}

std::vector<ColdChange> takeColdChanges(ColdInstances &cold, const ColdRuleOf &ruleOf, MonoTime now)
{
    std::vector<ColdChange> changes;
    for (auto it = cold.records_.begin(); it != cold.records_.end();) {
        const std::optional<ColdRule> rule = ruleOf(it->first);
        std::optional<ColdPeriod> period;
        if (rule && rule->limited_)
            period = periodOf(it->second, rule->coldStart_, now);
        if (std::exchange(it->second.reported_, period.has_value()) != period.has_value())
            changes.push_back(ColdChange {it->first, period});
        // A service may only become known with the next configuration.
        const bool ended = rule && !period;
        it = ended ? cold.records_.erase(it) : std::next(it);
    }
    return changes;
}

std::optional<MonoTime> nextColdEnd(const ColdInstances &cold, const ColdRuleOf &ruleOf,
                                    MonoTime now)
{
    std::optional<MonoTime> next;
    for (const auto &[id, record] : cold.records_) {
        if (!record.reported_)
            continue;
        const std::optional<ColdRule> rule = ruleOf(id);
        const std::optional<ColdPeriod> period
            = periodOf(record, rule ? rule->coldStart_ : Millis {}, now);
        const std::optional<MonoTime> end = period ? period->until_ : std::optional(now);
        if (end && (!next || *end < *next))
            next = end;
    }
    return next;
}

void forgetUnknownInstances(ColdInstances &cold, const InstanceDirectory &directory)
{
    if (cold.seen_.size() + cold.records_.size() <= maxSeen)
        return;
    const auto isUnknown = [&directory](const auto &entry) {
        return !directory.known_.contains(entry.first);
    };
    std::erase_if(cold.seen_, isUnknown);
    std::erase_if(cold.records_, isUnknown);
}

std::size_t coldCount(const ColdInstances &cold)
{
    return static_cast<std::size_t>(
        std::count_if(cold.records_.begin(), cold.records_.end(),
                      [](const auto &entry) { return entry.second.reported_; }));
}

} // namespace tamarack
