// Handover of a stopping lender's tokens.
#include "core/relay/granthandover.h"

#include "core/relay/prepaidinternal.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

using namespace prepaiddetail;

/// Borrowers below this rate have borrowed nothing for about a minute.
constexpr double minBorrowingRate = 1.0;

/// Returns the newest process of each host of the zone that has borrowed lately. A process that has
/// ended would leave its part unspent.
std::map<HostId, const IssuedLoan *> recentBorrowers(const PrepaidState &state,
                                                     const PrepaidBalance &balance, MonoTime now)
{
    std::map<HostId, const IssuedLoan *> newest;
    for (const PeerAddress &peer : state.lenders_.sameZone_) {
        if (!isExcluded(state.lenders_.unresponsive_, peer.host_, now))
            newest[peer.host_] = nullptr;
    }
    for (const auto &[borrower, issuedLoan] : balance.issuedLoans_) {
        const auto known = newest.find(issuedLoan.borrowerHost_);
        if (known == newest.end())
            continue;
        if (!known->second || known->second->lentRateAt_ < issuedLoan.lentRateAt_)
            known->second = &issuedLoan;
    }
    std::erase_if(newest, [now](const auto &entry) {
        return !entry.second || borrowingRate(*entry.second, now) < minBorrowingRate;
    });
    return newest;
}

} // namespace

std::map<HolderId, Tokens> divideTokens(std::vector<HandoverCandidate> candidates, Tokens tokens,
                                        Tokens minPart)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const HandoverCandidate &a, const HandoverCandidate &b) {
                  return std::tie(b.rate_, a.borrower_) < std::tie(a.rate_, b.borrower_);
              });
    double sum = 0.0;
    for (const HandoverCandidate &candidate : candidates)
        sum += candidate.rate_;
    const auto partOf = [&](const HandoverCandidate &candidate) {
        const double part = static_cast<double>(tokens.count_) * candidate.rate_ / sum;
        return Tokens {static_cast<std::int64_t>(part)};
    };
    while (candidates.size() > 1 && partOf(candidates.back()) < minPart) {
        sum -= candidates.back().rate_;
        candidates.pop_back();
    }
    std::map<HolderId, Tokens> parts;
    Tokens left = tokens;
    for (const HandoverCandidate &candidate : candidates) {
        const Tokens part = std::min(partOf(candidate), left);
        if (part <= Tokens {})
            continue;
        parts[candidate.borrower_] = part;
        left -= part;
    }
    return parts;
}

bool isHandingOver(const PrepaidState &state, const PrepaidSettings &settings,
                   const AccountId &account)
{
    return state.stopping_ && managesShortage(state, settings)
        && (isLedgerFailing(state, settings, account) || !state.storeContact_);
}

void handOver(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
              PrepaidBalance &balance, Tokens keep, MonoTime now)
{
    const Tokens available = reservableTokens(balance.grant_) - std::max(keep, Tokens {});
    std::vector<HandoverCandidate> candidates;
    Tokens minPart;
    for (const auto &[host, issuedLoan] : recentBorrowers(state, balance, now)) {
        candidates.push_back({issuedLoan->borrower_, borrowingRate(*issuedLoan, now)});
        minPart = std::max(minPart, issuedLoan->largestNeed_);
    }
    if (available <= Tokens {} || candidates.empty())
        return;
    for (const auto &[borrower, part] : divideTokens(std::move(candidates), available, minPart)) {
        IssuedLoan &issuedLoan = balance.issuedLoans_.at(borrower);
        balance.grant_.reserved_ += part;
        issuedLoan.lent_ += part;
        state.handovers_.push_back(Handover {account, issuedLoan.borrowerHost_, part});
        sendUnavailable(state, settings, account, issuedLoan);
    }
}

void repeatHandover(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                    PrepaidBalance &balance)
{
    for (auto &[borrower, issuedLoan] : balance.issuedLoans_) {
        if (outstandingOf(issuedLoan) > Tokens {})
            sendUnavailable(state, settings, account, issuedLoan);
    }
}

} // namespace tamarack
