// Graceful stop (admits no new requests, finishes those in flight and releases the grants) and
// forced stop (logs the requests and grants that are abandoned).
#include "core/controlinternal.h"

namespace tamarack::detail {

namespace {

std::string_view stageName(RequestStage stage)
{
    switch (stage) {
    case RequestStage::AwaitingHome:
        return "awaiting_home";
    case RequestStage::AwaitingTokens:
        return "awaiting_tokens";
    case RequestStage::AwaitingIntent:
        return "awaiting_intent";
    case RequestStage::Running:
        return "running";
    case RequestStage::AwaitingSlot:
        return "awaiting_slot";
    case RequestStage::HeldForPeer:
        return "held_for_peer";
    case RequestStage::Billing:
        break;
    }
    return "billing";
}

void logAbortedRequest(const AdmissionId &admission, const ActiveRequest &request, Commands &out)
{
    log(out, LogLevel::Error, "request.cut",
        {{"request", request.params_.request_.value_},
         {"admission", admission.value_},
         {"attempt", request.attempt_.value_},
         {"account", request.params_.account_.value_},
         {"budget", request.params_.budget_.value_},
         {"stage", std::string(stageName(request.stage_))},
         {"reserved", std::to_string(request.reserved_.count_)}});
}

void logUnreleasedGrant(const BudgetId &budget, const HeldGrant &grant, Commands &out)
{
    log(out, LogLevel::Error, "budget.not_released",
        {{"budget", budget.value_},
         {"grant", grant.id_.value_},
         {"armed", std::to_string(grant.authorized_.count_)},
         {"spent", std::to_string(grant.spent_.count_)},
         {"settled", std::to_string(grant.settled_.count_)}});
}

} // namespace

void onStop(ControlState &state, Commands &out)
{
    if (state.stopping_)
        return;
    state.stopping_ = true;
    state.membership_.self_.leaving_ = true;
    log(out, LogLevel::Info, "daemon.stopping",
        {{"requests_in_flight", std::to_string(state.active_.size())}});
    publishSnapshot(state, out);
    announceLeaving(state, out);
}

void onStopForced(ControlState &state, const StopForced &event, Now, Commands &out)
{
    if (state.stopCompleted_)
        return;
    for (const auto &[admission, request] : state.active_)
        logAbortedRequest(admission, request, out);
    for (const auto &[budget, grant] : state.grants_)
        logUnreleasedGrant(budget, grant, out);
    for (const auto &[id, retired] : state.retired_)
        logUnreleasedGrant(retired.budget_, retired.held_, out);
    log(out, LogLevel::Error, "daemon.stop_forced",
        {{"cause", event.cause_},
         {"requests_cut", std::to_string(state.active_.size())},
         {"grants_not_released", std::to_string(state.grants_.size() + state.retired_.size())}});
    state.stopCompleted_ = true;
    out.emplace_back(StopCompleted {});
}

void finishStop(ControlState &state, Now now, Commands &out)
{
    if (!state.stopping_ || state.stopCompleted_ || !state.active_.empty()
        || hasOpenSettlements(state.home_))
        return;
    releaseGrants(state, now);
    // Wait for pending commits: while the intent of a finished request is still recorded in the
    // store, a retry at another daemon is refused because its outcome is unknown.
    if (!state.retired_.empty() || !commitsIdle(state))
        return;
    state.stopCompleted_ = true;
    log(out, LogLevel::Info, "daemon.stopped", {});
    out.emplace_back(StopCompleted {});
}

} // namespace tamarack::detail
