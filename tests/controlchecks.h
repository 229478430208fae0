// Invariants of a simulated fleet. Each violation is recorded as text.
#pragma once

#include "controlstore.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace tamarack::fixture {

inline void addViolation(Fixture &fixture, std::string text)
{
    fixture.violations_.push_back(std::move(text));
}

inline Tokens unsettled(const ControlState &state, const BudgetId &id)
{
    Tokens sum;
    const auto held = state.grants_.find(id);
    if (held != state.grants_.end())
        sum += held->second.spent_ - held->second.settled_;
    for (const auto &[grant, retired] : state.retired_)
        sum += retired.held_.spent_ - retired.held_.settled_;
    return sum;
}

inline void checkRefusal(Fixture &fixture, const Daemon &daemon, const SubmittedRequest &submitted,
                         const BudgetRecord *seen)
{
    const Refusal &refusal = *submitted.refusal_;
    const std::string &id = submitted.event_.request_.value_;
    if (refusal.execution_ == Execution::NotRun && submitted.sent_)
        addViolation(fixture, fmt::format("{} is refused as not run but was sent", id));
    if (refusal.reason_ != RefusalReason::BudgetExhausted || !fixture.checks_)
        return;
    if (!seen) {
        addViolation(fixture, fmt::format("{} is refused as exhausted without a store reply", id));
        return;
    }
    const Tokens left = seen->funded_ - seen->charged_ - lostTokens(*seen)
        - unsettled(daemon.state_, submitted.event_.budget_);
    if (left >= submitted.event_.worstCase_
        || seen->fundingVersion_ < daemon.state_.bundle_->version_)
        addViolation(fixture,
                     fmt::format("{} is refused as exhausted with {} left", id, left.count_));
}

/// Checks the totals that must hold under any fault.
inline void checkTotals(Fixture &fixture)
{
    std::map<RequestId, Tokens> run;
    std::map<RequestId, int> nonIdempotent;
    for (const auto &[waiter, submitted] : fixture.requests_) {
        if (!submitted.event_.idempotent_ && submitted.sent_
            && ++nonIdempotent[submitted.event_.request_] > 1)
            addViolation(fixture, fmt::format("{} ran twice", submitted.event_.request_.value_));
        if (!submitted.spent_)
            continue;
        // A repeated idempotent request is billed once, so it counts once.
        const auto [it, first] = run.try_emplace(submitted.event_.request_, submitted.actualCost_);
        it->second = std::min(it->second, submitted.actualCost_);
    }
    Tokens sum;
    for (const auto &[id, tokens] : run)
        sum += tokens;
    const BudgetRecord stored = record(fixture);
    if (sum > stored.funded_)
        addViolation(
            fixture,
            fmt::format("{} tokens spent of {} funded", sum.count_, stored.funded_.count_));
    if (committedTokens(stored) > stored.funded_)
        addViolation(fixture, "more is committed than funded");
    Tokens billed;
    std::size_t count = 0;
    const auto all = bills(fixture, &count);
    for (const auto &[id, bill] : all)
        billed += bill.charged_;
    if (count != all.size())
        addViolation(fixture, "a request has two bills");
    if (billed > committedTokens(stored))
        addViolation(fixture,
                     fmt::format("{} billed but {} committed", billed.count_,
                                 committedTokens(stored).count_));
}

/// Checks the state after recoverFleet(): every caller has a response, and the charged tokens equal
/// the billed ones. Only tokens of dead daemons may be lost.
inline void checkQuiescent(Fixture &fixture)
{
    bool died = false;
    for (const Daemon &daemon : fixture.daemons_) {
        died |= !daemon.alive_;
        if (daemon.alive_ && !daemon.state_.active_.empty())
            addViolation(fixture, "a request is not finished after recovery");
    }
    for (const auto &[waiter, submitted] : fixture.requests_) {
        if (!submitted.ended_ && !submitted.refusal_ && submitted.dispatches_.empty())
            addViolation(fixture,
                         fmt::format("{} has no response", submitted.event_.request_.value_));
    }
    Tokens billed;
    for (const auto &[id, bill] : bills(fixture))
        billed += bill.charged_;
    const BudgetRecord stored = record(fixture);
    if (!died && (stored.charged_ != billed || lostTokens(stored) != Tokens {}))
        addViolation(fixture,
                     fmt::format("{} billed, {} charged, {} lost at rest", billed.count_,
                                 stored.charged_.count_, lostTokens(stored).count_));
    if (stored.charged_ > billed)
        addViolation(fixture, "more is charged than billed at rest");
}

inline std::string firstViolation(const Fixture &fixture)
{
    return fixture.violations_.empty() ? std::string() : fixture.violations_.front();
}

} // namespace tamarack::fixture
