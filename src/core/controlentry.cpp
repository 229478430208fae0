// Entry daemon: reservations at the home daemon and their settlement.
#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack {

bool hasOpenSettlements(const HomeState &home)
{
    return std::any_of(home.settlements_.begin(), home.settlements_.end(),
                       [](const auto &entry) { return !entry.second.undeliverable_; });
}

namespace detail {

namespace {

std::optional<HolderId> homeOfBudget(const ControlState &state, const BudgetId &budget)
{
    const ShardNumber shard = ledgerShardOf(budget, state.bundle_->policies_.ledgerShards_);
    return homeOf(state.membership_, fmt::format("ledger/{}", shard.value_),
                  state.membership_.self_.zone_);
}

void openSettlement(ControlState &state, const AdmissionId &admission, const HolderId &home,
                    Tokens charged, Now now)
{
    OpenSettlement settlement;
    settlement.home_ = home;
    settlement.charged_ = charged;
    settlement.resendAt_ = now.mono_;
    settlement.retryInterval_ = state.home_.settings_.settleRetryInterval_;
    state.home_.settlements_.insert_or_assign(admission, std::move(settlement));
}

/// Reserves the tokens of a request at this daemon, because its home daemon is not available.
void bypassHome(ControlState &state, const AdmissionId &admission, std::string_view cause, Now now,
                Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    log(out, LogLevel::Warning, "home.bypassed",
        {{"request", request.params_.request_.value_},
         {"home", state.home_.pendingReserves_.at(admission).home_.value_},
         {"cause", std::string(cause)}});
    // The cancellation prevents the home daemon from reserving the same tokens.
    settleAtHome(state, admission, Tokens {}, now);
    request.stage_ = RequestStage::AwaitingTokens;
    serveBudgetWaiters(state, BudgetId {request.params_.budget_}, false, now, out);
}

void sendReserve(ControlState &state, const AdmissionId &admission, PendingReserve &pending,
                 Now now, Commands &out)
{
    const AdmissionRequested &request = state.active_.at(admission).params_;
    Reserve message;
    message.admission_ = admission;
    message.entry_ = state.membership_.self_.holder_;
    message.home_ = pending.home_;
    message.request_ = request.request_;
    message.account_ = request.account_;
    message.budget_ = request.budget_;
    message.worstCase_ = request.worstCase_;
    message.remaining_ = std::chrono::duration_cast<Millis>(request.deadline_ - now.mono_);
    pending.resendAt_ = now.mono_ + state.home_.settings_.reserveRetryInterval_;
    sendToPeer(state, pending.home_, std::move(message), out);
}

void runReserveTimers(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    PendingReserve &pending = state.home_.pendingReserves_.at(admission);
    const Member *home = findMember(state.membership_, pending.home_);
    if (!home || home->state_ == MemberState::Suspect) {
        bypassHome(state, admission, "suspect", now, out);
    } else if (now.mono_ - pending.lastHeardAt_ >= state.home_.settings_.homeTimeout_) {
        recordTimeout(state.membership_, pending.home_, now.mono_);
        bypassHome(state, admission, "no answer", now, out);
    } else if (now.mono_ >= pending.resendAt_) {
        sendReserve(state, admission, pending, now, out);
    }
}

void sendSettlement(ControlState &state, const AdmissionId &admission, OpenSettlement &settlement,
                    Now now, Commands &out)
{
    const HomeSettings &settings = state.home_.settings_;
    if (isDeparted(state.membership_, settlement.home_, now.mono_)) {
        log(out, LogLevel::Warning, "settlement.no_taker",
            {{"admission", admission.value_},
             {"home", settlement.home_.value_},
             {"charged", std::to_string(settlement.charged_.count_)}});
        settlement.undeliverable_ = true;
        settlement.resendAt_ = now.mono_ + settings.undeliverableRetention_;
        return;
    }
    settlement.resendAt_ = now.mono_ + settlement.retryInterval_;
    settlement.retryInterval_
        = std::min(2 * settlement.retryInterval_, settings.maxSettleRetryInterval_);
    sendToPeer(
        state, settlement.home_,
        Settle {admission, state.membership_.self_.holder_, settlement.home_, settlement.charged_},
        out);
}

/// Returns the pending Reserve that a message answers, or nullptr if there is none.
PendingReserve *findPendingReserve(ControlState &state, const AdmissionId &admission,
                                   const HolderId &home)
{
    const auto it = state.home_.pendingReserves_.find(admission);
    return it == state.home_.pendingReserves_.end() || it->second.home_ != home ? nullptr
                                                                                : &it->second;
}

/// Returns true if the refusal concerns the budget and so holds for every daemon, not only for the
/// home.
bool isBudgetReason(RefusalReason reason)
{
    return reason == RefusalReason::BudgetExhausted || reason == RefusalReason::BudgetHeldElsewhere
        || reason == RefusalReason::BudgetUnconfirmed || reason == RefusalReason::BudgetNotOwned;
}

/// Returns true if this run of the daemon created the admission.
bool isOwnAdmission(const ControlState &state, const AdmissionId &admission)
{
    return admission.value_.starts_with(state.settings_.holder_.value_ + '.');
}

} // namespace

void placeReservation(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    const std::optional<HolderId> home = homeOfBudget(state, request.params_.budget_);
    if (!home || *home == state.membership_.self_.holder_) {
        serveBudgetWaiters(state, BudgetId {request.params_.budget_}, false, now, out);
        return;
    }
    request.stage_ = RequestStage::AwaitingHome;
    PendingReserve pending;
    pending.home_ = *home;
    pending.resendAt_ = now.mono_;
    pending.lastHeardAt_ = now.mono_;
    state.home_.pendingReserves_.emplace(admission, std::move(pending));
}

void settleAtHome(ControlState &state, const AdmissionId &admission, Tokens charged, Now now)
{
    const auto pending = state.home_.pendingReserves_.find(admission);
    if (pending != state.home_.pendingReserves_.end()) {
        openSettlement(state, admission, pending->second.home_, Tokens {}, now);
        state.home_.pendingReserves_.erase(pending);
        return;
    }
    const ActiveRequest &request = state.active_.at(admission);
    if (!request.home_.isEmpty())
        openSettlement(state, admission, request.home_, charged, now);
}

Tokens chargeOf(const RequestShard &shard, const BillOp &op, const HolderId &payer)
{
    const auto it = shard.records_.find(op.request_);
    if (it == shard.records_.end())
        return Tokens {};
    const RequestRecord &record = it->second;
    // One admission may have been reserved at two daemons; only the payer named in the bill is
    // charged.
    const bool pays = record.phase_ == RequestPhase::Billed && record.admission_ == op.admission_
        && record.holder_ == payer;
    return pays ? record.charged_ : Tokens {};
}

void onReserveReply(ControlState &state, const ReserveQueued &message, Now now, Commands &)
{
    if (PendingReserve *pending = findPendingReserve(state, message.admission_, message.home_))
        pending->lastHeardAt_ = now.mono_;
}

void onReserveReply(ControlState &state, const Reserved &message, Now now, Commands &out)
{
    const AdmissionId admission = message.admission_;
    if (findPendingReserve(state, admission, message.home_)) {
        state.home_.pendingReserves_.erase(admission);
        ActiveRequest &request = state.active_.at(admission);
        request.home_ = message.home_;
        request.reserved_ = request.params_.worstCase_;
        onReserved(state, admission, now, out);
        return;
    }
    if (!isOwnAdmission(state, admission))
        return;
    const auto active = state.active_.find(admission);
    if (active != state.active_.end() && active->second.home_ == message.home_)
        return;
    const auto settlement = state.home_.settlements_.find(admission);
    if (settlement == state.home_.settlements_.end()) {
        // The cancellation was acknowledged, perhaps for a duplicate of the Reserve message, so the
        // reservation is cancelled again.
        openSettlement(state, admission, message.home_, Tokens {}, now);
        return;
    }
    if (settlement->second.undeliverable_) {
        settlement->second.undeliverable_ = false;
        settlement->second.resendAt_ = now.mono_;
    }
}

void onReserveReply(ControlState &state, const Refused &message, Now now, Commands &out)
{
    const AdmissionId admission = message.admission_;
    if (!findPendingReserve(state, admission, message.home_))
        return;
    // The refusal is valid only if the home daemon's bundle is at least as new as this daemon's.
    const bool outdated = message.bundle_ < state.bundle_->version_;
    if (outdated || !isBudgetReason(message.refusal_.reason_)) {
        bypassHome(state, admission,
                   outdated ? std::string_view {"older bundle"}
                            : refusalCode(message.refusal_.reason_),
                   now, out);
        return;
    }
    state.home_.pendingReserves_.erase(admission);
    state.active_.at(admission).stage_ = RequestStage::AwaitingTokens;
    refuse(state, admission, message.refusal_, now, out);
}

void onSettleAck(ControlState &state, const SettleAck &message, Commands &out)
{
    const auto it = state.home_.settlements_.find(message.admission_);
    if (it == state.home_.settlements_.end())
        return;
    if (it->second.home_ != message.home_) {
        // Another run of the home host responded, so the run that held the reservation is dead.
        log(out, LogLevel::Warning, "settlement.no_taker",
            {{"admission", message.admission_.value_},
             {"home", it->second.home_.value_},
             {"charged", std::to_string(it->second.charged_.count_)}});
    }
    state.home_.settlements_.erase(it);
}

void runEntryTimers(ControlState &state, Now now, Commands &out)
{
    std::vector<AdmissionId> pendingAdmissions;
    for (const auto &[admission, pending] : state.home_.pendingReserves_)
        pendingAdmissions.push_back(admission);
    for (const AdmissionId &admission : pendingAdmissions) {
        if (state.home_.pendingReserves_.contains(admission))
            runReserveTimers(state, admission, now, out);
    }
    std::erase_if(state.home_.settlements_, [now](const auto &entry) {
        return entry.second.undeliverable_ && now.mono_ >= entry.second.resendAt_;
    });
    for (auto &[admission, settlement] : state.home_.settlements_) {
        if (!settlement.undeliverable_ && now.mono_ >= settlement.resendAt_)
            sendSettlement(state, admission, settlement, now, out);
    }
}

std::optional<MonoTime> nextHomeWake(const ControlState &state)
{
    std::optional<MonoTime> earliest;
    const auto consider = [&earliest](MonoTime time) {
        if (!earliest || time < *earliest)
            earliest = time;
    };
    for (const auto &[admission, pending] : state.home_.pendingReserves_)
        consider(
            std::min(pending.resendAt_, pending.lastHeardAt_ + state.home_.settings_.homeTimeout_));
    for (const auto &[admission, settlement] : state.home_.settlements_)
        consider(settlement.resendAt_);
    for (const auto &[admission, local] : state.home_.reservations_) {
        const ActiveRequest &request = state.active_.at(local);
        if (request.stage_ == RequestStage::HeldForPeer && !request.peer_->estimatedBillSubmitted_)
            consider(request.peer_->auditAt_);
    }
    if (!state.home_.ended_.empty())
        consider(state.home_.nextPurgeAt_);
    return earliest;
}

} // namespace detail

} // namespace tamarack
