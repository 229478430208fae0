// Bundle requests of the administration interface.
#include "daemon/adminbundle.h"

#include "adapters/crypto/crypto.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <charconv>
#include <functional>
#include <sstream>

namespace tamarack {

namespace {

using Poco::JSON::Object;

constexpr std::string_view partsPrefix = "/v1/bundle/parts/";
constexpr std::size_t maxHistory = 1000;
constexpr std::uint64_t defaultHistory = 20;
/// Limits the time for which a waiting request occupies a thread of the listener.
constexpr Millis maxWait {Seconds {10}};

AdminResponse jsonResponse(const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return AdminResponse {200, "application/json", text.str()};
}

/// Returns a number from the query string, such as N in "?version=N".
std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback)
{
    const std::size_t queryStart = std::min(path.find('?'), path.size());
    const std::string query = '&' + path.substr(std::min(queryStart + 1, path.size()));
    const std::size_t at = query.find('&' + name + '=');
    if (at == std::string::npos)
        return fallback;
    std::uint64_t number = fallback;
    const char *first = query.data() + at + name.size() + 2;
    std::from_chars(first, query.data() + query.size(), number);
    return number;
}

/// Runs a handler that can fail and converts its error to a response.
AdminResponse responseOrError(const std::function<Result<AdminResponse>()> &handler)
{
    return boost::leaf::try_handle_all(
        handler,
        [](const Error &error) {
            const bool unavailable = error.kind_ == ErrorKind::StoreUnavailable;
            return adminError(unavailable ? 503 : 409, error.id_ + ": " + error.message_);
        },
        [] { return adminError(500, "internal error; report the error"); });
}

Result<AdminResponse> submit(const AdminContext &context, const AdminRequest &request)
{
    BOOST_LEAF_AUTO(submission, parseSubmission(request.body_));
    BOOST_LEAF_AUTO(version, submitBundle(context.bundles_, submission));
    context.log_.write_(LogEvent {
        LogLevel::Info,
        "bundle.accepted",
        {{"version", std::to_string(version.value_)}, {"operator", submission.operator_.value_}}});
    Object object;
    object.set("version", version.value_);
    return jsonResponse(object);
}

Result<AdminResponse> head(const AdminContext &context)
{
    BOOST_LEAF_AUTO(accepted, readHead(context.bundles_));
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("version", accepted.version_.value_);
    object.set("operator", accepted.operator_.value_);
    object.set("signature", base64Encode(accepted.signature_));
    object.set("manifest", accepted.manifest_);
    return jsonResponse(object);
}

Result<AdminResponse> history(const AdminContext &context, const AdminRequest &request)
{
    const std::uint64_t count = queryNumber(request.path_, "count", defaultHistory);
    BOOST_LEAF_AUTO(heads,
                    readHistory(context.bundles_, std::min<std::uint64_t>(count, maxHistory)));
    Poco::JSON::Array versions;
    for (const BundleHead &entry : heads) {
        Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("version", entry.version_.value_);
        object.set("operator", entry.operator_.value_);
        object.set("signature", base64Encode(entry.signature_));
        versions.add(object);
    }
    Object object;
    object.set("versions", versions);
    return jsonResponse(object);
}

AdminResponse part(const AdminContext &context, const std::string &sha256)
{
    const std::optional<std::string> content = readPart(context.bundles_, sha256);
    if (!content)
        return adminError(404,
                          "part " + sha256
                              + " could not be read from the store; check the digest and whether "
                                "the store is available");
    return AdminResponse {200, "application/json", *content};
}

AdminResponse rollout(const AdminContext &context, const AdminRequest &request)
{
    const BundleVersion wanted {queryNumber(request.path_, "version", 1)};
    const Millis wait {static_cast<std::int64_t>(std::min<std::uint64_t>(
        queryNumber(request.path_, "wait_ms", 0), static_cast<std::uint64_t>(maxWait.count())))};
    const BundleVersion applied = awaitAppliedVersion(context.applied_, wanted, wait);
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("host", context.host_.value_);
    object.set("bundle_version", applied.value_);
    object.set("reached", applied >= wanted);
    return jsonResponse(object);
}

} // namespace

AdminResponse adminError(int status, const std::string &message)
{
    Object object;
    object.set("error", message);
    AdminResponse response = jsonResponse(object);
    response.status_ = status;
    return response;
}

std::optional<AdminResponse> handleBundleRequest(const AdminContext &context,
                                                 const AdminRequest &request)
{
    const std::string path = request.path_.substr(0, request.path_.find('?'));
    if (request.method_ == "POST" && path == "/v1/bundle")
        return responseOrError([&] { return submit(context, request); });
    if (request.method_ != "GET")
        return std::nullopt;
    if (path == "/v1/bundle")
        return responseOrError([&] { return head(context); });
    if (path == "/v1/bundle/history")
        return responseOrError([&] { return history(context, request); });
    if (path.starts_with(partsPrefix))
        return part(context, path.substr(partsPrefix.size()));
    if (path == "/v1/rollout")
        return rollout(context, request);
    return std::nullopt;
}

} // namespace tamarack
