// Compares the escrow ledger with a static split of each budget and with a central ledger that is
// written for every request. All run under the same load and faults, in simulated time with a fixed
// seed. The store replies without delay except during a fault; requests run for two seconds.
#include "controlfixture.h"

#include <fmt/format.h>

#include <random>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::uint64_t seed = 7;
constexpr std::int64_t worstCase = 200;
constexpr Millis requestDuration {2000};
constexpr Seconds loadDuration {200};

/// Parameters of one run.
struct Load
{
    std::size_t daemons_ = 8;
    std::size_t budgets_ = 1;
    std::int64_t requestsPerSecond_ = 20;
    bool faults_ = true;
    GrantPolicy grantPolicy_;
    std::uint32_t requestShards_ = 16;
    /// Total funding in thousandths of the expected cost of all requests.
    std::int64_t fundedPerMille_ = 800;
};

struct Arrival
{
    Millis at_ {};
    std::size_t daemon_ = 0;
    std::size_t budget_ = 0;
    std::int64_t actualCost_ = 0;
};

struct Outcome
{
    std::size_t requests_ = 0;
    std::int64_t overspend_ = 0;
    std::size_t refused_ = 0;
    std::size_t falseRefusals_ = 0;
    std::int64_t stranded_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::map<RefusalReason, std::size_t> reasons_;
};

/// Arrivals at a constant rate, each with a random daemon and budget and an actual cost of 20 to
/// 150 tokens.
std::vector<Arrival> makeArrivals(const Load &load)
{
    std::mt19937_64 random(seed);
    const auto randomBelow = [&random](std::uint64_t end) {
        return random() % end;
    };
    std::vector<Arrival> arrivals;
    const Millis gap = Millis {Seconds {1}} / load.requestsPerSecond_;
    for (Millis at {}; at < loadDuration; at += gap) {
        const auto actualCost = static_cast<std::int64_t>(20 + randomBelow(131));
        arrivals.push_back(
            Arrival {at, randomBelow(load.daemons_), randomBelow(load.budgets_), actualCost});
    }
    return arrivals;
}

std::int64_t fundingPerBudget(const Load &load)
{
    // The mean actual cost of a request is 85 tokens.
    const std::int64_t cost = load.requestsPerSecond_ * loadDuration.count() * 85;
    return cost * load.fundedPerMille_ / 1000 / static_cast<std::int64_t>(load.budgets_);
}

BudgetId makeBudgetId(std::size_t number)
{
    return BudgetId {fmt::format("b{}", number)};
}

/// Faults: daemon 0 is partitioned from the store from 40 s to 100 s, the store is down from 120 s
/// to 140 s, and daemon 1 crashes at 150 s.
bool storeReachable(const Load &load, std::size_t daemon, Millis at)
{
    const bool partitioned = daemon == 0 && at >= Seconds {40} && at < Seconds {100};
    const bool outage = at >= Seconds {120} && at < Seconds {140};
    return !load.faults_ || (!partitioned && !outage);
}

bool isAlive(const Load &load, std::size_t daemon, Millis at)
{
    return !load.faults_ || daemon != 1 || at < Seconds {150};
}

/// Global totals of one budget, which no daemon sees: tokens spent, the worst case of running
/// requests, and tokens stranded in a crashed daemon. Stranded tokens are unavailable, so refusals
/// for lack of them don't count as false.
struct BudgetTotals
{
    std::int64_t funded_ = 0;
    std::int64_t spent_ = 0;
    std::int64_t running_ = 0;
    std::int64_t stranded_ = 0;
};

/// True if a ledger with global knowledge could reserve the worst case of a request.
bool canReserve(const BudgetTotals &totals)
{
    return totals.funded_ - totals.spent_ - totals.running_ - totals.stranded_ >= worstCase;
}

struct RunningRequest
{
    Millis end_ {};
    std::size_t daemon_ = 0;
    std::size_t budget_ = 0;
    std::int64_t actualCost_ = 0;
};

enum class BaselineLedger {
    StaticSplit,
    CentralWrite,
};

/// Runs a baseline ledger, which refuses a request that it can't reserve immediately.
Outcome runBaseline(const Load &load, BaselineLedger kind)
{
    Outcome outcome;
    const std::int64_t funded = fundingPerBudget(load);
    std::vector<BudgetTotals> totals(load.budgets_, BudgetTotals {funded, 0, 0, 0});
    const auto share = funded / static_cast<std::int64_t>(load.daemons_);
    std::vector<std::int64_t> balance(load.daemons_ * load.budgets_, share);
    std::deque<RunningRequest> running;
    for (const Arrival &arrival : makeArrivals(load)) {
        while (!running.empty() && running.front().end_ <= arrival.at_) {
            const RunningRequest done = running.front();
            running.pop_front();
            totals[done.budget_].running_ -= worstCase;
            totals[done.budget_].spent_ += done.actualCost_;
            balance[done.daemon_ * load.budgets_ + done.budget_] += worstCase - done.actualCost_;
            outcome.writes_ += kind == BaselineLedger::CentralWrite ? 1 : 0;
        }
        if (!isAlive(load, arrival.daemon_, arrival.at_))
            continue;
        ++outcome.requests_;
        BudgetTotals &budgetTotals = totals[arrival.budget_];
        if (kind == BaselineLedger::StaticSplit && !isAlive(load, 1, arrival.at_))
            budgetTotals.stranded_ = balance[load.budgets_ + arrival.budget_];
        std::int64_t &own = balance[arrival.daemon_ * load.budgets_ + arrival.budget_];
        const bool reachable = storeReachable(load, arrival.daemon_, arrival.at_);
        const bool served = kind == BaselineLedger::StaticSplit
            ? own >= worstCase
            : reachable && canReserve(budgetTotals);
        if (!served) {
            ++outcome.refused_;
            outcome.falseRefusals_ += canReserve(budgetTotals) ? 1 : 0;
            continue;
        }
        own -= worstCase;
        budgetTotals.running_ += worstCase;
        outcome.writes_ += kind == BaselineLedger::CentralWrite ? 1 : 0;
        running.push_back(RunningRequest {arrival.at_ + requestDuration, arrival.daemon_,
                                          arrival.budget_, arrival.actualCost_});
    }
    for (const BudgetTotals &budgetTotals : totals)
        outcome.overspend_ += std::max<std::int64_t>(0, budgetTotals.spent_ - funded);
    if (kind == BaselineLedger::StaticSplit && load.faults_) {
        for (std::size_t i = 0; i < load.budgets_; ++i)
            outcome.stranded_ += balance[load.budgets_ + i];
    }
    return outcome;
}

/// Simulation of the escrow ledger with the control state machines of all daemons.
struct EscrowSimulation
{
    Load load_;
    Fixture fleet_;
    std::vector<BudgetTotals> totals_;
    std::deque<std::pair<WaiterId, Millis>> running_;
    /// Requests that are neither dispatched nor refused.
    std::set<WaiterId> undecided_;
    std::map<WaiterId, std::size_t> budgetOf_;
    Outcome outcome_;
};

EscrowSimulation makeEscrowSimulation(const Load &load)
{
    EscrowSimulation escrow {load, makeFixture(1, load.daemons_), {}, {}, {}, {}, {}};
    for (Daemon &daemon : escrow.fleet_.daemons_)
        daemon.state_.bundle_.reset(); // shard counts must come from the bundle of the load
    escrow.totals_.assign(load.budgets_, BudgetTotals {fundingPerBudget(load), 0, 0, 0});
    auto bundle = makeBundle(2, 1);
    bundle->accounts_[account].grantPolicy_ = load.grantPolicy_;
    bundle->policies_.requestShards_ = load.requestShards_;
    for (std::size_t i = 0; i < load.budgets_; ++i) {
        const BudgetId id = makeBudgetId(i);
        bundle->budgets_[id] = Budget {id, account, Tokens {fundingPerBudget(load)}};
    }
    escrow.fleet_.bundle_ = bundle;
    escrow.fleet_.checks_ = false;
    for (std::size_t i = 0; i < load.daemons_; ++i)
        adopt(escrow.fleet_, i, bundle);
    return escrow;
}

/// Counts the refusals and dispatches since the last call.
void collectDecisions(EscrowSimulation &escrow, Millis at)
{
    std::erase_if(escrow.undecided_, [&](WaiterId waiter) {
        BudgetTotals &totals = escrow.totals_[escrow.budgetOf_.at(waiter)];
        if (const Refusal *refusal = refused(escrow.fleet_, waiter)) {
            ++escrow.outcome_.refused_;
            ++escrow.outcome_.reasons_[refusal->reason_];
            const BudgetId budgetId = makeBudgetId(escrow.budgetOf_.at(waiter));
            totals.stranded_ = lostTokens(record(escrow.fleet_, budgetId)).count_;
            escrow.outcome_.falseRefusals_ += canReserve(totals) ? 1 : 0;
            return true;
        }
        if (!dispatched(escrow.fleet_, waiter))
            return false;
        totals.running_ += worstCase;
        escrow.running_.emplace_back(waiter, at + requestDuration);
        return true;
    });
}

/// Finishes requests that end by the given time; those of a crashed daemon are only counted.
void finishCompletedRequests(EscrowSimulation &escrow, Millis at)
{
    while (!escrow.running_.empty() && escrow.running_.front().second <= at) {
        const WaiterId waiter = escrow.running_.front().first;
        escrow.running_.pop_front();
        const SubmittedRequest &request = escrow.fleet_.requests_.at(waiter);
        BudgetTotals &totals = escrow.totals_[escrow.budgetOf_.at(waiter)];
        totals.running_ -= worstCase;
        totals.spent_ += request.actualCost_.count_;
        if (escrow.fleet_.daemons_[request.daemon_].alive_)
            finish(escrow.fleet_, waiter);
    }
}

/// Sets the store faults, and crashes daemons and declares them dead to the others.
void applyFaults(EscrowSimulation &escrow, Millis at)
{
    for (std::size_t i = 0; i < escrow.load_.daemons_; ++i) {
        Daemon &daemon = escrow.fleet_.daemons_[i];
        const bool reachable = storeReachable(escrow.load_, i, at);
        daemon.mode_ = reachable ? StoreMode::Healthy : StoreMode::Down;
        if (!daemon.alive_ || isAlive(escrow.load_, i, at))
            continue;
        kill(escrow.fleet_, i);
        for (std::size_t other = 0; other < escrow.load_.daemons_; ++other) {
            if (other != i)
                send(escrow.fleet_, other, HolderDeclaredDead {daemon.state_.settings_.holder_});
        }
    }
}

Outcome runEscrow(const Load &load)
{
    EscrowSimulation escrow = makeEscrowSimulation(load);
    Millis now {};
    std::size_t count = 0;
    for (const Arrival &arrival : makeArrivals(load)) {
        run(escrow.fleet_, arrival.at_ - now);
        now = arrival.at_;
        applyFaults(escrow, now);
        collectDecisions(escrow, now);
        finishCompletedRequests(escrow, now);
        if (!escrow.fleet_.daemons_[arrival.daemon_].alive_)
            continue;
        RequestOptions options;
        options.daemon_ = arrival.daemon_;
        options.actualCost_ = arrival.actualCost_;
        options.budget_ = makeBudgetId(arrival.budget_);
        const WaiterId waiter
            = admit(escrow.fleet_, worstCase, fmt::format("r{}", ++count), options);
        escrow.undecided_.insert(waiter);
        escrow.budgetOf_[waiter] = arrival.budget_;
    }
    escrow.outcome_.requests_ = count;
    escrow.outcome_.reads_ = escrow.fleet_.storeReads_;
    escrow.outcome_.writes_ = escrow.fleet_.storeWrites_;
    for (std::size_t i = 0; i < load.budgets_; ++i) {
        const BudgetTotals &totals = escrow.totals_[i];
        escrow.outcome_.overspend_ += std::max<std::int64_t>(0, totals.spent_ - totals.funded_);
        escrow.outcome_.stranded_ += lostTokens(record(escrow.fleet_, makeBudgetId(i))).count_;
    }
    return escrow.outcome_;
}

void printRow(const std::string &name, const Outcome &outcome)
{
    const double thousands = static_cast<double>(outcome.requests_) / 1000.0;
    fmt::print("| {} | {} | {} | {} | {} | {} | {:.0f} | {:.0f} |\n", name, outcome.requests_,
               outcome.overspend_, outcome.refused_, outcome.falseRefusals_, outcome.stranded_,
               static_cast<double>(outcome.writes_) / thousands,
               static_cast<double>(outcome.reads_) / thousands);
}

void printReasons(const std::string &name, const Outcome &outcome)
{
    for (const auto &[reason, count] : outcome.reasons_)
        fmt::print("{}: {} {}\n", name, refusalCode(reason), count);
}

const GrantPolicy kerbihanPolicy {Seconds {60}, 250};
const GrantPolicy lampwatchPolicy {Seconds {10}, 62};

void compareLedgers(Load load)
{
    load.grantPolicy_ = kerbihanPolicy;
    const Outcome kerbihanOutcome = runEscrow(load);
    load.grantPolicy_ = lampwatchPolicy;
    const Outcome lampwatchOutcome = runEscrow(load);
    printRow("escrow, Kerbihan grant policy", kerbihanOutcome);
    printRow("escrow, Lampwatch grant policy", lampwatchOutcome);
    printRow("static split", runBaseline(load, BaselineLedger::StaticSplit));
    printRow("central write", runBaseline(load, BaselineLedger::CentralWrite));
    fmt::print("\n");
    printReasons("Kerbihan grant policy", kerbihanOutcome);
    printReasons("Lampwatch grant policy", lampwatchOutcome);
}

void printScalingRow(const std::string &name, const Load &load)
{
    const Outcome outcome = runEscrow(load);
    const auto seconds = static_cast<double>(loadDuration.count());
    fmt::print("| {} | {:.1f} | {:.1f} |\n", name, static_cast<double>(outcome.writes_) / seconds,
               static_cast<double>(outcome.reads_) / seconds);
}

/// Prints the store traffic of the escrow ledger over the number of daemons, budgets and requests.
void printScaling()
{
    Load base;
    base.faults_ = false;
    base.grantPolicy_ = kerbihanPolicy;
    base.fundedPerMille_ = 2000;
    base.requestShards_ = 4;
    for (const std::size_t daemons : {2, 4, 8, 16}) {
        Load load = base;
        load.daemons_ = daemons;
        printScalingRow(fmt::format("{} daemons", daemons), load);
    }
    for (const std::size_t budgets : {1, 4, 16, 64}) {
        Load load = base;
        load.budgets_ = budgets;
        printScalingRow(fmt::format("{} budgets", budgets), load);
    }
    for (const std::int64_t rate : {20, 40, 80, 160}) {
        Load load = base;
        load.requestsPerSecond_ = rate;
        printScalingRow(fmt::format("{} requests/s", rate), load);
    }
}

} // namespace

} // namespace tamarack

int main()
{
    fmt::print("| ledger | requests | overspend | refused | falsely | stranded | writes per 1,000 "
               "requests | reads per 1,000 requests |\n|---|---|---|---|---|---|---|---|\n");
    tamarack::compareLedgers({});
    fmt::print("\n| load | writes/s | reads/s |\n|---|---|---|\n");
    tamarack::printScaling();
    return 0;
}
