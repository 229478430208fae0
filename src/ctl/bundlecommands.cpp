// Validation and signing of bundles.
#include "ctl/bundlecommands.h"

#include "adapters/crypto/crypto.h"
#include "adapters/json/json.h"

namespace tamarack {

Result<void> checkBundle(const std::string &document)
{
    ValidationErrors errors;
    parseBundle(document, errors);
    if (!errors.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.ctl.101", formatValidationErrors(errors));
    return {};
}

Result<Submission> signBundle(const std::string &document, BundleVersion version,
                              const OperatorId &signer, const std::string &privateKey)
{
    BOOST_LEAF_CHECK(checkBundle(document));
    BOOST_LEAF_AUTO(parts, splitBundle(document));
    Manifest manifest {version, {}};
    Submission submission;
    for (BundlePartText &part : parts) {
        manifest.parts_.push_back(ManifestPart {part.name_, sha256Hex(part.content_)});
        submission.parts_.push_back(std::move(part.content_));
    }
    submission.manifest_ = formatManifest(manifest);
    submission.operator_ = signer;
    BOOST_LEAF_AUTO(signature, sign(submission.manifest_, privateKey));
    submission.signature_ = base64Encode(signature);
    return submission;
}

} // namespace tamarack
