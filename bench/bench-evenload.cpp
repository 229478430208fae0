// Compares ways to balance engines by old knowledge, for docs/design/even-load.md: a simulation
// without a network that uses the relay's choice of an instance.
//
// One zone has 30 engines, a quarter of which have 0.55 and the others 1.2 times the usual speed.
// Each daemon learns the load of the others at intervals, as it was when they were sent.
#include "adapters/peers/messagecodec.h"
#include "core/hash.h"
#include "core/relay/relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>

namespace tamarack {

namespace {

constexpr int engines = 30;
constexpr std::uint32_t slots = 16;
constexpr double requestsPerSecond = 230.0;
constexpr MonoTime start {Seconds {1000}};
constexpr MonoTime counted {Seconds {1010}};
constexpr MonoTime finish {Seconds {1050}};
constexpr PreciseMicros objective {Millis {300}};
constexpr Seconds prefixLifetime {20};
constexpr int prefixes = 60;
constexpr Tokens sharedTokens {3000};
constexpr Tokens ownTokens {500};
constexpr double usualTokensPerMs = 40.0;
constexpr PreciseMicros usualHold {Millis {1500}};

enum class Policy { Before, Lowest, TwoRandom, Subset, Room, Permits, Responses, Current };

struct Engine
{
    double speed_ = 1.0;
    MonoTime readsUntil_ {};
    std::priority_queue<MonoTime, std::vector<MonoTime>, std::greater<>> ends_;
    std::map<int, MonoTime> prefixes_;
    /// Counts of all daemons.
    LoadSum total_;
};

struct Daemon
{
    ChoiceState state_;
    InstanceLoads loads_;
};

enum class Kind { Arrival, FirstOutput, End, Renewal, Sample };

struct Event
{
    MonoTime at_;
    Kind kind_ = Kind::Arrival;
    std::size_t daemon_ = 0;
    std::size_t engine_ = 0;
    MonoTime sentAt_ {};
    Choice choice_ {};
    bool operator>(const Event &other) const { return at_ > other.at_; }
};

struct Run
{
    Policy policy_ = Policy::Current;
    Millis age_ {};
    ChoiceSettings settings_;
    RelayService service_;
    InstanceDirectory directory_;
    std::vector<Engine> engines_ {engines};
    std::vector<Daemon> daemons_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::mt19937_64 random_ {1};
    int requests_ = 0;
    int inTime_ = 0;
    int readAgain_ = 0;
    int samples_ = 0;
    double busiestToMean_ = 0.0;
};

UpstreamId idOf(std::size_t engine)
{
    return UpstreamId {fmt::format("engine-{:02}", engine)};
}

double uniform(Run &run)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(run.random_);
}

MonoTime later(MonoTime time, PreciseMicros delay)
{
    return time + std::chrono::duration_cast<Micros>(delay);
}

/// Gives a daemon the present counts of the others at one engine.
void renew(Run &run, Daemon &daemon, std::size_t engine)
{
    const LoadSum &total = run.engines_[engine].total_;
    const InstanceStats &own = daemon.state_.instanceStats_[idOf(engine)];
    LoadSum &others = daemon.loads_.others_[idOf(engine)];
    others.running_ = total.running_ - own.running_;
    others.queuedPrefill_ = total.queuedPrefill_ - static_cast<double>(own.queuedPrefill_.count_);
    others.contextTokens_ = total.contextTokens_ - static_cast<double>(own.contextTokens_.count_);
    daemon.loads_.weight_ = 1.0;
}

/// Returns the engines that a way excludes for a request.
std::set<UpstreamId> excludedBy(const Run &run, std::size_t daemon, const RequestId &request)
{
    std::set<UpstreamId> excluded;
    const auto keepFirst = [&excluded](const std::string &key, std::size_t kept) {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t i = 0; i < engines; ++i)
            ranked.emplace_back(rendezvousWeight(key, idOf(i).value_), i);
        std::sort(ranked.begin(), ranked.end());
        for (std::size_t i = kept; i < ranked.size(); ++i)
            excluded.insert(idOf(ranked[i].second));
    };
    if (run.policy_ == Policy::TwoRandom)
        keepFirst(request.value_, 2);
    if (run.policy_ == Policy::Subset)
        keepFirst("daemon" + std::to_string(daemon), engines / 3);
    if (run.policy_ == Policy::Permits) {
        const std::size_t share = std::max<std::size_t>(slots / run.daemons_.size(), 1);
        for (const auto &[id, stats] : run.daemons_[daemon].state_.instanceStats_) {
            if (stats.running_ >= share)
                excluded.insert(id);
        }
    }
    return excluded.size() == engines ? std::set<UpstreamId> {} : excluded;
}

void arrive(Run &run, std::size_t sender, MonoTime now)
{
    const int prefix = static_cast<int>(uniform(run) * uniform(run) * prefixes);
    RelayRequest request;
    request.request_ = RequestId {fmt::format("request-{}", run.random_())};
    request.usage_ = PromptUsage {sharedTokens + ownTokens,
                                  Tokens {200},
                                  {PromptPart {fmt::format("prefix-{}", prefix), sharedTokens},
                                   PromptPart {request.request_.value_, ownTokens}}};
    Daemon &daemon = run.daemons_[sender];
    ChoiceQuery query;
    query.request_ = &request;
    query.service_ = &run.service_;
    query.zone_ = ZoneId {"z"};
    query.zoneDaemons_ = static_cast<std::uint32_t>(run.daemons_.size());
    query.excluded_ = excludedBy(run, sender, request.request_);
    query.acceptsLongWait_ = true;
    const bool shares = run.policy_ != Policy::Before && run.policy_ != Policy::Permits;
    query.load_ = shares ? &daemon.loads_ : nullptr;
    const auto choice = chooseInstance(daemon.state_, run.settings_, run.directory_, query, now);
    if (!choice)
        return;
    recordSent(daemon.state_, run.settings_, *choice, request, WallTime {}, now);
    const auto number = static_cast<std::size_t>(std::stoi(choice->instance_.value_.substr(7)));
    Engine &engine = run.engines_[number];
    engine.total_.running_ += 1.0;
    engine.total_.queuedPrefill_ += static_cast<double>(choice->uncached_.count_);
    engine.total_.contextTokens_ += static_cast<double>(choice->contextTokens_.count_);
    MonoTime begin = std::max(now, engine.readsUntil_);
    while (!engine.ends_.empty() && (engine.ends_.top() <= now || engine.ends_.size() >= slots)) {
        begin = std::max(begin, engine.ends_.top());
        engine.ends_.pop();
    }
    const auto cached = engine.prefixes_.find(prefix);
    const bool reads = cached == engine.prefixes_.end() || now - cached->second > prefixLifetime;
    engine.prefixes_[prefix] = now;
    const Tokens tokens = reads ? sharedTokens + ownTokens : ownTokens;
    const PreciseMicros reading = PreciseMicros {Millis {1}}
        * (static_cast<double>(tokens.count_) / (usualTokensPerMs * engine.speed_));
    const MonoTime first = later(begin, reading);
    const MonoTime end = later(first, usualHold / engine.speed_ * (0.5 + uniform(run)));
    engine.readsUntil_ = first;
    engine.ends_.push(end);
    run.events_.push({first, Kind::FirstOutput, sender, number, now, *choice});
    run.events_.push({end, Kind::End, sender, number, now, *choice});
    if (now < counted)
        return;
    ++run.requests_;
    run.inTime_ += first - now <= objective ? 1 : 0;
    run.readAgain_ += reads ? 1 : 0;
}

void sample(Run &run)
{
    double sum = 0.0;
    double busiest = 0.0;
    for (const Engine &engine : run.engines_) {
        sum += engine.total_.running_;
        busiest = std::max(busiest, engine.total_.running_);
    }
    ++run.samples_;
    run.busiestToMean_ += busiest * engines / std::max(sum, 1.0);
}

void handle(Run &run, const Event &event)
{
    Daemon &daemon = run.daemons_[event.daemon_];
    LoadSum &total = run.engines_[event.engine_].total_;
    switch (event.kind_) {
    case Kind::Arrival: {
        const bool heavy = uniform(run) < 1.0 / 3.0;
        const double others = static_cast<double>(run.daemons_.size()) - 1.0;
        arrive(run, heavy ? 0 : 1 + static_cast<std::size_t>(uniform(run) * others), event.at_);
        const double wait = -std::log(1.0 - uniform(run)) / requestsPerSecond;
        run.events_.push({later(event.at_, std::chrono::duration<double>(wait)), Kind::Arrival});
        break;
    }
    case Kind::FirstOutput:
        recordFirstOutput(daemon.state_, run.settings_, event.choice_, event.at_ - event.sentAt_,
                          std::chrono::duration_cast<Millis>(objective), event.at_);
        total.queuedPrefill_ -= static_cast<double>(event.choice_.uncached_.count_);
        if (run.policy_ == Policy::Responses)
            renew(run, daemon, event.engine_);
        break;
    case Kind::End:
        recordEnded(daemon.state_, run.settings_, event.choice_, InstanceOutcome::Success, true,
                    event.at_);
        total.running_ -= 1.0;
        total.contextTokens_ -= static_cast<double>(event.choice_.contextTokens_.count_);
        break;
    case Kind::Renewal:
        for (std::size_t i = 0; i < engines; ++i)
            renew(run, daemon, i);
        // The mean age is half the time between two renewals.
        run.events_.push({event.at_ + 2 * run.age_, Kind::Renewal, event.daemon_});
        break;
    case Kind::Sample:
        if (event.at_ >= counted)
            sample(run);
        run.events_.push({event.at_ + Millis {250}, Kind::Sample});
        break;
    }
}

/// Returns the bytes a second that sharing the load adds to what a daemon sends and receives, with
/// one request for documents every 300 ms.
double bytesPerSecond(const Run &run, std::size_t daemon)
{
    const auto size = [](const PeerMessage &message) {
        return static_cast<double>(
            encodePeerMessage(PeerEnvelope {HostId {"host"}, message}).size());
    };
    DocumentsRequest request {"127.0.0.1:1", {}};
    DocumentsReply reply;
    const double plain = size(request) + size(reply);
    const Daemon &sender = run.daemons_[daemon];
    request.loads_ = ownLoads(sender.state_, LoadSettings {});
    for (const auto &[id, sum] : sender.loads_.others_)
        reply.loads_.push_back({id, static_cast<std::uint32_t>(sum.running_),
                                Tokens {static_cast<std::int64_t>(sum.queuedPrefill_)},
                                Tokens {static_cast<std::int64_t>(sum.contextTokens_)}, 44.7});
    reply.loadReporters_ = static_cast<std::uint32_t>(run.daemons_.size());
    return (size(request) + size(reply) - plain) / 0.3;
}

void simulate(Policy policy, const char *name, std::size_t daemons, Millis age)
{
    Run run;
    run.policy_ = policy;
    run.age_ = age;
    run.service_ = {ServiceId {"llm"}, 370, EngineSpec {slots, Tokens {400'000}, 3}};
    run.daemons_.resize(daemons);
    if (policy == Policy::Lowest || policy == Policy::TwoRandom || policy == Policy::Subset) {
        run.settings_.renewedShare_ = 0.0;
        run.settings_.minNearBest_ = PreciseMicros {0.001};
    }
    if (policy == Policy::Room)
        run.settings_.renewedShare_ = 100.0;
    for (std::size_t i = 0; i < engines; ++i) {
        Instance instance {idOf(i), run.service_.id_, "a:1", ZoneId {"z"}, slots};
        upsertInstance(run.directory_, ListedInstance {instance, Revision {1}});
        run.engines_[i].speed_ = i % 4 == 0 ? 0.55 : 1.2;
    }
    run.events_.push({start, Kind::Arrival});
    run.events_.push({start, Kind::Sample});
    const bool renews
        = policy != Policy::Before && policy != Policy::Permits && policy != Policy::Responses;
    for (std::size_t i = 0; renews && i < daemons; ++i)
        run.events_.push({later(start, 2 * age * uniform(run)), Kind::Renewal, i});
    while (run.events_.top().at_ < finish) {
        const Event event = run.events_.top();
        run.events_.pop();
        handle(run, event);
    }
    fmt::print("| {} | {} | {:.1f} | {:.2f} | {:.1f} | {:.1f} | {:.0f} |\n", name, daemons,
               std::chrono::duration<double>(age).count(), run.busiestToMean_ / run.samples_,
               100.0 * run.inTime_ / run.requests_, 100.0 * run.readAgain_ / run.requests_,
               renews ? bytesPerSecond(run, 1) : 0.0);
    std::fflush(stdout);
}

} // namespace

} // namespace tamarack

int main()
{
    using namespace tamarack;
    const std::pair<Policy, const char *> ways[] {
        {Policy::Before, "own counts x daemons"},  {Policy::Responses, "what responses say"},
        {Policy::Permits, "permits ahead"},        {Policy::Lowest, "shared counts, lowest"},
        {Policy::TwoRandom, "better of 2 random"}, {Policy::Subset, "subset of a third"},
        {Policy::Room, "in proportion to room"},   {Policy::Current, "shared counts, near best"}};
    fmt::print(
        "| way | daemons | age s | busiest/mean | in time % | shared parts read % | bytes/s |\n");
    fmt::print("|---|---|---|---|---|---|---|\n");
    for (const auto &[policy, name] : ways) {
        for (const std::size_t daemons : {8, 69, 195}) {
            const bool aged = policy != Policy::Before && policy != Policy::Permits
                && policy != Policy::Responses;
            for (const Millis age : {Millis {100}, Millis {500}, Millis {2000}}) {
                if (aged || age == Millis {500})
                    simulate(policy, name, daemons, age);
            }
        }
    }
}
