// Configuration of a relay fleet: the services that handle requests, the limits on client input and
// the client accounts. A newer version replaces the whole configuration.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

using RouteId = Id<struct RouteTag>;
using ConfigVersion = NumericId<struct ConfigVersionTag>;

/// @brief A service that a route may use, with its weight in a traffic split.
struct RelayTarget
{
    ServiceId service_;
    std::uint32_t weight_ = 1;
};

/// @brief Whether a request may be retried on another upstream.
enum class RetryPolicy {
    /// Running the request again has no effect or the same effect.
    Retryable,
    /// The request must not run more than once.
    AtMostOnce,
};

/// @brief A rule that maps a host and a path prefix to services.
struct RelayRoute
{
    RouteId id_;
    std::string host_;
    /// Begins and ends with a slash.
    std::string pathPrefix_;
    RetryPolicy retryPolicy_ = RetryPolicy::AtMostOnce;
    /// The response is a stream of server-sent events.
    bool streaming_ = false;
    /// An interrupted stream may be resumed on another upstream after the last delivered event.
    bool resumable_ = false;
    std::vector<RelayTarget> targets_;
    /// Maximum number of upstreams that one request may be sent to.
    std::uint32_t maxAttempts_ = 1;
    /// Maximum time from the arrival of the request to the end of the response.
    Millis timeout_ {};
    /// A response that starts later than this misses its latency objective.
    Millis latencyObjective_ {};
    /// Maximum time between two events of a stream that meets its objective.
    Millis gapObjective_ {};
    /// 0 is the most urgent.
    int priority_ = 0;
    /// Requests need no API key.
    bool public_ = false;
    /// Regions whose instances may run the requests; all if it is empty.
    std::set<RegionId> allowedRegions_ {};
};

/// @brief Capacity of the model engines of a service.
struct EngineSpec
{
    std::uint32_t slots_ = 1;
    Tokens kvCapacity_;
    /// Maximum number of output tokens in one event; 0 if unknown.
    std::uint32_t tokensPerEvent_ = 0;
};

/// @brief A group of interchangeable upstream instances.
struct RelayService
{
    ServiceId id_;
    /// Maximum number of connections that one instance accepts from all daemons together.
    std::uint32_t maxConnections_ = 0;
    std::optional<EngineSpec> engine_;
    /// How long an instance is cold after its process has started.
    Millis coldStart_ {};
    /// Requests per second that a cold instance accepts from all daemons together; 0 if there is no
    /// limit.
    double coldPerSecond_ = 0.0;
};

/// @brief Limits on client input.
struct ClientLimits
{
    std::size_t maxHeaderBytes_ = 16U << 10U;
    std::size_t maxBodyBytes_ = 4U << 20U;
    /// Maximum time from the first byte of a request to its last.
    Millis readTimeout_ {3000};
    Millis idleTimeout_ {15'000};
};

/// @brief A client account with its prepaid tokens.
struct RelayAccount
{
    AccountId id_;
    std::optional<int> priority_;
    /// Cumulative prepaid tokens; an account without a value is not limited.
    std::optional<Tokens> prepaid_;
    /// Regions whose instances may run the requests; all if it is empty.
    std::set<RegionId> allowedRegions_ {};
};

/// @brief One version of the configuration.
struct RelayConfig
{
    ConfigVersion version_;
    std::vector<RelayRoute> routes_;
    std::map<ServiceId, RelayService> services_;
    ClientLimits limits_;
    std::map<AccountId, RelayAccount> accounts_;
    std::unordered_map<std::string, AccountId> accountByKey_;
};

/// @brief Returns the route of @a host with the longest prefix that matches @a path, or nullptr.
/// @param path the request target; the query string is ignored
/// @note O(routes)
const RelayRoute *findRoute(const RelayConfig &config, std::string_view host,
                            std::string_view path);

/// @brief Returns the services of a route, starting with the one that the weighted split selects
/// for @a request.
///
/// The selection is a hash of the request id, so all daemons agree on it and a retry by the client
/// selects the same service.
std::vector<ServiceId> servicesInOrder(const RelayRoute &route, const RequestId &request);

} // namespace tamarack
