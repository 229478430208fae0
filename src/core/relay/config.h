// The configuration of a relay fleet: which service answers a request, what a client may send and
// which client accounts exist. A newer version replaces the whole.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

using RouteId = Id<struct RouteTag>;
using ConfigVersion = NumericId<struct ConfigVersionTag>;

/// @brief A service that a route may use, with its share of the requests.
struct RelayTarget
{
    ServiceId service_;
    std::uint32_t weight_ = 1;
};

/// @brief What may be repeated at another upstream.
enum class RetryPolicy {
    /// The request has no effect or the same effect when it runs again.
    Retryable,
    /// The request runs at most once.
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
    /// The answer is a stream of server-sent events.
    bool streaming_ = false;
    /// An interrupted stream may go on at another upstream after its last event.
    bool resumable_ = false;
    std::vector<RelayTarget> targets_;
    /// Upstreams that one request may be sent to.
    std::uint32_t maxAttempts_ = 1;
    /// The final answer is due this long after the request was read.
    Millis timeout_ {};
    /// An answer that starts later counts as late.
    Millis latencyObjective_ {};
    /// Longest pause between two events of a stream that is not late.
    Millis gapObjective_ {};
    /// 0 is the most urgent.
    int priority_ = 0;
    /// No key is needed.
    bool public_ = false;
};

/// @brief What is known of the model engines of a service.
struct EngineSpec
{
    std::uint32_t slots_ = 1;
    Tokens kvCapacity_;
    /// Most output tokens in one event; 0 if unknown.
    std::uint32_t tokensPerEvent_ = 0;
};

/// @brief A group of upstream instances that do the same work.
struct RelayService
{
    ServiceId id_;
    /// Connections that one instance accepts from all daemons together.
    std::uint32_t maxConnections_ = 0;
    std::optional<EngineSpec> engine_;
};

/// @brief Limits on what a client may send.
struct ClientLimits
{
    std::size_t maxHeaderBytes_ = 16U << 10U;
    std::size_t maxBodyBytes_ = 4U << 20U;
    /// Longest time from the first byte of a request to its end.
    Millis readTimeout_ {3000};
    Millis idleTimeout_ {15'000};
};

/// @brief A client account with its prepaid total.
struct RelayAccount
{
    AccountId id_;
    std::optional<int> priority_;
    /// Cumulative prepaid tokens; without it the account is not limited.
    std::optional<Tokens> prepaid_;
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

/// @brief Returns the route of a host whose prefix is the longest that begins @a path, or nullptr.
/// @param path the request target; a query does not take part
/// @note O(routes)
const RelayRoute *findRoute(const RelayConfig &config, std::string_view host,
                            std::string_view path);

/// @brief Returns the services of a route, the one that @a request belongs to by weight first.
///
/// All daemons agree on the order, so a request that is repeated by its client stays on its side
/// of a split.
std::vector<ServiceId> servicesInOrder(const RelayRoute &route, const RequestId &request);

} // namespace tamarack
