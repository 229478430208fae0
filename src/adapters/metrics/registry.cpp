// Metrics of a daemon, recorded with prometheus-cpp.
#include "adapters/metrics/registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace tamarack {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/// Upper bounds of the buckets for the time to handle an event, in seconds.
const prometheus::Histogram::BucketBoundaries eventSecondsBuckets {0.00001, 0.0001, 0.001, 0.01,
                                                                   0.1};

std::string statusName(StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return "ok";
    case StoreStatus::Conflict:
        return "conflict";
    case StoreStatus::Unknown:
        return "unknown";
    case StoreStatus::Unavailable:
        break;
    }
    return "unavailable";
}

std::function<void(const Decision &)> makeDecisionCounter(prometheus::Registry &registry)
{
    auto &dispatches = BuildCounter()
                           .Name("tamarack_dispatches_total")
                           .Help("Permitted exchanges with upstreams")
                           .Register(registry)
                           .Add({});
    auto &refusals = BuildCounter()
                         .Name("tamarack_refusals_total")
                         .Help("Refused requests by reason and whether they ran")
                         .Register(registry);
    return [&dispatches, &refusals](const Decision &decision) {
        if (const auto *refusal = std::get_if<Refusal>(&decision))
            refusals
                .Add({{"reason", std::string(refusalCode(refusal->reason_))},
                      {"execution", std::string(executionCode(refusal->execution_))}})
                .Increment();
        else
            dispatches.Increment();
    };
}

std::function<void(const StoreCall &)> makeStoreCallCounter(prometheus::Registry &registry)
{
    auto &calls = BuildCounter()
                      .Name("tamarack_store_calls_total")
                      .Help("Calls of the control thread to the store")
                      .Register(registry);
    auto &reads = calls.Add({{"kind", "read"}});
    auto &swaps = calls.Add({{"kind", "swap"}});
    return [&reads, &swaps](const StoreCall &call) {
        (std::holds_alternative<ReadCall>(call) ? reads : swaps).Increment();
    };
}

std::function<void(StoreStatus)> makeStoreReplyCounter(prometheus::Registry &registry)
{
    auto &replies = BuildCounter()
                        .Name("tamarack_store_replies_total")
                        .Help("Outcomes of calls to the store")
                        .Register(registry);
    return [&replies](StoreStatus status) {
        replies.Add({{"status", statusName(status)}}).Increment();
    };
}

std::function<void(Micros, const ControlGauges &)> makeGaugeRecorder(prometheus::Registry &registry)
{
    auto &times = BuildHistogram()
                      .Name("tamarack_control_event_seconds")
                      .Help("Time to handle an event on the control thread")
                      .Register(registry)
                      .Add({}, eventSecondsBuckets);
    const auto gauge = [&registry](const char *name, const char *help) {
        return &BuildGauge().Name(name).Help(help).Register(registry).Add({});
    };
    auto *requests = gauge("tamarack_requests_in_flight", "Admitted requests that are not billed");
    auto *grants = gauge("tamarack_grants_held", "Budgets for which this daemon holds a grant");
    auto *queued = gauge("tamarack_control_queue_events", "Events queued for the control thread");
    auto *bundle = gauge("tamarack_bundle_version", "Version of the active bundle");
    return [&times, requests, grants, queued, bundle](Micros time, const ControlGauges &gauges) {
        times.Observe(std::chrono::duration<double>(time).count());
        requests->Set(static_cast<double>(gauges.requestsInFlight_));
        grants->Set(static_cast<double>(gauges.grantsHeld_));
        queued->Set(static_cast<double>(gauges.queuedEvents_));
        bundle->Set(static_cast<double>(gauges.bundle_.value_));
    };
}

} // namespace

MetricsPort makeMetricsPort(const std::shared_ptr<prometheus::Registry> &registry)
{
    MetricsPort port;
    port.onDecision_
        = [registry, count = makeDecisionCounter(*registry)](const Decision &decision) {
              count(decision);
          };
    port.onStoreCall_ = [registry, count = makeStoreCallCounter(*registry)](const StoreCall &call) {
        count(call);
    };
    port.onStoreReply_ = [registry, count = makeStoreReplyCounter(*registry)](StoreStatus status) {
        count(status);
    };
    port.onEventHandled_ = [registry, record = makeGaugeRecorder(*registry)](
                               Micros time, const ControlGauges &gauges) {
        record(time, gauges);
    };
    return port;
}

std::string formatMetrics(const prometheus::Registry &registry)
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace tamarack
