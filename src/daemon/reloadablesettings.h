// Settings that can be reloaded while the daemon runs. SIGHUP reloads the file, so that operator
// keys, tokens and TLS files can be replaced without a restart.
#pragma once

#include "adapters/json/json.h"
#include "ports/ports.h"

#include <atomic>
#include <memory>
#include <string>

namespace tamarack {

/// @brief The settings file and its last valid content. current_ may be read by any thread.
struct ReloadableSettings
{
    std::string path_;
    std::atomic<std::shared_ptr<const Settings>> current_;
};

/// @brief Reads the file. current_ doesn't change if the file is invalid.
/// @param errors receives the validation errors
/// @return false if the file is invalid
bool readSettings(ReloadableSettings &reloadable, ValidationErrors &errors);

/// @brief Reads the file again and logs the result.
void reloadSettings(ReloadableSettings &reloadable, const LogPort &log);

} // namespace tamarack
