// Bundles in the store.
#include "daemon/bundlestore.h"

#include "adapters/crypto/crypto.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace tamarack {

namespace {

/// A watch that ends silently is noticed after this time, because the head is read again then.
constexpr Millis watchLimit {5000};
constexpr Millis retryInterval {500};

StoreKey headKey(const BundleStore &store)
{
    return StoreKey {store.prefix_ + "/bundle/head"};
}

StoreKey partKey(const BundleStore &store, const std::string &sha256)
{
    return StoreKey {store.prefix_ + "/bundle/parts/" + sha256};
}

boost::leaf::error_id unavailable(const std::string &what)
{
    return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.201",
                what + " could not be read from the store; retry when the store answers");
}

Result<void> verifyManifest(const BundleStore &store, const BundleHead &head)
{
    const auto trusted
        = std::find_if(store.operators_.begin(), store.operators_.end(),
                       [&head](const TrustedOperator &op) { return op.id_ == head.operator_; });
    if (trusted == store.operators_.end())
        return fail(ErrorKind::InvalidSignature, "tamarack.bundle.202",
                    fmt::format("operator {} is not trusted; add the public key to the settings",
                                head.operator_.value_));
    return verify(head.manifest_, head.signature_, trusted->publicKey_);
}

Result<std::shared_ptr<const Bundle>> parseParts(const Manifest &manifest,
                                                 const std::vector<std::string> &parts)
{
    if (manifest.parts_.size() != 1 || parts.size() != 1)
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.203",
                    "the manifest does not have exactly one part; use tamarackctl to sign it");
    if (sha256Hex(parts.front()) != manifest.parts_.front().sha256_)
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.204",
                    "the bundle does not match the digest in the manifest; sign it again");
    Faults faults;
    auto bundle = std::make_shared<Bundle>(parseBundle(parts.front(), faults));
    if (!faults.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.205", formatFaults(faults));
    bundle->version_ = manifest.version_;
    return std::shared_ptr<const Bundle>(std::move(bundle));
}

Result<std::vector<std::string>> readParts(const BundleStore &store, const Manifest &manifest)
{
    std::vector<std::string> contents;
    for (const ManifestPart &part : manifest.parts_) {
        const StoreReply reply
            = store.store_.call_(ReadCall {partKey(store, part.sha256_), StoredKind::BundlePart});
        if (reply.status_ != StoreStatus::Ok || !reply.current_.value_)
            return unavailable("part " + part.name_);
        contents.push_back(std::get<BundlePart>(*reply.current_.value_).content_);
    }
    return contents;
}

Result<void> writeParts(const BundleStore &store, const Manifest &manifest,
                        const std::vector<std::string> &parts)
{
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const StoreReply reply = store.store_.call_(SwapCall {
            partKey(store, manifest.parts_[i].sha256_), Revision {}, BundlePart {parts[i]}, {}});
        // A conflict means that the same content is there already.
        if (reply.status_ != StoreStatus::Ok && reply.status_ != StoreStatus::Conflict)
            return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.206",
                        "a part could not be written to the store; submit again");
    }
    return {};
}

boost::leaf::error_id conflict(const BundleHead &winner)
{
    return fail(ErrorKind::InvalidBundle, "tamarack.bundle.207",
                fmt::format("version {} by operator {} is accepted; base the change on it and "
                            "submit version {}",
                            winner.version_.value_, winner.operator_.value_,
                            winner.version_.value_ + 1));
}

Result<BundleVersion> swapHead(const BundleStore &store, const BundleHead &head)
{
    const ReadCall read {headKey(store), StoredKind::BundleHead};
    const StoreReply current = store.store_.call_(read);
    if (current.status_ != StoreStatus::Ok)
        return unavailable("the bundle head");
    const BundleHead before
        = current.current_.value_ ? std::get<BundleHead>(*current.current_.value_) : BundleHead {};
    if (before.version_.value_ + 1 != head.version_.value_)
        return conflict(before);
    StoreReply swapped
        = store.store_.call_(SwapCall {read.key_, current.current_.revision_, head, {}});
    if (swapped.status_ == StoreStatus::Ok)
        return head.version_;
    if (swapped.status_ == StoreStatus::Unknown)
        swapped = store.store_.call_(read);
    if (!swapped.current_.value_)
        return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.208",
                    "it is not known whether the version was accepted; run tamarackctl bundle "
                    "status before submitting again");
    const BundleHead after = std::get<BundleHead>(*swapped.current_.value_);
    if (after.manifest_ == head.manifest_ && after.signature_ == head.signature_)
        return head.version_;
    return conflict(after);
}

void logFault(const LogPort &log, const Error &error)
{
    log.write_(LogEvent {LogLevel::Warning,
                         "bundle.load_failed",
                         {{"error", error.id_}, {"message", error.message_}}});
}

} // namespace

Result<LoadedBundle> loadBundle(const BundleStore &store)
{
    const StoreReply reply = store.store_.call_(ReadCall {headKey(store), StoredKind::BundleHead});
    if (reply.status_ != StoreStatus::Ok)
        return unavailable("the bundle head");
    if (!reply.current_.value_)
        return LoadedBundle {nullptr, reply.current_.revision_};
    const BundleHead head = std::get<BundleHead>(*reply.current_.value_);
    BOOST_LEAF_CHECK(verifyManifest(store, head));
    BOOST_LEAF_AUTO(manifest, parseManifest(head.manifest_));
    BOOST_LEAF_AUTO(parts, readParts(store, manifest));
    BOOST_LEAF_AUTO(bundle, parseParts(manifest, parts));
    return LoadedBundle {bundle, reply.current_.revision_};
}

Result<BundleVersion> submitBundle(const BundleStore &store, const Submission &submission)
{
    BOOST_LEAF_AUTO(signature, base64Decode(submission.signature_));
    BOOST_LEAF_AUTO(manifest, parseManifest(submission.manifest_));
    const BundleHead head {manifest.version_, submission.manifest_, submission.operator_,
                           signature};
    BOOST_LEAF_CHECK(verifyManifest(store, head));
    BOOST_LEAF_CHECK(parseParts(manifest, submission.parts_));
    BOOST_LEAF_CHECK(writeParts(store, manifest, submission.parts_));
    return swapHead(store, head);
}

void watchBundles(const BundleStore &store, const EventPort &events, const LogPort &log,
                  const std::function<bool()> &stopping)
{
    Revision seen;
    while (!stopping()) {
        const bool loaded = boost::leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(bundle, loadBundle(store));
                seen = bundle.revision_;
                if (bundle.bundle_)
                    events.post_(BundleSeen {bundle.bundle_});
                return true;
            },
            [&log](const Error &error) {
                logFault(log, error);
                return false;
            },
            [] { return false; });
        if (!loaded)
            std::this_thread::sleep_for(retryInterval);
        else
            store.store_.waitForChange_(headKey(store), seen, watchLimit);
    }
}

} // namespace tamarack
