// Sends one request to upstreams and resumes interrupted streams. Internal to the traffic library.
#pragma once

#include "traffic/serve.h"

#include <cstdint>

namespace tamarack::detail {

/// @brief A request that a traffic thread is serving.
struct ServedRequest
{
    TrafficContext &context_;
    const CallerRequest &request_;
    const CallerResponseWriter &response_;
    RequestId id_;
    int priority_ = 0;
    MonoTime deadline_;
    Tokens worstCase_;
    Tokens price_;
    bool idempotent_ = true;
    /// Stream events received from upstreams, including those not forwarded to the caller.
    std::uint64_t received_ = 0;
    /// Stream events forwarded to the caller.
    std::uint64_t delivered_ = 0;
    bool callerDisconnected_ = false;
    /// Events with output that were received in the current or latest attempt.
    std::uint64_t attemptEvents_ = 0;
};

/// @brief Sends the request to the upstream of a dispatch and resumes an interrupted stream at the
/// same engine.
/// @return the result of the last exchange
ExchangeResult runAttempt(ServedRequest &served, const Dispatch &dispatch);

/// @brief Cancels the request at an engine that may still be generating, and stores the usage that
/// the engine reports in @a result.
void stopGeneration(const ServedRequest &served, const Dispatch &dispatch, ExchangeResult &result);

/// @brief Returns the cost of the request after an exchange, limited to its worst case.
Tokens costOf(const ServedRequest &served, const ExchangeResult &result);

/// @brief Logs an exchange that ended without a complete response, or whose usage exceeds the
/// worst case. Other exchanges aren't logged.
void logExchangeProblem(const ServedRequest &served, const Dispatch &dispatch,
                        const ExchangeResult &result);

} // namespace tamarack::detail
