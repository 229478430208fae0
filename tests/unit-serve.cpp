// Serves requests with scripted decisions and exchanges, without threads. Guards against lost or
// repeated stream events, a non-idempotent request that is sent twice, wrong costs, and missing or
// repeated reports to the control thread.
#include "servefixture.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

using namespace tamarack;
using namespace tamarack::tests;

TEST_CASE("an interrupted stream is resumed without lost or repeated events")
{
    const auto fixture = makeServeFixture();
    fixture->decisions_ = {dispatchTo("one", "a1"), dispatchTo("two", "a2")};
    SECTION("at the same engine")
    {
        fixture->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::Truncated)),
                               streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(fixture->sent_.at(1).address_ == "one");
        CHECK(fixture->sent_.at(1).request_ == fixture->sent_.at(0).request_);
        CHECK(fixture->sent_.at(1).attempt_ != fixture->sent_.at(0).attempt_);
    }
    SECTION("at another engine if the first makes no progress")
    {
        fixture->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::Truncated)),
               endWith(resultOf(AttemptResult::Truncated)), streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(fixture->sent_.at(2).address_ == "two");
    }
    SECTION("at another engine if the first fails the probe after a silent period")
    {
        fixture->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::TimedOut, ProbeResult::Failed)),
               streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(fixture->sent_.at(1).address_ == "two");
        CHECK(fixture->cancelled_.empty());
    }
    CHECK(fixture->sent_.back().resumeOffset_ == 3);
    CHECK(fixture->delivered_ == numberedEvents(6));
    CHECK(fixture->ended_);
    CHECK_FALSE(fixture->abortedWith_);
    REQUIRE(finishedEvents(*fixture).size() == 1);
    CHECK(finishedEvents(*fixture).front().used_ == Tokens {26});
    CHECK(finishedEvents(*fixture).front().completeness_ == Completeness::Complete);
}

TEST_CASE("the first token is reported once and the output tokens at the end of the attempt")
{
    const auto fixture = makeServeFixture();
    fixture->decisions_ = {dispatchTo("one", "a1")};
    fixture->exchanges_
        = {streamUpTo(3, resultOf(AttemptResult::Truncated)), streamUpTo(6, completeWithUsage(26))};
    run(*fixture);
    CHECK(std::count_if(
              fixture->events_.begin(), fixture->events_.end(),
              [](const Event &event) { return std::holds_alternative<FirstTokenReceived>(event); })
          == 1);
    const auto *admission = std::get_if<AdmissionRequested>(&fixture->events_.front());
    REQUIRE(admission);
    CHECK(admission->promptBound_ == Tokens {20});
    CHECK(admission->reportsFirstToken_);
    const auto *ended = std::get_if<AttemptEnded>(&fixture->events_.at(2));
    REQUIRE(ended);
    CHECK(ended->outputTokens_ == 6);
}

TEST_CASE("an upstream that refuses because it is leaving is reported as leaving")
{
    const auto fixture = makeServeFixture();
    fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
    fixture->exchanges_ = {endWith(resultOf(AttemptResult::Rejected, ProbeResult::Leaving))};
    run(*fixture);
    const auto *ended = std::get_if<AttemptEnded>(&fixture->events_.at(1));
    REQUIRE(ended);
    CHECK(ended->upstreamLeaving_);
}

TEST_CASE("a stream that no engine resumes ends with an error")
{
    const auto fixture = makeServeFixture();
    SECTION("the next engine ignores the offset")
    {
        ExchangeResult ignored = resultOf(AttemptResult::Failed);
        ignored.resumeRefused_ = true;
        fixture->decisions_ = {dispatchTo("one", "a1"), dispatchTo("two", "a2")};
        fixture->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::Truncated)), endWith(ignored),
                               endWith(ignored)};
        run(*fixture);
        CHECK(finishedEvents(*fixture).size() == 1);
        CHECK(fixture->cancelled_ == std::vector<std::string> {"one", "two"});
    }
    SECTION("no attempt is left")
    {
        fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
        fixture->exchanges_ = {streamUpTo(3, resultOf(AttemptResult::Truncated)),
                               endWith(resultOf(AttemptResult::NotSent))};
        run(*fixture);
    }
    SECTION("the engine responds to the resumption with an error status")
    {
        ExchangeResult notFound = resultOf(AttemptResult::Complete);
        notFound.status_ = 404;
        notFound.streamed_ = false;
        fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
        fixture->exchanges_
            = {streamUpTo(3, resultOf(AttemptResult::Truncated)), endWith(notFound)};
        run(*fixture);
    }
    CHECK(fixture->delivered_ == numberedEvents(3));
    CHECK_FALSE(fixture->ended_);
    CHECK_FALSE(fixture->sentResponse_);
    REQUIRE(fixture->abortedWith_);
    CHECK(fixture->abortedWith_->execution_ == Execution::Ran);
}

TEST_CASE("a non-idempotent request is sent once")
{
    const auto fixture = makeServeFixture();
    fixture->request_.kind_ = UpstreamKind::Service;
    fixture->request_.service_ = ServiceId {"lamps"};
    fixture->request_.method_ = "POST";
    fixture->request_.path_ = "/on";
    fixture->request_.stream_ = false;
    SECTION("without an idempotency key it is not sent at all")
    {
        run(*fixture);
        CHECK(fixture->events_.empty());
        REQUIRE(fixture->refusal_);
        CHECK(fixture->refusal_->execution_ == Execution::NotRun);
    }
    SECTION("it runs to completion even if the caller disconnects")
    {
        fixture->request_.idempotencyKey_ = "k";
        fixture->response_.callerSocket_ = -1;
        fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
        fixture->exchanges_ = {endWith(resultOf(AttemptResult::Truncated))};
        run(*fixture);
        CHECK(fixture->sent_.size() == 1);
        CHECK_FALSE(fixture->sent_.front().idempotent_);
        CHECK(fixture->cancelled_.empty());
        REQUIRE(fixture->refusal_);
        CHECK(fixture->refusal_->execution_ == Execution::Unknown);
    }
}

TEST_CASE("a request whose caller disconnects ends once, with the generated tokens")
{
    const auto fixture = makeServeFixture();
    fixture->decisions_ = {dispatchTo("one", "a1")};
    SECTION("before the first event")
    {
        fixture->eventsUntilDisconnect_ = 0;
        fixture->exchanges_ = {streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(finishedEvents(*fixture).front().used_ == Tokens {11});
    }
    SECTION("in the middle of the stream")
    {
        fixture->eventsUntilDisconnect_ = 2;
        fixture->exchanges_ = {streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(finishedEvents(*fixture).front().used_ == Tokens {11});
        CHECK(fixture->cancelled_ == std::vector<std::string> {"one"});
    }
    SECTION("while the engine sends nothing")
    {
        fixture->exchanges_ = {endWith(resultOf(AttemptResult::Cancelled))};
        run(*fixture);
        CHECK(finishedEvents(*fixture).front().used_ == Tokens {11});
    }
    SECTION("at the terminator")
    {
        fixture->acceptsResponse_ = false;
        fixture->exchanges_ = {streamUpTo(6, completeWithUsage(26))};
        run(*fixture);
        CHECK(finishedEvents(*fixture).front().used_ == Tokens {26});
    }
    REQUIRE(finishedEvents(*fixture).size() == 1);
    CHECK(finishedEvents(*fixture).front().completeness_ == Completeness::Truncated);
    CHECK_FALSE(fixture->refusal_);
    CHECK_FALSE(fixture->abortedWith_);
}

TEST_CASE("a decision that arrives too late leaves no slot behind")
{
    const auto fixture = makeServeFixture();
    fixture->request_.timeLimit_ = Millis {1};
    run(*fixture);
    CHECK(hasAbandoned(*fixture));
    REQUIRE(fixture->refusal_);
    CHECK(fixture->refusal_->reason_ == RefusalReason::DeadlineExceeded);
    CHECK(fixture->refusal_->execution_ == Execution::NotRun);
    CHECK(fixture->context_.slots_.slots_.empty());
    // The late decision must neither be stored nor be delivered to a later request.
    fillSlot(fixture->context_.slots_,
             std::get<AdmissionAbandoned>(fixture->events_.back()).waiter_,
             dispatchTo("one", "a1"));
    CHECK(fixture->context_.slots_.slots_.empty());
    CHECK(fixture->sent_.empty());
}

TEST_CASE("a caller that disconnects while it waits for admission is not served")
{
    const auto fixture = makeServeFixture();
    std::array<int, 2> sockets {};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    ::close(sockets[0]);
    fixture->response_.callerSocket_ = sockets[1];
    run(*fixture);
    ::close(sockets[1]);
    CHECK(hasAbandoned(*fixture));
    CHECK(fixture->sent_.empty());
    CHECK_FALSE(fixture->refusal_);
}

TEST_CASE("a dispatch after the deadline is not sent")
{
    const auto fixture = makeServeFixture();
    fixture->request_.timeLimit_ = Millis {0};
    fixture->context_.decisionGrace_ = Seconds {60};
    fixture->decisions_
        = {dispatchTo("one", "a1"),
           Refusal {RefusalReason::UpstreamFailed, Execution::NotRun, "none", std::nullopt}};
    run(*fixture);
    CHECK(fixture->sent_.empty());
    REQUIRE(fixture->refusal_);
    CHECK(fixture->refusal_->reason_ == RefusalReason::DeadlineExceeded);
    CHECK(fixture->refusal_->execution_ == Execution::NotRun);
}

TEST_CASE("an exchange that throws counts as sent")
{
    const auto fixture = makeServeFixture();
    fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
    fixture->exchanges_ = {[](const ExchangeRequest &, const EventSink &) -> ExchangeResult {
        throw std::runtime_error("no memory");
    }};
    run(*fixture);
    REQUIRE(fixture->refusal_);
    CHECK(fixture->refusal_->execution_ == Execution::Unknown);
}

TEST_CASE("the cost of a request depends on its response")
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
        {"usage above the reservation is charged up to the reservation", AttemptResult::Complete,
         200, Tokens {5000}, Tokens {120}},
        {"without usage, the worst case is charged", AttemptResult::Complete, 200, std::nullopt,
         Tokens {120}},
        {"a refusal of the engine is free", AttemptResult::Complete, 400, std::nullopt, Tokens {0}},
    }));
    INFO(testCase.name_);
    const auto fixture = makeServeFixture();
    fixture->request_.stream_ = false;
    fixture->decisions_ = {dispatchTo("one", "a1")};
    ExchangeResult result = resultOf(testCase.result_);
    result.status_ = testCase.status_;
    result.streamed_ = false;
    result.usage_ = testCase.usage_;
    fixture->exchanges_ = {endWith(result)};
    run(*fixture);
    CHECK(finishedEvents(*fixture).front().used_ == testCase.cost_);
    REQUIRE(fixture->sentResponse_);
    CHECK(fixture->sentResponse_->status_ == testCase.status_);
}

TEST_CASE("a malformed response of a service is charged like a lost one")
{
    // The service has run the call. It was free, unlike one whose response was cut off.
    struct Case
    {
        AttemptResult result_;
        bool malformed_;
        Tokens cost_;
    };
    const auto testCase = GENERATE(values<Case>({
        {AttemptResult::Truncated, false, Tokens {5}},
        {AttemptResult::Failed, true, Tokens {5}},
        {AttemptResult::Failed, false, Tokens {0}},
        {AttemptResult::Rejected, false, Tokens {0}},
    }));
    const auto fixture = makeServeFixture();
    fixture->request_.kind_ = UpstreamKind::Service;
    fixture->request_.service_ = ServiceId {"lamps"};
    fixture->request_.method_ = "POST";
    fixture->request_.path_ = "/on";
    fixture->request_.stream_ = false;
    fixture->request_.idempotencyKey_ = "k";
    fixture->decisions_ = {dispatchTo("one", "a1"), upstreamFailure()};
    ExchangeResult result = resultOf(testCase.result_);
    result.streamed_ = false;
    result.malformed_ = testCase.malformed_;
    fixture->exchanges_ = {endWith(result)};
    run(*fixture);
    CHECK(fixture->sent_.size() == 1);
    CHECK(std::get<AttemptEnded>(fixture->events_.back()).used_ == testCase.cost_);
    REQUIRE(fixture->refusal_);
    CHECK(fixture->refusal_->execution_ == Execution::Unknown);
}

TEST_CASE("the usage event is sent only to callers that requested it")
{
    const auto fixture = makeServeFixture();
    fixture->request_.includeUsage_ = GENERATE(true, false);
    fixture->decisions_ = {dispatchTo("one", "a1")};
    fixture->exchanges_ = {[](const ExchangeRequest &, const EventSink &sink) {
        sink(StreamEvent {"word", false});
        sink(StreamEvent {"usage", true});
        return completeWithUsage(26);
    }};
    run(*fixture);
    CHECK(fixture->delivered_.size() == (fixture->request_.includeUsage_ ? 2U : 1U));
    CHECK(fixture->ended_);
}
