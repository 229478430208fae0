// Sends and logs loan messages.
#include "core/relay/relayinternal.h"

#include <utility>

namespace tamarack::relaydetail {

namespace {

std::string refusalName(LoanRefusal refusal)
{
    switch (refusal) {
    case LoanRefusal::None:
        return "none";
    case LoanRefusal::HeldElsewhere:
        return "held_elsewhere";
    case LoanRefusal::Exhausted:
        break;
    }
    return "exhausted";
}

/// Returns the unreserved tokens of this daemon's own grant.
Tokens availableTokens(const RelayState &state, const AccountId &account)
{
    const auto balance = state.prepaid_.balances_.find(account);
    return balance == state.prepaid_.balances_.end() ? Tokens {}
                                                     : reservableTokens(balance->second.grant_);
}

} // namespace

void logLoanReply(const RelayState &state, const LoanReplyReceived &reply, MonoTime now,
                  RelayCommands &out)
{
    const auto since = state.prepaid_.unansweredSince_.find(reply.from_);
    // Another reply of the lender, for example after a recall.
    if (since == state.prepaid_.unansweredSince_.end())
        return;
    const auto elapsed = std::chrono::duration_cast<Millis>(now - since->second);
    const auto balance = state.prepaid_.balances_.find(reply.lent_.account_);
    const bool awaited = balance != state.prepaid_.balances_.end()
        && balance->second.pendingRequest_ && balance->second.pendingRequest_->host_ == reply.from_;
    logLine(out, LogLevel::Info, "loan.received",
            {{"account", reply.lent_.account_.value_},
             {"lender", reply.from_.value_},
             {"lent", std::to_string(reply.lent_.lent_.count_)},
             {"elapsed_ms", std::to_string(elapsed.count())},
             {"late", awaited ? "no" : "yes"}});
}

void sendLoanMessages(RelayState &state, RelayCommands &out)
{
    for (const Handover &handover : std::exchange(state.prepaid_.handovers_, {}))
        logLine(out, LogLevel::Info, "loan.handover",
                {{"account", handover.account_.value_},
                 {"borrower", handover.borrower_.value_},
                 {"tokens", std::to_string(handover.tokens_.count_)}});
    for (const ReservedForUrgent &refused : std::exchange(state.prepaid_.reservedForUrgent_, {})) {
        std::vector<LogField> fields {{"account", refused.account_.value_},
                                      {"borrower", refused.borrower_.value_},
                                      {"urgency", std::to_string(refused.urgency_)},
                                      {"amount", std::to_string(refused.amount_.count_)}};
        addShareFields(fields, refused.share_);
        logLine(out, LogLevel::Info, "budget.reserved_for_urgent", std::move(fields));
    }
    for (SendPeer &message : std::exchange(state.prepaid_.outbox_, {})) {
        if (const auto *request = std::get_if<LoanRequest>(&message.message_)) {
            if (request->wanted_ > Tokens {})
                logLine(out, LogLevel::Info, "loan.asked",
                        {{"account", request->account_.value_},
                         {"lender", message.host_.value_},
                         {"needed", std::to_string(request->needed_.count_)},
                         {"wanted", std::to_string(request->wanted_.count_)},
                         {"spent", std::to_string(request->spent_.count_)}});
        } else if (const auto *lent = std::get_if<LoanReply>(&message.message_)) {
            logLine(out, LogLevel::Info, "loan.answered",
                    {{"account", lent->account_.value_},
                     {"borrower", message.host_.value_},
                     {"lent", std::to_string(lent->lent_.count_)},
                     {"refusal", refusalName(lent->refusal_)},
                     {"available", std::to_string(availableTokens(state, lent->account_).count_)},
                     {"unavailable", lent->unavailable_ ? "yes" : "no"},
                     {"recalled", lent->recalled_ ? "yes" : "no"}});
        }
        out.emplace_back(std::move(message));
    }
}

} // namespace tamarack::relaydetail
