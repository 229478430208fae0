// Quarantine of prompt parts that crash upstream instances: exchange of reports between daemons.
//
// Each daemon sends news to the daemons at distances 1, 2, 4, ... in a ring of all daemons, and
// these send on what is new to them. News reach all daemons in a logarithmic number of steps, also
// if some daemons are dead, and no daemon has connections to all others.
#include "core/relay/quarantine.h"
#include "core/relay/quarantineinternal.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>

namespace tamarack {

namespace {

using namespace quarantinedetail;

/// Returns the daemons that this one sends reports to.
std::vector<PeerAddress> neighbours(const Quarantine &quarantine)
{
    std::vector<PeerAddress> found;
    const std::vector<PeerAddress> &ring = quarantine.ring_;
    const auto self = std::find_if(ring.begin(), ring.end(), [&](const PeerAddress &peer) {
        return peer.host_ == quarantine.self_;
    });
    const auto position = static_cast<std::size_t>(self - ring.begin());
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2)
        found.push_back(ring[(position + distance) % ring.size()]);
    return found;
}

/// Returns a hash of the parts that are suspects in several crashes, and of these crashes. Their
/// times are left out, because they differ between daemons.
std::uint64_t digestOf(const Quarantine &quarantine)
{
    std::array<std::uint64_t, maxCrashes> hashBySlot {};
    for (const auto &[id, crash] : quarantine.crashes_)
        hashBySlot[crash.slot_] = crash.sampleSeed_;
    std::uint64_t digest = 0;
    for (const auto &[part, suspect] : quarantine.suspects_) {
        const CrashSet crashes = suspect.crashes_ & ~suspect.cleared_;
        if (crashes.count() <= 1)
            continue;
        for (std::size_t slot = 0; slot < maxCrashes; ++slot) {
            // A sum, because the order of the suspects differs between daemons.
            if (crashes.test(slot))
                digest += hashOf(hashBySlot[slot], part);
        }
    }
    return digest;
}

QuarantineReport makeReport(const Quarantine &quarantine, ReportPurpose purpose)
{
    QuarantineReport report;
    report.replyAddress_ = quarantine.address_;
    report.purpose_ = purpose;
    report.scope_ = quarantine.scope_;
    report.digest_ = digestOf(quarantine);
    return report;
}

/// Adds crashes without suspects to a report.
/// @return the position in the report of the crash in each slot
std::array<std::size_t, maxCrashes> addCrashes(QuarantineReport &report,
                                               const Quarantine &quarantine,
                                               const CrashSet &selected, MonoTime now)
{
    std::array<std::size_t, maxCrashes> positions {};
    for (const auto &[id, crash] : quarantine.crashes_) {
        if (!selected.test(crash.slot_))
            continue;
        positions[crash.slot_] = report.crashes_.size();
        ReportedCrash &added = report.crashes_.emplace_back();
        added.id_ = id;
        added.address_ = crash.address_;
        added.age_ = std::chrono::duration_cast<Millis>(now - crash.at_);
        added.sampling_ = crash.sampling_;
        if (crash.survivedAt_)
            added.survivedAge_ = std::chrono::duration_cast<Millis>(now - *crash.survivedAt_);
    }
    return positions;
}

/// A part that was waiting on some of the crashes of a report.
struct PartOfReport
{
    SuspectId part_;
    CrashSet crashes_;
    CrashSet cleared_;
};

void addPart(QuarantineReport &report, const std::array<std::size_t, maxCrashes> &positions,
             const PartOfReport &added)
{
    for (std::size_t slot = 0; slot < maxCrashes; ++slot) {
        if (!added.crashes_.test(slot))
            continue;
        ReportedCrash &crash = report.crashes_[positions[slot]];
        (added.cleared_.test(slot) ? crash.cleared_ : crash.suspects_).push_back(added.part_);
    }
}

/// Returns a report of all crashes. Parts that were waiting on several of them come first, because
/// verdicts depend on them; others follow as far as there is room.
QuarantineReport completeReport(const Quarantine &quarantine, const QuarantineSettings &settings,
                                ReportPurpose purpose, MonoTime now)
{
    QuarantineReport report = makeReport(quarantine, purpose);
    const auto positions = addCrashes(report, quarantine, CrashSet {}.set(), now);
    std::size_t room = settings.maxPartsPerReport_;
    for (const bool repeated : {true, false}) {
        for (const auto &[part, suspect] : quarantine.suspects_) {
            const std::size_t count = suspect.crashes_.count();
            if ((count > 1) != repeated || count > room)
                continue;
            addPart(report, positions, PartOfReport {part, suspect.crashes_, suspect.cleared_});
            room -= count;
        }
    }
    return report;
}

/// Returns a report of the news and marks them as sent. News that don't fit remain.
QuarantineReport takeNews(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now)
{
    QuarantineReport report = makeReport(quarantine, ReportPurpose::Inform);
    const auto positions = addCrashes(report, quarantine, quarantine.unsent_, now);
    std::size_t room = settings.maxPartsPerReport_;
    quarantine.unsent_.reset();
    for (auto &[part, suspect] : quarantine.suspects_) {
        const std::size_t count = suspect.unsent_.count();
        if (count > room) {
            quarantine.unsent_ |= suspect.unsent_;
            continue;
        }
        addPart(report, positions, PartOfReport {part, suspect.unsent_, suspect.cleared_});
        suspect.unsent_.reset();
        room -= count;
    }
    return report;
}

/// Returns the parts that were waiting on several crashes of a report.
std::unordered_set<SuspectId> repeatedParts(const QuarantineReport &report)
{
    std::unordered_set<SuspectId> seen;
    std::unordered_set<SuspectId> repeated;
    for (const ReportedCrash &crash : report.crashes_) {
        for (const auto *parts : {&crash.suspects_, &crash.cleared_}) {
            for (const SuspectId part : *parts) {
                if (!seen.insert(part).second)
                    repeated.insert(part);
            }
        }
    }
    return repeated;
}

/// Merges one part of a reported crash.
/// @return the change of the crash
SuspectChange mergePart(Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash,
                        const WaitingPart &reported, MonoTime now)
{
    const SuspectChange change = addSuspect(quarantine, settings, crash, reported);
    if (change == SuspectChange::CrashForgotten)
        return change;
    if (change == SuspectChange::Changed)
        scheduleNews(quarantine, settings, crash, reported.part_, now);
    // The sender does not know yet that the part has been cleared.
    if (!reported.cleared_ && isCleared(quarantine, crash, reported.part_))
        reportClearance(quarantine, settings, reported.part_, now);
    return change;
}

/// @return true if the crash was new or changed
bool mergeCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                const ReportedCrash &reported, const std::unordered_set<SuspectId> &repeated,
                MonoTime now)
{
    if (reported.age_ >= settings.crashLifetime_)
        return false;
    const MonoTime at = now - std::max(reported.age_, Millis {});
    bool changed = false;
    if (reported.survivedAge_) {
        const MonoTime survivedAt = now - std::max(*reported.survivedAge_, Millis {});
        if (!quarantine.crashes_.contains(reported.id_))
            findOrAddCrash(quarantine, settings, reported.id_, reported.address_,
                           std::min(at, survivedAt));
        changed = markSurvived(quarantine, settings, reported.id_, survivedAt, now);
        if (at <= survivedAt)
            return changed;
    }
    Crash *crash = findOrAddCrash(quarantine, settings, reported.id_, reported.address_, at);
    if (!crash) {
        // The sender does not know yet that the instance has survived.
        const auto known = quarantine.crashes_.find(reported.id_);
        if (!reported.survivedAge_ && known != quarantine.crashes_.end())
            scheduleSurvival(quarantine, settings, known->second, now);
        return changed;
    }
    crash->sampling_ = std::max(crash->sampling_, reported.sampling_);
    for (const bool cleared : {false, true}) {
        for (const SuspectId part : cleared ? reported.cleared_ : reported.suspects_) {
            const WaitingPart waiting {part, cleared, repeated.contains(part)};
            const SuspectChange change = mergePart(quarantine, settings, *crash, waiting, now);
            if (change == SuspectChange::CrashForgotten)
                return true;
            changed = changed || change == SuspectChange::Changed;
        }
    }
    return changed;
}

void forgetOldCrashes(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now)
{
    if (!forgetCrashesBefore(quarantine, now - settings.crashLifetime_))
        return;
    updateVerdicts(quarantine, settings, now);
    std::erase_if(quarantine.trials_,
                  [&](const auto &trial) { return !quarantine.verdicts_.contains(trial.first); });
}

} // namespace

void updateQuarantinePeers(Quarantine &quarantine, const PeerAddress &self,
                           const std::vector<PeerAddress> &peers, MonoTime now)
{
    if (quarantine.ring_.size() <= 1)
        quarantine.nextCompareAt_ = now;
    quarantine.self_ = self.host_;
    quarantine.ring_ = peers;
    quarantine.ring_.push_back(self);
    std::sort(quarantine.ring_.begin(), quarantine.ring_.end(),
              [](const PeerAddress &a, const PeerAddress &b) {
                  return std::tie(a.zone_, a.host_) < std::tie(b.zone_, b.host_);
              });
}

std::optional<QuarantineReport> mergeReport(Quarantine &quarantine,
                                            const QuarantineSettings &settings,
                                            const QuarantineReport &report, MonoTime now)
{
    bool changed = false;
    const std::unordered_set<SuspectId> repeated = repeatedParts(report);
    for (const ReportedCrash &crash : report.crashes_)
        changed = mergeCrash(quarantine, settings, crash, repeated, now) || changed;
    if (changed)
        updateVerdicts(quarantine, settings, now);
    if (report.purpose_ == ReportPurpose::Inform || report.digest_ == digestOf(quarantine))
        return std::nullopt;
    return completeReport(quarantine, settings,
                          report.purpose_ == ReportPurpose::Compare ? ReportPurpose::Exchange
                                                                    : ReportPurpose::Inform,
                          now);
}

std::vector<OutgoingReport> dueReports(Quarantine &quarantine, const QuarantineSettings &settings,
                                       MonoTime now)
{
    std::vector<OutgoingReport> due;
    const bool sendsNews = quarantine.sendAt_ && *quarantine.sendAt_ <= now;
    const bool compares = quarantine.ring_.size() > 1 && quarantine.nextCompareAt_ <= now;
    if (!sendsNews && !compares)
        return due;
    forgetOldCrashes(quarantine, settings, now);
    const std::vector<PeerAddress> peers = neighbours(quarantine);
    if (sendsNews) {
        const QuarantineReport news = takeNews(quarantine, settings, now);
        for (const PeerAddress &peer : peers)
            due.push_back(OutgoingReport {peer, news});
        quarantine.sendAt_.reset();
        if (quarantine.unsent_.any())
            quarantine.sendAt_ = now + settings.reportDelay_;
    }
    if (compares) {
        // A daemon that has just started asks all neighbours at once.
        const bool first = quarantine.comparisons_ == 0;
        const std::size_t count = first ? peers.size() : 1;
        for (std::size_t i = 0; i < count; ++i)
            due.push_back(OutgoingReport {peers[quarantine.comparisons_++ % peers.size()],
                                          makeReport(quarantine, ReportPurpose::Compare)});
        quarantine.nextCompareAt_ = now + settings.compareInterval_;
    }
    return due;
}

std::optional<MonoTime> nextReportTime(const Quarantine &quarantine)
{
    std::optional<MonoTime> next = quarantine.sendAt_;
    if (quarantine.ring_.size() > 1 && (!next || quarantine.nextCompareAt_ < *next))
        next = quarantine.nextCompareAt_;
    return next;
}

} // namespace tamarack
