// Quarantine of prompt parts: prompts with many parts, and the bounds on memory. Guards against
// parts that are never cleared or never suspected because of their place or number, and against
// memory that a client or a peer can fill.
#include "quarantinefixture.h"

#include <cstdint>
#include <map>
#include <optional>

namespace tamarack {

namespace {

/// A prompt with parts that all requests share, one of which may be replaced by the deadly one.
RequestParts longPrompt(std::size_t length, std::optional<std::size_t> deadly, int number)
{
    RequestParts parts;
    for (std::size_t i = 0; i + 1 < length; ++i)
        parts.push_back(i == deadly ? "deadly" : "shared" + std::to_string(i));
    parts.push_back("own" + std::to_string(number));
    return parts;
}

/// Checks that the counts of each crash match the suspects.
void checkSuspectCounts(const Quarantine &daemon)
{
    std::map<std::size_t, std::size_t> suspects;
    std::map<std::size_t, std::size_t> cleared;
    for (const auto &[part, suspect] : daemon.suspects_) {
        for (std::size_t slot = 0; slot < maxCrashes; ++slot) {
            if (suspect.crashes_.test(slot))
                ++(suspect.cleared_.test(slot) ? cleared : suspects)[slot];
        }
    }
    for (const auto &[id, ended] : daemon.crashes_) {
        CHECK(ended.suspects_ == suspects[ended.slot_]);
        CHECK(ended.cleared_ == cleared[ended.slot_]);
    }
}

} // namespace

TEST_CASE("a part that crashes instances is found at any place of a prompt of any length")
{
    // Only so many parts of a prompt were cleared and suspected, counted from different ends: sound
    // parts were refused, and a part at the start never was.
    const std::size_t length = GENERATE(18U, 20U, 300U, 2700U);
    const double place = GENERATE(0.0, 0.25, 0.5, 1.0);
    const std::size_t deadly = static_cast<std::size_t>(place * static_cast<double>(length - 2));
    CAPTURE(length, deadly);
    QuarantineFleet fleet = makeQuarantineFleet(8);
    const auto serve = [&fleet, length] {
        for (std::size_t i = 0; i < 8; ++i)
            respond(fleet, i, longPrompt(length, std::nullopt, static_cast<int>(i)));
    };
    serve();
    for (int i = 0; i < 5; ++i) {
        crash(fleet, static_cast<std::size_t>(i), "i" + std::to_string(i),
              longPrompt(length, deadly, i));
        passTime(fleet, Millis {700});
        serve();
    }
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, longPrompt(length, deadly, 100)) == 8);
    CHECK(countRefusing(fleet, longPrompt(length, std::nullopt, 100)) == 0);
}

TEST_CASE("parts that no response has shown don't hide the part that crashes instances")
{
    // Each crash counted as one divided by all its suspects, which never sufficed with long
    // prompts.
    const std::size_t length = GENERATE(12U, 300U, 2700U);
    const std::size_t instances = GENERATE(2U, 3U, 8U);
    CAPTURE(length, instances);
    QuarantineFleet fleet = makeQuarantineFleet(8);
    for (int i = 0; i < 5; ++i) {
        RequestParts parts {"system", "deadly"};
        for (std::size_t part = 0; part < length; ++part)
            parts.push_back("fresh" + std::to_string(i) + '-' + std::to_string(part));
        serveSoundRequests(fleet, 40);
        const std::string number = std::to_string(static_cast<std::size_t>(i) % instances);
        crash(fleet, static_cast<std::size_t>(i), "i" + std::to_string(i), parts,
              "10.0.0." + number + ":80");
        passTime(fleet, Millis {700});
    }
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, {"system", "deadly", "own"}) == 8);
    CHECK(countRefusing(fleet, {"system", "own"}) == 0);
}

TEST_CASE("a part is found whose requests end all instances again as soon as they are back")
{
    // All crashes of one round are within the time in which they count once, and the next round is
    // at the same addresses.
    const std::size_t length = GENERATE(3U, 40U, 1000U);
    QuarantineFleet fleet = makeQuarantineFleet(8);
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < 10; ++i) {
            RequestParts parts {"system", "deadly"};
            for (std::size_t part = 0; part < length; ++part)
                parts.push_back("fresh" + std::to_string(round * 10 + i) + '-'
                                + std::to_string(part));
            crash(fleet, static_cast<std::size_t>(i) % 8, "i" + std::to_string(round * 10 + i),
                  parts, "10.0.0." + std::to_string(i) + ":80");
            passTime(fleet, Millis {40});
        }
        serveSoundRequests(fleet, 40);
        passTime(fleet, Seconds {3});
    }
    CHECK(countRefusing(fleet, {"system", "deadly", "own"}) == 8);
    CHECK(countRefusing(fleet, {"system", "own"}) == 0);
}

TEST_CASE("parts that can't be told from each other are not refused if they are many")
{
    // Instances end for another reason while no request is answered: all parts of a long prompt
    // were waiting on each of them.
    QuarantineFleet fleet = makeQuarantineFleet(8);
    for (int i = 0; i < 8; ++i) {
        crash(fleet, static_cast<std::size_t>(i), "i" + std::to_string(i),
              longPrompt(100, std::nullopt, i));
        passTime(fleet, Millis {700});
    }
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, longPrompt(100, std::nullopt, 100)) == 0);
}

TEST_CASE("a client that fills the list of seen parts does not have sound parts refused")
{
    // Once the list was full, no further part was recorded as seen.
    QuarantineFleet fleet = makeQuarantineFleet(8);
    const RequestParts rare {"rare", "own"};
    std::size_t number = 0;
    const auto fillLists = [&fleet, &number](std::size_t count) {
        constexpr std::size_t length = 16;
        for (const std::size_t end = number + count; number < end; number += length) {
            RequestParts parts;
            for (std::size_t part = 0; part <= length; ++part)
                parts.push_back("f" + std::to_string(number + part));
            for (std::size_t daemon = 0; daemon < 8; ++daemon)
                respond(fleet, daemon, parts);
        }
    };
    fillLists(fleet.settings_.maxSeenParts_ + 1);
    respond(fleet, 7, rare);
    fillLists(fleet.settings_.maxSeenParts_ / 4);
    for (int i = 0; i < 3; ++i) {
        crash(fleet, static_cast<std::size_t>(i), "i" + std::to_string(i), rare);
        passTime(fleet, Millis {700});
    }
    CHECK(countRefusing(fleet, rare) == 0);
}

TEST_CASE(
    "the part that crashes instances is found although more parts wait than can be remembered")
{
    // Each crash has about twice as many suspects as are kept, no two of them the same.
    QuarantineFleet fleet = makeQuarantineFleet(2);
    const int requests = 8;
    const std::size_t length = fleet.settings_.maxSuspectsPerCrash_ / 4;
    for (int i = 0; i < 16; ++i) {
        serveSoundRequests(fleet, 40);
        for (int request = 0; request < requests; ++request) {
            RequestParts parts {"system"};
            for (std::size_t part = 0; part < length; ++part)
                parts.push_back("fresh" + std::to_string(i * requests + request) + '-'
                                + std::to_string(part));
            if (request == 3)
                parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(length / 2), "deadly");
            parts.push_back("own");
            crash(fleet, static_cast<std::size_t>(request % 2), "i" + std::to_string(i), parts);
        }
        passTime(fleet, Millis {700});
    }
    passTime(fleet, bound);
    CHECK(countRefusing(fleet, {"system", "deadly", "own"}) == 2);
    CHECK(countRefusing(fleet, {"system", "own"}) == 0);
    CHECK(fleet.daemons_[0].verdicts_.size() == 1);
}

TEST_CASE("hostile requests can't fill the memory of the quarantine")
{
    QuarantineFleet fleet = makeQuarantineFleet(2);
    const QuarantineSettings &settings = fleet.settings_;
    for (int i = 0; i < 400; ++i) {
        RequestParts parts;
        for (int part = 0; part < 500; ++part)
            parts.push_back("p" + std::to_string(i) + '-' + std::to_string(part));
        respond(fleet, 0, parts);
        RequestParts others = parts;
        for (std::string &part : others)
            part += 'x';
        for (int request = 0; request < 5; ++request) {
            others.erase(others.end() - 20, others.end());
            crash(fleet, 0, "i" + std::to_string(i), others);
        }
        passTime(fleet, Millis {20});
    }
    passTime(fleet, Seconds {2});
    for (const Quarantine &daemon : fleet.daemons_) {
        CHECK(daemon.crashes_.size() <= maxCrashes);
        CHECK(daemon.seen_.current_.size() + daemon.seen_.previous_.size()
              <= settings.maxSeenParts_);
        CHECK(daemon.suspects_.size() <= settings.maxSuspects_);
        checkSuspectCounts(daemon);
    }
}

TEST_CASE("reports of any size keep the quarantine within its bounds")
{
    // A peer is at another version or hostile: many crashes, each with more parts than are kept.
    QuarantineFleet fleet = makeQuarantineFleet(2);
    const QuarantineSettings &settings = fleet.settings_;
    std::uint64_t part = 0;
    for (int i = 0; i < 200; ++i) {
        QuarantineReport report;
        ReportedCrash &crash = report.crashes_.emplace_back();
        crash.id_ = InstanceProcess {UpstreamId {"i" + std::to_string(i)}, WallTime {Millis {1}}};
        crash.address_ = std::to_string(i) + ":80";
        crash.age_ = Millis {i * 100 % 7000};
        for (std::size_t suspect = 0; suspect < settings.maxSuspectsPerCrash_ + 100; ++suspect)
            crash.suspects_.push_back(SuspectId {part += 0x9e3779b97f4a7c15});
        mergeReport(fleet.daemons_[0], settings, report, fleet.now_);
        passTime(fleet, Millis {20});
    }
    passTime(fleet, Seconds {2});
    for (const Quarantine &daemon : fleet.daemons_) {
        CHECK(daemon.crashes_.size() <= maxCrashes);
        CHECK(daemon.suspects_.size() <= settings.maxSuspects_);
        checkSuspectCounts(daemon);
    }
    CHECK(fleet.largestReport_ <= settings.maxPartsPerReport_);
}

} // namespace tamarack
