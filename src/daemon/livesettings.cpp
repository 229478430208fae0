// The settings of the running daemon.
#include "daemon/livesettings.h"

#include <fstream>
#include <iterator>

namespace tamarack {

bool readSettings(LiveSettings &live, ValidationErrors &errors)
{
    std::ifstream file(live.path_, std::ios::binary);
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto settings = std::make_shared<const Settings>(parseSettings(text, errors));
    if (!errors.empty())
        return false;
    live.current_.store(std::move(settings));
    return true;
}

void reloadSettings(LiveSettings &live, const LogPort &log)
{
    ValidationErrors errors;
    if (readSettings(live, errors)) {
        log.write_(LogEvent {LogLevel::Info, "settings.reloaded", {{"file", live.path_}}});
        return;
    }
    for (const ValidationError &error : errors)
        log.write_(LogEvent {LogLevel::Error,
                             "settings.reload_failed",
                             {{"file", live.path_}, {"fault", formatValidationError(error)}}});
}

} // namespace tamarack
