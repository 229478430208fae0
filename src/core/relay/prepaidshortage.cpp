// Why tokens of an account are short, and which requests get those that are left.
#include "core/relay/prepaidshortage.h"

#include "core/relay/prepaidinternal.h"

#include <algorithm>

namespace tamarack {

namespace {

using namespace prepaiddetail;

/// The expected rest of a shortage is not less than this, because its end is not known.
constexpr Millis minShortageRest {1000};

Tokens heldTokens(const PrepaidBalance &balance)
{
    Tokens held = reservableTokens(balance.grant_);
    for (const auto &[lenderId, loan] : balance.receivedLoans_)
        held += reservableTokens(loan.grant_);
    return held;
}

} // namespace

ShortageDetails shortageDetails(const PrepaidState &state, const PrepaidSettings &settings,
                                const AccountId &account, MonoTime now)
{
    ShortageDetails details;
    if (const BudgetRecord *record = findBudgetRecord(state, settings, account)) {
        details.funded_ = record->funded_;
        details.charged_ = record->charged_;
        details.outstanding_ = outstandingTokens(*record);
        details.unallocated_ = unallocatedTokens(*record);
    }
    const auto balance = state.balances_.find(account);
    if (balance != state.balances_.end())
        details.available_ = reservableTokens(balance->second.grant_);
    const auto copied
        = state.ledgerReadAt_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    if (copied != state.ledgerReadAt_.end())
        details.age_ = std::chrono::duration_cast<Millis>(now - copied->second);
    return details;
}

std::optional<LenderRefusal> recentLenderRefusal(const PrepaidState &state,
                                                 const PrepaidSettings &settings,
                                                 const AccountId &account, Tokens amount,
                                                 MonoTime now, int urgency)
{
    const auto balance = state.balances_.find(account);
    if (balance == state.balances_.end() || !balance->second.refusal_)
        return std::nullopt;
    const LenderRefusal &refusal = *balance->second.refusal_;
    const bool applies = amount >= refusal.amount_ && urgency >= refusal.urgency_
        && now - refusal.at_ <= settings.refusalLifetime_;
    return applies ? balance->second.refusal_ : std::nullopt;
}

Shortage classifyShortage(const PrepaidState &state, const PrepaidSettings &settings,
                          const AccountId &account, Tokens amount)
{
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    const auto balance = state.balances_.find(account);
    if (!record || balance == state.balances_.end() || !balance->second.fundingCommitted_)
        return Shortage::Unknown;
    const HeldGrant &own = balance->second.grant_;
    if (unallocatedTokens(*record) + reservableTokens(own) >= amount)
        return Shortage::None;
    // Unsettled tokens of other daemons count as unspent, because their settlements arrive late.
    const Tokens left = record->funded_ - record->charged_ - (own.spent_ - own.settled_);
    return left < amount ? Shortage::Exhausted : Shortage::HeldElsewhere;
}

bool isLedgerFailing(const PrepaidState &state, const PrepaidSettings &settings,
                     const AccountId &account)
{
    const auto shard
        = state.shards_.find(ledgerShardOf(BudgetId {account.value_}, settings.shards_));
    return state.failures_ > 0 || state.drawsPausedUntil_
        || (shard != state.shards_.end() && shard->second.failures_ > 0);
}

bool managesShortage(const PrepaidState &state, const PrepaidSettings &settings)
{
    return state.daemons_ >= settings.manageShortageFrom_;
}

bool isTokenSupplyFailing(const PrepaidState &state, const PrepaidSettings &settings,
                          const AccountId &account, MonoTime now)
{
    if (isLedgerFailing(state, settings, account))
        return true;
    return managesShortage(state, settings)
        && lenderForAccount(state, settings, account, now).source_ == TokenSource::None;
}

Millis expectedShortageRest(const PrepaidState &state, const PrepaidSettings &settings,
                            MonoTime now)
{
    if (!state.failingSince_)
        return settings.grantHorizon_;
    const auto rest
        = std::chrono::duration_cast<Millis>(settings.grantHorizon_ - (now - *state.failingSince_));
    return std::clamp(rest, minShortageRest, settings.grantHorizon_);
}

void noticeStoreContact(PrepaidState &state, bool contact, MonoTime now)
{
    state.storeContact_ = contact;
    if (contact) {
        endBackoff(state, now);
        if (state.failures_ == 0)
            state.failingSince_.reset();
    } else if (!state.failingSince_) {
        state.failingSince_ = now;
    }
}

std::optional<UrgentShare> findUrgentShare(const PrepaidState &state,
                                           const PrepaidSettings &settings,
                                           const AccountId &account, int urgency, MonoTime now)
{
    const auto found = state.balances_.find(account);
    if (found == state.balances_.end())
        return std::nullopt;
    const PrepaidBalance &balance = found->second;
    if (!hasSeveralUrgencies(balance.shares_) && !hasSeveralUrgencies(balance.loanShares_))
        return std::nullopt;
    const BudgetRecord *record = findBudgetRecord(state, settings, account);
    const bool scarce = record && isScarce(settings, *record);
    const bool failing = isLedgerFailing(state, settings, account) || !state.storeContact_;
    const TokenSource source = lenderForAccount(state, settings, account, now).source_;
    if (!scarce && !failing && source != TokenSource::None)
        return std::nullopt;
    // A lender decides for its zone. Its borrowers decide about what they hold once it has refused.
    const bool lends = reservableTokens(balance.grant_) > Tokens {};
    const bool refused
        = balance.refusal_ && now - balance.refusal_->at_ <= settings.refusalLifetime_;
    if (source == TokenSource::Lender && !lends && !refused)
        return std::nullopt;
    UrgentShare share;
    share.left_ = heldTokens(balance);
    if (!failing && source == TokenSource::Ledger && record)
        share.left_
            += Tokens {unallocatedTokens(*record).count_ / std::max(state.lenders_.zones_, 1U)};
    share.rest_ = expectedShortageRest(state, settings, now);
    const auto expectedFrom = [&](const TokenShares &shares) {
        return expectedUrgentUse(shares, urgency, consumptionRate(balance, now), share.rest_, now);
    };
    share.expected_ = std::max(expectedFrom(balance.shares_), expectedFrom(balance.loanShares_));
    return share;
}

bool isReservedForUrgent(const UrgentShare &share, Tokens amount)
{
    // Too few tokens for the request alone are no matter of urgency.
    return share.left_ >= amount && share.left_ - amount < share.expected_;
}

} // namespace tamarack
