// Property test with random sequences of requests and faults on several daemons and one store.
// Guards against overspending, running or billing a request twice, and unjustified refusals under
// combinations of faults without a test case of their own. The seed and the sizes are fixed, so
// that every run is identical.
#include "controlfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int sequences = 1500;
constexpr std::size_t initialDaemons = 3;

/// One step of a sequence. The numbers select the action, its target and its parameters.
struct Step
{
    std::uint32_t kind_ = 0;
    std::uint32_t target_ = 0;
    std::uint32_t size_ = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << '{' << step.kind_ << ',' << step.target_ << ',' << step.size_ << '}';
}

struct Sequence
{
    Fixture fleet_;
    std::uint64_t requests_ = 0;
    std::uint64_t version_ = 1;
    std::int64_t funded_ = 1000;
};

std::size_t daemonOf(const Sequence &sequence, const Step &step)
{
    return step.target_ % sequence.fleet_.daemons_.size();
}

void submitRequest(Sequence &sequence, std::size_t daemon, const std::string &request,
                   bool idempotent, std::uint32_t size)
{
    if (!isRunning(sequence.fleet_.daemons_[daemon]))
        return;
    RequestOptions options;
    options.daemon_ = daemon;
    options.idempotent_ = idempotent;
    const std::int64_t worstCase = 20 + 40 * (size % 10);
    options.actualCost_ = worstCase * (size % 5) / 4;
    options.timeLimit_ = Millis {500 + 100 * (size % 50)};
    admit(sequence.fleet_, worstCase, request, options);
}

void submitNewRequest(Sequence &sequence, const Step &step)
{
    const std::string request = fmt::format("r{}", ++sequence.requests_);
    submitRequest(sequence, daemonOf(sequence, step), request, step.size_ % 3 != 0, step.size_);
}

/// Submits an earlier request again, usually to another daemon.
void resubmitRequest(Sequence &sequence, const Step &step)
{
    if (sequence.requests_ == 0)
        return;
    const std::string request = fmt::format("r{}", 1 + step.size_ % sequence.requests_);
    for (const auto &[waiter, earlier] : sequence.fleet_.requests_) {
        if (earlier.event_.request_.value_ != request)
            continue;
        const bool idempotent = earlier.event_.idempotent_;
        submitRequest(sequence, daemonOf(sequence, step), request, idempotent, step.size_);
        return;
    }
}

/// Ends the attempt of a dispatched request on a daemon that is neither paused nor dead.
void endAttempt(Sequence &sequence, const Step &step)
{
    std::vector<WaiterId> running;
    for (const auto &[waiter, submitted] : sequence.fleet_.requests_) {
        const bool open
            = !submitted.ended_ && !submitted.refusal_ && !submitted.dispatches_.empty();
        if (open && isRunning(sequence.fleet_.daemons_[submitted.daemon_]))
            running.push_back(waiter);
    }
    if (running.empty())
        return;
    const WaiterId waiter = running[step.target_ % running.size()];
    switch (step.size_ % 6) {
    case 0:
        return failAttempt(sequence.fleet_, waiter, AttemptResult::NotSent);
    case 1:
        return failAttempt(sequence.fleet_, waiter, AttemptResult::Truncated);
    case 2:
        return failAttempt(sequence.fleet_, waiter, AttemptResult::Failed);
    default:
        return finish(sequence.fleet_, waiter);
    }
}

void killDaemon(Sequence &sequence, const Step &step)
{
    const std::size_t daemon = daemonOf(sequence, step);
    if (!sequence.fleet_.daemons_[daemon].alive_ || step.size_ % 3 != 0)
        return;
    if (step.size_ % 2 == 0)
        answerCalls(sequence.fleet_, daemon);
    kill(sequence.fleet_, daemon);
    startDaemon(sequence.fleet_);
}

/// Reports a holder as dead, whether it is dead or not.
void reportDead(Sequence &sequence, const Step &step)
{
    const std::size_t daemon = daemonOf(sequence, step);
    const std::size_t dead = step.size_ % sequence.fleet_.daemons_.size();
    if (!isRunning(sequence.fleet_.daemons_[daemon]) || dead == daemon)
        return;
    send(sequence.fleet_, daemon,
         HolderDeclaredDead {sequence.fleet_.daemons_[dead].state_.settings_.holder_});
}

void changeStoreMode(Sequence &sequence, const Step &step)
{
    Daemon &daemon = sequence.fleet_.daemons_[daemonOf(sequence, step)];
    // Half of these steps end the fault of a daemon, so that faults overlap but do not accumulate.
    daemon.mode_
        = step.size_ % 2 == 0 ? StoreMode::Healthy : static_cast<StoreMode>(step.size_ / 2 % 7);
}

/// Tops up the budget. One daemon receives the new bundle now, the others at the end.
void topUp(Sequence &sequence, const Step &step)
{
    sequence.funded_ += 100;
    sequence.fleet_.bundle_ = makeBundle(++sequence.version_, sequence.funded_);
    const std::size_t daemon = daemonOf(sequence, step);
    if (isRunning(sequence.fleet_.daemons_[daemon]))
        adopt(sequence.fleet_, daemon, sequence.fleet_.bundle_);
}

void applyStep(Sequence &sequence, const Step &step)
{
    Daemon &daemon = sequence.fleet_.daemons_[daemonOf(sequence, step)];
    switch (step.kind_) {
    case 0:
    case 1:
    case 2:
    case 3:
        return submitNewRequest(sequence, step);
    case 4:
        return resubmitRequest(sequence, step);
    case 5:
    case 6:
        return endAttempt(sequence, step);
    case 7:
        return killDaemon(sequence, step);
    case 8:
        daemon.paused_ = !daemon.paused_;
        return;
    case 9:
        return changeStoreMode(sequence, step);
    case 10:
        return topUp(sequence, step);
    case 11:
        return reportDead(sequence, step);
    case 12:
        return applyDelayedWrites(sequence.fleet_);
    case 13:
        return run(sequence.fleet_, Seconds {step.size_ % 200});
    default:
        return run(sequence.fleet_, Millis {step.size_ % 1000});
    }
}

/// Runs a sequence and returns the first violated invariant, or an empty string.
std::string findViolation(const std::vector<Step> &steps)
{
    Sequence sequence {makeFixture(1000, initialDaemons)};
    for (const Step &step : steps) {
        applyStep(sequence, step);
        if (!sequence.fleet_.violations_.empty())
            return firstViolation(sequence.fleet_);
    }
    recoverFleet(sequence.fleet_);
    checkQuiescent(sequence.fleet_);
    return firstViolation(sequence.fleet_);
}

rc::Gen<std::uint32_t> integerBelow(std::uint32_t end)
{
    return rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, end));
}

rc::Gen<std::vector<Step>> generateSteps()
{
    const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind_, integerBelow(18)),
                                           rc::gen::set(&Step::target_, integerBelow(60)),
                                           rc::gen::set(&Step::size_, integerBelow(6000)));
    return rc::gen::resize(100, rc::gen::container<std::vector<Step>>(step));
}

} // namespace

TEST_CASE("ledger invariants hold under random faults")
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = sequences;
    const rc::detail::TestResult result = rc::detail::checkTestable(
        [] {
            const std::vector<Step> steps = *generateSteps();
            const std::string violation = findViolation(steps);
            if (!violation.empty())
                RC_FAIL(violation);
        },
        rc::detail::TestMetadata {"ledger", "random faults"}, params);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO(report.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

} // namespace tamarack
