// Event loop of the front end.
#include "adapters/relayhttp/frontend.h"

#include "adapters/relayhttp/internal.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <limits>

namespace tamarack {

namespace frontend {

namespace {

constexpr int statusPaymentRequired = 402;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// CLOCK_BOOTTIME also counts suspended time. If it gains more than this on the steady clock
/// between two iterations of the event loop, the machine was suspended.
constexpr std::chrono::nanoseconds suspensionThreshold = Millis {300};

const char *executionForStatus(int status)
{
    const bool notRun
        = status == statusServiceUnavailable || status <= statusPaymentRequired || status == 404;
    return notRun ? "not_run" : "unknown";
}

void execute(FrontendState &state, const SendAttempt &command)
{
    const auto it = state.exchanges_.find(command.id_);
    if (it == state.exchanges_.end() || it->second.abandoned_)
        return;
    ClientExchange &exchange = it->second;
    const bool superseded = beganElsewhere(exchange, command);
    if (mayRestartResponse(exchange) && !superseded) {
        sendAttempt(state, exchange, command);
        return;
    }
    cancelAttempt(state, exchange);
    exchange.attempt_ = command;
    reportAttemptEnd(state, exchange,
                     superseded ? AttemptEnd::Superseded : AttemptEnd::ConnectionLost,
                     "the response of the earlier attempt had begun");
}

void execute(FrontendState &state, const ProbeInstance &command)
{
    probeInstance(state, command);
}

void execute(FrontendState &state, const RespondToClient &command)
{
    endClientResponse(
        state, command.id_, [&](const ClientExchange &exchange, ClientConnection &client) {
            LocalResponse response;
            response.contentType_ = "application/json";
            response.body_ = fmt::format(
                R"({{"error":{{"code":"{}","request_id":"{}","execution":"{}"}}}})",
                command.reason_, exchange.requestId_.value_, executionForStatus(command.status_));
            sendLocalResponse(state, client, command.status_, response, command.retryAfter_,
                              command.unable_);
        });
}

void execute(FrontendState &state, const ForwardFailure &command)
{
    endClientResponse(state, command.id_, [&](ClientExchange &exchange, ClientConnection &client) {
        forwardBufferedResponse(state, exchange, client);
    });
}

void execute(FrontendState &state, const AbortResponse &command)
{
    endClientResponse(state, command.id_, [&](const ClientExchange &, ClientConnection &client) {
        sendLocalResponse(state, client, statusGatewayTimeout, LocalResponse {}, std::nullopt);
    });
}

void execute(FrontendState &state, const ApplyLimits &command)
{
    state.limits_ = command.limits_;
}

void execute(FrontendState &state, const SetKeepAlive &command)
{
    state.keepAliveDisabled_ = !command.enabled_;
}

void execute(FrontendState &state, const CloseIdleConnections &)
{
    state.closingIdleClients_ = true;
    closeIdleClients(state);
}

void execute(FrontendState &state, const CloseClients &)
{
    // Connections that the kernel has accepted may hold a request.
    acceptClients(state, ListenerKind::Clients, std::numeric_limits<std::size_t>::max());
    state.clientListener_ = Descriptor();
    if (state.handoverListener_.fd_ >= 0)
        acceptClients(state, ListenerKind::Handover, std::numeric_limits<std::size_t>::max());
    state.handoverListener_ = Descriptor();
    state.closingAllClients_ = true;
    state.closingIdleClients_ = true;
    closeIdleClients(state);
}

/// Ignores commands that are executed elsewhere in the daemon.
template <typename Other>
void execute(FrontendState &, const Other &)
{ }

template <typename Command>
void executeAndCount(FrontendState &state, const Command &command)
{
    if constexpr (requires { relatedIds(state, command.id_); }) {
        const RelatedIds before = relatedIds(state, command.id_);
        execute(state, command);
        countBuffers(state, before);
        countBuffers(state, relatedIds(state, command.id_));
    } else {
        execute(state, command);
    }
}

/// @return false if the event loop has to stop
bool executeCommands(FrontendState &state)
{
    std::deque<RelayCommand> commands;
    bool stopping = false;
    {
        const std::lock_guard lock(state.commandQueue_.mutex_);
        commands.swap(state.commandQueue_.commands_);
        stopping = state.commandQueue_.stopping_;
    }
    // A response may be the last command before the stop.
    for (const RelayCommand &command : commands)
        std::visit([&state](const auto &concrete) { executeAndCount(state, concrete); }, command);
    return !stopping;
}

void wakeUp(const FrontendState &state)
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum; the event is readable then, so the
    // thread wakes anyway.
    (void)!::write(state.wakeupEvent_.fd_, &one, sizeof one);
}

void clearWakeup(const FrontendState &state)
{
    std::uint64_t count = 0;
    (void)!::read(state.wakeupEvent_.fd_, &count, sizeof count);
}

void reportClientsClosed(FrontendState &state)
{
    if (!state.closingAllClients_ || state.clientsClosedReported_)
        return;
    const bool closed = std::all_of(state.clients_.begin(), state.clients_.end(),
                                    [](const auto &entry) { return entry.second.local_; });
    if (!closed)
        return;
    state.clientsClosedReported_ = true;
    state.events_.post_(ClientsClosed {});
}

void dispatchEvent(FrontendState &state, std::uint64_t number, std::uint32_t events)
{
    if (number == wakeupEventId) {
        clearWakeup(state);
        return;
    }
    if (number < firstConnectionId) {
        // Requests are read between the connections of a burst, so that none is taken for idle
        // before its request was read.
        constexpr std::size_t maxAccepted = 64;
        acceptClients(state,
                      number == localListenerEventId          ? ListenerKind::Local
                          : number == handoverListenerEventId ? ListenerKind::Handover
                                                              : ListenerKind::Clients,
                      maxAccepted);
        return;
    }
    const ConnectionId id {number};
    const RelatedIds before = relatedIds(state, id);
    if (const auto client = state.clients_.find(id); client != state.clients_.end())
        onClientEvent(state, client->second, events);
    else if (const auto upstream = state.upstreams_.find(id); upstream != state.upstreams_.end())
        onUpstreamEvent(state, upstream->second, events);
    countBuffers(state, before);
    countBuffers(state, relatedIds(state, id));
}

void handleDeadlines(FrontendState &state)
{
    const MonoTime now = std::chrono::steady_clock::now();
    while (!state.deadlines_.empty() && state.deadlines_.begin()->first <= now) {
        const ConnectionId id = state.deadlines_.begin()->second;
        const RelatedIds related = relatedIds(state, id);
        if (const auto client = state.clients_.find(id); client != state.clients_.end())
            onClientDeadline(state, client->second);
        else if (const auto upstream = state.upstreams_.find(id);
                 upstream != state.upstreams_.end())
            onUpstreamDeadline(state, upstream->second);
        else
            state.deadlines_.erase(state.deadlines_.begin());
        countBuffers(state, related);
    }
}

void detectSuspension(FrontendState &state)
{
    const std::chrono::nanoseconds suspended
        = bootTime() - std::chrono::steady_clock::now().time_since_epoch();
    if (suspended - state.suspendedTime_ > suspensionThreshold) {
        closeIdleUpstreams(state);
        state.events_.post_(MachineResumed {});
    }
    state.suspendedTime_ = suspended;
}

int epollTimeout(const FrontendState &state)
{
    if (state.deadlines_.empty())
        return -1;
    const auto remaining = std::chrono::ceil<Millis>(state.deadlines_.begin()->first
                                                     - std::chrono::steady_clock::now());
    return static_cast<int>(std::max(remaining, Millis {0}).count());
}

void runEventLoop(FrontendState &state)
{
    constexpr std::size_t maxEvents = 64;
    std::array<epoll_event, maxEvents> events {};
    while (true) {
        const int count
            = ::epoll_wait(state.epoll_.fd_, events.data(), maxEvents, epollTimeout(state));
        detectSuspension(state);
        for (int i = 0; i < count; ++i)
            dispatchEvent(state, events[static_cast<std::size_t>(i)].data.u64,
                          events[static_cast<std::size_t>(i)].events);
        if (!executeCommands(state))
            return;
        handleDeadlines(state);
        resumeAwaitingMemory(state);
        updateAccepting(state);
        reportClientsClosed(state);
    }
}

void registerDescriptor(const FrontendState &state, int fd, std::uint64_t number)
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = number;
    ::epoll_ctl(state.epoll_.fd_, EPOLL_CTL_ADD, fd, &event);
}

} // namespace

} // namespace frontend

Result<Frontend> startFrontend(FrontendSettings settings, RelayEventPort events, LocalHandler pages)
{
    // Writing to a closed connection must fail with EPIPE instead of killing the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto state = std::make_shared<FrontendState>();
    state->settings_ = std::move(settings);
    state->events_ = std::move(events);
    state->localHandler_ = std::move(pages);
    state->lastId_ = frontend::firstConnectionId;
    state->buffers_.limit_ = state->settings_.maxBufferedBytes_;
    BOOST_LEAF_ASSIGN(
        state->clientListener_,
        frontend::openListener(state->settings_.clientAddress_, state->settings_.listenBacklog_));
    BOOST_LEAF_ASSIGN(
        state->localListener_,
        frontend::openListener(state->settings_.localAddress_, state->settings_.listenBacklog_));
    if (!state->settings_.handoverAddress_.empty()) {
        BOOST_LEAF_ASSIGN(state->handoverListener_,
                          frontend::openListener(state->settings_.handoverAddress_,
                                                 state->settings_.listenBacklog_));
    }
    state->epoll_ = Descriptor(::epoll_create1(EPOLL_CLOEXEC));
    state->wakeupEvent_ = Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    state->suspendedTime_ = bootTime() - std::chrono::steady_clock::now().time_since_epoch();
    frontend::registerDescriptor(*state, state->wakeupEvent_.fd_, frontend::wakeupEventId);
    frontend::registerDescriptor(*state, state->clientListener_.fd_,
                                 frontend::clientListenerEventId);
    frontend::registerDescriptor(*state, state->localListener_.fd_, frontend::localListenerEventId);
    if (state->handoverListener_.fd_ >= 0)
        frontend::registerDescriptor(*state, state->handoverListener_.fd_,
                                     frontend::handoverListenerEventId);
    state->thread_ = std::thread([state] { frontend::runEventLoop(*state); });
    return Frontend {std::move(state)};
}

TrafficTotals trafficTotals(const Frontend &frontend)
{
    return TrafficTotals {frontend.state_->receivedBytes_, frontend.state_->sentBytes_};
}

BufferUsage bufferUsage(const Frontend &frontend)
{
    const BufferBudget &buffers = frontend.state_->buffers_;
    const auto kind = [&buffers](MemoryKind wanted) -> std::uint64_t {
        return buffers.usedByKind_[static_cast<std::size_t>(wanted)];
    };
    return BufferUsage {buffers.used_,
                        buffers.limit_,
                        buffers.refusals_,
                        kind(MemoryKind::Connections),
                        kind(MemoryKind::Requests),
                        kind(MemoryKind::Responses),
                        buffers.idleClosed_,
                        buffers.unreadClosed_};
}

RelayFrontendPort frontendPort(const Frontend &frontend)
{
    return RelayFrontendPort {[state = frontend.state_](RelayCommand command) {
        {
            const std::lock_guard lock(state->commandQueue_.mutex_);
            state->commandQueue_.commands_.push_back(std::move(command));
        }
        frontend::wakeUp(*state);
    }};
}

void stopFrontend(Frontend &frontend)
{
    {
        const std::lock_guard lock(frontend.state_->commandQueue_.mutex_);
        frontend.state_->commandQueue_.stopping_ = true;
    }
    frontend::wakeUp(*frontend.state_);
    if (frontend.state_->thread_.joinable())
        frontend.state_->thread_.join();
}

} // namespace tamarack
