// The upstream port against the fake engine: what each fault of an engine becomes, and what a
// caller may receive of it.
#include "adapters/http/upstreamclient.h"
#include "fakes/engine.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

constexpr Millis farAway {Seconds {60}};
/// Reached only by an engine that is certain to stay silent.
constexpr Millis certainSilence {200};

struct RunningEngine
{
    fakes::Engine engine_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
    UpstreamPort port_ = makeHttpUpstreamPort();
};

std::unique_ptr<RunningEngine> startEngine(const std::string &faults = "{}")
{
    auto running = std::make_unique<RunningEngine>();
    running->engine_.outputTokens_ = 6;
    running->engine_.faults_ = fakes::parseFaults(faults);
    running->server_ = fakes::startHttpServer(
        "127.0.0.1:0", [engine = &running->engine_](auto &request, auto &answer) {
            fakes::handleEngineRequest(*engine, request, answer);
        });
    return running;
}

std::string addressOf(const RunningEngine &running)
{
    return "127.0.0.1:" + std::to_string(running.server_->port());
}

ExchangeRequest chatRequest(const RunningEngine &running, bool stream)
{
    ExchangeRequest request;
    request.address_ = addressOf(running);
    request.method_ = "POST";
    request.path_ = "/v1/chat/completions";
    request.contentType_ = "application/json";
    request.body_ = stream ? R"({"stream":true})" : "{}";
    request.request_ = RequestId {"r1"};
    request.attempt_ = AttemptId {"a1"};
    request.idempotent_ = true;
    request.stream_ = stream;
    request.silenceLimit_ = farAway;
    return request;
}

struct Received
{
    ExchangeResult result_;
    std::vector<std::string> events_;
};

Received exchange(RunningEngine &running, const ExchangeRequest &request)
{
    Received received;
    received.result_ = running.port_.exchange_(request, [&received](const StreamEvent &event) {
        received.events_.push_back(event.data_);
        return true;
    });
    return received;
}

/// Whether the events are those with numbers from @a first to @a end, each once and in order.
bool areInOrder(const std::vector<std::string> &events, std::size_t first, std::size_t end)
{
    if (events.size() != end - first)
        return false;
    for (std::size_t i = first; i < end; ++i) {
        const std::string mark = i < 6 ? "\"w" + std::to_string(i) + " \"" : "\"usage\"";
        if (events[i - first].find(mark) == std::string::npos)
            return false;
    }
    return true;
}

struct StreamCase
{
    std::string name_;
    std::string faults_;
    AttemptResult expected_;
    /// Number of events that the caller receives; the whole stream has 7.
    std::size_t events_;
};

struct PlainCase
{
    std::string name_;
    std::string faults_;
    AttemptResult expected_;
    int status_ = 200;
};

} // namespace

TEST_CASE("a stream is whole only with all its events and its terminator")
{
    const auto testCase = GENERATE(values<StreamCase>({
        {"no fault", "{}", AttemptResult::Complete, 7},
        {"no index lines", R"({"noIndex":true})", AttemptResult::Complete, 7},
        {"events arrive twice", R"({"duplicates":true})", AttemptResult::Complete, 7},
        {"events change places", R"({"reorder":true})", AttemptResult::Complete, 7},
        {"an event is lost", R"({"lostEvent":2})", AttemptResult::Truncated, 2},
        {"cut in the middle", R"({"cutAfter":3})", AttemptResult::Truncated, 3},
        {"cut before the first event", R"({"cutAfter":0})", AttemptResult::Truncated, 0},
        {"ended without terminator", R"({"noTerminator":true})", AttemptResult::Truncated, 7},
        {"another request's answer", R"({"wrongRequestId":true})", AttemptResult::Failed, 0},
        {"another attempt's answer", R"({"wrongAttemptId":true})", AttemptResult::Failed, 0},
        {"refusal", R"({"status":503})", AttemptResult::Rejected, 0},
        {"too many requests", R"({"status":429})", AttemptResult::Rejected, 0},
        {"server error", R"({"status":500})", AttemptResult::Failed, 0},
        {"leaving", R"({"leaving":true})", AttemptResult::Rejected, 0},
    }));
    INFO(testCase.name_);
    const auto running = startEngine(testCase.faults_);
    const Received received = exchange(*running, chatRequest(*running, true));
    CHECK(received.result_.result_ == testCase.expected_);
    CHECK(areInOrder(received.events_, 0, testCase.events_));
    CHECK((received.result_.result_ != AttemptResult::Complete || received.result_.usage_));
    CHECK(received.result_.forOtherRequest_
          == (testCase.faults_.find("wrong") != std::string::npos));
    const bool leaving = testCase.name_ == "leaving";
    CHECK((received.result_.probe_ == ProbeResult::Leaving) == leaving);
}

TEST_CASE("a plain answer is whole only if its end is proven")
{
    const auto testCase = GENERATE(values<PlainCase>({
        {"no fault", "{}", AttemptResult::Complete},
        {"shorter than its length", R"({"cutAfter":1})", AttemptResult::Truncated},
        // POCO's chunked stream takes the end of the connection for the last chunk.
        {"no last chunk", R"({"noTerminator":true})", AttemptResult::Truncated},
        {"neither length nor chunks, JSON whole", R"({"unframed":true})", AttemptResult::Complete},
        {"neither length nor chunks, JSON cut", R"({"unframed":true,"cutAfter":1})",
         AttemptResult::Truncated},
        {"neither length nor chunks, no usage", R"({"unframed":true,"noUsage":true})",
         AttemptResult::Truncated},
        {"length and chunks", R"({"ambiguous":true})", AttemptResult::Failed, 0},
        {"another request's answer", R"({"wrongRequestId":true})", AttemptResult::Failed},
        {"client error", R"({"status":404})", AttemptResult::Complete, 404},
    }));
    INFO(testCase.name_);
    const auto running = startEngine(testCase.faults_);
    const Received received = exchange(*running, chatRequest(*running, false));
    CHECK(received.result_.result_ == testCase.expected_);
    CHECK(received.result_.status_ == testCase.status_);
    CHECK(received.events_.empty());
    // A dropped answer must not be at hand for the caller.
    CHECK((!received.result_.forOtherRequest_ || received.result_.body_.empty()));
}

TEST_CASE("an answer larger than the limit is refused")
{
    const auto running = startEngine();
    ExchangeRequest request = chatRequest(*running, false);
    request.maxBodyBytes_ = 20;
    CHECK(exchange(*running, request).result_.result_ == AttemptResult::Failed);
}

TEST_CASE("a stream is resumed only by an engine that confirms the offset")
{
    SECTION("confirmed")
    {
        const auto running = startEngine();
        ExchangeRequest request = chatRequest(*running, true);
        request.resumeOffset_ = 4;
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::Complete);
        CHECK(areInOrder(received.events_, 4, 7));
    }
    SECTION("ignored: the events would be delivered twice")
    {
        const auto running = startEngine(R"({"ignoreOffset":true})");
        ExchangeRequest request = chatRequest(*running, true);
        request.resumeOffset_ = 4;
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::Failed);
        CHECK(received.result_.resumeRefused_);
        CHECK(received.events_.empty());
    }
}

TEST_CASE("after a silence a probe tells a lost path from a stopped engine")
{
    SECTION("stream of an engine that still answers")
    {
        const auto running = startEngine(R"({"silentAfter":2})");
        ExchangeRequest request = chatRequest(*running, true);
        request.silenceLimit_ = certainSilence;
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::TimedOut);
        CHECK(received.result_.probe_ == ProbeResult::Live);
        CHECK(areInOrder(received.events_, 0, 2));
    }
    SECTION("plain answer of an engine that fails the probe")
    {
        const auto running = startEngine(R"({"silentAfter":0,"sick":true})");
        ExchangeRequest request = chatRequest(*running, false);
        request.silenceLimit_ = certainSilence;
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::TimedOut);
        CHECK(received.result_.probe_ == ProbeResult::Failed);
    }
    SECTION("plain answer of a live engine is waited for until the deadline")
    {
        const auto running = startEngine(R"({"silentAfter":0})");
        ExchangeRequest request = chatRequest(*running, false);
        request.silenceLimit_ = Millis {50};
        request.deadline_ = std::chrono::steady_clock::now() + Millis {400};
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::TimedOut);
        CHECK(received.result_.probe_ == ProbeResult::Live);
        CHECK(std::chrono::steady_clock::now() >= *request.deadline_);
    }
}

TEST_CASE("a kept connection serves idempotent requests only")
{
    SECTION("idempotent requests share a connection")
    {
        const auto running = startEngine();
        for (int i = 0; i < 3; ++i)
            CHECK(exchange(*running, chatRequest(*running, false)).result_.result_
                  == AttemptResult::Complete);
        CHECK(running->engine_.connections_ == 1);
    }
    SECTION("non-idempotent requests get a new one")
    {
        const auto running = startEngine();
        for (int i = 0; i < 3; ++i) {
            ExchangeRequest request = chatRequest(*running, false);
            request.idempotent_ = false;
            CHECK(exchange(*running, request).result_.result_ == AttemptResult::Complete);
        }
        CHECK(running->engine_.connections_ == 3);
    }
    SECTION("a kept connection that is closed or silent is replaced within the exchange")
    {
        const std::string fault
            = GENERATE(as<std::string> {}, R"({"closeOnReuse":true})", R"({"silentOnReuse":true})");
        const bool stream = GENERATE(true, false);
        // A live engine may take its time for a plain answer, so only streams time out.
        if (!stream && fault.find("silent") != std::string::npos)
            return;
        const auto running = startEngine(fault);
        ExchangeRequest request = chatRequest(*running, false);
        CHECK(exchange(*running, request).result_.result_ == AttemptResult::Complete);
        request = chatRequest(*running, stream);
        request.silenceLimit_ = certainSilence;
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::Complete);
        CHECK(running->engine_.connections_ == 2);
        CHECK(running->engine_.runs_ == 2);
    }
    SECTION("a connection with an answer that nobody asked for is closed")
    {
        const auto running = startEngine(R"({"lateAnswer":true,"times":1})");
        CHECK(exchange(*running, chatRequest(*running, false)).result_.result_
              == AttemptResult::Complete);
        ExchangeRequest request = chatRequest(*running, false);
        request.request_ = RequestId {"r2"};
        const Received received = exchange(*running, request);
        CHECK(received.result_.result_ == AttemptResult::Complete);
        CHECK_FALSE(received.result_.forOtherRequest_);
        CHECK(running->engine_.connections_ == 2);
    }
}

TEST_CASE("an exchange ends when the caller goes away")
{
    SECTION("at an event")
    {
        const auto running = startEngine();
        const ExchangeResult result = running->port_.exchange_(
            chatRequest(*running, true), [](const StreamEvent &) { return false; });
        CHECK(result.result_ == AttemptResult::Cancelled);
    }
    SECTION("while the engine is silent")
    {
        const auto running = startEngine(R"({"silentAfter":0})");
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
        Poco::Net::StreamSocket caller(listener.address());
        const Poco::Net::StreamSocket accepted = listener.acceptConnection();
        caller.close();
        ExchangeRequest request = chatRequest(*running, true);
        request.callerSocket_ = accepted.impl()->sockfd();
        CHECK(exchange(*running, request).result_.result_ == AttemptResult::Cancelled);
    }
    SECTION("cancelling reports what was generated")
    {
        const auto running = startEngine();
        exchange(*running, chatRequest(*running, false));
        const std::optional<Tokens> usage
            = running->port_.cancel_(addressOf(*running), RequestId {"r1"}, farAway);
        CHECK(usage == Tokens {10});
    }
}

TEST_CASE("a request counts as not sent only if the connection failed")
{
    ExchangeRequest request;
    request.address_ = "127.0.0.1:1";
    request.method_ = "POST";
    request.path_ = "/";
    const ExchangeResult result
        = makeHttpUpstreamPort().exchange_(request, [](const StreamEvent &) { return true; });
    CHECK(result.result_ == AttemptResult::NotSent);
    CHECK_FALSE(result.detail_.empty());
}
