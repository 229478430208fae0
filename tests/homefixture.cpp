// Several control state machines with a shared in-memory store and message bus.
#include "homefixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace tamarack::homefixture {

namespace {

std::shared_ptr<const Bundle> makeBundle(std::int64_t funded)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {1};
    ClientAccount client;
    client.id_ = account;
    bundle->accounts_[account] = client;
    bundle->budgets_[budget] = Budget {budget, account, Tokens {funded}};
    Upstream upstream;
    upstream.id_ = UpstreamId {"u1"};
    upstream.address_ = "127.0.0.1:1";
    upstream.models_ = {ModelId {"m"}};
    bundle->upstreams_[upstream.id_] = upstream;
    return bundle;
}

Registration registrationOf(const HostId &host)
{
    return Registration {host, HolderId {host.value_ + "-1"}, zone, "127.0.0.1:1", false};
}

StoreReply executeCall(Fleet &fleet, const SubmitStoreCall &call)
{
    StoreReply reply {call.id_, StoreStatus::Ok, {}};
    if (const auto *read = std::get_if<ReadCall>(&call.call_)) {
        reply.current_ = fleet.store_[read->key_];
        return reply;
    }
    const auto &swap = std::get<CompareAndSwapCall>(call.call_);
    VersionedValue &current = fleet.store_[swap.key_];
    if (current.revision_ != swap.expected_) {
        reply.status_ = StoreStatus::Conflict;
        reply.current_ = current;
        return reply;
    }
    if (const auto *shard = std::get_if<LedgerShard>(&swap.value_))
        REQUIRE(checkInvariants(*shard));
    current = VersionedValue {Revision {++fleet.revision_}, swap.value_};
    reply.current_.revision_ = current.revision_;
    return reply;
}

struct Executor
{
    Fleet &fleet_;
    const HostId &host_;
    Daemon &daemon_;

    void operator()(ReplyTo &command) const
    {
        if (const auto *dispatch = std::get_if<Dispatch>(&command.decision_))
            fleet_.dispatched_
                += daemon_.state_.active_.at(dispatch->admission_).params_.worstCase_;
        daemon_.decisions_.emplace(command.waiter_, std::move(command.decision_));
    }
    void operator()(SubmitStoreCall &command) const
    {
        daemon_.calls_.push_back(std::move(command));
    }
    void operator()(SendPeer &command) const
    {
        if (std::holds_alternative<Heartbeat>(command.message_) == false)
            ++fleet_.messages_;
        InFlightMessage transit {host_, command.host_, std::move(command.message_)};
        const std::size_t copies = fleet_.rule_ ? fleet_.rule_(transit) : 1;
        for (std::size_t i = 0; i < copies; ++i)
            fleet_.bus_.push_back(transit);
    }
    void operator()(WriteLog &command) const { fleet_.logged_.push_back(command.event_.name_); }
    void operator()(StopCompleted &) const { daemon_.stopped_ = true; }
    template <typename Other>
    void operator()(Other &) const
    { }
};

void send(Fleet &fleet, const HostId &host, const Event &event)
{
    Daemon &daemon = fleet.daemons_.at(host);
    if (!daemon.running_)
        return;
    for (Command &command : handle(daemon.state_, event, fleet.now_))
        std::visit(Executor {fleet, host, daemon}, command);
    REQUIRE(checkInvariants(daemon.state_));
}

bool isPartitioned(const Fleet &fleet, const HostId &a, const HostId &b)
{
    return fleet.partitions_.contains({a, b}) || fleet.partitions_.contains({b, a});
}

/// Delivers all messages on the bus and executes all store calls.
void deliverAll(Fleet &fleet)
{
    bool busy = true;
    while (busy) {
        busy = false;
        if (!fleet.bus_.empty()) {
            const auto it = fleet.reorder_ ? std::prev(fleet.bus_.end()) : fleet.bus_.begin();
            const InFlightMessage transit = *it;
            fleet.bus_.erase(it);
            busy = true;
            if (!isPartitioned(fleet, transit.from_, transit.to_))
                send(fleet, transit.to_, PeerMessageReceived {transit.from_, transit.message_});
            continue;
        }
        for (auto &[host, daemon] : fleet.daemons_) {
            if (daemon.calls_.empty())
                continue;
            const SubmitStoreCall call = daemon.calls_.front();
            daemon.calls_.pop_front();
            busy = true;
            // A call submitted before the daemon's death still takes effect.
            const StoreReply reply = executeCall(fleet, call);
            send(fleet, host, StoreReplied {reply});
            break;
        }
    }
}

std::optional<MonoTime> nextWakeOf(const Fleet &fleet)
{
    std::optional<MonoTime> earliest;
    for (const auto &[host, daemon] : fleet.daemons_) {
        const std::optional<MonoTime> wake
            = daemon.running_ ? nextWake(daemon.state_) : std::nullopt;
        if (wake && (!earliest || *wake < *earliest))
            earliest = wake;
    }
    return earliest;
}

} // namespace

Fleet makeFleet(std::size_t daemons, std::int64_t funded)
{
    Fleet fleet;
    const std::shared_ptr<const Bundle> bundle = makeBundle(funded);
    std::vector<HostId> hosts;
    for (std::size_t i = 1; i <= daemons; ++i) {
        const HostId host {"h" + std::to_string(i)};
        Daemon &daemon = fleet.daemons_[host];
        daemon.state_.settings_.host_ = host;
        daemon.state_.settings_.zone_ = zone;
        daemon.state_.settings_.holder_ = registrationOf(host).holder_;
        daemon.state_.membership_.self_ = registrationOf(host);
        daemon.state_.bundle_ = bundle;
        hosts.push_back(host);
    }
    publishRegistrations(fleet, hosts);
    return fleet;
}

void publishRegistrations(Fleet &fleet, const std::vector<HostId> &hosts)
{
    RegistrationsLoaded seen;
    for (const HostId &host : hosts)
        seen.members_.push_back(RegisteredMember {registrationOf(host), Revision {1}});
    for (const auto &[host, daemon] : fleet.daemons_)
        send(fleet, host, seen);
}

void run(Fleet &fleet, Millis span)
{
    const MonoTime end = fleet.now_.mono_ + span;
    while (true) {
        deliverAll(fleet);
        const std::optional<MonoTime> wake = nextWakeOf(fleet);
        if (!wake || *wake > end)
            break;
        fleet.now_.mono_ = std::max(*wake, fleet.now_.mono_);
        for (const auto &[host, daemon] : fleet.daemons_)
            send(fleet, host, Tick {});
    }
    fleet.now_.mono_ = end;
}

void kill(Fleet &fleet, const HostId &host)
{
    fleet.daemons_.at(host).running_ = false;
    std::vector<HostId> left;
    for (const auto &[id, daemon] : fleet.daemons_) {
        if (daemon.running_)
            left.push_back(id);
    }
    publishRegistrations(fleet, left);
}

void stop(Fleet &fleet, const HostId &host)
{
    send(fleet, host, StopRequested {});
}

WaiterId admit(Fleet &fleet, const HostId &entry, std::int64_t worstCase,
               const std::string &request, Millis deadline)
{
    AdmissionRequested params;
    params.waiter_ = WaiterId {++fleet.lastWaiter_};
    params.request_ = RequestId {request};
    params.account_ = account;
    params.budget_ = budget;
    params.model_ = ModelId {"m"};
    params.worstCase_ = Tokens {worstCase};
    params.deadline_ = fleet.now_.mono_ + deadline;
    send(fleet, entry, params);
    return params.waiter_;
}

const Dispatch *dispatched(const Fleet &fleet, const HostId &entry, WaiterId waiter)
{
    const auto &decisions = fleet.daemons_.at(entry).decisions_;
    const auto it = decisions.find(waiter);
    return it == decisions.end() ? nullptr : std::get_if<Dispatch>(&it->second);
}

const Refusal *refused(const Fleet &fleet, const HostId &entry, WaiterId waiter)
{
    const auto &decisions = fleet.daemons_.at(entry).decisions_;
    const auto it = decisions.find(waiter);
    return it == decisions.end() ? nullptr : std::get_if<Refusal>(&it->second);
}

void finish(Fleet &fleet, const HostId &entry, WaiterId waiter, std::int64_t used)
{
    const Dispatch dispatch = *dispatched(fleet, entry, waiter);
    const Tokens tokens {used};
    send(fleet, entry,
         AttemptEnded {dispatch.admission_,
                       dispatch.attempt_,
                       AttemptResult::Complete,
                       {},
                       tokens,
                       std::nullopt});
    send(fleet, entry, RequestFinished {dispatch.admission_, tokens, Completeness::Complete});
}

BudgetRecord budgetRecord(const Fleet &fleet)
{
    for (const auto &[key, value] : fleet.store_) {
        const auto *shard = value.value_ ? std::get_if<LedgerShard>(&*value.value_) : nullptr;
        if (shard)
            return shard->budgets_.at(budget);
    }
    return {};
}

RequestRecord requestRecord(const Fleet &fleet, const std::string &request)
{
    for (const auto &[key, value] : fleet.store_) {
        const auto *shard = value.value_ ? std::get_if<RequestShard>(&*value.value_) : nullptr;
        if (shard && shard->records_.contains(RequestId {request}))
            return shard->records_.at(RequestId {request});
    }
    return {};
}

HostId homeHost(const Fleet &fleet, const HostId &viewer)
{
    const ControlState &state = fleet.daemons_.at(viewer).state_;
    const ShardNumber shard = ledgerShardOf(budget, state.bundle_->policies_.ledgerShards_);
    const HolderId home
        = homeOf(state.membership_, "ledger/" + std::to_string(shard.value_), zone).value();
    return HostId {home.value_.substr(0, home.value_.size() - 2)};
}

HostId otherThan(const Fleet &fleet, const HostId &host)
{
    for (const auto &[id, daemon] : fleet.daemons_) {
        if (id != host)
            return id;
    }
    return host;
}

bool hasLogged(const Fleet &fleet, const std::string &name)
{
    return std::find(fleet.logged_.begin(), fleet.logged_.end(), name) != fleet.logged_.end();
}

} // namespace tamarack::homefixture
