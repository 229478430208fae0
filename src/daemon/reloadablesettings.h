// The settings of the running daemon. SIGHUP has the file read again, so that operator keys, tokens
// and TLS files are replaced without a restart.
#pragma once

#include "adapters/json/json.h"
#include "ports/ports.h"

#include <atomic>
#include <memory>
#include <string>

namespace tamarack {

/// @brief The file and what it says now. current_ may be read by any thread.
struct ReloadableSettings
{
    std::string path_;
    std::atomic<std::shared_ptr<const Settings>> current_;
};

/// @brief Reads the file; a faulty one changes nothing.
/// @return false if there are faults
bool readSettings(ReloadableSettings &reloadable, ValidationErrors &errors);

/// @brief Reads the file again and logs the outcome.
void reloadSettings(ReloadableSettings &reloadable, const LogPort &log);

} // namespace tamarack
