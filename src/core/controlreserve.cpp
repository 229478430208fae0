// Home daemon: reservations for the entry daemons of its availability zone. They wait in one order
// with the requests of its own callers.
#include "core/controlparts.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

/// The home answers this much before the caller's deadline, so that its answer still counts.
constexpr Millis answerMargin {50};
/// Longest accepted deadline of an ask, as a bound on outside input.
constexpr Millis maxRemaining {std::chrono::hours {1}};

void rememberEnded(ControlState &state, const AdmissionId &admission, Now now)
{
    if (state.home_.ended_.empty())
        state.home_.nextPurgeAt_ = now.mono_ + state.home_.settings_.endedRetention_;
    state.home_.ended_[admission] = now.mono_ + state.home_.settings_.endedRetention_;
}

AdmissionRequested localAsk(const Reserve &message, Now now)
{
    AdmissionRequested ask;
    ask.request_ = message.request_;
    ask.account_ = message.account_;
    ask.budget_ = message.budget_;
    ask.worstCase_ = message.worstCase_;
    const Millis remaining = std::clamp(message.remaining_, Millis {}, maxRemaining);
    ask.deadline_ = now.mono_ + std::max(remaining - answerMargin, remaining / 2);
    return ask;
}

void answerAgain(ControlState &state, const AdmissionId &local, Now now, Commands &out)
{
    const ActiveRequest &request = state.active_.at(local);
    if (request.stage_ == RequestStage::HeldForPeer)
        confirmToPeer(state, local, now, out);
    else
        sendToPeer(state, request.peer_->entry_,
                   ReserveQueued {request.peer_->admission_, state.membership_.self_.holder_}, out);
}

void submitEstimate(ControlState &state, ActiveRequest &request, Now now)
{
    BillOp bill;
    bill.request_ = request.ask_.request_;
    bill.holder_ = state.settings_.holder_;
    bill.admission_ = request.peer_->admission_;
    bill.account_ = request.ask_.account_;
    bill.budget_ = request.ask_.budget_;
    bill.charged_ = request.reserved_;
    bill.completeness_ = Completeness::None;
    bill.estimated_ = true;
    bill.at_ = now.wall_;
    request.peer_->estimatedBillSubmitted_ = true;
    submitOp(requestShard(state, request.ask_.request_), RequestOp {std::move(bill)}, now.mono_);
}

void endReservation(ControlState &state, const AdmissionId &local, Tokens charged, Now now,
                    Commands &out)
{
    const ActiveRequest &request = state.active_.at(local);
    const Tokens spent = std::clamp(charged, Tokens {}, request.reserved_);
    log(out, LogLevel::Info, "home.settled",
        {{"admission", request.peer_->admission_.value_},
         {"budget", request.ask_.budget_.value_},
         {"charged", std::to_string(spent.count_)}});
    rememberEnded(state, request.peer_->admission_, now);
    if (request.stage_ == RequestStage::HeldForPeer)
        settleReservation(state, request.ask_.budget_, request.grant_, request.reserved_, spent,
                          now);
    removeRequest(state, local);
}

} // namespace

void refuseToPeer(const ControlState &state, const ReservationOrigin &peer, const Refusal &refusal,
                  Commands &out)
{
    const BundleVersion version = state.bundle_ ? state.bundle_->version_ : BundleVersion {};
    sendToPeer(state, peer.entry_,
               Refused {peer.admission_, state.membership_.self_.holder_, version, refusal}, out);
}

void confirmToPeer(ControlState &state, const AdmissionId &local, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(local);
    request.peer_->auditAt_ = now.mono_ + state.home_.settings_.auditInterval_;
    log(out, LogLevel::Info, "home.reserved",
        {{"admission", request.peer_->admission_.value_},
         {"budget", request.ask_.budget_.value_},
         {"reserved", std::to_string(request.reserved_.count_)}});
    sendToPeer(state, request.peer_->entry_,
               Reserved {request.peer_->admission_, state.membership_.self_.holder_}, out);
}

void onReserve(ControlState &state, const Reserve &message, Now now, Commands &out)
{
    // Without the entry daemon's registration, its death would not free the tokens.
    if (!findMember(state.membership_, message.entry_) || message.worstCase_ < Tokens {})
        return;
    if (message.home_ != state.membership_.self_.holder_) {
        sendToPeer(state, message.entry_,
                   Refused {message.admission_,
                            message.home_,
                            {},
                            Refusal {RefusalReason::Stopping, Execution::NotRun,
                                     "the home daemon was restarted", Millis {0}}},
                   out);
        return;
    }
    if (state.home_.ended_.contains(message.admission_))
        return;
    const auto existing = state.home_.reservations_.find(message.admission_);
    if (existing != state.home_.reservations_.end()) {
        answerAgain(state, existing->second, now, out);
        return;
    }
    const AdmissionRequested ask = localAsk(message, now);
    const ReservationOrigin peer {message.admission_, message.entry_, {}, false};
    if (std::optional<Refusal> fault = admissionFault(state, ask)) {
        refuseToPeer(state, peer, *fault, out);
        return;
    }
    const AdmissionId local {
        fmt::format("{}.{:012}", state.settings_.holder_.value_, nextId(state))};
    ActiveRequest request;
    request.ask_ = ask;
    request.admittedAt_ = now.mono_;
    request.peer_ = peer;
    state.active_.emplace(local, std::move(request));
    state.home_.reservations_.emplace(message.admission_, local);
    serveBudget(state, ask.budget_, false, now, out);
    const auto placed = state.active_.find(local);
    if (placed != state.active_.end() && placed->second.stage_ == RequestStage::AwaitingTokens)
        answerAgain(state, local, now, out);
}

void onSettle(ControlState &state, const Settle &message, Now now, Commands &out)
{
    const HolderId &self = state.membership_.self_.holder_;
    if (message.home_ == self) {
        const auto it = state.home_.reservations_.find(message.admission_);
        if (it != state.home_.reservations_.end()) {
            const ReservationOrigin &peer = *state.active_.at(it->second).peer_;
            // The bill that is under way decides; the entry daemon asks again.
            if (peer.estimatedBillSubmitted_ || peer.entry_ != message.entry_)
                return;
            endReservation(state, AdmissionId {it->second}, message.charged_, now, out);
        } else {
            rememberEnded(state, message.admission_, now);
        }
    }
    sendToPeer(state, message.entry_, SettleAck {message.admission_, self}, out);
}

void billDeadEntry(ControlState &state, const HolderDeclaredDead &event, Now now, Commands &out)
{
    std::vector<AdmissionId> affected;
    for (const auto &[admission, local] : state.home_.reservations_) {
        const ReservationOrigin &peer = *state.active_.at(local).peer_;
        if (peer.entry_ == event.holder_ && !peer.estimatedBillSubmitted_)
            affected.push_back(local);
    }
    for (const AdmissionId &local : affected) {
        ActiveRequest &request = state.active_.at(local);
        if (request.stage_ == RequestStage::HeldForPeer)
            submitEstimate(state, request, now);
        else
            endReservation(state, local, Tokens {}, now, out);
    }
}

bool onEstimateCommitted(ControlState &state, const BillOp &op, Now now, Commands &out)
{
    if (!op.estimated_)
        return false;
    const auto it = state.home_.reservations_.find(op.admission_);
    if (it == state.home_.reservations_.end())
        return true;
    const Tokens charged
        = chargeOf(requestShard(state, op.request_).cached_, op, state.settings_.holder_);
    log(out, LogLevel::Warning, "request.billed_estimated",
        {{"request", op.request_.value_},
         {"budget", op.budget_.value_},
         {"charged", std::to_string(charged.count_)}});
    endReservation(state, AdmissionId {it->second}, charged, now, out);
    return true;
}

void driveHome(ControlState &state, Now now, Commands &out)
{
    for (const auto &[admission, local] : state.home_.reservations_) {
        const ActiveRequest &request = state.active_.at(local);
        if (request.stage_ == RequestStage::HeldForPeer && !request.peer_->estimatedBillSubmitted_
            && now.mono_ >= request.peer_->auditAt_)
            confirmToPeer(state, local, now, out);
    }
    if (state.home_.ended_.empty() || now.mono_ < state.home_.nextPurgeAt_)
        return;
    std::erase_if(state.home_.ended_,
                  [now](const auto &entry) { return now.mono_ >= entry.second; });
    state.home_.nextPurgeAt_ = now.mono_ + state.home_.settings_.endedRetention_;
}

} // namespace tamarack::detail
