// Settings of a relay daemon. Guards against settings that are half applied or rejected without the
// name of the field, and against watches that outlast the time in which changes must be known.
#include "adapters/json/json.h"

#include <catch2/catch.hpp>

#include <string>

namespace tamarack {

namespace {

std::string document(const std::string &store, const std::string &limits = "{}")
{
    return R"({"host": "h", "zone": "z", "listen": {"clients": "127.0.0.1:1", "local": "127.0.0.1:2"},)"
           R"("store": {"address": "127.0.0.1:3")"
        + store + R"(}, "limits": )" + limits + "}";
}

ValidationErrors errorsOf(const std::string &text)
{
    ValidationErrors errors;
    parseRelaySettings(text, errors);
    return errors;
}

} // namespace

TEST_CASE("all changes are known within the settle time")
{
    // A watch that started while the store dropped its history missed a configuration until it
    // ended, 4 s later.
    for (const int settle : {3000, 4000, 5000}) {
        ValidationErrors errors;
        const RelaySettings control = relayControlSettings(
            parseRelaySettings(document(R"(, "settleMs": )" + std::to_string(settle)), errors));
        CHECK(errors.empty());
        const DocumentSyncSettings &sync = control.sync_;
        constexpr Millis batch {400};
        CHECK(sync.watchTimeout_ + 2 * sync.requestInterval_ + batch < Millis {settle});
    }
}

TEST_CASE("a daemon reads the store itself before the time to apply a change is over")
{
    for (const int apply : {2000, 3000, 4000}) {
        ValidationErrors errors;
        const std::string bounds = R"(, "settleMs": 5000, "applyMs": )" + std::to_string(apply);
        const RelaySettings control = relayControlSettings(
            parseRelaySettings(document(bounds, R"({"drainMs": 4000})"), errors));
        CHECK(errors.empty());
        const DocumentSyncSettings &sync = control.sync_;
        constexpr Millis readTime {500};
        CHECK(sync.freshLifetime_ + sync.maxFollowDelay_ + readTime <= Millis {apply});
        // Otherwise daemons would follow the store although their observers reach it.
        CHECK(sync.contactInterval_ + 2 * sync.requestInterval_ < sync.freshLifetime_);
    }
}

TEST_CASE("the capacity of a host follows its processor cores")
{
    ValidationErrors errors;
    const RelaySettings control
        = relayControlSettings(parseRelaySettings(document("", R"({"cores": 0.25})"), errors));
    CHECK(errors.empty());
    CHECK(control.capacity_ == 250);
}

TEST_CASE("the bound for cold instances reaches the control state")
{
    // Without it, the bound was the bare rate and a part of what is permitted was not used.
    RelayDaemonSettings settings;
    CHECK(relayControlSettings(settings).cold_.overrun_ == Approx(1.0));
    CHECK(relayControlSettings(settings).cold_.slack_ == Approx(0.0));
    settings.coldOverrun_ = 1.5;
    settings.coldSlack_ = 5.0;
    const RelaySettings control = relayControlSettings(settings);
    CHECK(control.cold_.overrun_ == Approx(1.5));
    CHECK(control.cold_.slack_ == Approx(5.0));
    // A permit that is used later than the arithmetic of the bound assumes would break it.
    CHECK(control.cold_.useWithin_ >= control.limits_.replyTimeout_ + control.connectTimeout_);
}

TEST_CASE("the network link of a host is converted to bytes per second")
{
    ValidationErrors errors;
    const RelaySettings control
        = relayControlSettings(parseRelaySettings(document("", R"({"linkMbps": 10.0})"), errors));
    CHECK(errors.empty());
    CHECK(control.overload_.linkBytesPerSecond_ == Approx(1'250'000));
    CHECK(errorsOf(document("", R"({"linkMbps": -1})")).size() == 1);
}

TEST_CASE("evacuations and regions are read, and evacuations are off without their time")
{
    const std::string start = R"({"host": "h", "zone": "z", "listen": {"clients": "127.0.0.1:1",
        "local": "127.0.0.1:2"}, "store": {"address": "127.0.0.1:3", "settleMs": 4500}, )";
    ValidationErrors errors;
    const RelayDaemonSettings settings = parseRelaySettings(
        start + R"("evacuation": {"applyMs": 5000}, "regions": {"z": "north"}})", errors);
    CHECK(formatValidationErrors(errors).empty());
    CHECK(settings.evacuationTime_ == Millis {5000});
    const RelaySettings control = relayControlSettings(settings);
    CHECK(control.evacuationSettleTime_ == Millis {4500});
    CHECK(control.regions_.at(ZoneId {"z"}) == RegionId {"north"});
    const std::string off = GENERATE(as<std::string> {}, R"("evacuation": {"applyMs": } })",
                                     R"("evacuation": {"applyMs": null}, "regions": null})",
                                     R"("evacuation": null})", R"("regions": })");
    CHECK(!parseRelaySettings(start + off, errors).evacuationTime_);
    CHECK(formatValidationErrors(errors).empty());
}

TEST_CASE("a field without a value has its default")
{
    // The platform renders a field that it doesn't have as nothing. The daemon ended at its start.
    const std::string start = R"({"host": "h", "zone": "z", "listen": {"clients": "127.0.0.1:1",
        "local": "127.0.0.1:2"}, "store": {"address": "127.0.0.1:3", )";
    const std::string store
        = GENERATE(as<std::string> {}, R"("settleMs": , "applyMs": 1500)",
                   R"("applyMs": 1500, "settleMs":)", R"("applyMs":1500.0,"settleMs": null)");
    ValidationErrors errors;
    const RelayDaemonSettings settings = parseRelaySettings(start + store + "}}", errors);
    CHECK(formatValidationErrors(errors).empty());
    CHECK(settings.settleTime_ == RelayDaemonSettings {}.settleTime_);
    CHECK(settings.applyTime_ == Millis {1500});
}

TEST_CASE("a required field without a value, and text that looks like one, are told apart")
{
    ValidationErrors errors;
    const RelayDaemonSettings settings = parseRelaySettings(
        R"({"host": "a: , \": }", "zone": , "listen": {"clients": "127.0.0.1:1",
            "local": "127.0.0.1:2"}, "store": {"address": "127.0.0.1:3", "settleMs": 3000.5}})",
        errors);
    CHECK(settings.host_.value_ == "a: , \": }");
    CHECK(formatValidationErrors(errors)
          == "zone: is missing; add it\n"
             "store.settleMs: is not an integer; write a whole number without quotes\n");
}

TEST_CASE("invalid settings are reported with their field")
{
    CHECK(errorsOf(document("")).empty());
    const ValidationErrors settle = errorsOf(document(R"(, "settleMs": 0)"));
    REQUIRE(settle.size() == 1);
    CHECK(settle.front().path_ == "store.settleMs");
    const ValidationErrors cores = errorsOf(document("", R"({"cores": -1})"));
    REQUIRE(cores.size() == 1);
    CHECK(cores.front().path_ == "limits.cores");
    const ValidationErrors unknown = errorsOf(document(R"(, "shards": 4)"));
    REQUIRE(unknown.size() == 1);
    CHECK(unknown.front().path_ == "store.shards");
}

} // namespace tamarack
