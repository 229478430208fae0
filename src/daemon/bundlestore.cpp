// Loads bundles from the store and submits new versions to it.
#include "daemon/bundlestore.h"

#include "adapters/crypto/crypto.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

boost::leaf::error_id unavailableError(const std::string &what)
{
    return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.201",
                what + " could not be read from the store; retry when the store is available");
}

boost::leaf::error_id supersededError(const BundleHead &winner)
{
    return fail(ErrorKind::InvalidBundle, "tamarack.bundle.207",
                fmt::format("version {} by operator {} is accepted; base the change on it "
                            "and submit version {}",
                            winner.version_.value_, winner.operator_.value_,
                            winner.version_.value_ + 1));
}

std::string describeViolation(const FundingViolation &violation)
{
    const std::string figures
        = fmt::format("charged {}, lost {}, outstanding {}", violation.charged_.count_,
                      violation.lost_.count_, violation.outstanding_.count_);
    if (violation.check_.removed_)
        return fmt::format("budgets.{}: is removed while grants are outstanding ({}); keep it "
                           "until they are returned",
                           violation.check_.budget_.value_, figures);
    const Tokens least = violation.charged_ + violation.lost_ + violation.outstanding_;
    return fmt::format("budgets.{}.funded: is {} but {} is committed ({}); fund at least {}",
                       violation.check_.budget_.value_, violation.check_.funded_.count_,
                       least.count_, figures, least.count_);
}

boost::leaf::error_id refusedError(const Acceptance &acceptance)
{
    if (acceptance.budgetInUse_)
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.211",
                    fmt::format("policies.ledgerShards or policies.requestShards differs from the "
                                "accepted version but budget {} is in use; keep the shard counts",
                                acceptance.budgetInUse_->value_));
    std::string text;
    for (const FundingViolation &violation : acceptance.fundingViolations_)
        text += describeViolation(violation) + '\n';
    return fail(ErrorKind::InvalidBundle, "tamarack.bundle.212", text);
}

Result<BundleVersion> outcome(const Acceptance &acceptance)
{
    switch (acceptance.result_) {
    case AcceptanceResult::Accepted:
        return acceptance.plan_.head_.version_;
    case AcceptanceResult::Superseded:
        return supersededError(acceptance.winner_);
    case AcceptanceResult::Refused:
        return refusedError(acceptance);
    case AcceptanceResult::StoreUnavailable:
        return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.206",
                    "the store is unavailable and the version was not accepted; submit it again "
                    "when the store is available");
    case AcceptanceResult::Unknown:
        break;
    }
    return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.208",
                "the store did not confirm whether the version was accepted; submit the same file "
                "again, which has no further effect if it was");
}

Result<BundleVersion> accept(const BundleStore &store, AcceptancePlan plan)
{
    Acceptance acceptance = startAcceptance(std::move(plan));
    while (acceptance.stage_ != AcceptanceStage::Done) {
        const std::uint32_t failures = acceptance.failures_;
        handleReply(acceptance, store.store_.call_(nextCall(acceptance)));
        if (acceptance.failures_ > failures && waitForStop(*store.stop_, acceptanceRetryDelay))
            break;
    }
    return outcome(acceptance);
}

/// Returns the submitted parts by digest.
/// @return an error if the manifest does not list one of them
Result<std::map<std::string, std::string>> submittedParts(const Manifest &manifest,
                                                          const Submission &submission)
{
    std::map<std::string, std::string> byDigest;
    for (const std::string &content : submission.parts_)
        byDigest.emplace(sha256Hex(content), content);
    std::size_t named = 0;
    for (const ManifestPart &part : manifest.parts_)
        named += byDigest.contains(part.sha256_) ? 1 : 0;
    if (named < byDigest.size())
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.204",
                    "a submitted part does not match any digest in the manifest; sign and submit "
                    "the bundle again");
    return byDigest;
}

bool changesShards(const Bundle &before, const Bundle &next)
{
    return before.policies_.ledgerShards_ != next.policies_.ledgerShards_
        || before.policies_.requestShards_ != next.policies_.requestShards_;
}

} // namespace

std::optional<std::string> readPart(const BundleStore &store, const std::string &sha256)
{
    const StoreReply reply = store.store_.call_(
        ReadCall {bundlePartKey(store.prefix_, sha256), StoredKind::BundlePart});
    if (reply.status_ != StoreStatus::Ok || !reply.current_.value_)
        return std::nullopt;
    return std::get<BundlePart>(*reply.current_.value_).content_;
}

Result<LoadedBundle> loadBundle(const BundleStore &store)
{
    const StoreReply reply
        = store.store_.call_(ReadCall {bundleHeadKey(store.prefix_), StoredKind::BundleHead});
    if (reply.status_ != StoreStatus::Ok)
        return unavailableError("the bundle head");
    if (!reply.current_.value_) {
        const VerifiedBundle newest = newestBundle(*store.cache_);
        if (newest.bundle_)
            return fail(ErrorKind::InvalidBundle, "tamarack.bundle.210",
                        fmt::format("the store has no bundle head although version {} is applied; "
                                    "submit version {} again",
                                    newest.head_.version_.value_, newest.head_.version_.value_));
        return LoadedBundle {nullptr, reply.current_.revision_};
    }
    const auto &head = std::get<BundleHead>(*reply.current_.value_);
    BOOST_LEAF_AUTO(verified,
                    verifyAndCacheBundle(
                        *store.cache_, head, store.operators_(),
                        [&store](const std::string &sha256) { return readPart(store, sha256); }));
    return LoadedBundle {verified.bundle_, reply.current_.revision_};
}

Result<BundleVersion> submitBundle(const BundleStore &store, const Submission &submission)
{
    BOOST_LEAF_AUTO(signature, base64Decode(submission.signature_));
    BOOST_LEAF_AUTO(claimed, parseManifest(submission.manifest_));
    AcceptancePlan plan;
    plan.prefix_ = store.prefix_;
    plan.head_
        = BundleHead {claimed.version_, submission.manifest_, submission.operator_, signature};
    BOOST_LEAF_AUTO(manifest, verifyHead(plan.head_, store.operators_()));
    BOOST_LEAF_AUTO(submitted, submittedParts(manifest, submission));
    BOOST_LEAF_AUTO(before, loadBundle(store));
    const PartSource source = [&](const std::string &sha256) {
        const auto found = submitted.find(sha256);
        return found == submitted.end() ? readPart(store, sha256) : found->second;
    };
    BOOST_LEAF_AUTO(next, assembleFromParts(*store.cache_, manifest, source));
    for (const auto &[sha256, content] : submitted)
        plan.parts_.push_back(PartToStore {sha256, content});
    plan.checks_ = fundingChecks(before.bundle_.get(), *next.bundle_);
    if (before.bundle_ && changesShards(*before.bundle_, *next.bundle_))
        plan.unusedShards_ = before.bundle_->policies_.ledgerShards_;
    return accept(store, std::move(plan));
}

Result<BundleHead> readHead(const BundleStore &store)
{
    const StoreReply reply
        = store.store_.call_(ReadCall {bundleHeadKey(store.prefix_), StoredKind::BundleHead});
    if (reply.status_ != StoreStatus::Ok)
        return unavailableError("the bundle head");
    return reply.current_.value_ ? std::get<BundleHead>(*reply.current_.value_) : BundleHead {};
}

Result<std::vector<BundleHead>> readHistory(const BundleStore &store, std::size_t count)
{
    std::vector<BundleHead> versions;
    BOOST_LEAF_AUTO(head, readHead(store));
    if (head.version_ == BundleVersion {})
        return versions;
    versions.push_back(BundleHead {head.version_, {}, head.operator_, head.signature_});
    for (std::uint64_t version = head.version_.value_ - 1; version > 0 && versions.size() < count;
         --version) {
        const StoreReply reply = store.store_.call_(ReadCall {
            bundleHistoryKey(store.prefix_, BundleVersion {version}), StoredKind::BundleHead});
        if (reply.status_ != StoreStatus::Ok)
            return unavailableError("the bundle history");
        if (!reply.current_.value_)
            break;
        versions.push_back(std::get<BundleHead>(*reply.current_.value_));
    }
    return versions;
}

} // namespace tamarack
