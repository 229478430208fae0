// Handover of a stopping lender's tokens. If it is stopped while the ledger fails, it can't return
// them, and its zone would lack them until the ledger responds again.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/tokens.h"

#include <map>
#include <vector>

namespace tamarack {

struct PrepaidBalance;
struct PrepaidSettings;
struct PrepaidState;

/// @brief A borrower that may take over tokens.
struct HandoverCandidate
{
    HolderId borrower_;
    /// What it has borrowed lately, in tokens per second.
    double rate_ = 0.0;
};

/// @brief Tokens that were lent to a borrower without a request.
struct Handover
{
    AccountId account_;
    HostId borrower_;
    Tokens tokens_;
};

/// @brief Divides tokens in proportion to what the borrowers have borrowed lately.
/// @param minPart parts smaller than this don't cover a request, so the smallest borrowers get none
/// @return the parts; their sum is not more than @a tokens
/// @note O(candidates x log candidates)
std::map<HolderId, Tokens> divideTokens(std::vector<HandoverCandidate> candidates, Tokens tokens,
                                        Tokens minPart);

/// @brief Returns true if this daemon is stopping and can't return tokens of the account to the
/// ledger.
bool isHandingOver(const PrepaidState &state, const PrepaidSettings &settings,
                   const AccountId &account);

/// @brief Lends unreserved tokens of this daemon's own grant to the borrowers of its zone.
///
/// The tokens stay reserved in the grant, like those of every loan: a lost message leaves them
/// unspent, and one that is doubled or late states the same cumulative total.
/// @param keep tokens that this daemon's own requests still need
void handOver(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
              PrepaidBalance &balance, Tokens keep, MonoTime now);

/// @brief Repeats the totals of outstanding loans, because a message may have been lost.
void repeatHandover(PrepaidState &state, const PrepaidSettings &settings, const AccountId &account,
                    PrepaidBalance &balance);

} // namespace tamarack
