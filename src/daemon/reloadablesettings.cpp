// Settings that can be reloaded while the daemon runs.
#include "daemon/reloadablesettings.h"

#include <fstream>
#include <iterator>

namespace tamarack {

bool readSettings(ReloadableSettings &reloadable, ValidationErrors &errors)
{
    std::ifstream file(reloadable.path_, std::ios::binary);
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto settings = std::make_shared<const Settings>(parseSettings(text, errors));
    if (!errors.empty())
        return false;
    reloadable.current_.store(std::move(settings));
    return true;
}

void reloadSettings(ReloadableSettings &reloadable, const LogPort &log)
{
    ValidationErrors errors;
    if (readSettings(reloadable, errors)) {
        log.write_(LogEvent {LogLevel::Info, "settings.reloaded", {{"file", reloadable.path_}}});
        return;
    }
    for (const ValidationError &error : errors)
        log.write_(
            LogEvent {LogLevel::Error,
                      "settings.reload_failed",
                      {{"file", reloadable.path_}, {"fault", formatValidationError(error)}}});
}

} // namespace tamarack
