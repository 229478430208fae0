// Metrics of a relay daemon. All label values come from fixed sets, so the number of time series is
// bounded.
#include "adapters/metrics/relaymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <map>

namespace tamarack {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/// Upper bounds of the latency buckets, in seconds; latency objectives are between 0.1 and 1.
const prometheus::Histogram::BucketBoundaries latencyBuckets {0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                              0.5,  0.8,   1.2,  2.0, 4.0, 8.0};
/// Upper bounds of the buckets for the time to handle an event, in seconds.
const prometheus::Histogram::BucketBoundaries eventSecondsBuckets {0.00001, 0.0001, 0.001, 0.01,
                                                                   0.1};

/// Metric families, and the arrival times of requests that have no output yet. Only the control
/// thread uses them.
struct MetricFamilies
{
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &attemptEnds_;
    prometheus::Family<prometheus::Counter> &refusals_;
    prometheus::Family<prometheus::Counter> &storeReplies_;
    prometheus::Family<prometheus::Counter> &feedChanges_;
    prometheus::Family<prometheus::Counter> &permits_;
    prometheus::Counter &attempts_;
    prometheus::Counter &retries_;
    prometheus::Counter &clientDisconnects_;
    prometheus::Histogram &firstOutput_;
    std::map<ExchangeId, MonoTime> arrivedAt_;
};

std::string storeStatusName(StoreStatus status)
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

void record(MetricFamilies &families, const RequestRead &event)
{
    families.requests_.Add({{"engine", event.request_.usage_ ? "yes" : "no"}}).Increment();
    families.arrivedAt_[event.request_.id_] = event.request_.arrivedAt_;
}

void record(MetricFamilies &families, const OutputStarted &event)
{
    const auto it = families.arrivedAt_.find(event.id_);
    if (it == families.arrivedAt_.end())
        return;
    families.firstOutput_.Observe(std::chrono::duration<double>(event.at_ - it->second).count());
    families.arrivedAt_.erase(it);
}

void record(MetricFamilies &families, const RelayAttemptEnded &event)
{
    families.attemptEnds_.Add({{"end", std::string(attemptEndCode(event.end_))}}).Increment();
}

void record(MetricFamilies &families, const PermitReplyReceived &event)
{
    families.permits_.Add({{"result", std::string(permitResultCode(event.reply_.result_))}})
        .Increment();
}

void record(MetricFamilies &families, const ClientDisconnected &event)
{
    families.clientDisconnects_.Increment();
    families.arrivedAt_.erase(event.id_);
}

void record(MetricFamilies &families, const StoreReplied &event)
{
    families.storeReplies_.Add({{"status", storeStatusName(event.reply_.status_)}}).Increment();
}

void record(MetricFamilies &families, const FeedAvailabilityChanged &event)
{
    families.feedChanges_.Add({{"feed", event.name_}, {"to", event.available_ ? "up" : "down"}})
        .Increment();
}

void record(MetricFamilies &families, const SendAttempt &command)
{
    families.attempts_.Increment();
    if (command.attempt_ > 1)
        families.retries_.Increment();
}

void record(MetricFamilies &families, const RespondToClient &command)
{
    families.refusals_
        .Add({{"status", std::to_string(command.status_)},
              {"reason", command.reason_},
              {"urgency", std::to_string(command.urgency_)}})
        .Increment();
    families.arrivedAt_.erase(command.id_);
}

template <typename Other>
void record(MetricFamilies &, const Other &)
{ }

std::shared_ptr<MetricFamilies>
makeMetricFamilies(const std::shared_ptr<prometheus::Registry> &registry)
{
    const auto counters
        = [&registry](const char *name,
                      const char *help) -> prometheus::Family<prometheus::Counter> & {
        return BuildCounter().Name(name).Help(help).Register(*registry);
    };
    const auto counter = [&counters](const char *name, const char *help) -> prometheus::Counter & {
        return counters(name, help).Add({});
    };
    auto &firstOutput = BuildHistogram()
                            .Name("tamarack_relay_first_output_seconds")
                            .Help("Time from the first byte of a request to its first output")
                            .Register(*registry)
                            .Add({}, latencyBuckets);
    return std::make_shared<MetricFamilies>(MetricFamilies {
        registry,
        counters("tamarack_relay_requests_total", "Requests that were read completely"),
        counters("tamarack_relay_attempt_ends_total", "Ended attempts by outcome"),
        counters("tamarack_relay_refusals_total",
                 "Responses generated by the daemon itself, by reason and urgency"),
        counters("tamarack_relay_store_replies_total", "Outcomes of store calls"),
        counters("tamarack_relay_feed_changes_total", "Changes of the availability of feeds"),
        counters("tamarack_relay_permit_replies_total",
                 "Replies to permit requests for instances with a request limit"),
        counter("tamarack_relay_attempts_total", "Requests sent to upstreams"),
        counter("tamarack_relay_repeats_total", "Attempts after the first of a request"),
        counter("tamarack_relay_clients_left_total",
                "Clients that disconnected before their response ended"),
        firstOutput,
        {}});
}

} // namespace

RelayMetricsPort makeRelayMetricsPort(const std::shared_ptr<prometheus::Registry> &registry)
{
    const std::shared_ptr<MetricFamilies> families = makeMetricFamilies(registry);
    auto &handling = BuildHistogram()
                         .Name("tamarack_relay_control_event_seconds")
                         .Help("Time to handle an event on the control thread")
                         .Register(*registry)
                         .Add({}, eventSecondsBuckets);
    const auto gauge = [&registry](const char *name, const char *help) {
        return &BuildGauge().Name(name).Help(help).Register(*registry).Add({});
    };
    auto *active = gauge("tamarack_relay_requests_active", "Requests without a complete response");
    auto *instances = gauge("tamarack_relay_instances", "Known upstream instances");
    auto *version = gauge("tamarack_relay_config_version", "Version of the active configuration");
    auto *daemons = gauge("tamarack_relay_daemons", "Live daemons");
    auto *available
        = gauge("tamarack_relay_tokens_available", "Granted tokens that can still be reserved");
    auto *limited = gauge("tamarack_relay_limited_instances",
                          "Upstream instances that state a request limit");
    auto *evacuated = gauge("tamarack_relay_evacuated_zones",
                            "Availability zones that an operator has evacuated");
    auto *skips = &BuildCounter()
                       .Name("tamarack_relay_evacuation_skips_total")
                       .Help("Requests whose best instance was in an evacuated zone")
                       .Register(*registry)
                       .Add({});
    auto &resumed = BuildCounter()
                        .Name("tamarack_relay_resumed_streams_total")
                        .Help("Streams that clients have taken up, by whether the software version "
                              "that began them is known")
                        .Register(*registry);
    auto *resumedKnown = &resumed.Add({{"origin", "known"}});
    auto *resumedUnknown = &resumed.Add({{"origin", "unknown"}});
    auto *versionGone = &BuildCounter()
                             .Name("tamarack_relay_streams_version_gone_total")
                             .Help("Streams that could not continue because no instance of their "
                                   "software version was left")
                             .Register(*registry)
                             .Add({});
    auto *cutOff = gauge("tamarack_relay_upstreams_unreachable",
                         "1 while this host reaches no upstream instance, otherwise 0");
    auto &takeovers = BuildCounter()
                          .Name("tamarack_relay_takeovers_total")
                          .Help("Requests that one daemon was given by another one that reaches no "
                                "upstream instance")
                          .Register(*registry);
    auto *handedOver = &takeovers.Add({{"direction", "to_peer"}});
    auto *takenOver = &takeovers.Add({{"direction", "from_peer"}});
    auto *cold = gauge("tamarack_relay_cold_instances",
                       "Upstream instances that get fewer requests because they may be cold");
    auto *dropped = gauge("tamarack_relay_log_lines_dropped", "Log lines dropped since the start");
    auto *delay = gauge("tamarack_relay_event_delay_seconds",
                        "Smoothed time that events wait for the control thread");
    auto *link = gauge("tamarack_relay_link_use_ratio",
                       "Smoothed share of the network link that requests and responses take");
    auto *loadReports = gauge("tamarack_relay_load_reports",
                              "Other daemons whose load at the upstream instances is known");
    auto *loadAge = gauge("tamarack_relay_load_age_seconds",
                          "Age of what is known of the load of other daemons; 0 if nothing is");
    auto *buffered = gauge("tamarack_relay_buffered_bytes",
                           "Memory that requests and responses take or have reserved");
    auto *bufferLimit = gauge("tamarack_relay_buffer_limit_bytes",
                              "Maximum of tamarack_relay_buffered_bytes; 0 if there is none");
    auto *memoryRefusals
        = gauge("tamarack_relay_memory_refusals",
                "Requests refused since the start because no memory was available for them");
    auto &memory = BuildGauge()
                       .Name("tamarack_relay_memory_bytes")
                       .Help("Memory held for clients, by what it is held for")
                       .Register(*registry);
    const auto memoryKind = [&memory](const char *kind) {
        return &memory.Add({{"kind", kind}});
    };
    auto *connections = memoryKind("connections");
    auto *requests = memoryKind("requests");
    auto *responses = memoryKind("responses");
    auto *events = memoryKind("events");
    auto *log = memoryKind("log");
    auto *idleClosed
        = gauge("tamarack_relay_idle_connections_closed",
                "Idle client connections closed since the start to make room for new ones");
    auto *unreadClosed
        = gauge("tamarack_relay_unread_connections_closed",
                "Client connections closed since the start because responses were not read");
    RelayMetricsPort port;
    port.event_ = [families](const RelayEvent &event) {
        std::visit([&families](const auto &concrete) { record(*families, concrete); }, event);
    };
    port.command_ = [families](const RelayCommand &command) {
        std::visit([&families](const auto &concrete) { record(*families, concrete); }, command);
    };
    port.onEventHandled_ = [families, &handling, active, instances, version, daemons, available,
                            limited, evacuated, skips, resumedKnown, resumedUnknown, versionGone,
                            cutOff, handedOver, takenOver, cold, dropped, delay, link, loadReports,
                            loadAge, buffered, bufferLimit, memoryRefusals, connections, requests,
                            responses, events, log, idleClosed,
                            unreadClosed](Micros time, const RelayGauges &gauges) {
        handling.Observe(std::chrono::duration<double>(time).count());
        active->Set(static_cast<double>(gauges.active_));
        instances->Set(static_cast<double>(gauges.instances_));
        version->Set(static_cast<double>(gauges.config_.value_));
        daemons->Set(gauges.daemons_);
        available->Set(static_cast<double>(gauges.tokensAvailable_.count_));
        limited->Set(static_cast<double>(gauges.limitedInstances_));
        evacuated->Set(static_cast<double>(gauges.evacuatedZones_));
        skips->Increment(static_cast<double>(gauges.evacuationSkips_) - skips->Value());
        const ResumedStreamCounts &streams = gauges.resumedStreams_;
        resumedKnown->Increment(static_cast<double>(streams.known_) - resumedKnown->Value());
        resumedUnknown->Increment(static_cast<double>(streams.unknown_) - resumedUnknown->Value());
        versionGone->Increment(static_cast<double>(streams.gone_) - versionGone->Value());
        cutOff->Set(gauges.isCutOff_ ? 1.0 : 0.0);
        handedOver->Increment(static_cast<double>(gauges.handedOver_) - handedOver->Value());
        takenOver->Increment(static_cast<double>(gauges.takenOver_) - takenOver->Value());
        cold->Set(static_cast<double>(gauges.coldInstances_));
        dropped->Set(static_cast<double>(gauges.droppedLogLines_));
        delay->Set(std::chrono::duration<double>(gauges.eventDelay_).count());
        link->Set(gauges.linkUse_);
        loadReports->Set(gauges.loadReports_);
        loadAge->Set(std::chrono::duration<double>(gauges.loadAge_).count());
        buffered->Set(static_cast<double>(gauges.buffers_.bytes_));
        bufferLimit->Set(static_cast<double>(gauges.buffers_.limitBytes_));
        memoryRefusals->Set(static_cast<double>(gauges.buffers_.refusals_));
        connections->Set(static_cast<double>(gauges.buffers_.connectionBytes_));
        requests->Set(static_cast<double>(gauges.buffers_.requestBytes_));
        responses->Set(static_cast<double>(gauges.buffers_.responseBytes_));
        events->Set(static_cast<double>(gauges.eventBytes_));
        log->Set(static_cast<double>(gauges.logBytes_));
        idleClosed->Set(static_cast<double>(gauges.buffers_.idleClosed_));
        unreadClosed->Set(static_cast<double>(gauges.buffers_.unreadClosed_));
    };
    return port;
}

} // namespace tamarack
