// Test fixture for serve(): scripted decisions and exchanges, and a caller that records its
// response.
#pragma once

#include "traffic/traffic.h"

#include <catch2/catch.hpp>

#include <deque>

namespace tamarack::tests {

using Exchange = std::function<ExchangeResult(const ExchangeRequest &, const EventSink &)>;

/// The dependencies of a traffic thread. Decisions and exchanges are used in order.
struct ServeFixture
{
    TrafficContext context_;
    std::deque<Decision> decisions_;
    std::deque<Exchange> exchanges_;
    std::vector<ExchangeRequest> sent_;
    std::vector<Event> events_;
    std::vector<std::string> cancelled_;
    std::vector<LogEvent> log_;
    CallerRequest request_;
    CallerResponseWriter response_;
    std::vector<std::string> delivered_;
    std::optional<CallerResponse> sentResponse_;
    std::optional<Refusal> refusal_;
    std::optional<Refusal> abortedWith_;
    bool ended_ = false;
    /// Stream events that the caller receives before it disconnects.
    std::size_t eventsUntilDisconnect_ = 1000;
    bool acceptsResponse_ = true;
};

inline void fillNextDecision(ServeFixture &fixture, WaiterId waiter)
{
    if (fixture.decisions_.empty())
        return;
    const Decision decision = fixture.decisions_.front();
    fixture.decisions_.pop_front();
    fillSlot(fixture.context_.slots_, waiter, decision);
}

inline void recordEvent(ServeFixture &fixture, const Event &event)
{
    fixture.events_.push_back(event);
    if (const auto *admission = std::get_if<AdmissionRequested>(&event))
        fillNextDecision(fixture, admission->waiter_);
    if (const auto *ended = std::get_if<AttemptEnded>(&event); ended && ended->retryWaiter_)
        fillNextDecision(fixture, *ended->retryWaiter_);
}

inline std::shared_ptr<const Snapshot> makeSnapshot()
{
    auto bundle = std::make_shared<Bundle>();
    bundle->accounts_[AccountId {"club"}] = ClientAccount {};
    bundle->routes_.push_back(ServiceRoute {ServiceId {"lamps"}, "", "/", false, Tokens {5}});
    bundle->routes_.push_back(ServiceRoute {ServiceId {"lamps"}, "GET", "/", true, Tokens {3}});
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->bundle_ = bundle;
    snapshot->keys_["key"] = KeyOwner {AccountId {"club"}, BudgetId {"budget"}};
    return snapshot;
}

inline std::unique_ptr<ServeFixture> makeServeFixture()
{
    auto fixture = std::make_unique<ServeFixture>();
    ServeFixture *s = fixture.get();
    s->context_.events_.post_ = [s](const Event &event) {
        recordEvent(*s, event);
    };
    s->context_.log_.write_ = [s](const LogEvent &event) {
        s->log_.push_back(event);
    };
    s->context_.newRequestId_ = [] {
        return RequestId {"r1"};
    };
    s->context_.digest_ = [](std::string_view text) {
        return std::string(text);
    };
    s->context_.decisionGrace_ = Millis {0};
    s->context_.snapshot_.store(makeSnapshot());
    s->context_.upstreams_.exchange_ = [s](const ExchangeRequest &request, const EventSink &sink) {
        s->sent_.push_back(request);
        REQUIRE_FALSE(s->exchanges_.empty());
        const Exchange exchange = s->exchanges_.front();
        s->exchanges_.pop_front();
        return exchange(request, sink);
    };
    s->context_.upstreams_.cancel_ = [s](const std::string &address, const RequestId &, Millis) {
        s->cancelled_.push_back(address);
        return std::optional<Tokens> {Tokens {11}};
    };
    s->response_.send_ = [s](const CallerResponse &response) {
        s->sentResponse_ = response;
        return s->acceptsResponse_;
    };
    s->response_.sendEvent_ = [s](const std::string &data) {
        if (s->delivered_.size() == s->eventsUntilDisconnect_)
            return false;
        s->delivered_.push_back(data);
        return true;
    };
    s->response_.endStream_ = [s] {
        s->ended_ = true;
        return s->acceptsResponse_;
    };
    s->response_.abortStream_ = [s](const Refusal &refusal) {
        s->abortedWith_ = refusal;
    };
    s->response_.refuse_ = [s](const Refusal &refusal) {
        s->refusal_ = refusal;
    };
    s->request_.keySha256_ = "key";
    s->request_.promptBound_ = Tokens {20};
    s->request_.maxOutput_ = Tokens {100};
    s->request_.stream_ = true;
    return fixture;
}

inline Dispatch dispatchTo(const std::string &upstream, const std::string &attempt)
{
    return Dispatch {AdmissionId {"admission"}, AttemptId {attempt}, UpstreamId {upstream},
                     upstream, Millis {1000}};
}

inline Refusal upstreamFailure()
{
    return Refusal {RefusalReason::UpstreamFailed, Execution::Unknown, "failed", std::nullopt};
}

inline ExchangeResult resultOf(AttemptResult result, ProbeResult probe = ProbeResult::NotProbed)
{
    ExchangeResult exchange;
    exchange.result_ = result;
    exchange.status_ = 200;
    exchange.streamed_ = true;
    exchange.probe_ = probe;
    return exchange;
}

/// Sends numbered stream events from the resume offset of the request up to @a end.
inline Exchange streamUpTo(std::uint64_t end, const ExchangeResult &result)
{
    return [end, result](const ExchangeRequest &request, const EventSink &sink) {
        for (std::uint64_t i = request.resumeOffset_; i < end; ++i) {
            if (!sink(StreamEvent {"e" + std::to_string(i), false}))
                return resultOf(AttemptResult::Cancelled);
        }
        return result;
    };
}

inline Exchange endWith(const ExchangeResult &result)
{
    return [result](const ExchangeRequest &, const EventSink &) {
        return result;
    };
}

inline ExchangeResult completeWithUsage(std::int64_t usage)
{
    ExchangeResult result = resultOf(AttemptResult::Complete);
    result.usage_ = Tokens {usage};
    return result;
}

inline void run(ServeFixture &fixture)
{
    serve(fixture.context_, fixture.request_, fixture.response_, [](const RequestId &) {});
}

inline std::vector<RequestFinished> finishedEvents(const ServeFixture &fixture)
{
    std::vector<RequestFinished> found;
    for (const Event &event : fixture.events_) {
        if (const auto *end = std::get_if<RequestFinished>(&event))
            found.push_back(*end);
    }
    return found;
}

inline bool hasAbandoned(const ServeFixture &fixture)
{
    return std::holds_alternative<AdmissionAbandoned>(fixture.events_.back());
}

inline std::vector<std::string> numberedEvents(std::size_t end)
{
    std::vector<std::string> events;
    for (std::size_t i = 0; i < end; ++i)
        events.push_back("e" + std::to_string(i));
    return events;
}

} // namespace tamarack::tests
