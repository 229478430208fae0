// Tests the metrics in the text format of Prometheus. Guards against counting a refusal as a
// dispatch and against gauges that are not updated.
#include "adapters/metrics/metrics.h"

#include <catch2/catch.hpp>

namespace tamarack {

TEST_CASE("metrics")
{
    const auto registry = std::make_shared<prometheus::Registry>();
    const MetricsPort port = makeMetricsPort(registry);
    const auto hasLine = [&registry](const std::string &line) {
        return formatMetrics(*registry).find(line + '\n') != std::string::npos;
    };

    SECTION("dispatches and refusals are counted separately")
    {
        port.onDecision_(Dispatch {});
        port.onDecision_(Refusal {RefusalReason::NoUpstream, Execution::NotRun, "", std::nullopt});
        CHECK(hasLine("tamarack_dispatches_total 1"));
        CHECK(hasLine("tamarack_refusals_total{execution=\"not_run\",reason=\"no_upstream\"} 1"));
    }
    SECTION("store calls and their outcomes")
    {
        port.onStoreCall_(ReadCall {});
        port.onStoreCall_(CompareAndSwapCall {});
        port.onStoreReply_(StoreStatus::Unknown);
        CHECK(hasLine("tamarack_store_calls_total{kind=\"read\"} 1"));
        CHECK(hasLine("tamarack_store_calls_total{kind=\"swap\"} 1"));
        CHECK(hasLine("tamarack_store_replies_total{status=\"unknown\"} 1"));
    }
    SECTION("gauges show the values after the last event")
    {
        port.onEventHandled_(Micros {50}, ControlGauges {3, 2, 1, BundleVersion {7}});
        port.onEventHandled_(Micros {50}, ControlGauges {4, 2, 0, BundleVersion {8}});
        CHECK(hasLine("tamarack_requests_in_flight 4"));
        CHECK(hasLine("tamarack_bundle_version 8"));
        CHECK(hasLine("tamarack_control_event_seconds_count 2"));
    }
}

} // namespace tamarack
