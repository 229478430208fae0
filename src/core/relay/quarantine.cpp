// Quarantine of prompt parts that crash upstream instances: what requests show, and decisions.
#include "core/relay/quarantine.h"

#include "core/hash.h"
#include "core/relay/quarantineinternal.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

using namespace quarantinedetail;

/// Records that this daemon lost its connections to an instance.
/// @return true if it lost so many others at the same time that no request is the cause
bool isOneOfManyLosses(Quarantine &quarantine, const QuarantineSettings &settings,
                       const InstanceProcess &id, MonoTime now)
{
    std::erase_if(quarantine.losses_,
                  [&](const auto &loss) { return now - loss.second >= settings.crashSpacing_; });
    quarantine.losses_[id] = now;
    return quarantine.losses_.size() > settings.maxSimultaneousLosses_;
}

/// Returns whether it is this daemon's turn to try a part whose quarantine is over.
bool mayTry(const Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
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

QuarantineSettings requestQuarantineSettings()
{
    QuarantineSettings settings;
    settings.minCrashes_ = 3;
    settings.minCrashesAmongOthers_ = 3;
    settings.minSimultaneousCrashes_ = maxCrashes + 1;
    settings.minRepeatedCrashes_ = 3;
    settings.minCrashesElsewhere_ = 1;
    // Several requests that wait on each crash are the ones that clients send most.
    settings.minEvidence_ = 1.5;
    settings.minDuration_ = Seconds {120};
    // Each lost connection makes suspects, most of them once. Their reports must not cost a small
    // host its processor.
    settings.maxSimultaneousLosses_ = 4;
    settings.reportDelay_ = Millis {300};
    settings.compareInterval_ = Seconds {2};
    settings.maxSuspects_ = 8192;
    settings.maxSuspectsPerCrash_ = 256;
    settings.maxSeenParts_ = 16'384;
    return settings;
}

Quarantine makeQuarantine(QuarantineScope scope)
{
    Quarantine quarantine;
    quarantine.scope_ = scope;
    return quarantine;
}

std::vector<SuspectId> sharedParts(const RelayRequest &request)
{
    std::vector<SuspectId> parts;
    if (!request.usage_ || request.usage_->parts_.empty())
        return parts;
    parts.reserve(request.usage_->parts_.size() - 1);
    for (std::size_t i = 0; i + 1 < request.usage_->parts_.size(); ++i)
        parts.push_back(SuspectId {hash64(request.usage_->parts_[i].id_)});
    return parts;
}

std::size_t crashCount(const Quarantine &quarantine, SuspectId part)
{
    const auto suspect = quarantine.suspects_.find(part);
    return suspect == quarantine.suspects_.end() ? 0 : suspect->second.crashes_.count();
}

void recordResponse(Quarantine &quarantine, const QuarantineSettings &settings,
                    const std::vector<SuspectId> &parts, MonoTime now)
{
    bool changed = false;
    for (const SuspectId part : parts) {
        recordSeen(quarantine, settings, part, now);
        quarantine.trials_.erase(part);
        if (!clearSuspect(quarantine, part))
            continue;
        reportClearance(quarantine, settings, part, now);
        changed = true;
    }
    if (changed)
        updateVerdicts(quarantine, settings, now);
}

std::vector<SuspectId> recordCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                                   const InstanceProcess &id, const std::string &address,
                                   const std::vector<SuspectId> &parts, MonoTime now)
{
    std::vector<SuspectId> suspects;
    for (const SuspectId part : parts) {
        if (!wasSeen(quarantine, settings, part, now))
            suspects.push_back(part);
    }
    if (suspects.empty() || isOneOfManyLosses(quarantine, settings, id, now))
        return suspects;
    Crash *crash = findOrAddCrash(quarantine, settings, id, address, now);
    if (!crash)
        return suspects;
    bool changed = false;
    for (const SuspectId part : suspects) {
        const SuspectChange change
            = addSuspect(quarantine, settings, *crash, WaitingPart {part, false, false});
        if (change == SuspectChange::CrashForgotten) {
            changed = true;
            break;
        }
        if (change == SuspectChange::None)
            continue;
        scheduleNews(quarantine, settings, *crash, part, now);
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

bool isRepeatedSuspect(const Quarantine &quarantine, const std::vector<SuspectId> &parts)
{
    return std::any_of(parts.begin(), parts.end(), [&quarantine](SuspectId part) {
        const auto suspect = quarantine.suspects_.find(part);
        return suspect != quarantine.suspects_.end()
            && (suspect->second.crashes_ & ~suspect->second.cleared_).count() > 1;
    });
}

QuarantineCheck checkQuarantine(Quarantine &quarantine, const QuarantineSettings &settings,
                                const std::vector<SuspectId> &parts, MonoTime now)
{
    QuarantineCheck check;
    if (quarantine.verdicts_.empty())
        return check;
    std::optional<SuspectId> tried;
    for (const SuspectId part : parts) {
        const auto verdict = quarantine.verdicts_.find(part);
        if (verdict == quarantine.verdicts_.end()
            || now < verdict->second.since_ + settings.objectionTime_)
            continue;
        check.part_ = part;
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
