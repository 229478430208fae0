// Bundles as JSON documents.
#include "adapters/json/bundlejson.h"

#include "adapters/json/jsonreader.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

constexpr std::size_t maxBundleBytes = 64U << 20U;
constexpr Range tokenRange {0, 1'000'000'000'000'000};
constexpr std::size_t sha256HexLength = 64;

void readKeys(const JsonReader &reader, ClientAccount &account)
{
    readObjects(reader, "keys", Need::Required, [&account](const JsonReader &key) {
        const std::string digest = readString(key, "sha256", Need::Required);
        if (digest.size() != sha256HexLength)
            addFault(key, "sha256", "is not a SHA-256 in hexadecimal",
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
    account.reach_.offlineReach_ = readMillis(reach, "offlineReachMs", Need::Optional,
                                              Range {0, 86'400'000}, account.reach_.offlineReach_);
    account.reach_.maxSharePerMille_ = static_cast<std::uint32_t>(
        readInteger(reach, "maxSharePerMille", Need::Optional, Range {1, 1000},
                    account.reach_.maxSharePerMille_));
    rejectUnknownFields(reach, {"offlineReachMs", "maxSharePerMille"});
    rejectUnknownFields(reader,
                        {"id", "keys", "priority", "maxInFlight", "requestsPerSecond", "reach"});
    if (!bundle.accounts_.emplace(account.id_, account).second)
        addFault(reader, "id", fmt::format("{} appears twice", account.id_.value_), "remove one");
}

void readBudget(const JsonReader &reader, Bundle &bundle)
{
    Budget budget;
    budget.id_ = BudgetId {readString(reader, "id", Need::Required)};
    budget.account_ = AccountId {readString(reader, "account", Need::Required)};
    budget.funded_ = Tokens {readInteger(reader, "funded", Need::Required, tokenRange)};
    rejectUnknownFields(reader, {"id", "account", "funded"});
    if (!bundle.accounts_.contains(budget.account_))
        addFault(reader, "account", fmt::format("{} is not in accounts", budget.account_.value_),
                 "add the client account or correct the name");
    if (!bundle.budgets_.emplace(budget.id_, budget).second)
        addFault(reader, "id", fmt::format("{} appears twice", budget.id_.value_), "remove one");
}

void readUpstream(const JsonReader &reader, Bundle &bundle)
{
    Upstream upstream;
    upstream.id_ = UpstreamId {readString(reader, "id", Need::Required)};
    upstream.host_ = HostId {readString(reader, "host", Need::Optional)};
    upstream.zone_ = ZoneId {readString(reader, "zone", Need::Required)};
    upstream.address_ = readString(reader, "address", Need::Required);
    for (const std::string &model : readStrings(reader, "models", Need::Optional))
        upstream.models_.emplace_back(model);
    upstream.service_ = ServiceId {readString(reader, "service", Need::Optional)};
    upstream.checksFencing_ = readBool(reader, "checksFencing", Need::Optional);
    upstream.kind_
        = upstream.service_.isEmpty() ? UpstreamKind::ModelEngine : UpstreamKind::Service;
    rejectUnknownFields(reader,
                        {"id", "host", "zone", "address", "models", "service", "checksFencing"});
    if (upstream.models_.empty() == upstream.service_.isEmpty())
        addFault(reader, "models", "and service are both set or both absent",
                 "give models to an engine or a service name to a plain service");
    if (!bundle.upstreams_.emplace(upstream.id_, upstream).second)
        addFault(reader, "id", fmt::format("{} appears twice", upstream.id_.value_), "remove one");
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
        addFault(reader, "whenUnconfirmed", "is " + unconfirmed, "use serve or refuse");
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

void checkKeys(const JsonReader &root, const Bundle &bundle)
{
    for (const auto &[id, account] : bundle.accounts_) {
        for (const KeyHash &key : account.keys_) {
            const auto budget = bundle.budgets_.find(key.defaultBudget_);
            if (budget == bundle.budgets_.end() || budget->second.account_ != id)
                addFault(root, "accounts." + id.value_ + ".keys",
                         fmt::format("names budget {}, which the account does not own",
                                     key.defaultBudget_.value_),
                         "name one of its budgets");
        }
    }
}

} // namespace

Bundle parseBundle(const std::string &text, Faults &faults)
{
    Bundle bundle;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxBundleBytes));
            const JsonReader root {object, "", &faults};
            readObjects(root, "accounts", Need::Required,
                        [&bundle](const JsonReader &reader) { readAccount(reader, bundle); });
            readObjects(root, "budgets", Need::Required,
                        [&bundle](const JsonReader &reader) { readBudget(reader, bundle); });
            readObjects(root, "upstreams", Need::Required,
                        [&bundle](const JsonReader &reader) { readUpstream(reader, bundle); });
            readObjects(root, "routes", Need::Optional,
                        [&bundle](const JsonReader &reader) { readRoute(reader, bundle); });
            readPolicies(readObject(root, "policies", Need::Optional), bundle.policies_);
            rejectUnknownFields(root, {"accounts", "budgets", "upstreams", "routes", "policies"});
            checkKeys(root, bundle);
            return {};
        },
        [&faults](const Error &error) {
            faults.push_back(Fault {"bundle", error.message_, error.id_});
        },
        [&faults] {
            faults.push_back(Fault {"bundle", "could not be read", "check the document"});
        });
    return bundle;
}

} // namespace tamarack
