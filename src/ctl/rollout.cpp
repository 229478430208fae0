// Queries which daemons have applied a bundle version.
#include "ctl/rollout.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <fmt/format.h>

#include <sstream>
#include <thread>

namespace tamarack {

namespace {

using Poco::JSON::Object;

/// Below the 10 s after which a daemon responds to a waiting request.
constexpr Millis maxWaitPerRequest {9000};

/// Sends one request to a daemon and updates its row.
/// @return false if the daemon is unreachable or its response is invalid
bool requestRolloutStatus(const AdminTarget &daemon, BundleVersion version, Millis wait,
                          RolloutRow &row)
{
    const AdminCallResult result = callAdmin(
        daemon, "GET",
        fmt::format("/v1/rollout?version={}&wait_ms={}", version.value_, wait.count()), "");
    if (result.status_ != 200) {
        row.problem_ = result.body_;
        return false;
    }
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(result.body_).extract<Object::Ptr>();
        row.host_ = object->getValue<std::string>("host");
        row.version_ = BundleVersion {object->getValue<std::uint64_t>("bundle_version")};
        row.reached_ = object->getValue<bool>("reached");
        row.problem_.clear();
        return true;
    } catch (const Poco::Exception &error) {
        row.problem_ = error.displayText();
        return false;
    }
}

RolloutRow awaitDaemon(const AdminTarget &daemon, BundleVersion version, Millis limit)
{
    const MonoTime start = std::chrono::steady_clock::now();
    RolloutRow row;
    row.address_ = daemon.address_;
    Millis remaining = limit;
    do {
        if (!requestRolloutStatus(daemon, version, std::min(remaining, maxWaitPerRequest), row))
            break;
        row.elapsed_ = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
        remaining = limit - row.elapsed_;
    } while (!row.reached_ && remaining > Millis {0});
    return row;
}

} // namespace

std::vector<RolloutRow> awaitRollout(const std::vector<AdminTarget> &daemons, BundleVersion version,
                                     Millis limit)
{
    std::vector<RolloutRow> rows(daemons.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < daemons.size(); ++i)
        threads.emplace_back([&, i] { rows[i] = awaitDaemon(daemons[i], version, limit); });
    for (std::thread &thread : threads)
        thread.join();
    return rows;
}

std::string formatRollout(const std::vector<RolloutRow> &rows)
{
    std::string text = fmt::format("{:<24} {:<20} {:>8} {:>9} {:>8}\n", "admin", "host", "version",
                                   "applied", "ms");
    for (const RolloutRow &row : rows) {
        text += fmt::format("{:<24} {:<20} {:>8} {:>9} {:>8}\n", row.address_,
                            row.host_.empty() ? "-" : row.host_, row.version_.value_,
                            row.reached_ ? "yes" : "no", row.elapsed_.count());
        if (!row.problem_.empty())
            text += "    " + row.problem_ + '\n';
    }
    return text;
}

std::string formatRolloutJson(const std::vector<RolloutRow> &rows, BundleVersion version)
{
    Poco::JSON::Array daemons;
    for (const RolloutRow &row : rows) {
        Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("admin", row.address_);
        object.set("host", row.host_);
        object.set("bundle_version", row.version_.value_);
        object.set("reached", row.reached_);
        object.set("after_ms", row.elapsed_.count());
        object.set("problem", row.problem_);
        daemons.add(object);
    }
    Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("version", version.value_);
    root.set("daemons", daemons);
    std::ostringstream text;
    root.stringify(text);
    return text.str() + '\n';
}

} // namespace tamarack
