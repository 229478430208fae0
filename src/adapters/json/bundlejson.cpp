// Parsing of bundles from JSON documents.
#include "adapters/json/bundlejson.h"

#include "adapters/json/address.h"
#include "adapters/json/bundlecheck.h"
#include "adapters/json/jsonreader.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

constexpr IntegerRange tokenRange {0, 1'000'000'000'000'000};
constexpr std::size_t sha256HexLength = 64;

bool isSha256(const std::string &text)
{
    return text.size() == sha256HexLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readKeys(const JsonReader &reader, ClientAccount &account)
{
    readObjects(reader, "keys", FieldPresence::Required, [&account](const JsonReader &key) {
        const std::string digest = readString(key, "sha256", FieldPresence::Required);
        if (!isSha256(digest))
            addError(key, "sha256", "is not a SHA-256 in lower-case hexadecimal",
                     "compute it with tamarackctl hash-key");
        account.keys_.push_back(
            KeyHash {digest, BudgetId {readString(key, "budget", FieldPresence::Required)}});
        rejectUnknownFields(key, {"sha256", "budget"});
    });
}

void readAccount(const JsonReader &reader, Bundle &bundle)
{
    ClientAccount account;
    account.id_ = AccountId {readString(reader, "id", FieldPresence::Required)};
    readKeys(reader, account);
    account.priority_ = static_cast<int>(
        readInteger(reader, "priority", FieldPresence::Optional, IntegerRange {0, 9}, 0));
    account.maxInFlight_ = static_cast<std::uint32_t>(
        readInteger(reader, "maxInFlight", FieldPresence::Optional, IntegerRange {1, 1'000'000},
                    account.maxInFlight_));
    account.requestsPerSecond_ = readNumber(reader, "requestsPerSecond", FieldPresence::Optional,
                                            0.0, account.requestsPerSecond_);
    const JsonReader reach = readObject(reader, "reach", FieldPresence::Optional);
    account.grantPolicy_.offlineDuration_
        = readMillis(reach, "offlineReachMs", FieldPresence::Optional, IntegerRange {0, 86'400'000},
                     account.grantPolicy_.offlineDuration_);
    account.grantPolicy_.maxSharePerMille_ = static_cast<std::uint32_t>(
        readInteger(reach, "maxSharePerMille", FieldPresence::Optional, IntegerRange {1, 1000},
                    account.grantPolicy_.maxSharePerMille_));
    rejectUnknownFields(reach, {"offlineReachMs", "maxSharePerMille"});
    rejectUnknownFields(reader,
                        {"id", "keys", "priority", "maxInFlight", "requestsPerSecond", "reach"});
    if (!bundle.accounts_.emplace(account.id_, account).second)
        addError(reader, "id", fmt::format("{} appears twice", account.id_.value_), "remove one");
}

void readBudget(const JsonReader &reader, ParsedBundlePart &parsedPart, BudgetSegment &segment)
{
    Budget budget;
    budget.id_ = BudgetId {readString(reader, "id", FieldPresence::Required)};
    budget.account_ = AccountId {readString(reader, "account", FieldPresence::Required)};
    budget.funded_ = Tokens {readInteger(reader, "funded", FieldPresence::Required, tokenRange)};
    rejectUnknownFields(reader, {"id", "account", "funded"});
    parsedPart.budgetOwners_.insert(budget.account_);
    if (parsedPart.segmentCount_ > 1
        && budgetSegmentOf(budget.id_, parsedPart.segmentCount_) != parsedPart.segmentIndex_)
        addError(reader, "id", fmt::format("{} belongs to another segment", budget.id_.value_),
                 "let tamarackctl split the bundle into parts");
    const BudgetId id = budget.id_;
    if (!addBudget(segment, std::move(budget)))
        addError(reader, "id", fmt::format("{} appears twice", id.value_), "remove one");
}

void readBudgets(const JsonReader &root, FieldPresence presence, ParsedBundlePart &parsedPart)
{
    const IntegerRange numbers {0, maxBudgetSegments};
    parsedPart.segmentCount_ = static_cast<std::uint32_t>(
        readInteger(root, "segments", FieldPresence::Optional, numbers, 1));
    parsedPart.segmentIndex_ = static_cast<std::uint32_t>(
        readInteger(root, "segment", FieldPresence::Optional, numbers, 0));
    if (parsedPart.segmentIndex_ >= parsedPart.segmentCount_)
        addError(root, "segment",
                 fmt::format("{} is not less than segments", parsedPart.segmentIndex_),
                 "let tamarackctl split the bundle into parts");
    auto segment = std::make_shared<BudgetSegment>();
    readObjects(root, "budgets", presence, [&parsedPart, &segment](const JsonReader &reader) {
        readBudget(reader, parsedPart, *segment);
    });
    parsedPart.budgets_ = std::move(segment);
}

void readUpstream(const JsonReader &reader, Bundle &bundle)
{
    Upstream upstream;
    upstream.id_ = UpstreamId {readString(reader, "id", FieldPresence::Required)};
    upstream.host_ = HostId {readString(reader, "host", FieldPresence::Optional)};
    upstream.zone_ = ZoneId {readString(reader, "zone", FieldPresence::Required)};
    upstream.address_ = readAddress(reader, "address", FieldPresence::Required);
    for (const std::string &model : readStrings(reader, "models", FieldPresence::Optional))
        upstream.models_.emplace_back(model);
    upstream.service_ = ServiceId {readString(reader, "service", FieldPresence::Optional)};
    upstream.checksFencing_ = readBool(reader, "checksFencing", FieldPresence::Optional);
    upstream.softwareVersion_
        = SoftwareVersion {readString(reader, "softwareVersion", FieldPresence::Optional)};
    upstream.kind_
        = upstream.service_.isEmpty() ? UpstreamKind::ModelEngine : UpstreamKind::Service;
    rejectUnknownFields(
        reader,
        {"id", "host", "zone", "address", "models", "service", "checksFencing", "softwareVersion"});
    if (upstream.models_.empty() == upstream.service_.isEmpty())
        addError(reader, "models", "exactly one of models and service must be set",
                 "list the models of an engine or name the service of a plain service");
    if (!bundle.upstreams_.emplace(upstream.id_, upstream).second)
        addError(reader, "id", fmt::format("{} appears twice", upstream.id_.value_), "remove one");
}

void readRoute(const JsonReader &reader, Bundle &bundle)
{
    ServiceRoute route;
    route.service_ = ServiceId {readString(reader, "service", FieldPresence::Required)};
    route.method_ = readString(reader, "method", FieldPresence::Optional);
    route.pathPrefix_ = readString(reader, "pathPrefix", FieldPresence::Optional, "/");
    route.idempotent_ = readBool(reader, "idempotent", FieldPresence::Required, true);
    route.price_ = Tokens {readInteger(reader, "price", FieldPresence::Optional, tokenRange)};
    rejectUnknownFields(reader, {"service", "method", "pathPrefix", "idempotent", "price"});
    bundle.routes_.push_back(std::move(route));
}

void readPolicies(const JsonReader &reader, Policies &policies)
{
    const IntegerRange shards {1, 65'536};
    policies.ledgerShards_ = static_cast<std::uint32_t>(readInteger(
        reader, "ledgerShards", FieldPresence::Optional, shards, policies.ledgerShards_));
    policies.requestShards_ = static_cast<std::uint32_t>(readInteger(
        reader, "requestShards", FieldPresence::Optional, shards, policies.requestShards_));
    policies.requestRetention_
        = readMillis(reader, "requestRetentionMs", FieldPresence::Optional,
                     IntegerRange {60'000, 31'536'000'000}, policies.requestRetention_);
    const std::string unconfirmed
        = readString(reader, "whenUnconfirmed", FieldPresence::Optional, "serve");
    if (unconfirmed != "serve" && unconfirmed != "refuse")
        addError(reader, "whenUnconfirmed", "is not a known policy: " + unconfirmed,
                 "use serve or refuse");
    policies.whenUnconfirmed_
        = unconfirmed == "refuse" ? UnconfirmedPolicy::Refuse : UnconfirmedPolicy::Serve;
    policies.unconfirmedLimit_
        = readMillis(reader, "unconfirmedLimitMs", FieldPresence::Optional,
                     IntegerRange {1000, 604'800'000}, policies.unconfirmedLimit_);
    policies.defaultMaxOutput_
        = Tokens {readInteger(reader, "defaultMaxOutput", FieldPresence::Optional,
                              IntegerRange {1, 1'000'000}, policies.defaultMaxOutput_.count_)};
    rejectUnknownFields(reader,
                        {"ledgerShards", "requestShards", "requestRetentionMs", "whenUnconfirmed",
                         "unconfirmedLimitMs", "defaultMaxOutput"});
}

/// Reads the top-level fields of a bundle or, with optional presence, of a bundle part.
ParsedBundlePart readBundleFields(const JsonReader &root, FieldPresence presence)
{
    ParsedBundlePart parsedPart;
    Bundle &content = parsedPart.content_;
    parsedPart.hasAccounts_ = root.object_->has("accounts");
    readObjects(root, "accounts", presence,
                [&content](const JsonReader &reader) { readAccount(reader, content); });
    if (presence == FieldPresence::Required || root.object_->has("budgets"))
        readBudgets(root, presence, parsedPart);
    readObjects(root, "upstreams", presence,
                [&content](const JsonReader &reader) { readUpstream(reader, content); });
    readObjects(root, "routes", FieldPresence::Optional,
                [&content](const JsonReader &reader) { readRoute(reader, content); });
    parsedPart.hasPolicies_ = root.object_->has("policies");
    readPolicies(readObject(root, "policies", FieldPresence::Optional), content.policies_);
    return parsedPart;
}

ParsedBundlePart parse(const std::string &text, std::size_t maxBytes, FieldPresence presence,
                       ValidationErrors &errors)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<ParsedBundlePart> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxBytes));
            const JsonReader root {object, "", &errors};
            ParsedBundlePart parsedPart = readBundleFields(root, presence);
            std::vector<std::string> known {"accounts", "budgets", "upstreams", "routes",
                                            "policies"};
            if (presence == FieldPresence::Optional)
                known.insert(known.end(), {"segment", "segments"});
            rejectUnknownFields(root, known);
            return parsedPart;
        },
        [&errors](const Error &error) {
            errors.push_back(ValidationError {"bundle", error.message_, error.id_});
            return ParsedBundlePart {};
        },
        [&errors] {
            errors.push_back(ValidationError {"bundle", "could not be read", "check the document"});
            return ParsedBundlePart {};
        });
}

} // namespace

ParsedBundlePart parseBundlePart(const std::string &text, ValidationErrors &errors)
{
    return parse(text, maxPartBytes, FieldPresence::Optional, errors);
}

Bundle assembleBundle(const std::vector<std::shared_ptr<const ParsedBundlePart>> &parsedParts,
                      ValidationErrors &errors)
{
    Bundle bundle;
    std::vector<std::shared_ptr<const BudgetSegment>> segments;
    for (const auto &parsedPart : parsedParts) {
        const Bundle &content = parsedPart->content_;
        bundle.accounts_.insert(content.accounts_.begin(), content.accounts_.end());
        bundle.upstreams_.insert(content.upstreams_.begin(), content.upstreams_.end());
        bundle.routes_.insert(bundle.routes_.end(), content.routes_.begin(), content.routes_.end());
        if (parsedPart->hasPolicies_)
            bundle.policies_ = content.policies_;
        if (!parsedPart->budgets_)
            continue;
        if (parsedPart->segmentIndex_ != segments.size())
            errors.push_back(
                ValidationError {"budgets",
                                 fmt::format("segment {} is at position {}",
                                             parsedPart->segmentIndex_, segments.size()),
                                 "let tamarackctl split the bundle into parts"});
        segments.push_back(parsedPart->budgets_);
    }
    for (const auto &parsedPart : parsedParts) {
        if (parsedPart->budgets_ && parsedPart->segmentCount_ != segments.size())
            errors.push_back(
                ValidationError {"budgets",
                                 fmt::format("{} of {} segments are present", segments.size(),
                                             parsedPart->segmentCount_),
                                 "let tamarackctl split the bundle into parts"});
    }
    bundle.budgets_ = BudgetTable(std::move(segments));
    if (errors.empty())
        checkBundle(bundle, parsedParts, errors);
    return bundle;
}

Bundle parseBundle(const std::string &text, ValidationErrors &errors)
{
    auto parsedPart = std::make_shared<ParsedBundlePart>(
        parse(text, maxBundleBytes, FieldPresence::Required, errors));
    if (parsedPart->budgets_ == nullptr)
        return {};
    ValidationErrors assemblyErrors;
    Bundle bundle = assembleBundle({parsedPart}, assemblyErrors);
    errors.insert(errors.end(), assemblyErrors.begin(), assemblyErrors.end());
    return bundle;
}

} // namespace tamarack
