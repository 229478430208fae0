// Bundle documents for tests.
#pragma once

#include <fmt/format.h>

#include <string>

namespace tamarack::fakes {

inline const std::string keyDigest(64, 'a');

/// @brief Returns a valid document with one client account and @a budgets budgets.
inline std::string bundleDocument(std::size_t budgets, std::int64_t firstFunded = 100,
                                  std::uint32_t ledgerShards = 16)
{
    std::string list;
    for (std::size_t i = 0; i < budgets; ++i)
        list += fmt::format(R"({}{{"id":"budget-{:06}","account":"acct","funded":{}}})",
                            i == 0 ? "" : ",", i, i == 0 ? firstFunded : 100);
    return fmt::format(
        R"({{"accounts":[{{"id":"acct","keys":[{{"sha256":"{}","budget":"budget-000000"}}]}}],)"
        R"("budgets":[{}],"upstreams":[{{"id":"e","zone":"z","address":"10.0.0.1:80",)"
        R"("models":["m"]}}],"policies":{{"ledgerShards":{}}}}})",
        keyDigest, list, ledgerShards);
}

} // namespace tamarack::fakes
