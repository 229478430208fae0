// Exchanges with upstreams on behalf of one request. Internal to the traffic library.
#pragma once

#include "traffic/serve.h"

#include <cstdint>

namespace tamarack::detail {

/// @brief One request on its way through a traffic thread.
struct ServedRequest
{
    TrafficContext &context_;
    const CallerRequest &request_;
    const CallerResponse &response_;
    RequestId id_;
    int priority_ = 0;
    MonoTime deadline_;
    Tokens worstCase_;
    Tokens price_;
    bool idempotent_ = true;
    /// Events of the stream that were received, including those withheld from the caller.
    std::uint64_t received_ = 0;
    /// Events of the stream that the caller has received.
    std::uint64_t delivered_ = 0;
    bool callerGone_ = false;
    /// Events with output that the current or last attempt received.
    std::uint64_t attemptEvents_ = 0;
};

/// @brief Makes the exchanges of one dispatch: a stream that is cut is resumed at the same engine.
ExchangeResult runAttempt(ServedRequest &served, const Dispatch &dispatch);

/// @brief Stops an engine that may still generate for the request, and takes the usage it reports.
void stopGeneration(const ServedRequest &served, const Dispatch &dispatch, ExchangeResult &result);

/// @brief Cost of the request after an exchange, at most its worst case.
Tokens costOf(const ServedRequest &served, const ExchangeResult &result);

/// @brief Logs an exchange that gave no whole answer, or whose usage exceeds the bound.
void logExchangeProblem(const ServedRequest &served, const Dispatch &dispatch,
                        const ExchangeResult &result);

} // namespace tamarack::detail
