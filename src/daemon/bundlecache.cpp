// Verification of bundles and a cache of their parsed parts.
#include "daemon/bundlecache.h"

#include "adapters/crypto/crypto.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

namespace {

ParsedPartPtr findCachedPart(BundleCache &cache, const std::string &sha256)
{
    const std::lock_guard lock(cache.mutex_);
    const auto found = cache.parts_.find(sha256);
    return found == cache.parts_.end() ? nullptr : found->second;
}

Result<ParsedPartPtr> parsePart(const ManifestPart &part, const std::string &content)
{
    if (sha256Hex(content) != part.sha256_)
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.204",
                    fmt::format("part {} does not match its digest in the manifest; sign and "
                                "submit the bundle again",
                                part.name_));
    ValidationErrors errors;
    auto parsedPart = std::make_shared<const ParsedBundlePart>(parseBundlePart(content, errors));
    if (errors.empty())
        return ParsedPartPtr {std::move(parsedPart)};
    for (ValidationError &error : errors)
        error.path_ = part.name_ + ": " + error.path_;
    return fail(ErrorKind::InvalidBundle, "tamarack.bundle.205", formatValidationErrors(errors));
}

Result<ParsedPartPtr> findOrParsePart(BundleCache &cache, const ManifestPart &part,
                                      const PartSource &source)
{
    if (ParsedPartPtr cached = findCachedPart(cache, part.sha256_))
        return cached;
    const std::optional<std::string> content = source(part.sha256_);
    if (!content)
        return fail(ErrorKind::StoreUnavailable, "tamarack.bundle.201",
                    fmt::format("part {} could not be read from the store; retry when the store "
                                "is available",
                                part.name_));
    return parsePart(part, *content);
}

bool isSameHead(const BundleHead &a, const BundleHead &b)
{
    return a.version_ == b.version_ && a.manifest_ == b.manifest_;
}

} // namespace

Result<Manifest> verifyHead(const BundleHead &head, const std::vector<TrustedOperator> &operators)
{
    const auto trusted
        = std::find_if(operators.begin(), operators.end(),
                       [&head](const TrustedOperator &op) { return op.id_ == head.operator_; });
    if (trusted == operators.end())
        return fail(ErrorKind::InvalidSignature, "tamarack.bundle.202",
                    fmt::format("operator {} is not trusted; add the public key to the settings",
                                head.operator_.value_));
    BOOST_LEAF_CHECK(verify(head.manifest_, head.signature_, trusted->publicKey_));
    BOOST_LEAF_AUTO(manifest, parseManifest(head.manifest_));
    if (manifest.version_ != head.version_)
        return fail(
            ErrorKind::InvalidBundle, "tamarack.bundle.203",
            fmt::format("the bundle head has version {} but the signed manifest has version "
                        "{}; submit the bundle again with tamarackctl",
                        head.version_.value_, manifest.version_.value_));
    return manifest;
}

Result<AssembledBundle> assembleFromParts(BundleCache &cache, const Manifest &manifest,
                                          const PartSource &source)
{
    AssembledBundle assembled;
    std::vector<ParsedPartPtr> parsedParts;
    for (const ManifestPart &part : manifest.parts_) {
        BOOST_LEAF_AUTO(parsedPart, findOrParsePart(cache, part, source));
        assembled.parts_.emplace(part.sha256_, parsedPart);
        parsedParts.push_back(std::move(parsedPart));
    }
    ValidationErrors errors;
    auto bundle = std::make_shared<Bundle>(assembleBundle(parsedParts, errors));
    if (!errors.empty())
        return fail(ErrorKind::InvalidBundle, "tamarack.bundle.205",
                    formatValidationErrors(errors));
    bundle->version_ = manifest.version_;
    assembled.bundle_ = std::move(bundle);
    return assembled;
}

Result<VerifiedBundle> verifyAndCacheBundle(BundleCache &cache, const BundleHead &head,
                                            const std::vector<TrustedOperator> &operators,
                                            const PartSource &source)
{
    VerifiedBundle before = newestBundle(cache);
    if (before.bundle_ && isSameHead(before.head_, head))
        return before;
    BOOST_LEAF_AUTO(manifest, verifyHead(head, operators));
    BOOST_LEAF_AUTO(assembled, assembleFromParts(cache, manifest, source));
    const std::lock_guard lock(cache.mutex_);
    const BundleVersion newest = cache.newest_.head_.version_;
    if (cache.newest_.bundle_ && head.version_ <= newest) {
        if (isSameHead(cache.newest_.head_, head))
            return cache.newest_;
        return fail(
            ErrorKind::InvalidBundle, "tamarack.bundle.209",
            fmt::format("version {} by operator {} is ignored because version {} is already "
                        "applied; check who wrote the bundle head in the store",
                        head.version_.value_, head.operator_.value_, newest.value_));
    }
    cache.newest_ = VerifiedBundle {assembled.bundle_, head};
    cache.parts_ = std::move(assembled.parts_);
    return cache.newest_;
}

VerifiedBundle newestBundle(BundleCache &cache)
{
    const std::lock_guard lock(cache.mutex_);
    return cache.newest_;
}

} // namespace tamarack
