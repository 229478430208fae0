// Relay control state with a configuration and instances, for unit tests.
#pragma once

#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct RelayFixture
{
    RelayState state_;
    MonoTime now_ {Seconds {1000}};
    std::uint64_t lastExchange_ = 0;
};

inline RelayRoute makeRoute(const std::string &name, RetryPolicy retryPolicy,
                            const std::string &service)
{
    RelayRoute route;
    route.id_ = RouteId {name};
    route.host_ = "h";
    route.pathPrefix_ = "/" + name + "/";
    route.retryPolicy_ = retryPolicy;
    route.targets_ = {RelayTarget {ServiceId {service}, 1}};
    route.maxAttempts_ = retryPolicy == RetryPolicy::Retryable ? 2 : 1;
    route.timeout_ = Millis {2000};
    route.latencyObjective_ = Millis {400};
    return route;
}

inline std::shared_ptr<RelayConfig> makeConfig(std::uint64_t version = 1)
{
    auto config = std::make_shared<RelayConfig>();
    config->version_ = ConfigVersion {version};
    config->routes_ = {makeRoute("once", RetryPolicy::AtMostOnce, "app"),
                       makeRoute("safe", RetryPolicy::Retryable, "app"),
                       makeRoute("stream", RetryPolicy::AtMostOnce, "llm"),
                       makeRoute("resume", RetryPolicy::Retryable, "llm")};
    config->routes_[2].streaming_ = true;
    config->routes_[3].streaming_ = true;
    config->routes_[3].resumable_ = true;
    RelayService app {ServiceId {"app"}, 110, std::nullopt};
    RelayService llm {ServiceId {"llm"}, 370, EngineSpec {64, Tokens {400'000}, 3}};
    config->services_ = {{app.id_, app}, {llm.id_, llm}};
    config->accounts_[AccountId {"acme"}]
        = RelayAccount {AccountId {"acme"}, std::nullopt, Tokens {100'000}};
    config->accountByKey_["key"] = AccountId {"acme"};
    return config;
}

inline RelayCommands post(RelayFixture &fixture, const RelayEvent &event)
{
    RelayCommands out = handleRelayEvent(fixture.state_, event, fixture.now_);
    const bool valid = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(checkInvariants(fixture.state_));
            return true;
        },
        [] { return false; });
    CHECK(valid);
    return out;
}

inline RelayCommands advanceTime(RelayFixture &fixture, Millis time)
{
    fixture.now_ += time;
    return runDueWork(fixture.state_, fixture.now_);
}

inline ListedInstance makeInstance(const std::string &id, const std::string &service,
                                   std::uint64_t revision, const std::string &zone = "near")
{
    Instance instance;
    instance.id_ = UpstreamId {id};
    instance.service_ = ServiceId {service};
    instance.address_ = id + ":80";
    instance.zone_ = ZoneId {zone};
    instance.version_ = SoftwareVersion {"v1"};
    instance.slots_ = 6;
    return ListedInstance {instance, Revision {revision}};
}

/// Has the store confirm that streams may begin at all versions that are served.
inline void confirmVersions(RelayFixture &fixture)
{
    VersionRecordCopy copy;
    for (const auto &[id, known] : fixture.state_.directory_.known_)
        copy.record_.versions_.insert({known.instance_.service_, known.instance_.version_});
    copy.readAt_ = fixture.now_;
    fixture.state_.versions_.copy_ = std::move(copy);
    fixture.state_.versions_.call_.reset();
    fixture.state_.versions_.unconfirmedSince_.clear();
}

/// Applies a configuration and two instances of each service.
inline void setUp(RelayFixture &fixture)
{
    fixture.state_.settings_.zone_ = ZoneId {"near"};
    fixture.state_.prepaid_.holder_ = HolderId {"me-1"};
    post(fixture, ConfigReceived {makeConfig(), ChangeSource::Store});
    post(fixture,
         InstancesListed {{makeInstance("a1", "app", 2), makeInstance("a2", "app", 3),
                           makeInstance("e1", "llm", 4), makeInstance("e2", "llm", 5)},
                          Revision {5},
                          ChangeSource::Store});
    confirmVersions(fixture);
}

inline RelayRequest makeRequest(RelayFixture &fixture, const std::string &route)
{
    RelayRequest request;
    request.id_ = ExchangeId {++fixture.lastExchange_};
    request.request_ = RequestId {"r" + std::to_string(fixture.lastExchange_)};
    request.host_ = "h";
    request.path_ = "/" + route + "/x?y=1";
    request.key_ = "key";
    request.arrivedAt_ = fixture.now_;
    request.clientTimeout_ = Millis {4000};
    return request;
}

template <typename Command>
std::optional<Command> findCommand(const RelayCommands &commands)
{
    for (const RelayCommand &command : commands) {
        if (const auto *found = std::get_if<Command>(&command))
            return *found;
    }
    return std::nullopt;
}

inline RelayAttemptEnded ended(const SendAttempt &attempt, AttemptEnd end, int status = 0)
{
    RelayAttemptEnded event;
    event.id_ = attempt.id_;
    event.attempt_ = attempt.attempt_;
    event.end_ = end;
    event.status_ = status;
    return event;
}

} // namespace tamarack
