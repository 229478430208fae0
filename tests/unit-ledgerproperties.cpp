// Random sequences of requests and faults over several daemons and one store. Guards against
// overspend, a second run, a second bill and untrue refusals under combinations of faults that
// nobody has thought of. The seed and the sizes are fixed, so that every run is identical.
#include "controlfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

namespace tamarack {

using namespace fixture;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int sequences = 1500;
constexpr std::size_t daemonsAtStart = 3;

/// One step of a sequence. The numbers choose the kind of step and whom it affects.
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

void ask(Sequence &sequence, std::size_t daemon, const std::string &request, bool idempotent,
         std::uint32_t size)
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

void askNew(Sequence &sequence, const Step &step)
{
    const std::string request = fmt::format("r{}", ++sequence.requests_);
    ask(sequence, daemonOf(sequence, step), request, step.size_ % 3 != 0, step.size_);
}

/// Sends an earlier request again, mostly to another daemon.
void askAgain(Sequence &sequence, const Step &step)
{
    if (sequence.requests_ == 0)
        return;
    const std::string request = fmt::format("r{}", 1 + step.size_ % sequence.requests_);
    for (const auto &[waiter, earlier] : sequence.fleet_.requests_) {
        if (earlier.event_.request_.value_ != request)
            continue;
        const bool idempotent = earlier.event_.idempotent_;
        ask(sequence, daemonOf(sequence, step), request, idempotent, step.size_);
        return;
    }
}

/// Ends the attempt of one request that runs on a daemon which is not paused or dead.
void endOne(Sequence &sequence, const Step &step)
{
    std::vector<WaiterId> running;
    for (const auto &[waiter, asked] : sequence.fleet_.requests_) {
        const bool open = !asked.ended_ && !asked.refusal_ && !asked.dispatches_.empty();
        if (open && isRunning(sequence.fleet_.daemons_[asked.daemon_]))
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

void killOne(Sequence &sequence, const Step &step)
{
    const std::size_t daemon = daemonOf(sequence, step);
    if (!sequence.fleet_.daemons_[daemon].alive_ || step.size_ % 3 != 0)
        return;
    if (step.size_ % 2 == 0)
        answerCalls(sequence.fleet_, daemon);
    kill(sequence.fleet_, daemon);
    startDaemon(sequence.fleet_);
}

/// Reports a holder as dead, rightly or wrongly.
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
    // Half of the steps end a fault, so that faults overlap but do not pile up.
    daemon.mode_
        = step.size_ % 2 == 0 ? StoreMode::Healthy : static_cast<StoreMode>(step.size_ / 2 % 7);
}

/// A top-up, which reaches one daemon now and the others at the end.
void topUp(Sequence &sequence, const Step &step)
{
    sequence.funded_ += 100;
    sequence.fleet_.bundle_ = makeBundle(++sequence.version_, sequence.funded_);
    const std::size_t daemon = daemonOf(sequence, step);
    if (isRunning(sequence.fleet_.daemons_[daemon]))
        adopt(sequence.fleet_, daemon, sequence.fleet_.bundle_);
}

void play(Sequence &sequence, const Step &step)
{
    Daemon &daemon = sequence.fleet_.daemons_[daemonOf(sequence, step)];
    switch (step.kind_) {
    case 0:
    case 1:
    case 2:
    case 3:
        return askNew(sequence, step);
    case 4:
        return askAgain(sequence, step);
    case 5:
    case 6:
        return endOne(sequence, step);
    case 7:
        return killOne(sequence, step);
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

/// Plays a sequence and returns the first violation, or nothing.
std::string violationOf(const std::vector<Step> &steps)
{
    Sequence sequence {makeFixture(1000, daemonsAtStart)};
    for (const Step &step : steps) {
        play(sequence, step);
        if (!sequence.fleet_.violations_.empty())
            return firstViolation(sequence.fleet_);
    }
    recoverFleet(sequence.fleet_);
    checkQuiescent(sequence.fleet_);
    return firstViolation(sequence.fleet_);
}

rc::Gen<std::uint32_t> number(std::uint32_t end)
{
    return rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, end));
}

rc::Gen<std::vector<Step>> anySteps()
{
    const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind_, number(18)),
                                           rc::gen::set(&Step::target_, number(60)),
                                           rc::gen::set(&Step::size_, number(6000)));
    return rc::gen::resize(100, rc::gen::container<std::vector<Step>>(step));
}

} // namespace

TEST_CASE("random faults")
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = sequences;
    const rc::detail::TestResult result = rc::detail::checkTestable(
        [] {
            const std::vector<Step> steps = *anySteps();
            const std::string violation = violationOf(steps);
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
