// Home daemon: reservations for the entry daemons of its availability zone, served in arrival order
// together with the requests of its own callers.
#include "core/controlinternal.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::detail {

namespace {

/// The home daemon responds this much before the caller's deadline, so that its response arrives in
/// time.
constexpr Millis responseMargin {50};
/// Limit of the deadline in a Reserve message, because peer input is not trusted.
constexpr Millis maxRemaining {std::chrono::hours {1}};

void recordEnded(ControlState &state, const AdmissionId &admission, Now now)
{
    if (state.home_.ended_.empty())
        state.home_.nextPurgeAt_ = now.mono_ + state.home_.settings_.endedRetention_;
    state.home_.ended_[admission] = now.mono_ + state.home_.settings_.endedRetention_;
}

AdmissionRequested makeLocalRequest(const Reserve &message, Now now)
{
    AdmissionRequested params;
    params.request_ = message.request_;
    params.account_ = message.account_;
    params.budget_ = message.budget_;
    params.worstCase_ = message.worstCase_;
    const Millis remaining = std::clamp(message.remaining_, Millis {}, maxRemaining);
    params.deadline_ = now.mono_ + std::max(remaining - responseMargin, remaining / 2);
    return params;
}

void resendAnswer(ControlState &state, const AdmissionId &local, Now now, Commands &out)
{
    const ActiveRequest &request = state.active_.at(local);
    if (request.stage_ == RequestStage::HeldForPeer)
        sendReserved(state, local, now, out);
    else
        sendToPeer(state, request.peer_->entry_,
                   ReserveQueued {request.peer_->admission_, state.membership_.self_.holder_}, out);
}

void submitEstimatedBill(ControlState &state, ActiveRequest &request, Now now)
{
    BillOp bill;
    bill.request_ = request.params_.request_;
    bill.holder_ = state.settings_.holder_;
    bill.admission_ = request.peer_->admission_;
    bill.account_ = request.params_.account_;
    bill.budget_ = request.params_.budget_;
    bill.charged_ = request.reserved_;
    bill.completeness_ = Completeness::None;
    bill.estimated_ = true;
    bill.at_ = now.wall_;
    request.peer_->estimatedBillSubmitted_ = true;
    submitOp(requestShard(state, request.params_.request_), RequestOp {std::move(bill)}, now.mono_);
}

void endReservation(ControlState &state, const AdmissionId &local, Tokens charged, Now now,
                    Commands &out)
{
    const ActiveRequest &request = state.active_.at(local);
    const Tokens spent = std::clamp(charged, Tokens {}, request.reserved_);
    log(out, LogLevel::Info, "home.settled",
        {{"admission", request.peer_->admission_.value_},
         {"budget", request.params_.budget_.value_},
         {"charged", std::to_string(spent.count_)}});
    recordEnded(state, request.peer_->admission_, now);
    if (request.stage_ == RequestStage::HeldForPeer)
        settleReservation(state, request.params_.budget_, request.grant_, request.reserved_, spent,
                          now);
    removeRequest(state, local);
}

} // namespace

void sendRefused(const ControlState &state, const ReservationOrigin &peer, const Refusal &refusal,
                 Commands &out)
{
    const BundleVersion version = state.bundle_ ? state.bundle_->version_ : BundleVersion {};
    sendToPeer(state, peer.entry_,
               Refused {peer.admission_, state.membership_.self_.holder_, version, refusal}, out);
}

void sendReserved(ControlState &state, const AdmissionId &local, Now now, Commands &out)
{
    ActiveRequest &request = state.active_.at(local);
    request.peer_->auditAt_ = now.mono_ + state.home_.settings_.auditInterval_;
    log(out, LogLevel::Info, "home.reserved",
        {{"admission", request.peer_->admission_.value_},
         {"budget", request.params_.budget_.value_},
         {"reserved", std::to_string(request.reserved_.count_)}});
    sendToPeer(state, request.peer_->entry_,
               Reserved {request.peer_->admission_, state.membership_.self_.holder_}, out);
}

void onReserve(ControlState &state, const Reserve &message, Now now, Commands &out)
{
    // If the entry daemon were not registered, its death would not free the tokens.
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
        resendAnswer(state, existing->second, now, out);
        return;
    }
    const AdmissionRequested params = makeLocalRequest(message, now);
    const ReservationOrigin peer {message.admission_, message.entry_, {}, false};
    if (std::optional<Refusal> refusal = admissionRefusal(state, params)) {
        sendRefused(state, peer, *refusal, out);
        return;
    }
    const AdmissionId local {
        fmt::format("{}.{:012}", state.settings_.holder_.value_, nextId(state))};
    ActiveRequest request;
    request.params_ = params;
    request.admittedAt_ = now.mono_;
    request.peer_ = peer;
    state.active_.emplace(local, std::move(request));
    state.home_.reservations_.emplace(message.admission_, local);
    serveBudgetWaiters(state, params.budget_, false, now, out);
    const auto placed = state.active_.find(local);
    if (placed != state.active_.end() && placed->second.stage_ == RequestStage::AwaitingTokens)
        resendAnswer(state, local, now, out);
}

void onSettle(ControlState &state, const Settle &message, Now now, Commands &out)
{
    const HolderId &self = state.membership_.self_.holder_;
    if (message.home_ == self) {
        const auto it = state.home_.reservations_.find(message.admission_);
        if (it != state.home_.reservations_.end()) {
            const ReservationOrigin &peer = *state.active_.at(it->second).peer_;
            // The submitted estimated bill decides the charge; the entry daemon retries the Settle.
            if (peer.estimatedBillSubmitted_ || peer.entry_ != message.entry_)
                return;
            endReservation(state, AdmissionId {it->second}, message.charged_, now, out);
        } else {
            recordEnded(state, message.admission_, now);
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
            submitEstimatedBill(state, request, now);
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

void runHomeTimers(ControlState &state, Now now, Commands &out)
{
    for (const auto &[admission, local] : state.home_.reservations_) {
        const ActiveRequest &request = state.active_.at(local);
        if (request.stage_ == RequestStage::HeldForPeer && !request.peer_->estimatedBillSubmitted_
            && now.mono_ >= request.peer_->auditAt_)
            sendReserved(state, local, now, out);
    }
    if (state.home_.ended_.empty() || now.mono_ < state.home_.nextPurgeAt_)
        return;
    std::erase_if(state.home_.ended_,
                  [now](const auto &entry) { return now.mono_ >= entry.second; });
    state.home_.nextPurgeAt_ = now.mono_ + state.home_.settings_.endedRetention_;
}

} // namespace tamarack::detail
