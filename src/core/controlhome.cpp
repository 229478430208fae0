// Entry daemon: asking the home daemon for tokens and settling with it.
#include "core/controlparts.h"

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

/// Reserves the tokens of a request at this daemon, because its home can't be relied on.
void actAsHome(ControlState &state, const AdmissionId &admission, std::string_view cause, Now now,
               Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    log(out, LogLevel::Warning, "home.bypassed",
        {{"request", request.ask_.request_.value_},
         {"home", state.home_.pendingReserves_.at(admission).home_.value_},
         {"cause", std::string(cause)}});
    // The cancel keeps the home from holding the same tokens as well.
    endAtHome(state, admission, Tokens {}, now);
    request.stage_ = RequestStage::AwaitingTokens;
    serveBudget(state, BudgetId {request.ask_.budget_}, false, now, out);
}

void sendAsk(ControlState &state, const AdmissionId &admission, PendingReserve &ask, Now now,
             Commands &out)
{
    const AdmissionRequested &request = state.active_.at(admission).ask_;
    Reserve message;
    message.admission_ = admission;
    message.entry_ = state.membership_.self_.holder_;
    message.home_ = ask.home_;
    message.request_ = request.request_;
    message.account_ = request.account_;
    message.budget_ = request.budget_;
    message.worstCase_ = request.worstCase_;
    message.remaining_ = std::chrono::duration_cast<Millis>(request.deadline_ - now.mono_);
    ask.resendAt_ = now.mono_ + state.home_.settings_.reserveRetryInterval_;
    sendToPeer(state, ask.home_, std::move(message), out);
}

void driveAsk(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    PendingReserve &ask = state.home_.pendingReserves_.at(admission);
    const Member *home = findMember(state.membership_, ask.home_);
    if (!home || home->state_ == MemberState::Suspect) {
        actAsHome(state, admission, "suspect", now, out);
    } else if (now.mono_ - ask.lastHeardAt_ >= state.home_.settings_.homeTimeout_) {
        recordTimeout(state.membership_, ask.home_, now.mono_);
        actAsHome(state, admission, "no answer", now, out);
    } else if (now.mono_ >= ask.resendAt_) {
        sendAsk(state, admission, ask, now, out);
    }
}

void driveSettlement(ControlState &state, const AdmissionId &admission, OpenSettlement &settlement,
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

/// Returns the ask that a message answers, or nothing if it answers none that is open.
PendingReserve *openAsk(ControlState &state, const AdmissionId &admission, const HolderId &home)
{
    const auto it = state.home_.pendingReserves_.find(admission);
    return it == state.home_.pendingReserves_.end() || it->second.home_ != home ? nullptr
                                                                                : &it->second;
}

/// Returns true if a refusal holds for every daemon, and not only for the home daemon's own state.
bool concernsBudget(RefusalReason reason)
{
    return reason == RefusalReason::BudgetExhausted || reason == RefusalReason::BudgetHeldElsewhere
        || reason == RefusalReason::BudgetUnconfirmed || reason == RefusalReason::BudgetNotOwned;
}

/// Returns true if this run of the daemon made the admission.
bool isOwnAdmission(const ControlState &state, const AdmissionId &admission)
{
    return admission.value_.starts_with(state.settings_.holder_.value_ + '.');
}

} // namespace

void placeRequest(ControlState &state, const AdmissionId &admission, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(admission);
    const std::optional<HolderId> home = homeOfBudget(state, request.ask_.budget_);
    if (!home || *home == state.membership_.self_.holder_) {
        serveBudget(state, BudgetId {request.ask_.budget_}, false, now, out);
        return;
    }
    request.stage_ = RequestStage::AwaitingHome;
    PendingReserve ask;
    ask.home_ = *home;
    ask.resendAt_ = now.mono_;
    ask.lastHeardAt_ = now.mono_;
    state.home_.pendingReserves_.emplace(admission, std::move(ask));
}

void endAtHome(ControlState &state, const AdmissionId &admission, Tokens charged, Now now)
{
    const auto ask = state.home_.pendingReserves_.find(admission);
    if (ask != state.home_.pendingReserves_.end()) {
        openSettlement(state, admission, ask->second.home_, Tokens {}, now);
        state.home_.pendingReserves_.erase(ask);
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
    // One admission may have been reserved at two daemons; only the one in the bill pays.
    const bool pays = record.phase_ == RequestPhase::Billed && record.admission_ == op.admission_
        && record.holder_ == payer;
    return pays ? record.charged_ : Tokens {};
}

void onReserveAnswer(ControlState &state, const ReserveQueued &message, Now now, Commands &)
{
    if (PendingReserve *ask = openAsk(state, message.admission_, message.home_))
        ask->lastHeardAt_ = now.mono_;
}

void onReserveAnswer(ControlState &state, const Reserved &message, Now now, Commands &out)
{
    const AdmissionId admission = message.admission_;
    if (openAsk(state, admission, message.home_)) {
        state.home_.pendingReserves_.erase(admission);
        ActiveRequest &request = state.active_.at(admission);
        request.home_ = message.home_;
        request.reserved_ = request.ask_.worstCase_;
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
        // It comes after the cancel was acknowledged, or the acknowledgement was of another copy.
        openSettlement(state, admission, message.home_, Tokens {}, now);
        return;
    }
    if (settlement->second.undeliverable_) {
        settlement->second.undeliverable_ = false;
        settlement->second.resendAt_ = now.mono_;
    }
}

void onReserveAnswer(ControlState &state, const Refused &message, Now now, Commands &out)
{
    const AdmissionId admission = message.admission_;
    if (!openAsk(state, admission, message.home_))
        return;
    // A refusal is true only on the bundle that this daemon knows, or a newer one.
    const bool outdated = message.bundle_ < state.bundle_->version_;
    if (outdated || !concernsBudget(message.refusal_.reason_)) {
        actAsHome(state, admission,
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
        // Another run of the home host answers, so the run that held the reservation is dead.
        log(out, LogLevel::Warning, "settlement.no_taker",
            {{"admission", message.admission_.value_},
             {"home", it->second.home_.value_},
             {"charged", std::to_string(it->second.charged_.count_)}});
    }
    state.home_.settlements_.erase(it);
}

void driveEntry(ControlState &state, Now now, Commands &out)
{
    std::vector<AdmissionId> asks;
    for (const auto &[admission, ask] : state.home_.pendingReserves_)
        asks.push_back(admission);
    for (const AdmissionId &admission : asks) {
        if (state.home_.pendingReserves_.contains(admission))
            driveAsk(state, admission, now, out);
    }
    std::erase_if(state.home_.settlements_, [now](const auto &entry) {
        return entry.second.undeliverable_ && now.mono_ >= entry.second.resendAt_;
    });
    for (auto &[admission, settlement] : state.home_.settlements_) {
        if (!settlement.undeliverable_ && now.mono_ >= settlement.resendAt_)
            driveSettlement(state, admission, settlement, now, out);
    }
}

std::optional<MonoTime> nextHomeWake(const ControlState &state)
{
    std::optional<MonoTime> earliest;
    const auto consider = [&earliest](MonoTime time) {
        if (!earliest || time < *earliest)
            earliest = time;
    };
    for (const auto &[admission, ask] : state.home_.pendingReserves_)
        consider(std::min(ask.resendAt_, ask.lastHeardAt_ + state.home_.settings_.homeTimeout_));
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
