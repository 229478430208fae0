// Reservations of tokens for requests, and refusals for a lack of tokens.
#include "core/relay/loans.h"
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"
#include "core/relay/relaytakeovers.h"

#include <algorithm>
#include <tuple>

namespace tamarack::relaydetail {

namespace {

constexpr int statusPaymentRequired = 402;
constexpr int statusServiceUnavailable = 503;

/// Returns the urgency by which a request competes for tokens; 0 if shortages are not managed.
int tokenUrgency(const RelayState &state, const RelayedRequest &active)
{
    return managesShortage(state.prepaid_, state.settings_.prepaid_) ? active.urgency_ : 0;
}

bool isPrepaid(const RelayedRequest &active)
{
    const auto account = active.config_->accounts_.find(active.account_);
    return active.request_.usage_ && account != active.config_->accounts_.end()
        && account->second.prepaid_.has_value();
}

void refuseForShortage(RelayState &state, RelayedRequest &active, bool exhausted, MonoTime now,
                       RelayCommands &out)
{
    if (exhausted)
        refuse(state, active, statusPaymentRequired, "budget_exhausted", now, out);
    else
        refuse(state, active, statusServiceUnavailable, "budget_held_elsewhere", now, out);
}

/// Refuses a request if a lender recently refused to lend the amount.
/// @return false if there is no such refusal
bool refuseByLender(RelayState &state, RelayedRequest &active, Tokens amount, MonoTime now,
                    RelayCommands &out)
{
    const std::optional<LenderRefusal> refusal
        = recentLenderRefusal(state.prepaid_, state.settings_.prepaid_, active.account_, amount,
                              now, tokenUrgency(state, active));
    if (!refusal)
        return false;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"amount", std::to_string(amount.count_)});
    fields.push_back({"lender", refusal->host_.value_});
    fields.push_back({"refused_amount", std::to_string(refusal->amount_.count_)});
    const auto age = std::chrono::duration_cast<Millis>(now - refusal->at_);
    fields.push_back({"answer_age_ms", std::to_string(age.count())});
    logLine(out, LogLevel::Info, "budget.refused_by_lender", std::move(fields));
    refuseForShortage(state, active, refusal->refusal_ == LoanRefusal::Exhausted, now, out);
    return true;
}

/// Refuses a request if a fresh ledger copy shows that the tokens are not available.
/// @return false if a draw can still succeed
bool refuseIfLedgerShort(RelayState &state, RelayedRequest &active, Tokens amount, MonoTime now,
                         RelayCommands &out)
{
    const PrepaidSettings &settings = state.settings_.prepaid_;
    if (refuseByLender(state, active, amount, now, out))
        return true;
    const ShortageDetails details = shortageDetails(state.prepaid_, settings, active.account_, now);
    const Shortage shortage = classifyShortage(state.prepaid_, settings, active.account_, amount);
    // Tokens held by other daemons may still be obtained from a lender.
    const bool isShort = shortage == Shortage::Exhausted
        || (shortage == Shortage::HeldElsewhere
            && !isLoanRequestPending(state.prepaid_, active.account_));
    if (!isShort || details.age_ > settings.shortageLifetime_)
        return false;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"amount", std::to_string(amount.count_)});
    fields.push_back({"funded", std::to_string(details.funded_.count_)});
    fields.push_back({"charged", std::to_string(details.charged_.count_)});
    fields.push_back({"outstanding", std::to_string(details.outstanding_.count_)});
    fields.push_back({"unallocated", std::to_string(details.unallocated_.count_)});
    fields.push_back({"available", std::to_string(details.available_.count_)});
    fields.push_back({"ledger_age_ms", std::to_string(details.age_.count())});
    logLine(out, LogLevel::Info, "budget.shortage", std::move(fields));
    refuseForShortage(state, active, shortage == Shortage::Exhausted, now, out);
    return true;
}

/// Refuses a request if the tokens that are left are kept for more urgent ones.
/// @return false if they are not
bool refuseForUrgent(RelayState &state, RelayedRequest &active, Tokens amount, MonoTime now,
                     RelayCommands &out)
{
    const std::optional<UrgentShare> share
        = findUrgentShare(state.prepaid_, state.settings_.prepaid_, active.account_,
                          tokenUrgency(state, active), now);
    if (!share || !isReservedForUrgent(*share, amount))
        return false;
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"account", active.account_.value_});
    fields.push_back({"urgency", std::to_string(tokenUrgency(state, active))});
    fields.push_back({"amount", std::to_string(amount.count_)});
    addShareFields(fields, *share);
    logLine(out, LogLevel::Info, "budget.reserved_for_urgent", std::move(fields));
    refuse(state, active, statusServiceUnavailable, "budget_reserved_for_urgent", now, out);
    return true;
}

void reserveOrWait(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const Tokens amount = worstCase(*active.request_.usage_);
    PrepaidState &prepaid = state.prepaid_;
    active.reserved_ = reserveTokens(prepaid, state.settings_.prepaid_, active.account_, amount,
                                     now, tokenUrgency(state, active));
    if (active.reserved_) {
        dispatch(state, active, now, out);
        return;
    }
    if (refuseForUrgent(state, active, amount, now, out))
        return;
    if (refuseIfLedgerShort(state, active, amount, now, out))
        return;
    // Waiting is pointless while the ledger is unavailable or no lender has tokens, unless a loan
    // request is pending.
    const bool isNew = active.stage_ != RelayStage::AwaitingTokens || !active.stageDeadline_;
    if (isTokenSupplyFailing(prepaid, state.settings_.prepaid_, active.account_, now)
        && !isLoanRequestPending(prepaid, active.account_)
        && (isNew || managesShortage(prepaid, state.settings_.prepaid_))) {
        refuse(state, active, statusServiceUnavailable, "budget_unconfirmed", now, out);
        return;
    }
    if (isNew) {
        active.stage_ = RelayStage::AwaitingTokens;
        const PreciseMicros wait
            = PreciseMicros {active.route_->latencyObjective_} * state.settings_.tokenWaitShare_;
        active.stageDeadline_ = now + std::chrono::duration_cast<Micros>(wait);
        rescheduleTimer(state, active);
    }
}

} // namespace

void addShareFields(std::vector<LogField> &fields, const UrgentShare &share)
{
    fields.push_back({"left", std::to_string(share.left_.count_)});
    fields.push_back({"expected_urgent_use", std::to_string(share.expected_.count_)});
    fields.push_back({"rest_ms", std::to_string(share.rest_.count())});
}

bool isTokenOutage(const RelayState &state, const RelayedRequest &active, MonoTime now)
{
    const bool contactLost = managesShortage(state.prepaid_, state.settings_.prepaid_)
        && !state.prepaid_.storeContact_;
    return contactLost
        || isTokenSupplyFailing(state.prepaid_, state.settings_.prepaid_, active.account_, now)
        || findUrgentShare(state.prepaid_, state.settings_.prepaid_, active.account_,
                           tokenUrgency(state, active), now);
}

bool isUsedWithSeveralUrgencies(const RelayState &state, const AccountId &account)
{
    const auto balance = state.prepaid_.balances_.find(account);
    return balance != state.prepaid_.balances_.end()
        && hasSeveralUrgencies(balance->second.shares_);
}

double returnOrder(const RelayState &state, const RelayedRequest &active, double spread)
{
    if (!isUsedWithSeveralUrgencies(state, active.account_))
        return spread;
    const auto &urgencies = state.prepaid_.balances_.at(active.account_).shares_.byUrgency_;
    const auto rank = static_cast<double>(
        std::distance(urgencies.begin(), urgencies.lower_bound(tokenUrgency(state, active))));
    return std::min((rank + spread) / static_cast<double>(urgencies.size()), 1.0);
}

void admit(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    // Before it waits for tokens.
    if (refuseIfQuarantined(state, active, now, out) || refuseWithoutZone(state, active, now, out)
        || handOverIfCutOff(state, active, now, out) || !findStreamOrigin(state, active, now, out))
        return;
    reserveAndDispatch(state, active, now, out);
}

void reserveAndDispatch(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (!isPrepaid(active) || active.reserved_) {
        dispatch(state, active, now, out);
        return;
    }
    PrepaidBalance &balance = state.prepaid_.balances_[active.account_];
    const Tokens amount = worstCase(*active.request_.usage_);
    // A client may ask for more than the account can ever pay for.
    recordDemand(balance.shares_, tokenUrgency(state, active), std::min(amount, balance.funded_),
                 now);
    reserveOrWait(state, active, now, out);
}

void resumeWaitingForTokens(RelayState &state, const AccountId &account, MonoTime now,
                            RelayCommands &out)
{
    // Urgent requests are first in line for the tokens, then those with the least time left.
    std::vector<std::tuple<int, MonoTime, ExchangeId>> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingTokens && active.account_ == account)
            waiting.emplace_back(tokenUrgency(state, active), active.deadline_, id);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto &[urgency, deadline, id] : waiting) {
        // The request may have been refused or sent meanwhile.
        const auto it = state.active_.find(id);
        if (it != state.active_.end())
            reserveOrWait(state, it->second, now, out);
    }
}

} // namespace tamarack::relaydetail
