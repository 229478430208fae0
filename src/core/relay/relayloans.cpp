// Messages about loans and their log lines.
#include "core/relay/relayparts.h"

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

/// Tokens of the own grant that are not reserved.
Tokens availableTokens(const RelayState &state, const AccountId &account)
{
    const auto balance = state.prepaid_.balances_.find(account);
    return balance == state.prepaid_.balances_.end() ? Tokens {}
                                                     : reservableTokens(balance->second.grant_);
}

} // namespace

void sendLoanMessages(RelayState &state, RelayCommands &out)
{
    for (SendPeer &message : std::exchange(state.prepaid_.outbox_, {})) {
        if (const auto *ask = std::get_if<LoanRequest>(&message.message_)) {
            if (ask->wanted_ > Tokens {})
                logLine(out, LogLevel::Info, "loan.asked",
                        {{"account", ask->account_.value_},
                         {"lender", message.host_.value_},
                         {"needed", std::to_string(ask->needed_.count_)},
                         {"wanted", std::to_string(ask->wanted_.count_)},
                         {"spent", std::to_string(ask->spent_.count_)}});
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
