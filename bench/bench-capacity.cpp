// Measures how resource use scales, for docs/CAPACITY.md: memory and parse time per budget of a
// bundle, size and encoding time of stored shards, and CPU time of the control state machine per
// request. Single-threaded, with a fixed load.
#include "adapters/json/json.h"
#include "adapters/shardcodec/shardcodec.h"
#include "core/core.h"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>
#include <deque>
#include <iterator>

namespace tamarack {

namespace {

using std::chrono::nanoseconds;

/// CPU time of this thread, which doesn't depend on other load on the host.
nanoseconds threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds {time.tv_sec} + nanoseconds {time.tv_nsec};
}

/// Allocated heap bytes, including memory-mapped blocks.
std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double perItem(double total, std::size_t items)
{
    return total / static_cast<double>(items);
}

double micros(nanoseconds time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

std::string bundleDocument(std::size_t budgets)
{
    constexpr std::size_t accounts = 220;
    std::string text = R"({"accounts":[)";
    for (std::size_t i = 0; i < accounts; ++i)
        text += fmt::format(
            R"({}{{"id":"account-{}","keys":[{{"sha256":"{:064x}","budget":"budget-{:08}"}}]}})",
            i == 0 ? "" : ",", i, i, i);
    text += R"(],"budgets":[)";
    for (std::size_t i = 0; i < budgets; ++i)
        text += fmt::format(R"({}{{"id":"budget-{:08}","account":"account-{}","funded":{}}})",
                            i == 0 ? "" : ",", i, i % accounts, 1'000'000 + i);
    text += R"(],"upstreams":[{"id":"e1","zone":"z1","address":"127.0.0.1:1","models":["m"]}]})";
    return text;
}

void measureBundle(std::size_t budgets)
{
    const std::string text = bundleDocument(budgets);
    const std::size_t heapBefore = heapBytes();
    const nanoseconds timeBefore = threadTime();
    ValidationErrors errors;
    const Bundle bundle = parseBundle(text, errors);
    const nanoseconds time = threadTime() - timeBefore;
    const std::size_t heap = heapBytes() - heapBefore;
    fmt::print("bundle budgets={} faults={} document_bytes_per_budget={:.1f} "
               "heap_bytes_per_budget={:.1f} parse_us_per_budget={:.2f}\n",
               budgets, errors.size(), perItem(static_cast<double>(text.size()), budgets),
               perItem(static_cast<double>(heap), budgets), perItem(micros(time), budgets));
}

LedgerShard makeLedgerShard(std::size_t budgets, std::size_t grants)
{
    LedgerShard shard;
    for (std::size_t i = 0; i < budgets; ++i) {
        BudgetRecord &record = shard.budgets_[BudgetId {fmt::format("budget-{:08}", i)}];
        record.funded_ = Tokens {1'000'000};
        record.fundingVersion_ = BundleVersion {1900};
        record.charged_ = Tokens {345'678};
        for (std::size_t g = 0; g < grants; ++g) {
            Grant &grant
                = record.grants_[GrantId {fmt::format("entry-{:03}-0123456789abcdef.{}", g, i)}];
            grant.holder_ = HolderId {fmt::format("entry-{:03}-0123456789abcdef", g)};
            grant.authorized_ = Tokens {40'000};
            grant.settled_ = Tokens {20'000};
        }
    }
    return shard;
}

void measureLedgerShard(std::size_t budgets, std::size_t grants)
{
    const LedgerShard shard = makeLedgerShard(budgets, grants);
    nanoseconds start = threadTime();
    const std::string bytes = encodeStoredValue(shard);
    const nanoseconds encode = threadTime() - start;
    start = threadTime();
    const bool decoded = decodeStoredValue(StoredKind::LedgerShard, bytes).has_value();
    const nanoseconds decode = threadTime() - start;
    start = threadTime();
    const LedgerShard copy = shard;
    const nanoseconds copied = threadTime() - start;
    fmt::print(
        "ledger_shard budgets={} grants_per_budget={} ok={} bytes={} bytes_per_budget={:.1f} "
        "encode_us={:.0f} decode_us={:.0f} copy_us={:.0f}\n",
        budgets, grants, decoded && copy.budgets_.size() == budgets, bytes.size(),
        perItem(static_cast<double>(bytes.size()), budgets), micros(encode), micros(decode),
        micros(copied));
}

void measureRequestShard(std::size_t records)
{
    RequestShard shard;
    for (std::size_t i = 0; i < records; ++i) {
        RequestRecord &record = shard.records_[RequestId {fmt::format("r{:032x}", i)}];
        record.phase_ = RequestPhase::Billed;
        record.holder_ = HolderId {"entry-001-0123456789abcdef"};
        record.admission_ = AdmissionId {fmt::format("entry-001-0123456789abcdef.{:012}", i)};
        record.account_ = AccountId {"account-101"};
        record.budget_ = BudgetId {"budget-00001234"};
        record.charged_ = Tokens {4321};
        record.updated_ = WallTime {Seconds {1'800'000'000}};
    }
    const std::string bytes = encodeStoredValue(shard);
    fmt::print("request_shard records={} bytes_per_record={:.1f}\n", records,
               perItem(static_cast<double>(bytes.size()), records));
}

/// Control state machine of one daemon with an in-memory store.
struct Daemon
{
    ControlState state_;
    std::map<StoreKey, VersionedValue> store_;
    std::uint64_t revision_ = 0;
    Now now_ {MonoTime {Seconds {1000}}, WallTime {Seconds {1000}}};
    std::uint64_t storeReads_ = 0;
    std::uint64_t storeWrites_ = 0;
    /// CPU time spent in the state machine, in handle() and nextWake().
    nanoseconds stateMachineTime_ {};
    std::vector<Dispatch> dispatched_;
    std::deque<SubmitStoreCall> calls_;
};

StoreReply executeStoreCall(Daemon &daemon, const SubmitStoreCall &call)
{
    StoreReply reply {call.id_, StoreStatus::Ok, {}};
    if (const auto *read = std::get_if<ReadCall>(&call.call_)) {
        ++daemon.storeReads_;
        reply.current_ = daemon.store_[read->key_];
        return reply;
    }
    ++daemon.storeWrites_;
    const auto &swap = std::get<CompareAndSwapCall>(call.call_);
    // Doesn't compare revisions, because the daemon is the only writer of its store.
    daemon.store_[swap.key_] = VersionedValue {Revision {++daemon.revision_}, swap.value_};
    reply.current_.revision_ = Revision {daemon.revision_};
    return reply;
}

/// Passes an event to the state machine and collects the resulting store calls and dispatches.
void processEvent(Daemon &daemon, const Event &event)
{
    const nanoseconds start = threadTime();
    Commands commands = handle(daemon.state_, event, daemon.now_);
    // The event loop calls nextWake() after each event, so its cost is included.
    const std::optional<MonoTime> wake = nextWake(daemon.state_);
    daemon.stateMachineTime_ += threadTime() - start;
    static_cast<void>(wake);
    for (Command &command : commands) {
        if (auto *call = std::get_if<SubmitStoreCall>(&command)) {
            daemon.calls_.push_back(std::move(*call));
        } else if (auto *reply = std::get_if<ReplyTo>(&command)) {
            if (auto *dispatch = std::get_if<Dispatch>(&reply->decision_))
                daemon.dispatched_.push_back(std::move(*dispatch));
        }
    }
}

void executeStoreCalls(Daemon &daemon)
{
    while (!daemon.calls_.empty()) {
        const SubmitStoreCall call = std::move(daemon.calls_.front());
        daemon.calls_.pop_front();
        processEvent(daemon, StoreReplied {executeStoreCall(daemon, call)});
    }
}

Daemon makeDaemon(std::size_t budgets, std::size_t upstreams)
{
    Daemon daemon;
    daemon.state_.settings_.host_ = HostId {"entry-001"};
    daemon.state_.settings_.holder_ = HolderId {"entry-001-0123456789abcdef"};
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {1};
    ClientAccount account;
    account.id_ = AccountId {"account"};
    account.maxInFlight_ = 1'000'000;
    account.requestsPerSecond_ = 1e9;
    bundle->accounts_[account.id_] = account;
    for (std::size_t i = 0; i < budgets; ++i) {
        const BudgetId id {fmt::format("budget-{:08}", i)};
        bundle->budgets_[id] = Budget {id, account.id_, Tokens {1'000'000'000}};
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        Upstream upstream;
        upstream.id_ = UpstreamId {fmt::format("engine-{:03}", i)};
        upstream.address_ = "127.0.0.1:1";
        upstream.models_ = {ModelId {"m"}};
        bundle->upstreams_[upstream.id_] = upstream;
    }
    processEvent(daemon, BundleLoaded {bundle});
    return daemon;
}

/// Measures the control state machine. Requests arrive at 34 per second, which is one daemon's
/// share of the target load.
void measureControl(std::size_t budgets, std::size_t upstreams, Seconds requestDuration)
{
    constexpr std::size_t requests = 3400;
    constexpr Micros arrivalGap {1'000'000 / 34};
    Daemon daemon = makeDaemon(budgets, upstreams);
    const MonoTime start = daemon.now_.mono_;
    std::deque<std::pair<MonoTime, Dispatch>> running;
    for (std::size_t i = 0; i < requests; ++i) {
        daemon.now_.mono_ = start + arrivalGap * i;
        while (!running.empty() && running.front().first <= daemon.now_.mono_) {
            const Dispatch done = running.front().second;
            running.pop_front();
            processEvent(daemon,
                         AttemptEnded {done.admission_, done.attempt_, AttemptResult::Complete,
                                       Micros {1000}, Tokens {300}, std::nullopt});
            processEvent(daemon,
                         RequestFinished {done.admission_, Tokens {300}, Completeness::Complete});
        }
        AdmissionRequested request;
        request.waiter_ = WaiterId {i + 1};
        request.request_ = RequestId {fmt::format("r{:032x}", i)};
        request.account_ = AccountId {"account"};
        request.budget_ = BudgetId {fmt::format("budget-{:08}", (i * 7919) % budgets)};
        request.model_ = ModelId {"m"};
        request.worstCase_ = Tokens {1000};
        request.deadline_ = daemon.now_.mono_ + Seconds {60};
        processEvent(daemon, request);
        executeStoreCalls(daemon);
        for (Dispatch &dispatch : daemon.dispatched_)
            running.emplace_back(daemon.now_.mono_ + requestDuration, std::move(dispatch));
        daemon.dispatched_.clear();
        processEvent(daemon, Tick {});
        executeStoreCalls(daemon);
    }
    const double seconds = static_cast<double>(requests) / 34.0;
    fmt::print(
        "control budgets={} upstreams={} open_s={} us_per_request={:.1f} core_percent={:.2f} "
        "reads_per_s={:.2f} writes_per_s={:.2f}\n",
        budgets, upstreams, requestDuration.count(),
        perItem(micros(daemon.stateMachineTime_), requests),
        100.0 * micros(daemon.stateMachineTime_) / 1e6 / seconds,
        static_cast<double>(daemon.storeReads_) / seconds,
        static_cast<double>(daemon.storeWrites_) / seconds);
}

} // namespace

} // namespace tamarack

int main()
{
    using namespace tamarack;
    for (const std::size_t budgets : {10'000, 50'000, 100'000})
        measureBundle(budgets);
    for (const std::size_t grants : {1, 2, 6}) {
        measureLedgerShard(100, grants);
        measureLedgerShard(1000, grants);
        measureLedgerShard(4000, grants);
    }
    measureRequestShard(1000);
    for (const std::size_t upstreams : {20, 200, 880}) {
        measureControl(10, upstreams, Seconds {10});
        measureControl(1000, upstreams, Seconds {10});
    }
    measureControl(1000, 200, Seconds {30});
}
