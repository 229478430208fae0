// Commands on bundles.
#include "ctl/bundlecommands.h"

#include "adapters/crypto/crypto.h"
#include "adapters/json/json.h"

namespace tamarack {

Result<void> checkBundle(const std::string &document)
{
    Faults faults;
    parseBundle(document, faults);
    if (!faults.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.ctl.101", formatFaults(faults));
    return {};
}

Result<std::string> signBundle(const std::string &document, BundleVersion version,
                               const OperatorId &signer, const std::string &privateKey)
{
    BOOST_LEAF_CHECK(checkBundle(document));
    Submission submission;
    submission.manifest_
        = formatManifest(Manifest {version, {ManifestPart {"bundle", sha256Hex(document)}}});
    submission.operator_ = signer;
    BOOST_LEAF_AUTO(signature, sign(submission.manifest_, privateKey));
    submission.signature_ = base64Encode(signature);
    submission.parts_.push_back(document);
    return formatSubmission(submission);
}

} // namespace tamarack
