// Functions shared by the source files of the quarantine. Internal to the library.
#pragma once

#include "core/relay/quarantine.h"

#include <string>

namespace tamarack::quarantinedetail {

/// @brief Decides which parts crash instances.
/// @note O(crashes x suspects x quarantined parts)
void updateVerdicts(Quarantine &quarantine, const QuarantineSettings &settings, MonoTime now);

/// @brief Returns the entry of a crash, or nullptr if it is older than all that can be remembered
/// or the instance has survived it.
Crash *findOrAddCrash(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, const std::string &address, MonoTime at);

/// @brief Records that an instance was running at a time, and schedules the report of it.
/// @return true if it refutes a crash
bool markSurvived(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, MonoTime at, MonoTime now);

/// @brief Adds a suspect to a crash, or clears it.
/// @return true if the crash changed
bool addSuspect(const Quarantine &quarantine, const QuarantineSettings &settings, Crash &crash,
                PromptPartId part, bool cleared);

/// @brief Schedules the report that a part has been cleared. Only for parts of several crashes,
/// which peers may be about to quarantine: after the end of many instances, there are many
/// suspects.
void reportClearance(Quarantine &quarantine, const QuarantineSettings &settings, PromptPartId part,
                     MonoTime now);

/// @brief Schedules the report to the peers that an instance has survived.
void scheduleSurvival(Quarantine &quarantine, const QuarantineSettings &settings,
                      const InstanceProcess &id, MonoTime now);

/// @brief Schedules the report of one suspect of a crash to the peers.
void scheduleNews(Quarantine &quarantine, const QuarantineSettings &settings,
                  const InstanceProcess &id, PromptPartId part, MonoTime now);

} // namespace tamarack::quarantinedetail
