// Quarantine of prompt parts that crash upstream instances: exchange of reports between daemons.
//
// Each daemon sends news to the daemons at distances 1, 2, 4, ... in a ring of all daemons, and
// these send on what is new to them. News reach all daemons in a logarithmic number of steps, also
// if some daemons are dead, and no daemon has connections to all others.
#include "core/hash.h"
#include "core/relay/quarantine.h"
#include "core/relay/quarantineinternal.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

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
    std::map<PromptPartId, std::size_t> counts;
    for (const auto &[id, crash] : quarantine.crashes_) {
        for (const auto &[part, cleared] : crash.suspects_)
            counts[part] += cleared ? 0 : 1;
    }
    std::string text;
    for (const auto &[id, crash] : quarantine.crashes_) {
        for (const auto &[part, cleared] : crash.suspects_) {
            if (!cleared && counts.at(part) > 1)
                text += fmt::format(
                    "{}@{}+{:x};", id.instance_.value_,
                    std::chrono::duration_cast<Millis>(id.startedAt_.time_since_epoch()).count(),
                    part.value_);
        }
    }
    return text.empty() ? 0 : hash64(text);
}

ReportedCrash reportOf(const InstanceProcess &id, const Crash &crash, MonoTime now)
{
    ReportedCrash report;
    report.id_ = id;
    report.address_ = crash.address_;
    report.age_ = std::chrono::duration_cast<Millis>(now - crash.at_);
    for (const auto &[part, cleared] : crash.suspects_)
        (cleared ? report.cleared_ : report.suspects_).push_back(part);
    if (crash.survivedAt_)
        report.survivedAge_ = std::chrono::duration_cast<Millis>(now - *crash.survivedAt_);
    return report;
}

QuarantineReport makeReport(const Quarantine &quarantine, ReportPurpose purpose)
{
    QuarantineReport report;
    report.replyAddress_ = quarantine.address_;
    report.purpose_ = purpose;
    report.digest_ = digestOf(quarantine);
    return report;
}

QuarantineReport completeReport(const Quarantine &quarantine, ReportPurpose purpose, MonoTime now)
{
    QuarantineReport report = makeReport(quarantine, purpose);
    for (const auto &[id, crash] : quarantine.crashes_)
        report.crashes_.push_back(reportOf(id, crash, now));
    return report;
}

QuarantineReport newsReport(const Quarantine &quarantine, MonoTime now)
{
    QuarantineReport report = makeReport(quarantine, ReportPurpose::Inform);
    for (const auto &[id, parts] : quarantine.unsent_) {
        const auto known = quarantine.crashes_.find(id);
        if (known == quarantine.crashes_.end())
            continue;
        Crash news {known->second.address_, known->second.at_, {}, known->second.survivedAt_};
        for (const PromptPartId part : parts) {
            const auto suspect = known->second.suspects_.find(part);
            if (suspect != known->second.suspects_.end())
                news.suspects_.insert(*suspect);
        }
        report.crashes_.push_back(reportOf(id, news, now));
    }
    return report;
}

/// @return true if the crash was new or changed
bool mergeCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                const ReportedCrash &reported, MonoTime now)
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
        if (!reported.survivedAge_ && quarantine.crashes_.contains(reported.id_))
            scheduleSurvival(quarantine, settings, reported.id_, now);
        return changed;
    }
    const auto merge = [&](PromptPartId part, bool cleared) {
        if (addSuspect(quarantine, settings, *crash, part, cleared)) {
            scheduleNews(quarantine, settings, reported.id_, part, now);
            changed = true;
        }
        // The sender does not know yet that the part has been cleared.
        const auto suspect = crash->suspects_.find(part);
        if (!cleared && suspect != crash->suspects_.end() && suspect->second)
            reportClearance(quarantine, settings, part, now);
    };
    for (const PromptPartId part : reported.suspects_)
        merge(part, false);
    for (const PromptPartId part : reported.cleared_)
        merge(part, true);
    return changed;
}

void forgetOldCrashes(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now)
{
    const std::size_t forgotten = std::erase_if(quarantine.crashes_, [&](const auto &crash) {
        return now - crash.second.at_ >= settings.crashLifetime_;
    });
    if (forgotten == 0)
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
    for (const ReportedCrash &crash : report.crashes_)
        changed = mergeCrash(quarantine, settings, crash, now) || changed;
    if (changed)
        updateVerdicts(quarantine, settings, now);
    if (report.purpose_ == ReportPurpose::Inform || report.digest_ == digestOf(quarantine))
        return std::nullopt;
    return completeReport(quarantine,
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
        const QuarantineReport news = newsReport(quarantine, now);
        for (const PeerAddress &peer : peers)
            due.push_back(OutgoingReport {peer, news});
        quarantine.unsent_.clear();
        quarantine.sendAt_.reset();
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
