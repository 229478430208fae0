// Quarantine of prompt parts that crash upstream instances: the remembered crashes and suspects,
// and the bounds on their memory.
#include "core/relay/quarantineinternal.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace tamarack::quarantinedetail {

namespace {

/// A crash of which so small a sample is kept takes any number of parts.
constexpr std::uint32_t maxSampling = 32;

using CrashEntry = std::map<InstanceProcess, Crash>::iterator;

CrashEntry findSlot(Quarantine &quarantine, std::size_t slot)
{
    return std::find_if(quarantine.crashes_.begin(), quarantine.crashes_.end(),
                        [slot](const auto &entry) { return entry.second.slot_ == slot; });
}

/// Returns a slot that no crash has.
/// @pre fewer than maxCrashes are remembered
std::size_t freeSlot(const Quarantine &quarantine)
{
    CrashSet used;
    for (const auto &[id, crash] : quarantine.crashes_)
        used.set(crash.slot_);
    std::size_t slot = 0;
    while (used.test(slot))
        ++slot;
    return slot;
}

/// Removes the suspects of a crash that a predicate selects.
template <typename Predicate>
void removeSuspects(Quarantine &quarantine, Crash &crash, Predicate isRemoved)
{
    for (auto entry = quarantine.suspects_.begin(); entry != quarantine.suspects_.end();) {
        const auto current = entry++;
        Suspect &suspect = current->second;
        if (!suspect.crashes_.test(crash.slot_) || !isRemoved(current->first, suspect))
            continue;
        --(suspect.cleared_.test(crash.slot_) ? crash.cleared_ : crash.suspects_);
        suspect.crashes_.reset(crash.slot_);
        suspect.cleared_.reset(crash.slot_);
        suspect.unsent_.reset(crash.slot_);
        if (suspect.crashes_.none())
            quarantine.suspects_.erase(current);
    }
}

void removeAllSuspects(Quarantine &quarantine, Crash &crash)
{
    if (crash.suspects_ + crash.cleared_ > 0)
        removeSuspects(quarantine, crash, [](SuspectId, const Suspect &) { return true; });
}

void forgetCrash(Quarantine &quarantine, CrashEntry crash)
{
    removeAllSuspects(quarantine, crash->second);
    quarantine.unsent_.reset(crash->second.slot_);
    quarantine.crashes_.erase(crash);
}

/// Returns the crash to be forgotten for a new one: the oldest, if possible one without suspects.
CrashEntry mostDispensable(Quarantine &quarantine)
{
    return std::min_element(quarantine.crashes_.begin(), quarantine.crashes_.end(),
                            [](const auto &a, const auto &b) {
                                return std::pair(a.second.suspects_ > 0, a.second.at_)
                                    < std::pair(b.second.suspects_ > 0, b.second.at_);
                            });
}

/// Forgets the crash that makes room for a further part of @a added: the oldest, if possible one
/// whose suspects have all been cleared.
/// @return false if that is @a added itself
bool makeRoom(Quarantine &quarantine, const Crash &added)
{
    using Order = std::pair<bool, MonoTime>;
    CrashEntry dispensable = quarantine.crashes_.end();
    Order lowest;
    for (auto entry = quarantine.crashes_.begin(); entry != quarantine.crashes_.end(); ++entry) {
        const Crash &crash = entry->second;
        const bool isAdded = &crash == &added;
        if (!isAdded && crash.suspects_ + crash.cleared_ == 0)
            continue;
        const Order order {isAdded || crash.suspects_ > 0, crash.at_};
        if (dispensable != quarantine.crashes_.end() && lowest <= order)
            continue;
        dispensable = entry;
        lowest = order;
    }
    const bool isAdded = &dispensable->second == &added;
    forgetCrash(quarantine, dispensable);
    return !isAdded;
}

bool isInSample(const Crash &crash, SuspectId part)
{
    constexpr int hashBits = std::numeric_limits<std::uint64_t>::digits;
    return crash.sampling_ == 0
        || hashOf(crash.sampleSeed_, part) >> (hashBits - crash.sampling_) == 0;
}

/// Keeps a smaller sample of the parts that were waiting on this crash alone.
void reduceToBound(Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash)
{
    while (crash.suspects_ + crash.cleared_ > settings.maxSuspectsPerCrash_
           && crash.sampling_ < maxSampling) {
        ++crash.sampling_;
        removeSuspects(quarantine, crash, [&crash](SuspectId part, const Suspect &suspect) {
            return suspect.crashes_.count() == 1 && !isInSample(crash, part);
        });
    }
}

void scheduleReport(Quarantine &quarantine, const CrashSet &crashes, MonoTime sendAt)
{
    quarantine.unsent_ |= crashes;
    quarantine.sendAt_ = std::min(quarantine.sendAt_.value_or(sendAt), sendAt);
}

std::optional<MonoTime> lastSeen(const SeenParts &seen, SuspectId part)
{
    for (const auto *generation : {&seen.current_, &seen.previous_}) {
        const auto found = generation->find(part);
        if (found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace

std::uint64_t hashOf(const InstanceProcess &id)
{
    const auto startedMs = std::chrono::duration_cast<Millis>(id.startedAt_.time_since_epoch());
    return hash64(fmt::format("{}@{}", id.instance_.value_, startedMs.count()));
}

std::uint64_t hashOf(std::uint64_t crash, SuspectId part)
{
    std::array<char, 2 * sizeof(std::uint64_t)> bytes {};
    // Byte by byte, so that the result does not depend on the byte order of the host.
    for (std::size_t i = 0; i < sizeof(std::uint64_t); ++i) {
        bytes[i] = static_cast<char>(crash >> (8 * i));
        bytes[i + sizeof(std::uint64_t)] = static_cast<char>(part.value_ >> (8 * i));
    }
    return hash64({bytes.data(), bytes.size()});
}

Crash *findOrAddCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, const std::string &address, MonoTime at)
{
    const auto known = quarantine.crashes_.find(id);
    if (known != quarantine.crashes_.end()) {
        Crash &earlier = known->second;
        if (earlier.survivedAt_ && at <= *earlier.survivedAt_ + settings.clockTolerance_)
            return nullptr;
        const bool isNew = earlier.suspects_ + earlier.cleared_ == 0;
        earlier.at_ = isNew ? at : std::min(earlier.at_, at);
        return &earlier;
    }
    if (quarantine.crashes_.size() == maxCrashes) {
        const CrashEntry dispensable = mostDispensable(quarantine);
        if (dispensable->second.suspects_ > 0 && at <= dispensable->second.at_)
            return nullptr;
        forgetCrash(quarantine, dispensable);
    }
    const std::size_t slot = freeSlot(quarantine);
    Crash &crash = quarantine.crashes_[id];
    crash.address_ = address;
    crash.at_ = at;
    crash.slot_ = slot;
    crash.sampleSeed_ = hashOf(id);
    return &crash;
}

bool forgetCrashesBefore(Quarantine &quarantine, MonoTime time)
{
    bool forgotten = false;
    for (auto crash = quarantine.crashes_.begin(); crash != quarantine.crashes_.end();) {
        const CrashEntry current = crash++;
        if (current->second.at_ > time)
            continue;
        forgetCrash(quarantine, current);
        forgotten = true;
    }
    return forgotten;
}

bool markSurvived(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, MonoTime at, MonoTime now)
{
    const auto known = quarantine.crashes_.find(id);
    if (known == quarantine.crashes_.end())
        return false;
    Crash &crash = known->second;
    const bool refutes = crash.suspects_ + crash.cleared_ > 0 && crash.at_ <= at;
    const bool isNews
        = refutes || !crash.survivedAt_ || at > *crash.survivedAt_ + settings.clockTolerance_;
    crash.survivedAt_ = std::max(crash.survivedAt_.value_or(at), at);
    if (refutes)
        removeAllSuspects(quarantine, crash);
    if (isNews)
        scheduleSurvival(quarantine, settings, crash, now);
    return refutes;
}

SuspectChange addSuspect(Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash,
                         const WaitingPart &waiting)
{
    const bool clears = waiting.cleared_ || wasSeen(quarantine, settings, waiting.part_, crash.at_);
    auto known = quarantine.suspects_.find(waiting.part_);
    if (known != quarantine.suspects_.end() && known->second.crashes_.test(crash.slot_)) {
        if (!clears || known->second.cleared_.test(crash.slot_))
            return SuspectChange::None;
        known->second.cleared_.set(crash.slot_);
        --crash.suspects_;
        ++crash.cleared_;
        return SuspectChange::Changed;
    }
    if (known == quarantine.suspects_.end()) {
        if (!waiting.repeated_ && !isInSample(crash, waiting.part_))
            return SuspectChange::None;
        while (quarantine.suspects_.size() >= settings.maxSuspects_) {
            if (!makeRoom(quarantine, crash))
                return SuspectChange::CrashForgotten;
        }
        known = quarantine.suspects_.try_emplace(waiting.part_).first;
    }
    known->second.crashes_.set(crash.slot_);
    known->second.cleared_.set(crash.slot_, clears);
    ++(clears ? crash.cleared_ : crash.suspects_);
    reduceToBound(quarantine, settings, crash);
    return SuspectChange::Changed;
}

bool clearSuspect(Quarantine &quarantine, SuspectId part)
{
    const auto known = quarantine.suspects_.find(part);
    if (known == quarantine.suspects_.end())
        return false;
    Suspect &suspect = known->second;
    const CrashSet cleared = suspect.crashes_ & ~suspect.cleared_;
    for (std::size_t slot = 0; slot < maxCrashes; ++slot) {
        if (!cleared.test(slot))
            continue;
        Crash &crash = findSlot(quarantine, slot)->second;
        --crash.suspects_;
        ++crash.cleared_;
    }
    suspect.cleared_ |= cleared;
    return cleared.any();
}

bool isCleared(const Quarantine &quarantine, const Crash &crash, SuspectId part)
{
    const auto known = quarantine.suspects_.find(part);
    return known != quarantine.suspects_.end() && known->second.cleared_.test(crash.slot_);
}

void recordSeen(Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
                MonoTime now)
{
    SeenParts &seen = quarantine.seen_;
    const bool isFull = seen.current_.size() >= settings.maxSeenParts_ / 2;
    if (now - seen.begunAt_ >= settings.clearanceTime_
        || (isFull && !seen.current_.contains(part))) {
        seen.previous_ = std::exchange(seen.current_, {});
        seen.begunAt_ = now;
    }
    seen.current_[part] = now;
}

bool wasSeen(const Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
             MonoTime crashedAt)
{
    const std::optional<MonoTime> seenAt = lastSeen(quarantine.seen_, part);
    return seenAt && *seenAt > crashedAt - settings.clearanceTime_;
}

void reportClearance(Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
                     MonoTime now)
{
    const auto known = quarantine.suspects_.find(part);
    if (known == quarantine.suspects_.end()
        || known->second.crashes_.count() < settings.minCrashes_)
        return;
    known->second.unsent_ |= known->second.cleared_;
    scheduleReport(quarantine, known->second.cleared_, now + settings.repeatedReportDelay_);
}

void scheduleSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                      const Crash &crash, MonoTime now)
{
    scheduleReport(quarantine, CrashSet {}.set(crash.slot_), now + settings.reportDelay_);
}

void scheduleNews(Quarantine &quarantine, const QuarantineSettings &settings, const Crash &crash,
                  SuspectId part, MonoTime now)
{
    const auto known = quarantine.suspects_.find(part);
    // The part may not be in the sample of the crash.
    if (known == quarantine.suspects_.end() || !known->second.crashes_.test(crash.slot_))
        return;
    known->second.unsent_.set(crash.slot_);
    const bool isRepeated = (known->second.crashes_ & ~known->second.cleared_).count() > 1;
    scheduleReport(quarantine, CrashSet {}.set(crash.slot_),
                   now + (isRepeated ? settings.repeatedReportDelay_ : settings.reportDelay_));
}

} // namespace tamarack::quarantinedetail
