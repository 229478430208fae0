// Quarantine of prompt parts that crash upstream instances: evidence and decisions.
#include "core/relay/quarantine.h"

#include "core/hash.h"
#include "core/relay/quarantineinternal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamarack {

namespace {

using namespace quarantinedetail;

PromptPartId partId(const PromptPart &part)
{
    return PromptPartId {hash64(part.id_)};
}

/// Returns the number of parts that other requests may share. The last part can't be the cause.
std::size_t sharedPartCount(const RelayRequest &request)
{
    return request.usage_ && !request.usage_->parts_.empty() ? request.usage_->parts_.size() - 1
                                                             : 0;
}

/// The evidence against one part.
struct Evidence
{
    /// Crashes with the minimum spacing.
    std::size_t crashes_ = 0;
    double sum_ = 0.0;
    std::set<std::string> addresses_;
};

using CrashList = std::vector<const Crash *>;

/// Returns the crashes, by time, of each part that is a suspect in several.
std::map<PromptPartId, CrashList> crashesOfRepeatedSuspects(const Quarantine &quarantine)
{
    std::vector<std::pair<PromptPartId, const Crash *>> entries;
    for (const auto &[id, crash] : quarantine.crashes_) {
        for (const auto &[part, cleared] : crash.suspects_) {
            if (!cleared)
                entries.emplace_back(part, &crash);
        }
    }
    std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) {
        return std::pair(a.first, a.second->at_) < std::pair(b.first, b.second->at_);
    });
    std::map<PromptPartId, CrashList> suspects;
    for (std::size_t i = 1; i < entries.size(); ++i) {
        const auto &[part, crash] = entries[i];
        if (part != entries[i - 1].first)
            continue;
        CrashList &crashes = suspects[part];
        if (crashes.empty())
            crashes.push_back(entries[i - 1].second);
        crashes.push_back(crash);
    }
    return suspects;
}

/// Adds up the crashes that no quarantined part explains.
Evidence addUp(const CrashList &crashes, const std::set<const Crash *> &explained,
               const QuarantineSettings &settings)
{
    Evidence evidence;
    std::optional<MonoTime> counted;
    double strongest = 0.0;
    for (const Crash *crash : crashes) {
        if (explained.contains(crash))
            continue;
        const auto suspects = std::count_if(crash->suspects_.begin(), crash->suspects_.end(),
                                            [](const auto &suspect) { return !suspect.second; });
        const double weight = 1.0 / static_cast<double>(suspects);
        const bool isNewAddress = evidence.addresses_.insert(crash->address_).second;
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
std::size_t countOtherCrashes(const Quarantine &quarantine, PromptPartId part,
                              const CrashList &crashes, const std::set<const Crash *> &explained,
                              const QuarantineSettings &settings)
{
    const MonoTime begin = crashes.front()->at_ - settings.crashSpacing_;
    const MonoTime end = crashes.back()->at_ + settings.crashSpacing_;
    const auto isOther = [&](const auto &entry) {
        const Crash &crash = entry.second;
        const auto suspect = crash.suspects_.find(part);
        const bool isSuspect = suspect != crash.suspects_.end() && !suspect->second;
        return !isSuspect && !crash.suspects_.empty() && !explained.contains(&crash)
            && crash.at_ >= begin && crash.at_ <= end;
    };
    return static_cast<std::size_t>(
        std::count_if(quarantine.crashes_.begin(), quarantine.crashes_.end(), isOther));
}

/// Returns the parts with the strongest sufficient evidence: several if nothing tells them apart.
std::vector<PromptPartId> strongestSuspects(const Quarantine &quarantine,
                                            const std::map<PromptPartId, CrashList> &suspects,
                                            const std::set<const Crash *> &explained,
                                            const QuarantineSettings &settings)
{
    std::vector<PromptPartId> strongest;
    double best = settings.minEvidence_;
    for (const auto &[part, crashes] : suspects) {
        const Evidence evidence = addUp(crashes, explained, settings);
        bool enough = evidence.crashes_ >= settings.minCrashes_;
        if (enough && evidence.crashes_ < settings.minCrashesAmongOthers_)
            enough = countOtherCrashes(quarantine, part, crashes, explained, settings)
                < evidence.crashes_;
        enough = enough || evidence.addresses_.size() >= settings.minSimultaneousCrashes_;
        if (!enough || evidence.sum_ < best)
            continue;
        if (evidence.sum_ > best)
            strongest.clear();
        best = evidence.sum_;
        strongest.push_back(part);
    }
    return strongest;
}

bool isCleared(const Crash &crash)
{
    return std::all_of(crash.suspects_.begin(), crash.suspects_.end(),
                       [](const auto &suspect) { return suspect.second; });
}

/// Forgets the oldest crash, if possible one whose suspects have all been cleared.
void forgetOneCrash(Quarantine &quarantine)
{
    const auto oldest = std::min_element(quarantine.crashes_.begin(), quarantine.crashes_.end(),
                                         [](const auto &a, const auto &b) {
                                             return std::pair(!isCleared(a.second), a.second.at_)
                                                 < std::pair(!isCleared(b.second), b.second.at_);
                                         });
    quarantine.unsent_.erase(oldest->first);
    quarantine.crashes_.erase(oldest);
}

bool wasSeen(const Quarantine &quarantine, const QuarantineSettings &settings, PromptPartId part,
             MonoTime crashedAt)
{
    const auto seen = quarantine.seen_.find(part);
    return seen != quarantine.seen_.end() && seen->second > crashedAt - settings.clearanceTime_;
}

void recordSeen(Quarantine &quarantine, const QuarantineSettings &settings, PromptPartId part,
                MonoTime now)
{
    if (quarantine.seen_.size() >= settings.maxSeenParts_ && !quarantine.seen_.contains(part)) {
        std::erase_if(quarantine.seen_, [&](const auto &seen) {
            return seen.second <= now - settings.clearanceTime_;
        });
        if (quarantine.seen_.size() >= settings.maxSeenParts_)
            return;
    }
    quarantine.seen_[part] = now;
}

/// Returns whether it is this daemon's turn to try a part whose quarantine is over.
bool mayTry(const Quarantine &quarantine, const QuarantineSettings &settings, PromptPartId part,
            MonoTime now)
{
    const auto last = quarantine.trials_.find(part);
    if (last != quarantine.trials_.end() && now - last->second < settings.trialInterval_)
        return false;
    const std::string key = std::to_string(part.value_);
    const std::uint64_t own = rendezvousWeight(key, quarantine.self_.value_);
    return std::none_of(
        quarantine.ring_.begin(), quarantine.ring_.end(),
        [&](const PeerAddress &peer) { return rendezvousWeight(key, peer.host_.value_) > own; });
}

} // namespace

namespace quarantinedetail {

void updateVerdicts(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now)
{
    const std::map<PromptPartId, PartVerdict> previous = std::exchange(quarantine.verdicts_, {});
    const std::map<PromptPartId, CrashList> suspects = crashesOfRepeatedSuspects(quarantine);
    std::set<const Crash *> explained;
    // A part that explains a crash acquits the others that were waiting there, for example those
    // that always come with it.
    while (true) {
        const std::vector<PromptPartId> parts
            = strongestSuspects(quarantine, suspects, explained, settings);
        if (parts.empty())
            return;
        for (const PromptPartId part : parts) {
            const CrashList &crashes = suspects.at(part);
            const auto crashing
                = std::chrono::duration_cast<Millis>(crashes.back()->at_ - crashes.front()->at_);
            const auto known = previous.find(part);
            quarantine.verdicts_[part] = PartVerdict {
                known == previous.end() ? now : known->second.since_,
                crashes.back()->at_
                    + std::clamp(crashing, settings.minDuration_, settings.maxDuration_)};
        }
        for (const PromptPartId part : parts)
            explained.insert(suspects.at(part).begin(), suspects.at(part).end());
    }
}

Crash *findOrAddCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, const std::string &address, MonoTime at)
{
    const auto known = quarantine.crashes_.find(id);
    if (known != quarantine.crashes_.end()) {
        Crash &earlier = known->second;
        if (earlier.survivedAt_ && at <= *earlier.survivedAt_ + settings.clockTolerance_)
            return nullptr;
        earlier.at_ = earlier.suspects_.empty() ? at : std::min(earlier.at_, at);
        return &earlier;
    }
    Crash &crash = quarantine.crashes_[id];
    crash.address_ = address;
    crash.at_ = at;
    if (quarantine.crashes_.size() > settings.maxCrashes_)
        forgetOneCrash(quarantine);
    const auto kept = quarantine.crashes_.find(id);
    return kept == quarantine.crashes_.end() ? nullptr : &kept->second;
}

bool markSurvived(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, MonoTime at, MonoTime now)
{
    const auto known = quarantine.crashes_.find(id);
    if (known == quarantine.crashes_.end())
        return false;
    Crash &crash = known->second;
    const bool refutes = !crash.suspects_.empty() && crash.at_ <= at;
    const bool isNews
        = refutes || !crash.survivedAt_ || at > *crash.survivedAt_ + settings.clockTolerance_;
    crash.survivedAt_ = std::max(crash.survivedAt_.value_or(at), at);
    if (refutes)
        crash.suspects_.clear();
    if (isNews)
        scheduleSurvival(quarantine, settings, id, now);
    return refutes;
}

bool addSuspect(const Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash,
                PromptPartId part, bool cleared)
{
    const bool clears = cleared || wasSeen(quarantine, settings, part, crash.at_);
    const auto [suspect, inserted] = crash.suspects_.try_emplace(part, clears);
    if (!inserted) {
        const bool changes = clears && !suspect->second;
        suspect->second = suspect->second || clears;
        return changes;
    }
    if (crash.suspects_.size() <= settings.maxSuspects_)
        return true;
    // All daemons keep the same ones, so that their reports don't differ forever.
    const auto last = std::prev(crash.suspects_.end());
    const bool kept = last->first != part;
    crash.suspects_.erase(last);
    return kept;
}

void reportClearance(Quarantine &quarantine, const QuarantineSettings &settings, PromptPartId part,
                     MonoTime now)
{
    if (crashCount(quarantine, part) < settings.minCrashes_)
        return;
    for (const auto &[id, crash] : quarantine.crashes_) {
        const auto suspect = crash.suspects_.find(part);
        if (suspect != crash.suspects_.end() && suspect->second)
            scheduleNews(quarantine, settings, id, part, now);
    }
}

void scheduleSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, MonoTime now)
{
    quarantine.unsent_.try_emplace(id);
    if (!quarantine.sendAt_)
        quarantine.sendAt_ = now + settings.reportDelay_;
}

void scheduleNews(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, PromptPartId part, MonoTime now)
{
    quarantine.unsent_[id].insert(part);
    if (!quarantine.sendAt_)
        quarantine.sendAt_ = now + settings.reportDelay_;
}

} // namespace quarantinedetail

std::size_t crashCount(const Quarantine &quarantine, PromptPartId part)
{
    return static_cast<std::size_t>(
        std::count_if(quarantine.crashes_.begin(), quarantine.crashes_.end(),
                      [part](const auto &crash) { return crash.second.suspects_.contains(part); }));
}

void recordResponse(Quarantine &quarantine, const QuarantineSettings &settings,
                    const RelayRequest &request, MonoTime now)
{
    bool changed = false;
    const std::size_t count = std::min(sharedPartCount(request), settings.maxPartsPerRequest_);
    for (std::size_t i = 0; i < count; ++i) {
        const PromptPartId part = partId(request.usage_->parts_[i]);
        recordSeen(quarantine, settings, part, now);
        quarantine.trials_.erase(part);
        bool cleared = false;
        for (auto &[id, crash] : quarantine.crashes_) {
            const auto suspect = crash.suspects_.find(part);
            if (suspect == crash.suspects_.end() || suspect->second)
                continue;
            suspect->second = true;
            cleared = true;
        }
        if (cleared)
            reportClearance(quarantine, settings, part, now);
        changed = changed || cleared;
    }
    if (changed)
        updateVerdicts(quarantine, settings, now);
}

std::vector<PromptPartId> recordCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                                      const InstanceProcess &id, const std::string &address,
                                      const RelayRequest &request, MonoTime now)
{
    std::vector<PromptPartId> suspects;
    // From the end, because the first parts of a prompt are those that most requests share.
    for (std::size_t i = sharedPartCount(request); i > 0; --i) {
        const PromptPartId part = partId(request.usage_->parts_[i - 1]);
        if (suspects.size() < settings.maxPartsPerRequest_
            && !wasSeen(quarantine, settings, part, now))
            suspects.push_back(part);
    }
    if (suspects.empty())
        return suspects;
    Crash *crash = findOrAddCrash(quarantine, settings, id, address, now);
    if (!crash)
        return suspects;
    bool changed = false;
    for (const PromptPartId part : suspects) {
        if (!addSuspect(quarantine, settings, *crash, part, false))
            continue;
        scheduleNews(quarantine, settings, id, part, now);
        changed = true;
    }
    if (changed)
        updateVerdicts(quarantine, settings, now);
    return suspects;
}

bool recordSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                    const InstanceProcess &id, MonoTime sentAt, MonoTime now)
{
    const auto crash = quarantine.crashes_.find(id);
    if (crash == quarantine.crashes_.end())
        return false;
    const MonoTime crashedAt = crash->second.at_;
    const bool isProof = now >= crashedAt + settings.survivalTime_
        && sentAt <= crashedAt + settings.minRestartTime_;
    if (!isProof || !markSurvived(quarantine, settings, id, now, now))
        return false;
    updateVerdicts(quarantine, settings, now);
    return true;
}

bool isRepeatedSuspect(const Quarantine &quarantine, const std::vector<PromptPartId> &parts)
{
    return std::any_of(parts.begin(), parts.end(), [&quarantine](PromptPartId part) {
        return std::count_if(quarantine.crashes_.begin(), quarantine.crashes_.end(),
                             [part](const auto &crash) {
                                 const auto suspect = crash.second.suspects_.find(part);
                                 return suspect != crash.second.suspects_.end() && !suspect->second;
                             })
            > 1;
    });
}

QuarantineCheck checkQuarantine(Quarantine &quarantine, const QuarantineSettings &settings,
                                const RelayRequest &request, MonoTime now)
{
    QuarantineCheck check;
    if (quarantine.verdicts_.empty())
        return check;
    std::optional<PromptPartId> tried;
    for (std::size_t i = 0; i < sharedPartCount(request); ++i) {
        const PromptPart &part = request.usage_->parts_[i];
        const auto verdict = quarantine.verdicts_.find(partId(part));
        if (verdict == quarantine.verdicts_.end()
            || now < verdict->second.since_ + settings.objectionTime_)
            continue;
        check.part_ = part.id_;
        check.remaining_
            = std::max(std::chrono::duration_cast<Millis>(verdict->second.until_ - now),
                       settings.trialInterval_);
        if (now < verdict->second.until_) {
            check.decision_ = QuarantineDecision::Refuse;
            return check;
        }
        tried = std::min(tried.value_or(verdict->first), verdict->first);
    }
    if (!tried)
        return check;
    if (!mayTry(quarantine, settings, *tried, now)) {
        check.decision_ = QuarantineDecision::Refuse;
        return check;
    }
    quarantine.trials_[*tried] = now;
    check.decision_ = QuarantineDecision::Trial;
    return check;
}

} // namespace tamarack
