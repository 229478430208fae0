// Queries which daemons have applied a bundle version.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "ctl/adminclient.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief Rollout status of one daemon.
struct RolloutRow
{
    std::string address_;
    /// Empty if the daemon didn't respond.
    std::string host_;
    BundleVersion version_;
    bool reached_ = false;
    /// Time until the version was applied, or until waiting ended.
    Millis elapsed_ {};
    /// Error of the last request; empty if it succeeded.
    std::string problem_;
};

/// @brief Queries all daemons concurrently and waits until each has applied the version, for at
/// most @a limit.
/// @return one row per daemon, in the given order
std::vector<RolloutRow> awaitRollout(const std::vector<AdminTarget> &daemons, BundleVersion version,
                                     Millis limit);

/// @brief Formats the rows as a table.
std::string formatRollout(const std::vector<RolloutRow> &rows);

/// @brief Formats the rows as JSON.
std::string formatRolloutJson(const std::vector<RolloutRow> &rows, BundleVersion version);

} // namespace tamarack
