// Stable codes of refusal reasons and execution states.
#include "core/refusal.h"

namespace tamarack {

std::string_view refusalCode(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::InvalidRequest:
        return "invalid_request";
    case RefusalReason::UnknownKey:
        return "unknown_key";
    case RefusalReason::BudgetNotOwned:
        return "budget_not_owned";
    case RefusalReason::BudgetExhausted:
        return "budget_exhausted";
    case RefusalReason::BudgetHeldElsewhere:
        return "budget_held_elsewhere";
    case RefusalReason::BudgetUnconfirmed:
        return "budget_unconfirmed";
    case RefusalReason::RateLimited:
        return "rate_limited";
    case RefusalReason::TooManyRequestsInFlight:
        return "too_many_requests_in_flight";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::NoUpstream:
        return "no_upstream";
    case RefusalReason::UpstreamFailed:
        return "upstream_failed";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalReason::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalReason::Stopping:
        return "stopping";
    case RefusalReason::BundleUnconfirmed:
        return "bundle_unconfirmed";
    }
    return "internal";
}

std::string_view executionCode(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

} // namespace tamarack
