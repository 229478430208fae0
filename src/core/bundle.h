// The bundle: everything operators decide. A bundle is immutable once it is accepted; all threads
// share it through std::shared_ptr<const Bundle>.
#pragma once

#include "core/budgets.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A caller's key, stored as the lower-case hexadecimal SHA-256 of the key.
struct KeyHash
{
    std::string sha256_;
    /// Budget that requests with this key draw on unless they name another.
    BudgetId defaultBudget_;
};

/// @brief How far a client account can spend while the store is unreachable.
///
/// What a holder can spend on its own is also what its death can strand.
struct GrantPolicy
{
    /// A grant covers this long at the current burn rate.
    Millis offlineDuration_ {Seconds {30}};
    /// Largest part of the unallocated balance one grant may take, in thousandths.
    std::uint32_t maxSharePerMille_ = 125;
};

/// @brief One client account.
struct ClientAccount
{
    AccountId id_;
    std::vector<KeyHash> keys_;
    /// Higher values are served first.
    int priority_ = 0;
    std::uint32_t maxInFlight_ = 256;
    double requestsPerSecond_ = 100.0;
    GrantPolicy grantPolicy_;
};

enum class UpstreamKind {
    ModelEngine,
    Service,
};

/// @brief One upstream: a model engine or a plain service.
struct Upstream
{
    UpstreamId id_;
    UpstreamKind kind_ = UpstreamKind::ModelEngine;
    HostId host_;
    ZoneId zone_;
    /// IP number and port, such as "10.0.3.7:8000".
    std::string address_;
    /// Models an engine may serve.
    std::vector<ModelId> models_;
    /// Service name of a plain service.
    ServiceId service_;
    /// True if the upstream refuses orders with an old fencing number.
    bool checksFencing_ = false;
};

/// @brief How calls to a service are treated.
struct ServiceRoute
{
    ServiceId service_;
    /// HTTP method, or empty for every method.
    std::string method_;
    /// Path below /services/NAME; the longest matching prefix wins.
    std::string pathPrefix_;
    bool idempotent_ = true;
    /// Fixed price of one call.
    Tokens price_;
};

/// @brief What a daemon does that cannot confirm its bundle with the store or a peer.
enum class UnconfirmedPolicy {
    Serve,
    Refuse,
};

/// @brief Fleet-wide policies.
struct Policies
{
    std::uint32_t ledgerShards_ = 16;
    std::uint32_t requestShards_ = 16;
    Millis requestRetention_ {std::chrono::hours {24}};
    UnconfirmedPolicy whenUnconfirmed_ = UnconfirmedPolicy::Serve;
    Millis unconfirmedLimit_ {std::chrono::hours {1}};
    /// Default for requests that do not limit their output.
    Tokens defaultMaxOutput_ {512};
};

/// @brief One accepted version of the operators' configuration.
struct Bundle
{
    BundleVersion version_;
    std::map<AccountId, ClientAccount> accounts_;
    BudgetTable budgets_;
    std::map<UpstreamId, Upstream> upstreams_;
    std::vector<ServiceRoute> routes_;
    Policies policies_;
};

/// @brief The client account and default budget behind a caller's key.
struct KeyOwner
{
    AccountId account_;
    BudgetId budget_;
};

/// @brief Finds the owner of a key by the SHA-256 of the key.
/// @note O(accounts); traffic threads use the index of the Snapshot instead
std::optional<KeyOwner> findKeyOwner(const Bundle &bundle, const std::string &keySha256);

/// @brief Returns the route with the longest matching prefix, or nothing if none matches.
const ServiceRoute *findRoute(const Bundle &bundle, const ServiceId &service,
                              const std::string &method, const std::string &path);

} // namespace tamarack
