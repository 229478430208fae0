// Quarantine of prompt parts that crash upstream instances: the evidence against suspects.
#include "core/relay/quarantineinternal.h"

#include <algorithm>
#include <utility>

namespace tamarack::quarantinedetail {

namespace {

/// Parts that were waiting on the same crashes and have not been cleared: there is the same
/// evidence against all of them.
struct SuspectGroup
{
    CrashSet crashes_;
    std::vector<SuspectId> parts_;
};

/// The evidence against one part.
struct Evidence
{
    /// Crashes with the minimum spacing, of instances at different addresses.
    std::size_t crashes_ = 0;
    double sum_ = 0.0;
    /// Number of crashes at each address.
    std::map<std::string, std::size_t> addresses_;
    /// All crashes, and the number of times at which they happened: those within the minimum
    /// spacing count as one.
    std::size_t total_ = 0;
    std::size_t times_ = 0;
};

/// What is known of the crashes while verdicts are reached.
struct Investigation
{
    std::vector<const Crash *> crashesByTime_;
    std::vector<SuspectGroup> groups_;
    /// Crashes that a quarantined part explains.
    CrashSet explained_;
};

/// Groups the parts that are suspects in several crashes.
std::vector<SuspectGroup> groupRepeatedSuspects(const Quarantine &quarantine)
{
    std::unordered_map<CrashSet, std::vector<SuspectId>> partsByCrashes;
    for (const auto &[part, suspect] : quarantine.suspects_) {
        const CrashSet crashes = suspect.crashes_ & ~suspect.cleared_;
        if (crashes.count() > 1)
            partsByCrashes[crashes].push_back(part);
    }
    std::vector<SuspectGroup> groups;
    groups.reserve(partsByCrashes.size());
    for (auto &[crashes, parts] : partsByCrashes)
        groups.push_back(SuspectGroup {crashes, std::move(parts)});
    return groups;
}

Investigation makeInvestigation(const Quarantine &quarantine)
{
    Investigation investigation;
    investigation.groups_ = groupRepeatedSuspects(quarantine);
    for (const auto &[id, crash] : quarantine.crashes_)
        investigation.crashesByTime_.push_back(&crash);
    std::stable_sort(investigation.crashesByTime_.begin(), investigation.crashesByTime_.end(),
                     [](const Crash *a, const Crash *b) { return a->at_ < b->at_; });
    return investigation;
}

/// Returns how many parts each remembered one represents.
double sampleWeight(const Crash &crash)
{
    return static_cast<double>(std::uint64_t {1} << crash.sampling_);
}

Evidence addUp(const std::vector<const Crash *> &crashesByTime, const CrashSet &crashes,
               const QuarantineSettings &settings)
{
    Evidence evidence;
    std::optional<MonoTime> lastTime;
    std::optional<MonoTime> counted;
    double strongest = 0.0;
    for (const Crash *crash : crashesByTime) {
        if (!crashes.test(crash->slot_))
            continue;
        ++evidence.total_;
        if (!lastTime || crash->at_ - *lastTime >= settings.crashSpacing_) {
            lastTime = crash->at_;
            ++evidence.times_;
        }
        const double weight = 1.0 / (static_cast<double>(crash->suspects_) * sampleWeight(*crash));
        const bool isNewAddress = ++evidence.addresses_[crash->address_] == 1;
        if (counted && crash->at_ - *counted < settings.crashSpacing_) {
            // Together with the previous crash: only the stronger of them counts.
            evidence.sum_ += std::max(weight - strongest, 0.0);
            strongest = std::max(strongest, weight);
            continue;
        }
        if (!isNewAddress)
            continue;
        counted = crash->at_;
        strongest = weight;
        evidence.sum_ += weight;
        ++evidence.crashes_;
    }
    return evidence;
}

/// Returns the number of crashes in the time of those of a part that it does not explain.
std::size_t countOtherCrashes(const Investigation &investigation, const CrashSet &crashes,
                              const QuarantineSettings &settings)
{
    std::optional<MonoTime> first;
    MonoTime last {};
    for (const Crash *crash : investigation.crashesByTime_) {
        if (!crashes.test(crash->slot_))
            continue;
        first = first.value_or(crash->at_);
        last = crash->at_;
    }
    const auto isOther = [&](const Crash *crash) {
        return !crashes.test(crash->slot_) && crash->suspects_ + crash->cleared_ > 0
            && !investigation.explained_.test(crash->slot_)
            && crash->at_ >= *first - settings.crashSpacing_
            && crash->at_ <= last + settings.crashSpacing_;
    };
    return static_cast<std::size_t>(std::count_if(investigation.crashesByTime_.begin(),
                                                  investigation.crashesByTime_.end(), isOther));
}

/// Returns whether the crashes of a part are so many, and so independent of each other, that other
/// suspects in them matter only if they were waiting on as many.
bool isRepeatedCause(const Investigation &investigation, const CrashSet &crashes,
                     const Evidence &evidence, const QuarantineSettings &settings)
{
    std::size_t mostAtOneAddress = 0;
    for (const auto &[address, count] : evidence.addresses_)
        mostAtOneAddress = std::max(mostAtOneAddress, count);
    if (evidence.total_ - mostAtOneAddress < settings.minCrashesElsewhere_)
        return false;
    if (evidence.times_ >= settings.minRepeatedCrashes_)
        return true;
    // Many crashes at few times may be failures of many instances together, of which the part was
    // waiting on some.
    return evidence.total_ >= settings.minRepeatedCrashes_ && evidence.times_ > 1
        && countOtherCrashes(investigation, crashes, settings) < evidence.total_;
}

/// Returns the number of parts that were waiting on at least @a count crashes that nothing
/// explains.
double countPartsWaitingOn(const Investigation &investigation, std::size_t count)
{
    std::size_t parts = 0;
    for (const SuspectGroup &group : investigation.groups_) {
        if ((group.crashes_ & ~investigation.explained_).count() >= count)
            parts += group.parts_.size();
    }
    return static_cast<double>(parts);
}

/// Returns the largest number of parts that a remembered one represents in some of the crashes.
double largestSampleWeight(const Investigation &investigation, const CrashSet &crashes)
{
    double largest = 1.0;
    for (const Crash *crash : investigation.crashesByTime_) {
        if (crashes.test(crash->slot_))
            largest = std::max(largest, sampleWeight(*crash));
    }
    return largest;
}

/// Returns the strength of the evidence against the parts of a group, or 0 if it is insufficient.
double strengthOf(const Investigation &investigation, const SuspectGroup &group,
                  const QuarantineSettings &settings)
{
    const CrashSet crashes = group.crashes_ & ~investigation.explained_;
    const Evidence evidence = addUp(investigation.crashesByTime_, crashes, settings);
    if (isRepeatedCause(investigation, crashes, evidence, settings)) {
        const double rivals = countPartsWaitingOn(investigation, evidence.total_)
            * largestSampleWeight(investigation, crashes);
        return std::max(evidence.sum_, static_cast<double>(evidence.total_) / rivals);
    }
    bool enough = evidence.crashes_ >= settings.minCrashes_;
    if (enough && evidence.crashes_ < settings.minCrashesAmongOthers_)
        enough = countOtherCrashes(investigation, crashes, settings) < evidence.crashes_;
    enough = enough || evidence.addresses_.size() >= settings.minSimultaneousCrashes_;
    return enough ? evidence.sum_ : 0.0;
}

/// Returns the groups with the strongest sufficient evidence: several if nothing tells them apart.
std::vector<const SuspectGroup *> strongestGroups(const Investigation &investigation,
                                                  const QuarantineSettings &settings)
{
    std::vector<const SuspectGroup *> strongest;
    double best = settings.minEvidence_;
    for (const SuspectGroup &group : investigation.groups_) {
        const double strength = strengthOf(investigation, group, settings);
        if (strength < best)
            continue;
        if (strength > best)
            strongest.clear();
        best = strength;
        strongest.push_back(&group);
    }
    return strongest;
}

/// Returns when the quarantine of the parts of a group ends.
MonoTime quarantineEnd(const Investigation &investigation, const SuspectGroup &group,
                       const QuarantineSettings &settings)
{
    std::optional<MonoTime> first;
    MonoTime last {};
    for (const Crash *crash : investigation.crashesByTime_) {
        if (!group.crashes_.test(crash->slot_))
            continue;
        first = first.value_or(crash->at_);
        last = crash->at_;
    }
    const auto crashing = std::chrono::duration_cast<Millis>(last - *first);
    return last + std::clamp(crashing, settings.minDuration_, settings.maxDuration_);
}

} // namespace

void updateVerdicts(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now)
{
    const std::map<SuspectId, PartVerdict> previous = std::exchange(quarantine.verdicts_, {});
    Investigation investigation = makeInvestigation(quarantine);
    // A part that explains a crash acquits the others that were waiting there, for example those
    // that always come with it.
    while (true) {
        const std::vector<const SuspectGroup *> groups = strongestGroups(investigation, settings);
        if (groups.empty())
            return;
        for (const SuspectGroup *group : groups) {
            const MonoTime until = quarantineEnd(investigation, *group, settings);
            for (const SuspectId part : group->parts_) {
                const auto known = previous.find(part);
                quarantine.verdicts_[part]
                    = PartVerdict {known == previous.end() ? now : known->second.since_, until};
            }
        }
        for (const SuspectGroup *group : groups)
            investigation.explained_ |= group->crashes_;
    }
}

} // namespace tamarack::quarantinedetail
