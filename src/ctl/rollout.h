// Rollout: which daemons have a version in force.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "ctl/adminclient.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief What is known of one daemon.
struct RolloutRow
{
    std::string address_;
    /// Empty if the daemon did not answer.
    std::string host_;
    BundleVersion version_;
    bool reached_ = false;
    /// Time until the version was in force, or until the wait ended.
    Millis elapsed_ {};
    /// Why the daemon could not be asked.
    std::string problem_;
};

/// @brief Asks all daemons at once and waits until each has the version, at most for @a limit.
std::vector<RolloutRow> awaitRollout(const std::vector<AdminTarget> &daemons, BundleVersion version,
                                     Millis limit);

/// @brief Formats the rows as a table.
std::string formatRollout(const std::vector<RolloutRow> &rows);

/// @brief Formats the rows as JSON.
std::string formatRolloutJson(const std::vector<RolloutRow> &rows, BundleVersion version);

} // namespace tamarack
