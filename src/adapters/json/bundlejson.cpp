// Bundles as JSON documents.
#include "adapters/json/bundlejson.h"

#include "adapters/json/address.h"
#include "adapters/json/bundlecheck.h"
#include "adapters/json/jsonreader.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

constexpr Range tokenRange {0, 1'000'000'000'000'000};
constexpr std::size_t sha256HexLength = 64;

bool isSha256(const std::string &text)
{
    return text.size() == sha256HexLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readKeys(const JsonReader &reader, ClientAccount &account)
{
    readObjects(reader, "keys", Need::Required, [&account](const JsonReader &key) {
        const std::string digest = readString(key, "sha256", Need::Required);
        if (!isSha256(digest))
            addError(key, "sha256", "is not a SHA-256 in lower-case hexadecimal",
                     "compute it with tamarackctl hash-key");
        account.keys_.push_back(
            KeyHash {digest, BudgetId {readString(key, "budget", Need::Required)}});
        rejectUnknownFields(key, {"sha256", "budget"});
    });
}

void readAccount(const JsonReader &reader, Bundle &bundle)
{
    ClientAccount account;
    account.id_ = AccountId {readString(reader, "id", Need::Required)};
    readKeys(reader, account);
    account.priority_
        = static_cast<int>(readInteger(reader, "priority", Need::Optional, Range {0, 9}, 0));
    account.maxInFlight_ = static_cast<std::uint32_t>(readInteger(
        reader, "maxInFlight", Need::Optional, Range {1, 1'000'000}, account.maxInFlight_));
    account.requestsPerSecond_
        = readNumber(reader, "requestsPerSecond", Need::Optional, 0.0, account.requestsPerSecond_);
    const JsonReader reach = readObject(reader, "reach", Need::Optional);
    account.grantPolicy_.offlineDuration_
        = readMillis(reach, "offlineReachMs", Need::Optional, Range {0, 86'400'000},
                     account.grantPolicy_.offlineDuration_);
    account.grantPolicy_.maxSharePerMille_ = static_cast<std::uint32_t>(
        readInteger(reach, "maxSharePerMille", Need::Optional, Range {1, 1000},
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
    budget.id_ = BudgetId {readString(reader, "id", Need::Required)};
    budget.account_ = AccountId {readString(reader, "account", Need::Required)};
    budget.funded_ = Tokens {readInteger(reader, "funded", Need::Required, tokenRange)};
    rejectUnknownFields(reader, {"id", "account", "funded"});
    parsedPart.budgetOwners_.insert(budget.account_);
    if (parsedPart.segments_ > 1
        && budgetSegmentOf(budget.id_, parsedPart.segments_) != parsedPart.segment_)
        addError(reader, "id", fmt::format("{} belongs to another segment", budget.id_.value_),
                 "let tamarackctl split the bundle into parts");
    const BudgetId id = budget.id_;
    if (!addBudget(segment, std::move(budget)))
        addError(reader, "id", fmt::format("{} appears twice", id.value_), "remove one");
}

void readBudgets(const JsonReader &root, Need need, ParsedBundlePart &parsedPart)
{
    const Range numbers {0, maxBudgetSegments};
    parsedPart.segments_
        = static_cast<std::uint32_t>(readInteger(root, "segments", Need::Optional, numbers, 1));
    parsedPart.segment_
        = static_cast<std::uint32_t>(readInteger(root, "segment", Need::Optional, numbers, 0));
    if (parsedPart.segment_ >= parsedPart.segments_)
        addError(root, "segment", fmt::format("is {}", parsedPart.segment_),
                 "let tamarackctl split the bundle into parts");
    auto segment = std::make_shared<BudgetSegment>();
    readObjects(root, "budgets", need, [&parsedPart, &segment](const JsonReader &reader) {
        readBudget(reader, parsedPart, *segment);
    });
    parsedPart.budgets_ = std::move(segment);
}

void readUpstream(const JsonReader &reader, Bundle &bundle)
{
    Upstream upstream;
    upstream.id_ = UpstreamId {readString(reader, "id", Need::Required)};
    upstream.host_ = HostId {readString(reader, "host", Need::Optional)};
    upstream.zone_ = ZoneId {readString(reader, "zone", Need::Required)};
    upstream.address_ = readAddress(reader, "address", Need::Required);
    for (const std::string &model : readStrings(reader, "models", Need::Optional))
        upstream.models_.emplace_back(model);
    upstream.service_ = ServiceId {readString(reader, "service", Need::Optional)};
    upstream.checksFencing_ = readBool(reader, "checksFencing", Need::Optional);
    upstream.kind_
        = upstream.service_.isEmpty() ? UpstreamKind::ModelEngine : UpstreamKind::Service;
    rejectUnknownFields(reader,
                        {"id", "host", "zone", "address", "models", "service", "checksFencing"});
    if (upstream.models_.empty() == upstream.service_.isEmpty())
        addError(reader, "models", "and service are both set or both absent",
                 "give models to an engine or a service name to a plain service");
    if (!bundle.upstreams_.emplace(upstream.id_, upstream).second)
        addError(reader, "id", fmt::format("{} appears twice", upstream.id_.value_), "remove one");
}

void readRoute(const JsonReader &reader, Bundle &bundle)
{
    ServiceRoute route;
    route.service_ = ServiceId {readString(reader, "service", Need::Required)};
    route.method_ = readString(reader, "method", Need::Optional);
    route.pathPrefix_ = readString(reader, "pathPrefix", Need::Optional, "/");
    route.idempotent_ = readBool(reader, "idempotent", Need::Required, true);
    route.price_ = Tokens {readInteger(reader, "price", Need::Optional, tokenRange)};
    rejectUnknownFields(reader, {"service", "method", "pathPrefix", "idempotent", "price"});
    bundle.routes_.push_back(std::move(route));
}

void readPolicies(const JsonReader &reader, Policies &policies)
{
    const Range shards {1, 65'536};
    policies.ledgerShards_ = static_cast<std::uint32_t>(
        readInteger(reader, "ledgerShards", Need::Optional, shards, policies.ledgerShards_));
    policies.requestShards_ = static_cast<std::uint32_t>(
        readInteger(reader, "requestShards", Need::Optional, shards, policies.requestShards_));
    policies.requestRetention_
        = readMillis(reader, "requestRetentionMs", Need::Optional, Range {60'000, 31'536'000'000},
                     policies.requestRetention_);
    const std::string unconfirmed = readString(reader, "whenUnconfirmed", Need::Optional, "serve");
    if (unconfirmed != "serve" && unconfirmed != "refuse")
        addError(reader, "whenUnconfirmed", "is " + unconfirmed, "use serve or refuse");
    policies.whenUnconfirmed_
        = unconfirmed == "refuse" ? UnconfirmedPolicy::Refuse : UnconfirmedPolicy::Serve;
    policies.unconfirmedLimit_ = readMillis(reader, "unconfirmedLimitMs", Need::Optional,
                                            Range {1000, 604'800'000}, policies.unconfirmedLimit_);
    policies.defaultMaxOutput_
        = Tokens {readInteger(reader, "defaultMaxOutput", Need::Optional, Range {1, 1'000'000},
                              policies.defaultMaxOutput_.count_)};
    rejectUnknownFields(reader,
                        {"ledgerShards", "requestShards", "requestRetentionMs", "whenUnconfirmed",
                         "unconfirmedLimitMs", "defaultMaxOutput"});
}

/// Reads all sections that the object has.
ParsedBundlePart readSection(const JsonReader &root, Need need)
{
    ParsedBundlePart parsedPart;
    Bundle &content = parsedPart.content_;
    parsedPart.hasAccounts_ = root.object_->has("accounts");
    readObjects(root, "accounts", need,
                [&content](const JsonReader &reader) { readAccount(reader, content); });
    if (need == Need::Required || root.object_->has("budgets"))
        readBudgets(root, need, parsedPart);
    readObjects(root, "upstreams", need,
                [&content](const JsonReader &reader) { readUpstream(reader, content); });
    readObjects(root, "routes", Need::Optional,
                [&content](const JsonReader &reader) { readRoute(reader, content); });
    parsedPart.hasPolicies_ = root.object_->has("policies");
    readPolicies(readObject(root, "policies", Need::Optional), content.policies_);
    return parsedPart;
}

ParsedBundlePart parse(const std::string &text, std::size_t maxBytes, Need need,
                       ValidationErrors &errors)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<ParsedBundlePart> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxBytes));
            const JsonReader root {object, "", &errors};
            ParsedBundlePart parsedPart = readSection(root, need);
            std::vector<std::string> known {"accounts", "budgets", "upstreams", "routes",
                                            "policies"};
            if (need == Need::Optional)
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
    return parse(text, maxPartBytes, Need::Optional, errors);
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
        if (parsedPart->segment_ != segments.size())
            errors.push_back(ValidationError {
                "budgets",
                fmt::format("segment {} stands at place {}", parsedPart->segment_, segments.size()),
                "let tamarackctl split the bundle into parts"});
        segments.push_back(parsedPart->budgets_);
    }
    for (const auto &parsedPart : parsedParts) {
        if (parsedPart->budgets_ && parsedPart->segments_ != segments.size())
            errors.push_back(ValidationError {
                "budgets",
                fmt::format("there are {} of {} segments", segments.size(), parsedPart->segments_),
                "let tamarackctl split the bundle into parts"});
    }
    bundle.budgets_ = BudgetTable(std::move(segments));
    if (errors.empty())
        checkBundle(bundle, parsedParts, errors);
    return bundle;
}

Bundle parseBundle(const std::string &text, ValidationErrors &errors)
{
    auto parsedPart
        = std::make_shared<ParsedBundlePart>(parse(text, maxBundleBytes, Need::Required, errors));
    if (parsedPart->budgets_ == nullptr)
        return {};
    ValidationErrors crossFaults;
    Bundle bundle = assembleBundle({parsedPart}, crossFaults);
    errors.insert(errors.end(), crossFaults.begin(), crossFaults.end());
    return bundle;
}

} // namespace tamarack
