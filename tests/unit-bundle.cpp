// Tests the validation and splitting of bundle documents. Guards against accepting a bundle that
// daemons cannot use, and against a small change that rewrites all parts.
#include "adapters/json/json.h"
#include "bundledocuments.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

using fakes::bundleDocument;
using fakes::keyDigest;

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<BundlePartText> split(const std::string &document)
{
    std::vector<BundlePartText> parts;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(parts, splitBundle(document));
            return {};
        },
        [](const Error &error) { FAIL(error.message_); }, [] { FAIL("no error object"); });
    return parts;
}

std::vector<std::shared_ptr<const ParsedBundlePart>>
parseParts(const std::vector<BundlePartText> &parts)
{
    std::vector<std::shared_ptr<const ParsedBundlePart>> parsedParts;
    for (const BundlePartText &part : parts) {
        ValidationErrors errors;
        parsedParts.push_back(
            std::make_shared<const ParsedBundlePart>(parseBundlePart(part.content_, errors)));
        INFO(formatValidationErrors(errors));
        REQUIRE(errors.empty());
    }
    return parsedParts;
}

} // namespace

TEST_CASE("a valid document has no validation errors")
{
    ValidationErrors errors;
    const Bundle bundle = parseBundle(bundleDocument(3), errors);
    INFO(formatValidationErrors(errors));
    CHECK(errors.empty());
    CHECK(bundle.budgets_.size() == 3);
    CHECK(bundle.budgets_.at(BudgetId {"budget-000002"}).account_ == AccountId {"acct"});
}

TEST_CASE("each validation error is listed with its path")
{
    const std::string document = bundleDocument(2);
    const std::string otherAccount = fmt::format(
        R"({{"id":"other","keys":[{{"sha256":"{}","budget":"budget-000000"}}]}},{{"id":"acct",)",
        keyDigest);
    struct Case
    {
        const char *what_;
        std::string from_;
        std::string to_;
        const char *path_;
    };
    const Case cases[] {
        {"budget of a key", R"("budget":"budget-000000")", R"("budget":"nowhere")",
         "accounts.acct.keys[0].budget"},
        {"budget of another account", R"({"id":"acct",)", otherAccount,
         "accounts.other.keys[0].budget"},
        {"duplicate key between accounts", R"({"id":"acct",)", otherAccount,
         "accounts.other.keys[0].sha256"},
        {"owner of a budget", R"("account":"acct")", R"("account":"nobody")",
         "budgets.budget-000000.account"},
        {"duplicate budget", "budget-000001", "budget-000000", "budgets[1].id"},
        {"malformed key hash", keyDigest, "ABC", "accounts[0].keys[0].sha256"},
        {"malformed address", "10.0.0.1:80", "engine-1:80", "upstreams[0].address"},
        {"address without port", "10.0.0.1:80", "10.0.0.1", "upstreams[0].address"},
        {"port out of range", "10.0.0.1:80", "10.0.0.1:65536", "upstreams[0].address"},
        {"no models and no service", R"("models":["m"])", R"("models":[])", "upstreams[0].models"},
        {"negative funding", R"("funded":100)", R"("funded":-1)", "budgets[0].funded"},
        {"unknown field", R"("zone":"z")", R"("zone":"z","zoen":"y")", "upstreams[0].zoen"},
        {"unknown root field", R"("policies":)", R"("politics":)", "politics"},
        {"zero shards", R"("ledgerShards":16)", R"("ledgerShards":0)", "policies.ledgerShards"},
        {"route of an unknown service", R"("policies":)",
         R"("routes":[{"service":"s","idempotent":true}],"policies":)", "routes[0].service"},
        {"service without a route", R"("models":["m"])", R"("service":"s")", "routes"},
        {"empty upstreams", R"({"id":"e","zone":"z","address":"10.0.0.1:80","models":["m"]})", "",
         "upstreams"},
        {"no keys", fmt::format(R"({{"sha256":"{}","budget":"budget-000000"}})", keyDigest), "",
         "accounts.acct.keys"},
    };
    for (const Case &c : cases) {
        ValidationErrors errors;
        parseBundle(replaced(document, c.from_, c.to_), errors);
        INFO(c.what_ << "\n" << formatValidationErrors(errors));
        CHECK(std::any_of(errors.begin(), errors.end(), [&c](const ValidationError &error) {
            return error.path_ == c.path_ && !error.remedy_.empty();
        }));
    }
}

TEST_CASE("all validation errors are listed at once")
{
    std::string document = replaced(bundleDocument(2), "10.0.0.1:80", "x");
    document = replaced(document, R"("account":"acct")", R"("account":"nobody")");
    document = replaced(document, R"("funded":100)", R"("funded":"100")");
    ValidationErrors errors;
    parseBundle(document, errors);
    CHECK(errors.size() >= 3);
}

TEST_CASE("malformed documents give validation errors")
{
    for (const std::string document :
         {"", "{", "[]", "null", R"({"accounts":5,"budgets":{},"upstreams":"x"})",
          R"({"accounts":[5],"budgets":[null],"upstreams":[[]]})"}) {
        ValidationErrors errors;
        parseBundle(document, errors);
        INFO(document);
        CHECK(!errors.empty());
    }
    ValidationErrors errors;
    parseBundle(bundleDocument(2).substr(0, 200), errors);
    CHECK(!errors.empty());
}

TEST_CASE("the parts of a document give the same bundle")
{
    const std::size_t count = GENERATE(1, 3000, 20000);
    const std::vector<BundlePartText> parts = split(bundleDocument(count));
    CHECK((parts.size() > 4) == (count > 1500));
    for (const BundlePartText &part : parts)
        CHECK(part.content_.size() <= 96U << 10U);
    ValidationErrors errors;
    const Bundle bundle = assembleBundle(parseParts(parts), errors);
    INFO(formatValidationErrors(errors));
    CHECK(errors.empty());
    CHECK(bundle.budgets_.size() == count);
    CHECK(bundle.budgets_.contains(BudgetId {"budget-000000"}));
    CHECK(!bundle.budgets_.contains(BudgetId {"absent"}));
    std::size_t visited = 0;
    for (const auto &[id, budget] : bundle.budgets_)
        visited += id == budget.id_ ? 1 : 0;
    CHECK(visited == count);
}

TEST_CASE("a change of one budget changes one part")
{
    const std::vector<BundlePartText> before = split(bundleDocument(20000, 100));
    const std::vector<BundlePartText> after = split(bundleDocument(20000, 101));
    REQUIRE(before.size() == after.size());
    std::size_t changed = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        changed += before[i].content_ == after[i].content_ ? 0 : 1;
    CHECK(changed == 1);
}

TEST_CASE("missing, exchanged and repeated segments are validation errors")
{
    std::vector<BundlePartText> parts = split(bundleDocument(20000));
    SECTION("missing")
    {
        parts.pop_back();
    }
    SECTION("exchanged")
    {
        std::swap(parts[3], parts[4]);
    }
    SECTION("repeated")
    {
        parts.back() = parts[3];
    }
    ValidationErrors errors;
    assembleBundle(parseParts(parts), errors);
    CHECK(!errors.empty());
}

TEST_CASE("a budget in the wrong segment is a validation error")
{
    std::vector<BundlePartText> parts = split(bundleDocument(20000));
    ValidationErrors errors;
    parseBundlePart(replaced(parts[3].content_, R"("segment":0)", R"("segment":1)"), errors);
    CHECK(!errors.empty());
}

} // namespace tamarack
