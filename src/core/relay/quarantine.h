// Quarantine of prompt parts, or of whole requests, that crash upstream instances.
//
// The following speaks of parts. A second quarantine with its own settings and reports does the
// same for requests: one with the same account, target and body counts like a part.
//
// When an instance ends, each daemon reports the shared prompt parts of its requests that had no
// output there yet: any of them may be the cause. Daemons exchange these reports. A part that was
// waiting on several crashed instances and is not seen in a response is quarantined.
//
// Reports only accumulate and are merged in any order, so daemons that know the same reports reach
// the same verdicts without agreement. Without contact to its peers, a daemon judges by the crashes
// that it sees itself.
//
// All shared parts of a request count, wherever they stand in the prompt: its client chooses their
// number and order. Memory is bounded as follows.
//
// - Parts seen in responses: the ones seen longest ago are forgotten. A later response still clears
//   a forgotten part, so only a part that is in no response between two crashes can be condemned.
// - Suspects of one crash: of the parts that wait on no other crash, a sample is kept; a part that
//   waits on another crash too is always kept. A crash that a sample represents has less weight in
//   proportion. The part that crashes instances is in the sample of some crash, and from then on in
//   all further ones, so it is found after more crashes.
// - Suspects of all crashes, and crashes: the oldest crash is forgotten.
// - Parts in one message: news that don't fit follow in the next message. A complete report has the
//   parts that wait on several crashes first.
#pragma once

#include "core/quarantinereport.h"
#include "core/relay/peerranking.h"
#include "core/relay/request.h"
#include "core/time.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// Number of crashes that can be remembered.
inline constexpr std::size_t maxCrashes = 128;

/// @brief A set of remembered crashes, by their slot.
using CrashSet = std::bitset<maxCrashes>;

struct QuarantineSettings
{
    /// Crashes within this time count once: a host, a network or a release may have ended the
    /// instances together.
    Millis crashSpacing_ {500};
    /// A part is quarantined after this many crashes, of instances at different addresses.
    std::size_t minCrashes_ = 2;
    /// The same if as many other instances crashed in the meantime: that the part was waiting on
    /// two of them is likely a coincidence.
    std::size_t minCrashesAmongOthers_ = 3;
    /// The same if all of them happen within crashSpacing_: a rare part is not waiting on so many
    /// instances, and a frequent one is seen in responses.
    std::size_t minSimultaneousCrashes_ = 5;
    /// Each crash counts as one, divided by the number of its suspects. A part needs this sum, so
    /// that crashes with many requests waiting condemn none of their parts.
    double minEvidence_ = 0.5;
    /// From this many crashes at different times on, or if they are most of the crashes meanwhile,
    /// a part is compared with the parts that were waiting on as many crashes: their number, not
    /// that of all suspects, divides the evidence. Otherwise other parts of long prompts that no
    /// response has shown would hide the cause.
    std::size_t minRepeatedCrashes_ = 5;
    /// So many of these crashes must not be at the most frequent address.
    std::size_t minCrashesElsewhere_ = 2;
    /// A verdict takes effect after this time, in which a peer may report that it has seen the part
    /// in a response.
    Millis objectionTime_ {300};
    /// A response clears its parts of earlier crashes and of those that follow within this time.
    /// Not for longer, because a change of the instances can make a part crash them.
    Millis clearanceTime_ {10'000};
    /// An instance that responds this long after a presumed crash has not crashed; only connections
    /// to it were reset. Shorter, the response may have been on its way before the crash.
    Millis survivalTime_ {500};
    /// An instance that crashed does not answer requests again within this time.
    Millis minRestartTime_ {1000};
    /// The time of an event differs by less than this between daemons. The age of a reported event
    /// does not include the time that the report takes.
    Millis clockTolerance_ {250};
    /// A request that has had output for this long did not crash its instance.
    Millis minOutputTime_ {500};
    /// A part is quarantined for as long as it has been crashing instances, within these limits.
    /// After that, one daemon of the fleet tries one request with it in each trial interval.
    Millis minDuration_ {60'000};
    Millis maxDuration_ {300'000};
    Millis trialInterval_ {10'000};
    /// How long a crash is remembered. Longer than maxDuration_, so that a trial can fail.
    Millis crashLifetime_ {600'000};
    /// A daemon that loses its connections to more instances than this within crashSpacing_ makes
    /// no suspects: a reset of its own connections, or a failure of many instances, is the cause.
    std::size_t maxSimultaneousLosses_ = std::numeric_limits<std::size_t>::max();
    /// Limits on memory, see the head of this file. Each suspect and each seen part takes about
    /// 100 bytes.
    std::size_t maxSuspects_ = 65'536;
    std::size_t maxSuspectsPerCrash_ = 8192;
    std::size_t maxSeenParts_ = 65'536;
    std::size_t maxPartsPerReport_ = 16'384;
    /// News are collected for this long before they are sent to peers, those of suspects in several
    /// crashes for the shorter time.
    Millis reportDelay_ {50};
    Millis repeatedReportDelay_ {50};
    /// Interval at which a daemon compares its reports with those of a peer, to find what it missed
    /// before it started or while it was cut off.
    Millis compareInterval_ {1000};
};

/// @brief Returns the settings for whole requests. Many requests wait on each instance that ends,
/// and most come once, so only repetition counts: three crashes at different times, or at two
/// times if fewer instances end for other reasons. A trial may cost another instance, and a mistake
/// concerns a single request, so the quarantine is longer.
QuarantineSettings requestQuarantineSettings();

/// @brief The presumed end of an instance, as far as it is known.
struct Crash
{
    std::string address_;
    MonoTime at_ {};
    /// Position in each CrashSet; no other remembered crash has it.
    std::size_t slot_ = 0;
    /// Parts that were waiting on the instance and have not been cleared, and those that have. Both
    /// are 0 if the instance has survived.
    std::size_t suspects_ = 0;
    std::size_t cleared_ = 0;
    /// One in 2^sampling_ of the parts that were waiting on no other crash is kept.
    std::uint32_t sampling_ = 0;
    /// Determines the sample. Differs between crashes, so that each part is in some samples.
    std::uint64_t sampleSeed_ = 0;
    /// The instance was running at this time. Connections that it had closed before don't count.
    std::optional<MonoTime> survivedAt_;
};

/// @brief The crashes on which a part was waiting.
struct Suspect
{
    CrashSet crashes_;
    /// Those of crashes_ of which a response has cleared the part.
    CrashSet cleared_;
    /// Those of crashes_ for which the part is news that has not been sent to peers.
    CrashSet unsent_;
};

/// @brief When this daemon last saw parts in responses. Lookups use both generations; the older one
/// is replaced when the newer one is full or old.
struct SeenParts
{
    std::unordered_map<SuspectId, MonoTime> current_;
    std::unordered_map<SuspectId, MonoTime> previous_;
    /// When current_ was begun.
    MonoTime begunAt_ {};
};

/// @brief The quarantine of a part.
struct PartVerdict
{
    /// When this daemon reached the verdict.
    MonoTime since_ {};
    MonoTime until_ {};
};

/// @brief What one daemon knows of crashes.
///
/// Invariants: crashes_, suspects_ and seen_ are within the limits of the settings; each suspect is
/// waiting on a crash, and the counts of each crash match suspects_; the parts in verdicts_ and the
/// ends of their quarantines follow from crashes_ and suspects_ alone.
struct Quarantine
{
    QuarantineScope scope_ = QuarantineScope::PromptParts;
    HostId self_;
    /// "IP:port" of this daemon's peer listener.
    std::string address_;
    /// All daemons including this one, sorted by zone and host, so that most neighbours are in the
    /// same zone.
    std::vector<PeerAddress> ring_;
    std::map<InstanceProcess, Crash> crashes_;
    std::unordered_map<SuspectId, Suspect> suspects_;
    SeenParts seen_;
    /// When this daemon lost connections to instances, within the last crashSpacing_.
    std::map<InstanceProcess, MonoTime> losses_;
    /// The parts that crash instances.
    std::map<SuspectId, PartVerdict> verdicts_;
    /// Last trial of a part by this daemon.
    std::map<SuspectId, MonoTime> trials_;
    /// Crashes of which there is news that has not been sent to peers: suspects that are new or
    /// cleared, or that the instance has survived.
    CrashSet unsent_;
    std::optional<MonoTime> sendAt_;
    MonoTime nextCompareAt_ {};
    std::size_t comparisons_ = 0;
};

Quarantine makeQuarantine(QuarantineScope scope);

/// @brief Updates the daemons that reports are exchanged with.
/// @param self this daemon
/// @param peers all other live daemons
/// @note O(peers x log peers)
void updateQuarantinePeers(Quarantine &quarantine, const PeerAddress &self,
                           const std::vector<PeerAddress> &peers, MonoTime now);

/// @brief Returns the prompt parts that other requests may share. The last part can't be the cause.
std::vector<SuspectId> sharedParts(const RelayRequest &request);

/// @brief Records a complete response, or output for QuarantineSettings::minOutputTime_.
/// @param parts those of the request
/// @note O(parts) if none of them is a suspect
void recordResponse(Quarantine &quarantine, const QuarantineSettings &settings,
                    const std::vector<SuspectId> &parts, MonoTime now);

/// @brief Records that an instance closed its connection before a request had output.
/// @param parts those of the request
/// @return the parts that may be the cause
std::vector<SuspectId> recordCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                                   const InstanceProcess &id, const std::string &address,
                                   const std::vector<SuspectId> &parts, MonoTime now);

/// @brief Records output or a response of an instance. If it was presumed to have crashed, this may
/// show that it has not.
/// @param sentAt when the request was sent to the instance
/// @return true if it was presumed to have crashed and has not
bool recordSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                    const InstanceProcess &id, MonoTime sentAt, MonoTime now);

/// @brief Returns the number of crashes on which a part was waiting, cleared or not.
std::size_t crashCount(const Quarantine &quarantine, SuspectId part);

/// @brief Returns true if one of the parts is a suspect in several crashes.
bool isRepeatedSuspect(const Quarantine &quarantine, const std::vector<SuspectId> &parts);

enum class QuarantineDecision {
    Send,
    /// The request tests whether a part still crashes instances.
    Trial,
    Refuse,
};

struct QuarantineCheck
{
    QuarantineDecision decision_ = QuarantineDecision::Send;
    /// Set unless decision_ is Send: the part, and how long requests with it are refused.
    SuspectId part_;
    Millis remaining_ {};
};

/// @brief Decides whether a request may be sent to an instance. A trial is recorded.
/// @param parts those of the request
QuarantineCheck checkQuarantine(Quarantine &quarantine, const QuarantineSettings &settings,
                                const std::vector<SuspectId> &parts, MonoTime now);

/// @brief Merges a report of a peer.
/// @return the reply, if there is one
std::optional<QuarantineReport> mergeReport(Quarantine &quarantine,
                                            const QuarantineSettings &settings,
                                            const QuarantineReport &report, MonoTime now);

struct OutgoingReport
{
    PeerAddress peer_;
    QuarantineReport report_;
};

/// @brief Returns the reports that are due. Also forgets old crashes.
/// @note O(log daemons) reports
std::vector<OutgoingReport> dueReports(Quarantine &quarantine, const QuarantineSettings &settings,
                                       MonoTime now);

/// @brief Returns when dueReports() has work to do next.
std::optional<MonoTime> nextReportTime(const Quarantine &quarantine);

} // namespace tamarack
