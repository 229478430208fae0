// Load of other daemons. Guards against a daemon that stops reporting and is taken for an idle one,
// against counting a daemon's own load twice, and against reports that are kept for ever.
#include "relayfixture.h"

namespace tamarack {

namespace {

const UpstreamId engine {"e1"};
constexpr MonoTime start {Seconds {1000}};

PeerAddress peer(const std::string &host, const std::string &zone = "near")
{
    return PeerAddress {HostId {host}, ZoneId {zone}, host + ":1", 0};
}

InstanceLoads loadsWith(const std::vector<PeerAddress> &peers)
{
    InstanceLoads loads;
    updateLoadPeers(loads, peer("self"), peers);
    return loads;
}

LoadList report(std::uint32_t running, const UpstreamId &id = engine)
{
    return std::make_shared<const std::vector<InstanceLoad>>(
        std::vector<InstanceLoad> {InstanceLoad {id, running, Tokens {std::int64_t {running} * 100},
                                                 Tokens {std::int64_t {running} * 1000}, 50.0}});
}

double runningOf(InstanceLoads &loads, MonoTime now, const UpstreamId &id = engine)
{
    loads.refreshedAt_.reset();
    refreshLoads(loads, LoadSettings {}, now);
    const auto known = loads.others_.find(id);
    return known == loads.others_.end() ? 0.0 : known->second.running_;
}

void record(InstanceLoads &loads, const std::string &host, std::uint32_t running, MonoTime now)
{
    recordLoadReport(loads, LoadSettings {}, HostId {host}, report(running), now);
}

} // namespace

TEST_CASE("a report has its full weight for 0.6 s and none after 2 s")
{
    const LoadSettings settings;
    CHECK(loadWeight(settings, Millis {0}) == 1.0);
    CHECK(loadWeight(settings, Millis {600}) == 1.0);
    CHECK(loadWeight(settings, Millis {1300}) == Approx(0.5));
    CHECK(loadWeight(settings, Millis {2000}) == 0.0);
    CHECK(loadWeight(settings, Millis {9000}) == 0.0);
}

TEST_CASE("reports of all daemons are added up")
{
    InstanceLoads loads = loadsWith({peer("a"), peer("b"), peer("c", "far")});
    record(loads, "a", 3, start);
    record(loads, "b", 5, start);
    record(loads, "c", 1, start);
    CHECK(runningOf(loads, start) == Approx(9.0));
    CHECK(loads.weight_ == 1.0);
    CHECK(loads.daemons_ == 3);
    CHECK(loads.others_.at(engine).prefillPerMs_ == Approx(50.0));
    // A newer report replaces the one before.
    record(loads, "a", 1, start);
    CHECK(runningOf(loads, start) == Approx(7.0));
}

TEST_CASE("a daemon that stops reporting counts less, not as idle")
{
    InstanceLoads loads = loadsWith({peer("a"), peer("b"), peer("c"), peer("d")});
    for (const char *host : {"a", "b", "c", "d"})
        record(loads, host, 10, start);
    CHECK(runningOf(loads, start) == Approx(40.0));
    // Three renew their reports with other counts; the fourth is cut off.
    for (Millis age {300}; age <= Millis {2400}; age += Millis {300}) {
        for (const char *host : {"a", "b", "c"})
            record(loads, host, 4, start + age);
        const double running = runningOf(loads, start + age);
        CHECK(running >= 16.0 - 1e-9);
        CHECK(running <= 22.0 + 1e-9);
    }
    CHECK(runningOf(loads, start + Millis {2400}) == Approx(16.0));
    CHECK(loads.reports_.size() == 3);
}

TEST_CASE("a zone that falls silent fades out")
{
    InstanceLoads loads
        = loadsWith({peer("a"), peer("f1", "far"), peer("f2", "far"), peer("f3", "far")});
    for (const char *host : {"f1", "f2", "f3"})
        record(loads, host, 10, start);
    double last = 1000.0;
    for (Millis age {0}; age <= Millis {2100}; age += Millis {100}) {
        record(loads, "a", 1, start + age);
        const double running = runningOf(loads, start + age);
        CHECK(running <= last + 1e-9);
        last = running;
    }
    CHECK(last == Approx(1.0));
}

TEST_CASE("if nobody of the own zone reports any more, the knowledge loses its weight")
{
    InstanceLoads loads = loadsWith({peer("a"), peer("b")});
    record(loads, "a", 10, start);
    record(loads, "b", 10, start);
    runningOf(loads, start + Millis {600});
    CHECK(loads.weight_ == 1.0);
    runningOf(loads, start + Millis {1900});
    CHECK(loads.weight_ > 0.0);
    CHECK(loads.weight_ < 0.5);
    CHECK(runningOf(loads, start + Millis {2000}) == 0.0);
    CHECK(loads.weight_ == 0.0);
    CHECK(loads.daemons_ == 0);
    CHECK(loads.reports_.empty());
}

TEST_CASE("the sums for a reply leave out the receiver")
{
    InstanceLoads loads = loadsWith({peer("a"), peer("b"), peer("c")});
    record(loads, "a", 3, start);
    record(loads, "b", 5, start);
    record(loads, "c", 7, start);
    const std::vector<InstanceLoad> own {InstanceLoad {engine, 2, Tokens {20}, Tokens {200}, 0.0}};
    const LoadOffer offer = makeLoadOffer(loads, LoadSettings {}, own, start);
    const OfferedLoads toA = offeredLoads(offer, HostId {"a"});
    REQUIRE(toA.loads_.size() == 1);
    CHECK(toA.loads_[0].running_ == 14);
    CHECK(toA.loads_[0].queuedPrefill_ == Tokens {1220});
    CHECK(toA.loads_[0].contextTokens_ == Tokens {12'200});
    CHECK(toA.daemons_ == 3);
    // A daemon that has not reported yet gets everything.
    const OfferedLoads toNew = offeredLoads(offer, HostId {"new"});
    CHECK(toNew.loads_[0].running_ == 17);
    CHECK(toNew.daemons_ == 4);
}

TEST_CASE("received sums age like reports, and those of the own zone are preferred")
{
    InstanceLoads loads = loadsWith({peer("observer"), peer("distant", "far")});
    const LoadSettings settings;
    recordReceivedLoads(loads, settings, HostId {"observer"}, *report(8), 5, start);
    recordReceivedLoads(loads, settings, HostId {"distant"}, *report(3), 5, start + Millis {300});
    CHECK(runningOf(loads, start + Millis {300}) == Approx(8.0));
    CHECK(loads.weight_ == 1.0);
    recordReceivedLoads(loads, settings, HostId {"distant"}, *report(3), 5, start + Millis {900});
    CHECK(runningOf(loads, start + Millis {900}) == Approx(3.0));
    runningOf(loads, start + Millis {2200});
    CHECK(loads.weight_ == Approx(0.5));
    CHECK(runningOf(loads, start + Millis {2900}) == 0.0);
    CHECK(loads.weight_ == 0.0);
    // An observer without knowledge says so.
    recordReceivedLoads(loads, settings, HostId {"observer"}, {}, 0, start + Millis {2900});
    CHECK(!loads.received_);
}

TEST_CASE("what is kept is bounded")
{
    InstanceLoads loads = loadsWith({peer("a")});
    const LoadSettings settings;
    record(loads, "stranger", 3, start);
    CHECK(loads.reports_.empty());
    const std::vector<InstanceLoad> many(settings.maxEntries_ + 1);
    recordLoadReport(loads, settings, HostId {"a"},
                     std::make_shared<const std::vector<InstanceLoad>>(many), start);
    CHECK(loads.reports_.empty());
    recordReceivedLoads(loads, settings, HostId {"a"}, many, 3, start);
    CHECK(!loads.received_);
    record(loads, "a", 3, start);
    updateLoadPeers(loads, peer("self"), {peer("b")});
    CHECK(loads.reports_.empty());
    ChoiceState choice;
    for (std::uint32_t i = 0; i < 300; ++i)
        choice.instanceStats_[UpstreamId {"i" + std::to_string(i)}].running_ = i;
    const std::vector<InstanceLoad> own = ownLoads(choice, settings);
    CHECK(own.size() == settings.maxEntries_);
    const bool busiest = std::all_of(own.begin(), own.end(),
                                     [](const InstanceLoad &load) { return load.running_ >= 172; });
    CHECK(busiest);
}

} // namespace tamarack
