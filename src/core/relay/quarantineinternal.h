// Functions shared by the source files of the quarantine. Internal to the library.
#pragma once

#include "core/relay/quarantine.h"

#include <string>

namespace tamarack::quarantinedetail {

/// @brief Decides which parts crash instances.
/// @note O(suspects), and O(crashes x quarantined parts) for each distinct set of crashes on which
/// suspects were waiting
void updateVerdicts(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now);

/// @brief Returns the entry of a crash, or nullptr if it is older than all that can be remembered
/// or the instance has survived it.
Crash *findOrAddCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, const std::string &address, MonoTime at);

/// @brief Forgets the crashes that happened before a time.
/// @return true if there were any
bool forgetCrashesBefore(Quarantine &quarantine, MonoTime time);

/// @brief Records that an instance was running at a time, and schedules the report of it.
/// @return true if it refutes a crash
bool markSurvived(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, MonoTime at, MonoTime now);

/// @brief A part of a request that was waiting on a crashed instance.
struct WaitingPart
{
    SuspectId part_;
    bool cleared_ = false;
    /// It is known to have been waiting on another crash too, which the caller is about to add.
    bool repeated_ = false;
};

enum class SuspectChange {
    None,
    /// The part is new for this crash or has been cleared.
    Changed,
    /// The crash itself was forgotten for lack of memory: it is the oldest one.
    CrashForgotten,
};

/// @brief Adds a suspect to a crash, or clears it. May forget older crashes.
SuspectChange addSuspect(Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash,
                         const WaitingPart &waiting);

/// @brief Clears a part of all crashes on which it was waiting.
/// @return true if there were any
bool clearSuspect(Quarantine &quarantine, SuspectId part);

/// @brief Returns whether a part was waiting on a crash and has been cleared of it.
bool isCleared(const Quarantine &quarantine, const Crash &crash, SuspectId part);

/// @brief Records that a part was seen in a response.
void recordSeen(Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
                MonoTime now);

/// @brief Returns whether a part was seen in a response so late that it can't be the cause of a
/// crash.
bool wasSeen(const Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
             MonoTime crashedAt);

/// @brief Returns a hash of a crash, the same at all daemons.
std::uint64_t hashOf(const InstanceProcess &id);

/// @brief Returns a hash of a part and a crash, the same at all daemons.
/// @param crash as returned by hashOf()
std::uint64_t hashOf(std::uint64_t crash, SuspectId part);

/// @brief Schedules the report that a part has been cleared. Only for parts of several crashes,
/// which peers may be about to quarantine: after the end of many instances, there are many
/// suspects.
void reportClearance(Quarantine &quarantine, const QuarantineSettings &settings, SuspectId part,
                     MonoTime now);

/// @brief Schedules the report to the peers that an instance has survived.
void scheduleSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                      const Crash &crash, MonoTime now);

/// @brief Schedules the report of one suspect of a crash to the peers.
void scheduleNews(Quarantine &quarantine, const QuarantineSettings &settings, const Crash &crash,
                  SuspectId part, MonoTime now);

} // namespace tamarack::quarantinedetail
