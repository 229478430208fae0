// Compares the escrow ledger with a static split of each budget and with one central write for each
// request, under the same load and faults, in simulated time with a fixed seed. The store answers
// at once unless a fault is on; requests run for two seconds.
#include "controlfixture.h"

#include <fmt/format.h>

#include <random>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::uint64_t seed = 7;
constexpr std::int64_t worstCase = 200;
constexpr Millis runTime {2000};
constexpr Seconds loadTime {200};

struct Load
{
    std::size_t daemons_ = 8;
    std::size_t budgets_ = 1;
    std::int64_t requestsPerSecond_ = 20;
    bool faults_ = true;
    GrantPolicy grantPolicy_;
    std::uint32_t requestShards_ = 16;
    /// Funding in thousandths of the expected cost of the load.
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

std::vector<Arrival> arrivalsOf(const Load &load)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](std::uint64_t end) {
        return random() % end;
    };
    std::vector<Arrival> arrivals;
    const Millis gap = Millis {Seconds {1}} / load.requestsPerSecond_;
    for (Millis at {}; at < loadTime; at += gap) {
        const auto real = static_cast<std::int64_t>(20 + below(131));
        arrivals.push_back(Arrival {at, below(load.daemons_), below(load.budgets_), real});
    }
    return arrivals;
}

std::int64_t fundedFor(const Load &load)
{
    const std::int64_t cost = load.requestsPerSecond_ * loadTime.count() * 85;
    return cost * load.fundedPerMille_ / 1000 / static_cast<std::int64_t>(load.budgets_);
}

BudgetId budgetNumber(std::size_t number)
{
    return BudgetId {fmt::format("b{}", number)};
}

/// The fault mix: daemon 0 is cut off from 40 s to 100 s, the store is down from 120 s to 140 s,
/// and daemon 1 dies at 150 s.
bool storeReachable(const Load &load, std::size_t daemon, Millis at)
{
    const bool cutOff = daemon == 0 && at >= Seconds {40} && at < Seconds {100};
    const bool outage = at >= Seconds {120} && at < Seconds {140};
    return !load.faults_ || (!cutOff && !outage);
}

bool isAlive(const Load &load, std::size_t daemon, Millis at)
{
    return !load.faults_ || daemon != 1 || at < Seconds {150};
}

/// The true balance of one budget: what was spent, the worst case of what runs, and what a dead
/// daemon has stranded, which is counted apart from false refusals.
struct Truth
{
    std::int64_t funded_ = 0;
    std::int64_t spent_ = 0;
    std::int64_t running_ = 0;
    std::int64_t stranded_ = 0;
};

bool couldServe(const Truth &truth)
{
    return truth.funded_ - truth.spent_ - truth.running_ - truth.stranded_ >= worstCase;
}

struct Running
{
    Millis end_ {};
    std::size_t daemon_ = 0;
    std::size_t budget_ = 0;
    std::int64_t actualCost_ = 0;
};

enum class Simple {
    StaticSplit,
    CentralWrite,
};

/// The two simple ledgers; a request is refused if it cannot be reserved at once.
Outcome runSimple(const Load &load, Simple kind)
{
    Outcome outcome;
    const std::int64_t funded = fundedFor(load);
    std::vector<Truth> truth(load.budgets_, Truth {funded, 0, 0, 0});
    const auto share = funded / static_cast<std::int64_t>(load.daemons_);
    std::vector<std::int64_t> balance(load.daemons_ * load.budgets_, share);
    std::deque<Running> running;
    for (const Arrival &arrival : arrivalsOf(load)) {
        while (!running.empty() && running.front().end_ <= arrival.at_) {
            const Running done = running.front();
            running.pop_front();
            truth[done.budget_].running_ -= worstCase;
            truth[done.budget_].spent_ += done.actualCost_;
            balance[done.daemon_ * load.budgets_ + done.budget_] += worstCase - done.actualCost_;
            outcome.writes_ += kind == Simple::CentralWrite ? 1 : 0;
        }
        if (!isAlive(load, arrival.daemon_, arrival.at_))
            continue;
        ++outcome.requests_;
        Truth &budgetTruth = truth[arrival.budget_];
        if (kind == Simple::StaticSplit && !isAlive(load, 1, arrival.at_))
            budgetTruth.stranded_ = balance[load.budgets_ + arrival.budget_];
        std::int64_t &own = balance[arrival.daemon_ * load.budgets_ + arrival.budget_];
        const bool reachable = storeReachable(load, arrival.daemon_, arrival.at_);
        const bool served
            = kind == Simple::StaticSplit ? own >= worstCase : reachable && couldServe(budgetTruth);
        if (!served) {
            ++outcome.refused_;
            outcome.falseRefusals_ += couldServe(budgetTruth) ? 1 : 0;
            continue;
        }
        own -= worstCase;
        budgetTruth.running_ += worstCase;
        outcome.writes_ += kind == Simple::CentralWrite ? 1 : 0;
        running.push_back(
            Running {arrival.at_ + runTime, arrival.daemon_, arrival.budget_, arrival.actualCost_});
    }
    for (const Truth &budgetTruth : truth)
        outcome.overspend_ += std::max<std::int64_t>(0, budgetTruth.spent_ - funded);
    if (kind == Simple::StaticSplit && load.faults_) {
        for (std::size_t i = 0; i < load.budgets_; ++i)
            outcome.stranded_ += balance[load.budgets_ + i];
    }
    return outcome;
}

/// The escrow ledger: the control state machines of all daemons.
struct Escrow
{
    Load load_;
    Fixture fleet_;
    std::vector<Truth> truth_;
    std::deque<std::pair<WaiterId, Millis>> running_;
    std::set<WaiterId> open_;
    std::map<WaiterId, std::size_t> budgetOf_;
    Outcome outcome_;
};

Escrow makeEscrow(const Load &load)
{
    Escrow escrow {load, makeFixture(1, load.daemons_), {}, {}, {}, {}, {}};
    for (Daemon &daemon : escrow.fleet_.daemons_)
        daemon.state_.bundle_.reset(); // the shard counts come with the bundle of the load
    escrow.truth_.assign(load.budgets_, Truth {fundedFor(load), 0, 0, 0});
    auto bundle = makeBundle(2, 1);
    bundle->accounts_[account].grantPolicy_ = load.grantPolicy_;
    bundle->policies_.requestShards_ = load.requestShards_;
    for (std::size_t i = 0; i < load.budgets_; ++i) {
        const BudgetId id = budgetNumber(i);
        bundle->budgets_[id] = Budget {id, account, Tokens {fundedFor(load)}};
    }
    escrow.fleet_.bundle_ = bundle;
    escrow.fleet_.checks_ = false;
    for (std::size_t i = 0; i < load.daemons_; ++i)
        adopt(escrow.fleet_, i, bundle);
    return escrow;
}

/// Takes over decisions that were made since the last call.
void collectDecisions(Escrow &escrow, Millis at)
{
    std::erase_if(escrow.open_, [&](WaiterId waiter) {
        Truth &truth = escrow.truth_[escrow.budgetOf_.at(waiter)];
        if (const Refusal *refusal = refused(escrow.fleet_, waiter)) {
            ++escrow.outcome_.refused_;
            ++escrow.outcome_.reasons_[refusal->reason_];
            const BudgetId budgetId = budgetNumber(escrow.budgetOf_.at(waiter));
            truth.stranded_ = lostTokens(record(escrow.fleet_, budgetId)).count_;
            escrow.outcome_.falseRefusals_ += couldServe(truth) ? 1 : 0;
            return true;
        }
        if (!dispatched(escrow.fleet_, waiter))
            return false;
        truth.running_ += worstCase;
        escrow.running_.emplace_back(waiter, at + runTime);
        return true;
    });
}

void finishDue(Escrow &escrow, Millis at)
{
    while (!escrow.running_.empty() && escrow.running_.front().second <= at) {
        const WaiterId waiter = escrow.running_.front().first;
        escrow.running_.pop_front();
        const SubmittedRequest &ask = escrow.fleet_.requests_.at(waiter);
        Truth &truth = escrow.truth_[escrow.budgetOf_.at(waiter)];
        truth.running_ -= worstCase;
        truth.spent_ += ask.actualCost_.count_;
        if (escrow.fleet_.daemons_[ask.daemon_].alive_)
            finish(escrow.fleet_, waiter);
    }
}

void applyFaults(Escrow &escrow, Millis at)
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
    Escrow escrow = makeEscrow(load);
    Millis now {};
    std::size_t count = 0;
    for (const Arrival &arrival : arrivalsOf(load)) {
        run(escrow.fleet_, arrival.at_ - now);
        now = arrival.at_;
        applyFaults(escrow, now);
        collectDecisions(escrow, now);
        finishDue(escrow, now);
        if (!escrow.fleet_.daemons_[arrival.daemon_].alive_)
            continue;
        RequestOptions options;
        options.daemon_ = arrival.daemon_;
        options.actualCost_ = arrival.actualCost_;
        options.budget_ = budgetNumber(arrival.budget_);
        const WaiterId waiter
            = admit(escrow.fleet_, worstCase, fmt::format("r{}", ++count), options);
        escrow.open_.insert(waiter);
        escrow.budgetOf_[waiter] = arrival.budget_;
    }
    escrow.outcome_.requests_ = count;
    escrow.outcome_.reads_ = escrow.fleet_.storeReads_;
    escrow.outcome_.writes_ = escrow.fleet_.storeWrites_;
    for (std::size_t i = 0; i < load.budgets_; ++i) {
        const Truth &truth = escrow.truth_[i];
        escrow.outcome_.overspend_ += std::max<std::int64_t>(0, truth.spent_ - truth.funded_);
        escrow.outcome_.stranded_ += lostTokens(record(escrow.fleet_, budgetNumber(i))).count_;
    }
    return escrow.outcome_;
}

void print(const std::string &name, const Outcome &outcome)
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

const GrantPolicy kerbihan {Seconds {60}, 250};
const GrantPolicy lampwatch {Seconds {10}, 62};

void compareLedgers(Load load)
{
    load.grantPolicy_ = kerbihan;
    const Outcome longReach = runEscrow(load);
    load.grantPolicy_ = lampwatch;
    const Outcome shortReach = runEscrow(load);
    print("escrow, Kerbihan reach", longReach);
    print("escrow, Lampwatch reach", shortReach);
    print("static split", runSimple(load, Simple::StaticSplit));
    print("central write", runSimple(load, Simple::CentralWrite));
    fmt::print("\n");
    printReasons("Kerbihan reach", longReach);
    printReasons("Lampwatch reach", shortReach);
}

void printSlope(const std::string &name, const Load &load)
{
    const Outcome outcome = runEscrow(load);
    const auto seconds = static_cast<double>(loadTime.count());
    fmt::print("| {} | {:.1f} | {:.1f} |\n", name, static_cast<double>(outcome.writes_) / seconds,
               static_cast<double>(outcome.reads_) / seconds);
}

void printSlopes()
{
    Load base;
    base.faults_ = false;
    base.grantPolicy_ = kerbihan;
    base.fundedPerMille_ = 2000;
    base.requestShards_ = 4;
    for (const std::size_t daemons : {2, 4, 8, 16}) {
        Load load = base;
        load.daemons_ = daemons;
        printSlope(fmt::format("{} daemons", daemons), load);
    }
    for (const std::size_t budgets : {1, 4, 16, 64}) {
        Load load = base;
        load.budgets_ = budgets;
        printSlope(fmt::format("{} budgets", budgets), load);
    }
    for (const std::int64_t rate : {20, 40, 80, 160}) {
        Load load = base;
        load.requestsPerSecond_ = rate;
        printSlope(fmt::format("{} requests/s", rate), load);
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
    tamarack::printSlopes();
    return 0;
}
