// The bundle: the configuration of the fleet, which operators publish as signed versions. An
// accepted bundle is immutable; threads share it through std::shared_ptr<const Bundle>.
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

/// @brief An API key of a caller, stored as the SHA-256 digest of the key.
struct KeyHash
{
    /// Lower-case hexadecimal digest.
    std::string sha256_;
    /// Budget charged for requests with this key that do not name a budget.
    BudgetId defaultBudget_;
};

/// @brief Limits the size of the grants that daemons draw for a client account.
///
/// A larger grant lets a daemon serve longer while the store is unreachable, but more tokens are
/// lost if the daemon dies.
struct GrantPolicy
{
    /// How long a grant should last at the current consumption rate.
    Millis offlineDuration_ {Seconds {30}};
    /// Maximum share of the unallocated balance that one grant may take, in thousandths.
    std::uint32_t maxSharePerMille_ = 125;
};

/// @brief One client account.
struct ClientAccount
{
    AccountId id_;
    std::vector<KeyHash> keys_;
    /// Requests of accounts with a higher value are served first.
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
    /// IP address and port, such as "10.0.3.7:8000".
    std::string address_;
    /// Models that the engine may serve; empty for a plain service.
    std::vector<ModelId> models_;
    /// Name of the plain service; empty for a model engine.
    ServiceId service_;
    /// True if the upstream rejects orders with an outdated fencing token.
    bool checksFencing_ = false;
    /// Version of the engine's software. A stream that was interrupted resumes only at engines of
    /// the same version; engines without a version count as one.
    SoftwareVersion softwareVersion_ {};
};

/// @brief Settings for the calls to a service that match a method and a path prefix.
struct ServiceRoute
{
    ServiceId service_;
    /// HTTP method, or empty for every method.
    std::string method_;
    /// Path prefix below /services/NAME. The route with the longest matching prefix applies.
    std::string pathPrefix_;
    bool idempotent_ = true;
    /// Fixed price per call.
    Tokens price_;
};

/// @brief What a daemon does when it cannot confirm its bundle version with the store or a peer.
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
    /// Output limit for requests that do not specify one.
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

/// @brief The client account and default budget that belong to an API key.
struct KeyOwner
{
    AccountId account_;
    BudgetId budget_;
};

/// @brief Finds the owner of an API key by the SHA-256 digest of the key.
/// @return the owner, or nothing if no account has the key
/// @note O(keys of all accounts); traffic threads use the index of the Snapshot instead
std::optional<KeyOwner> findKeyOwner(const Bundle &bundle, const std::string &keySha256);

/// @brief Returns the route with the longest matching path prefix, or null if none matches.
/// @note O(routes)
const ServiceRoute *findRoute(const Bundle &bundle, const ServiceId &service,
                              const std::string &method, const std::string &path);

} // namespace tamarack
