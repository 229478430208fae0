// Metrics of a relay daemon. Labels take values of fixed sets only, so their number is bounded.
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

/// Upper bounds of latencies, in seconds; objectives lie between 0.1 and 1.
const prometheus::Histogram::BucketBoundaries latencyBounds {0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                             0.5,  0.8,   1.2,  2.0, 4.0, 8.0};
/// Upper bounds of the time that the control thread needs for an event, in seconds.
const prometheus::Histogram::BucketBoundaries handlingBounds {0.00001, 0.0001, 0.001, 0.01, 0.1};

/// Families and the times at which attempts were sent. The control thread alone uses it.
struct Families
{
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &ends_;
    prometheus::Family<prometheus::Counter> &refusals_;
    prometheus::Family<prometheus::Counter> &storeReplies_;
    prometheus::Family<prometheus::Counter> &feeds_;
    prometheus::Counter &attempts_;
    prometheus::Counter &repeats_;
    prometheus::Counter &clientsLeft_;
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

void record(Families &families, const RequestRead &event)
{
    families.requests_.Add({{"engine", event.request_.usage_ ? "yes" : "no"}}).Increment();
    families.arrivedAt_[event.request_.id_] = event.request_.arrivedAt_;
}

void record(Families &families, const OutputStarted &event)
{
    const auto it = families.arrivedAt_.find(event.id_);
    if (it == families.arrivedAt_.end())
        return;
    families.firstOutput_.Observe(std::chrono::duration<double>(event.at_ - it->second).count());
    families.arrivedAt_.erase(it);
}

void record(Families &families, const RelayAttemptEnded &event)
{
    families.ends_.Add({{"end", std::string(attemptEndCode(event.end_))}}).Increment();
}

void record(Families &families, const ClientDisconnected &event)
{
    families.clientsLeft_.Increment();
    families.arrivedAt_.erase(event.id_);
}

void record(Families &families, const StoreReplied &event)
{
    families.storeReplies_.Add({{"status", storeStatusName(event.reply_.status_)}}).Increment();
}

void record(Families &families, const FeedAvailabilityChanged &event)
{
    families.feeds_.Add({{"feed", event.name_}, {"to", event.available_ ? "up" : "down"}})
        .Increment();
}

void record(Families &families, const SendAttempt &command)
{
    families.attempts_.Increment();
    if (command.attempt_ > 1)
        families.repeats_.Increment();
}

void record(Families &families, const RespondToClient &command)
{
    families.refusals_
        .Add({{"status", std::to_string(command.status_)}, {"reason", command.reason_}})
        .Increment();
    families.arrivedAt_.erase(command.id_);
}

template <typename Other>
void record(Families &, const Other &)
{ }

std::shared_ptr<Families> makeFamilies(const std::shared_ptr<prometheus::Registry> &registry)
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
                            .Add({}, latencyBounds);
    return std::make_shared<Families>(Families {
        registry,
        counters("tamarack_relay_requests_total", "Requests that were read whole"),
        counters("tamarack_relay_attempt_ends_total", "How exchanges with upstreams ended"),
        counters("tamarack_relay_refusals_total", "Answers of the daemon itself by reason"),
        counters("tamarack_relay_store_replies_total", "Outcomes of ledger calls"),
        counters("tamarack_relay_feed_changes_total", "Feeds that the store stopped or began"),
        counter("tamarack_relay_attempts_total", "Requests sent to upstreams"),
        counter("tamarack_relay_repeats_total", "Requests sent to a further upstream"),
        counter("tamarack_relay_clients_left_total", "Clients that left before their answer ended"),
        firstOutput,
        {}});
}

} // namespace

RelayMetricsPort makeRelayMetricsPort(const std::shared_ptr<prometheus::Registry> &registry)
{
    const std::shared_ptr<Families> families = makeFamilies(registry);
    auto &handling = BuildHistogram()
                         .Name("tamarack_relay_control_event_seconds")
                         .Help("Time the control thread needs for one event")
                         .Register(*registry)
                         .Add({}, handlingBounds);
    const auto gauge = [&registry](const char *name, const char *help) {
        return &BuildGauge().Name(name).Help(help).Register(*registry).Add({});
    };
    auto *active = gauge("tamarack_relay_requests_active", "Requests without final answer");
    auto *instances = gauge("tamarack_relay_instances", "Known upstream instances");
    auto *version = gauge("tamarack_relay_config_version", "Version of the configuration in force");
    auto *daemons = gauge("tamarack_relay_daemons", "Daemons that are alive");
    auto *available
        = gauge("tamarack_relay_tokens_available", "Armed tokens not reserved or spent");
    auto *dropped = gauge("tamarack_relay_log_lines_dropped", "Log lines dropped since the start");
    RelayMetricsPort port;
    port.event_ = [families](const RelayEvent &event) {
        std::visit([&families](const auto &concrete) { record(*families, concrete); }, event);
    };
    port.command_ = [families](const RelayCommand &command) {
        std::visit([&families](const auto &concrete) { record(*families, concrete); }, command);
    };
    port.onEventHandled_ = [families, &handling, active, instances, version, daemons, available,
                            dropped](Micros time, const RelayGauges &gauges) {
        handling.Observe(std::chrono::duration<double>(time).count());
        active->Set(static_cast<double>(gauges.active_));
        instances->Set(static_cast<double>(gauges.instances_));
        version->Set(static_cast<double>(gauges.config_.value_));
        daemons->Set(gauges.daemons_);
        available->Set(static_cast<double>(gauges.tokensAvailable_.count_));
        dropped->Set(static_cast<double>(gauges.droppedLogLines_));
    };
    return port;
}

} // namespace tamarack
