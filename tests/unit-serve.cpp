// Serving a request with scripted decisions and exchanges, without sockets and threads: what the
// caller receives and what the control thread is told.
#include "servescene.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

using namespace tamarack;
using namespace tamarack::tests;

TEST_CASE("a cut stream is resumed without loss or repetition")
{
    const auto scene = makeScene();
    scene->decisions_ = {dispatchTo("one", "a1"), dispatchTo("two", "a2")};
    SECTION("at the same engine")
    {
        scene->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::Truncated)), streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(scene->sent_.at(1).address_ == "one");
        CHECK(scene->sent_.at(1).request_ == scene->sent_.at(0).request_);
        CHECK(scene->sent_.at(1).attempt_ != scene->sent_.at(0).attempt_);
    }
    SECTION("at another engine if the first makes no progress")
    {
        scene->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::Truncated)),
               ends(resultOf(AttemptResult::Truncated)), streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(scene->sent_.at(2).address_ == "two");
    }
    SECTION("at another engine if the first fails the probe after a silence")
    {
        scene->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::TimedOut, ProbeResult::Failed)),
                             streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(scene->sent_.at(1).address_ == "two");
        CHECK(scene->cancelled_.empty());
    }
    CHECK(scene->sent_.back().resumeOffset_ == 3);
    CHECK(scene->delivered_ == numbered(6));
    CHECK(scene->ended_);
    CHECK_FALSE(scene->cut_);
    REQUIRE(finished(*scene).size() == 1);
    CHECK(finished(*scene).front().used_ == Tokens {26});
    CHECK(finished(*scene).front().completeness_ == Completeness::Complete);
}

TEST_CASE("routing is told of the first token once and of what was generated")
{
    const auto scene = makeScene();
    scene->decisions_ = {dispatchTo("one", "a1")};
    scene->exchanges_
        = {streamUpTo(3, resultOf(AttemptResult::Truncated)), streamUpTo(6, wholeWith(26))};
    run(*scene);
    CHECK(std::count_if(
              scene->events_.begin(), scene->events_.end(),
              [](const Event &event) { return std::holds_alternative<FirstTokenReceived>(event); })
          == 1);
    const auto *ask = std::get_if<AdmissionRequested>(&scene->events_.front());
    REQUIRE(ask);
    CHECK(ask->promptBound_ == Tokens {20});
    CHECK(ask->reportsFirstToken_);
    const auto *ended = std::get_if<AttemptEnded>(&scene->events_.at(2));
    REQUIRE(ended);
    CHECK(ended->outputTokens_ == 6);
}

TEST_CASE("an upstream that refuses because it is leaving is reported as leaving")
{
    const auto scene = makeScene();
    scene->decisions_ = {dispatchTo("one", "a1"), failed()};
    scene->exchanges_ = {ends(resultOf(AttemptResult::Rejected, ProbeResult::Leaving))};
    run(*scene);
    const auto *ended = std::get_if<AttemptEnded>(&scene->events_.at(1));
    REQUIRE(ended);
    CHECK(ended->upstreamLeaving_);
}

TEST_CASE("a stream that nobody resumes is marked as cut")
{
    const auto scene = makeScene();
    SECTION("the next engine ignores the offset")
    {
        ExchangeResult ignored = resultOf(AttemptResult::Failed);
        ignored.resumeRefused_ = true;
        scene->decisions_ = {dispatchTo("one", "a1"), dispatchTo("two", "a2")};
        scene->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::Truncated)), ends(ignored), ends(ignored)};
        run(*scene);
        CHECK(finished(*scene).size() == 1);
        CHECK(scene->cancelled_ == std::vector<std::string> {"one", "two"});
    }
    SECTION("no attempt is left")
    {
        scene->decisions_ = {dispatchTo("one", "a1"), failed()};
        scene->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::Truncated)),
                             ends(resultOf(AttemptResult::NotSent))};
        run(*scene);
    }
    SECTION("the engine answers the resumption with an error status")
    {
        ExchangeResult gone = resultOf(AttemptResult::Complete);
        gone.status_ = 404;
        gone.streamed_ = false;
        scene->decisions_ = {dispatchTo("one", "a1"), failed()};
        scene->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::Truncated)), ends(gone)};
        run(*scene);
    }
    CHECK(scene->delivered_ == numbered(3));
    CHECK_FALSE(scene->ended_);
    CHECK_FALSE(scene->answer_);
    REQUIRE(scene->cut_);
    CHECK(scene->cut_->execution_ == Execution::Ran);
}

TEST_CASE("a non-idempotent request is sent once")
{
    const auto scene = makeScene();
    scene->request_.kind_ = UpstreamKind::Service;
    scene->request_.service_ = ServiceId {"lamps"};
    scene->request_.method_ = "POST";
    scene->request_.path_ = "/on";
    scene->request_.stream_ = false;
    SECTION("without an idempotency key it is not sent at all")
    {
        run(*scene);
        CHECK(scene->events_.empty());
        REQUIRE(scene->refusal_);
        CHECK(scene->refusal_->execution_ == Execution::NotRun);
    }
    SECTION("it runs to its end though the caller may leave")
    {
        scene->request_.idempotencyKey_ = "k";
        scene->response_.callerSocket_ = -1;
        scene->decisions_ = {dispatchTo("one", "a1"), failed()};
        scene->exchanges_ = {ends(resultOf(AttemptResult::Truncated))};
        run(*scene);
        CHECK(scene->sent_.size() == 1);
        CHECK_FALSE(scene->sent_.front().idempotent_);
        CHECK(scene->cancelled_.empty());
        REQUIRE(scene->refusal_);
        CHECK(scene->refusal_->execution_ == Execution::Unknown);
    }
}

TEST_CASE("a caller that goes away ends the request once, with what was generated")
{
    const auto scene = makeScene();
    scene->decisions_ = {dispatchTo("one", "a1")};
    SECTION("before the first event")
    {
        scene->takes_ = 0;
        scene->exchanges_ = {streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(finished(*scene).front().used_ == Tokens {11});
    }
    SECTION("in the middle of the stream")
    {
        scene->takes_ = 2;
        scene->exchanges_ = {streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(finished(*scene).front().used_ == Tokens {11});
        CHECK(scene->cancelled_ == std::vector<std::string> {"one"});
    }
    SECTION("while the engine is silent")
    {
        scene->exchanges_ = {ends(resultOf(AttemptResult::Cancelled))};
        run(*scene);
        CHECK(finished(*scene).front().used_ == Tokens {11});
    }
    SECTION("at the terminator")
    {
        scene->takesAnswers_ = false;
        scene->exchanges_ = {streamUpTo(6, wholeWith(26))};
        run(*scene);
        CHECK(finished(*scene).front().used_ == Tokens {26});
    }
    REQUIRE(finished(*scene).size() == 1);
    CHECK(finished(*scene).front().completeness_ == Completeness::Truncated);
    CHECK_FALSE(scene->refusal_);
    CHECK_FALSE(scene->cut_);
}

TEST_CASE("a wait for a decision that comes too late leaves nothing behind")
{
    const auto scene = makeScene();
    scene->request_.timeLimit_ = Millis {1};
    run(*scene);
    CHECK(hasAbandoned(*scene));
    REQUIRE(scene->refusal_);
    CHECK(scene->refusal_->reason_ == RefusalReason::DeadlineExceeded);
    CHECK(scene->refusal_->execution_ == Execution::NotRun);
    CHECK(scene->context_.slots_.slots_.empty());
    // The decision finds no slot; it must neither be kept nor reach a later request.
    fillSlot(scene->context_.slots_, std::get<AdmissionAbandoned>(scene->events_.back()).waiter_,
             dispatchTo("one", "a1"));
    CHECK(scene->context_.slots_.slots_.empty());
    CHECK(scene->sent_.empty());
}

TEST_CASE("a caller that goes away while it waits for admission is not served")
{
    const auto scene = makeScene();
    std::array<int, 2> ends {};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    ::close(ends[0]);
    scene->response_.callerSocket_ = ends[1];
    run(*scene);
    ::close(ends[1]);
    CHECK(hasAbandoned(*scene));
    CHECK(scene->sent_.empty());
    CHECK_FALSE(scene->refusal_);
}

TEST_CASE("a dispatch after the deadline is not sent")
{
    const auto scene = makeScene();
    scene->request_.timeLimit_ = Millis {0};
    scene->context_.decisionGrace_ = Seconds {60};
    scene->decisions_
        = {dispatchTo("one", "a1"),
           Refusal {RefusalReason::UpstreamFailed, Execution::NotRun, "none", std::nullopt}};
    run(*scene);
    CHECK(scene->sent_.empty());
    REQUIRE(scene->refusal_);
    CHECK(scene->refusal_->reason_ == RefusalReason::DeadlineExceeded);
    CHECK(scene->refusal_->execution_ == Execution::NotRun);
}

TEST_CASE("an exchange that throws counts as sent")
{
    const auto scene = makeScene();
    scene->decisions_ = {dispatchTo("one", "a1"), failed()};
    scene->exchanges_ = {[](const ExchangeRequest &, const EventSink &) -> ExchangeResult {
        throw std::runtime_error("no memory");
    }};
    run(*scene);
    REQUIRE(scene->refusal_);
    CHECK(scene->refusal_->execution_ == Execution::Unknown);
}

TEST_CASE("the cost of a request follows from its answer")
{
    struct Case
    {
        std::string name_;
        AttemptResult result_;
        int status_;
        std::optional<Tokens> usage_;
        Tokens cost_;
    };
    const auto testCase = GENERATE(values<Case>({
        {"usage is charged", AttemptResult::Complete, 200, Tokens {30}, Tokens {30}},
        {"never more than was reserved", AttemptResult::Complete, 200, Tokens {5000}, Tokens {120}},
        {"no usage: the worst case", AttemptResult::Complete, 200, std::nullopt, Tokens {120}},
        {"the engine refused: nothing", AttemptResult::Complete, 400, std::nullopt, Tokens {0}},
    }));
    INFO(testCase.name_);
    const auto scene = makeScene();
    scene->request_.stream_ = false;
    scene->decisions_ = {dispatchTo("one", "a1")};
    ExchangeResult result = resultOf(testCase.result_);
    result.status_ = testCase.status_;
    result.streamed_ = false;
    result.usage_ = testCase.usage_;
    scene->exchanges_ = {ends(result)};
    run(*scene);
    CHECK(finished(*scene).front().used_ == testCase.cost_);
    REQUIRE(scene->answer_);
    CHECK(scene->answer_->status_ == testCase.status_);
}

TEST_CASE("the usage event goes only to callers that asked for it")
{
    const auto scene = makeScene();
    scene->request_.includeUsage_ = GENERATE(true, false);
    scene->decisions_ = {dispatchTo("one", "a1")};
    scene->exchanges_ = {[](const ExchangeRequest &, const EventSink &sink) {
        sink(StreamEvent {"word", false});
        sink(StreamEvent {"usage", true});
        return wholeWith(26);
    }};
    run(*scene);
    CHECK(scene->delivered_.size() == (scene->request_.includeUsage_ ? 2U : 1U));
    CHECK(scene->ended_);
}
