// The event loop of the front end.
#include "adapters/relayhttp/front.h"

#include "adapters/relayhttp/frontparts.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <array>
#include <csignal>

namespace tamarack {

namespace front {

namespace {

constexpr int statusPaymentRequired = 402;
constexpr int statusServiceUnavailable = 503;

/// A jump of the clock that goes on during a suspension means that the machine was suspended.
constexpr std::chrono::nanoseconds suspensionStep = Millis {300};

const char *executionOf(int status)
{
    const bool notRun
        = status == statusServiceUnavailable || status <= statusPaymentRequired || status == 404;
    return notRun ? "not_run" : "unknown";
}

void carryOut(FrontState &state, const SendAttempt &command)
{
    const auto it = state.exchanges_.find(command.id_);
    if (it != state.exchanges_.end() && !it->second.abandoned_)
        sendAttempt(state, it->second, command);
}

void carryOut(FrontState &state, const RespondToClient &command)
{
    const auto it = state.exchanges_.find(command.id_);
    if (it == state.exchanges_.end() || it->second.abandoned_)
        return;
    cancelAttempt(state, it->second);
    const auto client = state.clients_.find(it->second.client_);
    if (client == state.clients_.end())
        return;
    LocalResponse answer;
    answer.contentType_ = "application/json";
    answer.body_
        = fmt::format(R"({{"error":{{"code":"{}","request_id":"{}","execution":"{}"}}}})",
                      command.reason_, it->second.requestId_.value_, executionOf(command.status_));
    answerLocally(state, client->second, command.status_, answer, command.retryAfter_);
}

void carryOut(FrontState &state, const ForwardFailure &command)
{
    const auto it = state.exchanges_.find(command.id_);
    if (it != state.exchanges_.end())
        passOnAnswer(state, it->second);
}

void carryOut(FrontState &state, const AbortResponse &command)
{
    const auto it = state.exchanges_.find(command.id_);
    if (it != state.exchanges_.end())
        cutAnswer(state, it->second);
}

void carryOut(FrontState &state, const ApplyLimits &command)
{
    state.limits_ = command.limits_;
}

void carryOut(FrontState &state, const DisableKeepAlive &)
{
    state.closing_ = true;
}

void carryOut(FrontState &state, const CloseIdleConnections &)
{
    state.closingIdle_ = true;
    closeIdleClients(state);
}

/// Commands that other parts of the daemon carry out.
template <typename Other>
void carryOut(FrontState &, const Other &)
{ }

/// @return false if the front end is to end
bool carryOutCommands(FrontState &state)
{
    std::deque<RelayCommand> commands;
    {
        const std::lock_guard lock(state.inbox_.mutex_);
        commands.swap(state.inbox_.commands_);
        if (state.inbox_.stopping_)
            return false;
    }
    for (const RelayCommand &command : commands)
        std::visit([&state](const auto &concrete) { carryOut(state, concrete); }, command);
    return true;
}

void wake(const FrontState &state)
{
    const std::uint64_t one = 1;
    // A full counter means that the thread is going to wake anyway.
    (void)!::write(state.wake_.fd_, &one, sizeof one);
}

void drainWake(const FrontState &state)
{
    std::uint64_t count = 0;
    (void)!::read(state.wake_.fd_, &count, sizeof count);
}

/// Stops accepting while there are as many clients as the descriptors allow.
void updateListening(FrontState &state)
{
    const bool listen = state.clients_.size() < state.settings_.maxClients_;
    if (listen == state.listening_)
        return;
    state.listening_ = listen;
    epoll_event event {};
    event.events = listen ? std::uint32_t {EPOLLIN} : 0U;
    event.data.u64 = clientListenerNumber;
    ::epoll_ctl(state.epoll_.fd_, EPOLL_CTL_MOD, state.clientListener_.fd_, &event);
}

void onEvent(FrontState &state, std::uint64_t number, std::uint32_t events)
{
    if (number == inboxNumber) {
        drainWake(state);
        return;
    }
    if (number == clientListenerNumber || number == localListenerNumber) {
        acceptClients(state, number == localListenerNumber);
        return;
    }
    const ConnectionId id {number};
    if (const auto client = state.clients_.find(id); client != state.clients_.end())
        onClientEvent(state, client->second, events);
    else if (const auto upstream = state.upstreams_.find(id); upstream != state.upstreams_.end())
        onUpstreamEvent(state, upstream->second, events);
}

void passDeadlines(FrontState &state)
{
    const MonoTime now = std::chrono::steady_clock::now();
    while (!state.deadlines_.empty() && state.deadlines_.begin()->first <= now) {
        const ConnectionId id = state.deadlines_.begin()->second;
        if (const auto client = state.clients_.find(id); client != state.clients_.end())
            onClientDeadline(state, client->second);
        else if (const auto upstream = state.upstreams_.find(id);
                 upstream != state.upstreams_.end())
            onUpstreamDeadline(state, upstream->second);
        else
            state.deadlines_.erase(state.deadlines_.begin());
    }
}

void noticeSuspension(FrontState &state)
{
    const std::chrono::nanoseconds suspended
        = bootTime() - std::chrono::steady_clock::now().time_since_epoch();
    if (suspended - state.suspended_ > suspensionStep)
        closeIdleUpstreams(state);
    state.suspended_ = suspended;
}

int waitMillis(const FrontState &state)
{
    if (state.deadlines_.empty())
        return -1;
    const auto left = std::chrono::ceil<Millis>(state.deadlines_.begin()->first
                                                - std::chrono::steady_clock::now());
    return static_cast<int>(std::max(left, Millis {0}).count());
}

void run(FrontState &state)
{
    constexpr std::size_t maxEvents = 64;
    std::array<epoll_event, maxEvents> events {};
    while (true) {
        const int count
            = ::epoll_wait(state.epoll_.fd_, events.data(), maxEvents, waitMillis(state));
        noticeSuspension(state);
        for (int i = 0; i < count; ++i)
            onEvent(state, events[static_cast<std::size_t>(i)].data.u64,
                    events[static_cast<std::size_t>(i)].events);
        if (!carryOutCommands(state))
            return;
        passDeadlines(state);
        updateListening(state);
    }
}

void addFixed(const FrontState &state, int fd, std::uint64_t number)
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = number;
    ::epoll_ctl(state.epoll_.fd_, EPOLL_CTL_ADD, fd, &event);
}

} // namespace

} // namespace front

Result<Frontend> startFrontend(FrontendSettings settings, RelayEventPort events, LocalHandler pages)
{
    // A write to a connection that was closed is an error of that connection alone.
    std::signal(SIGPIPE, SIG_IGN);
    auto state = std::make_shared<FrontState>();
    state->settings_ = std::move(settings);
    state->events_ = std::move(events);
    state->pages_ = std::move(pages);
    state->lastId_ = front::firstConnection;
    BOOST_LEAF_ASSIGN(
        state->clientListener_,
        front::listenOn(state->settings_.clientAddress_, state->settings_.listenBacklog_));
    BOOST_LEAF_ASSIGN(
        state->localListener_,
        front::listenOn(state->settings_.localAddress_, state->settings_.listenBacklog_));
    state->epoll_ = Descriptor(::epoll_create1(EPOLL_CLOEXEC));
    state->wake_ = Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    state->suspended_ = front::bootTime() - std::chrono::steady_clock::now().time_since_epoch();
    front::addFixed(*state, state->wake_.fd_, front::inboxNumber);
    front::addFixed(*state, state->clientListener_.fd_, front::clientListenerNumber);
    front::addFixed(*state, state->localListener_.fd_, front::localListenerNumber);
    state->thread_ = std::thread([state] { front::run(*state); });
    return Frontend {std::move(state)};
}

RelayFrontendPort frontendPort(const Frontend &front)
{
    return RelayFrontendPort {[state = front.state_](RelayCommand command) {
        {
            const std::lock_guard lock(state->inbox_.mutex_);
            state->inbox_.commands_.push_back(std::move(command));
        }
        front::wake(*state);
    }};
}

void stopFrontend(Frontend &front)
{
    {
        const std::lock_guard lock(front.state_->inbox_.mutex_);
        front.state_->inbox_.stopping_ = true;
    }
    front::wake(*front.state_);
    if (front.state_->thread_.joinable())
        front.state_->thread_.join();
}

} // namespace tamarack
