// Splits a bundle document into parts.
#include "adapters/json/bundleparts.h"

#include "adapters/json/bundlejson.h"
#include "adapters/json/jsonreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace tamarack {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// Maximum size of a budget segment. To apply a changed budget, a daemon fetches the manifest and
/// one segment. With 940,000 budgets their total size is smallest if both have about this size.
constexpr std::size_t targetSegmentBytes = 96U << 10U;

std::string formatJson(const Poco::Dynamic::Var &value)
{
    std::ostringstream text;
    Poco::JSON::Stringifier::stringify(value, text);
    return text.str();
}

std::string selectFields(const Object &document, const std::vector<std::string> &fields)
{
    Object object;
    for (const std::string &field : fields)
        object.set(field, document.get(field));
    return formatJson(Poco::Dynamic::Var(object));
}

/// Returns the JSON text of each budget by its id.
std::map<std::string, std::string> formatBudgets(const Object &document)
{
    std::map<std::string, std::string> texts;
    const Array::Ptr budgets = document.getArray("budgets");
    if (!budgets)
        return texts;
    for (const Poco::Dynamic::Var &budget : *budgets) {
        const auto &object = budget.extract<Object::Ptr>();
        texts.emplace(object->optValue<std::string>("id", ""), formatJson(budget));
    }
    return texts;
}

std::vector<std::string> formatSegments(const std::map<std::string, std::string> &budgets,
                                        std::uint32_t count)
{
    std::vector<std::string> segments(count);
    for (const auto &[id, text] : budgets) {
        std::string &segment = segments[budgetSegmentOf(BudgetId {id}, count)];
        segment += segment.empty() ? "" : ",";
        segment += text;
    }
    for (std::uint32_t i = 0; i < count; ++i)
        segments[i] = fmt::format(R"({{"budgets":[{}],"segment":{},"segments":{}}})", segments[i],
                                  i, count);
    return segments;
}

std::vector<std::string> splitBudgets(const std::map<std::string, std::string> &budgets)
{
    std::size_t bytes = 0;
    for (const auto &[id, text] : budgets)
        bytes += text.size() + 1;
    std::uint32_t count = 1;
    while (bytes / count > targetSegmentBytes && count < maxBudgetSegments)
        count *= 2;
    while (true) {
        std::vector<std::string> segments = formatSegments(budgets, count);
        const auto largest
            = std::max_element(segments.begin(), segments.end(),
                               [](const auto &a, const auto &b) { return a.size() < b.size(); });
        if (largest->size() <= targetSegmentBytes || count >= maxBudgetSegments)
            return segments;
        count *= 2;
    }
}

} // namespace

Result<std::vector<BundlePartText>> splitBundle(const std::string &document)
{
    BOOST_LEAF_AUTO(root, parseObject(document, maxBundleBytes));
    std::vector<std::string> routing;
    for (const std::string &field : root->getNames()) {
        if (field != "accounts" && field != "upstreams" && field != "budgets")
            routing.push_back(field);
    }
    std::vector<BundlePartText> parts {{"accounts", selectFields(*root, {"accounts"})},
                                       {"upstreams", selectFields(*root, {"upstreams"})},
                                       {"routing", selectFields(*root, routing)}};
    std::uint32_t number = 0;
    for (std::string &segment : splitBudgets(formatBudgets(*root)))
        parts.push_back(BundlePartText {fmt::format("budgets/{}", number++), std::move(segment)});
    for (const BundlePartText &part : parts) {
        if (part.content_.size() > maxPartBytes)
            return fail(
                ErrorKind::InvalidBundle, "tamarack.bundle.221",
                fmt::format("part {} has {} bytes, but the store accepts at most {}; remove "
                            "unused entries",
                            part.name_, part.content_.size(), maxPartBytes));
    }
    return parts;
}

} // namespace tamarack
