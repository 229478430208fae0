// JSON format of manifests and submissions.
#include "adapters/json/manifest.h"

#include "adapters/json/jsonreader.h"

#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t maxManifestBytes = 1U << 20U;
constexpr std::size_t maxSubmissionBytes = 64U << 20U;

std::string format(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

std::string formatManifest(const Manifest &manifest)
{
    Poco::JSON::Array parts;
    for (const ManifestPart &part : manifest.parts_) {
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("name", part.name_);
        object.set("sha256", part.sha256_);
        parts.add(object);
    }
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("version", manifest.version_.value_);
    root.set("parts", parts);
    return format(root);
}

Result<Manifest> parseManifest(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, maxManifestBytes));
    ValidationErrors errors;
    const JsonReader root {object, "", &errors};
    Manifest manifest;
    manifest.version_ = BundleVersion {static_cast<std::uint64_t>(
        readInteger(root, "version", FieldPresence::Required, IntegerRange {1}))};
    readObjects(root, "parts", FieldPresence::Required, [&manifest](const JsonReader &part) {
        manifest.parts_.push_back(
            ManifestPart {readString(part, "name", FieldPresence::Required),
                          readString(part, "sha256", FieldPresence::Required)});
    });
    if (!errors.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.manifest.101",
                    formatValidationErrors(errors));
    return manifest;
}

std::string formatSubmission(const Submission &submission)
{
    Poco::JSON::Array parts;
    for (const std::string &part : submission.parts_)
        parts.add(part);
    Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
    root.set("manifest", submission.manifest_);
    root.set("operator", submission.operator_.value_);
    root.set("signature", submission.signature_);
    root.set("parts", parts);
    return format(root);
}

Result<Submission> parseSubmission(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, maxSubmissionBytes));
    ValidationErrors errors;
    const JsonReader root {object, "", &errors};
    Submission submission;
    submission.manifest_ = readString(root, "manifest", FieldPresence::Required);
    submission.operator_ = OperatorId {readString(root, "operator", FieldPresence::Required)};
    submission.signature_ = readString(root, "signature", FieldPresence::Required);
    submission.parts_ = readStrings(root, "parts", FieldPresence::Required);
    if (!errors.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.manifest.111",
                    formatValidationErrors(errors));
    return submission;
}

} // namespace tamarack
