// Client connections. A request is read completely before it is submitted to the control thread.
#include "adapters/relayhttp/internal.h"

#include "core/hash.h"
#include "core/relay/requestmemory.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace tamarack::frontend {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr std::uint32_t readInterest = EPOLLIN | EPOLLRDHUP;

/// Pipelined bytes that are read while a request is being served; reading pauses above this size.
constexpr std::size_t maxPipelinedRequestBytes = 64U << 10U;

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 402:
        return "Payment Required";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

/// A request of another daemon has fields that its client did not send.
constexpr std::size_t peerHeaderBytes = 512;

void submitRequest(FrontendState &state, ClientConnection &client, HttpRequest request)
{
    const HeaderNames &names = state.settings_.headers_;
    ClientExchange exchange;
    exchange.id_ = ExchangeId {++state.lastId_};
    exchange.client_ = client.channel_.id_;
    exchange.arrivedAt_ = *client.requestStart_;
    exchange.requestId_
        = RequestId {std::string(findField(request.headers_, names.requestId_).value_or(""))};
    exchange.clientTimeout_ = clientTimeout(request, names);
    RelayRequest relayed = makeRelayRequest(request, exchange, names, client.fromPeer_);
    client.exchange_ = exchange.id_;
    exchange.request_ = std::move(request);
    exchange.body_ = std::move(client.body_);
    // The control thread keeps a copy, and another one waits in its queue.
    exchange.headBytes_ = sizeof(ClientExchange) + memoryOf(exchange.request_.headers_)
        + memoryOf(exchange.request_.target_) + memoryOf(exchange.request_.host_)
        + memoryOf(exchange.requestId_.value_) + 2 * memoryOf(relayed);
    state.exchanges_.emplace(exchange.id_, std::move(exchange));
    state.events_.post_(RequestRead {std::move(relayed)});
}

void rejectBadRequest(FrontendState &state, ClientConnection &client, int status,
                      const std::string &problem)
{
    discardRequest(client);
    LocalResponse response;
    response.contentType_ = "application/json";
    response.body_
        = fmt::format(R"({{"error":{{"code":"invalid_request","message":"{}"}}}})", problem);
    sendLocalResponse(state, client, status, response, std::nullopt);
}

void handleRequest(FrontendState &state, ClientConnection &client)
{
    HttpRequest request = takeRequest(client.reader_);
    client.stage_ = ClientStage::Busy;
    client.closeAfterResponse_ = !request.keepAlive_ || request.http10_ || state.keepAliveDisabled_;
    setDeadline(state, client.channel_, std::nullopt);
    if (!client.local_) {
        const std::string doubled = doubledField(request, state.settings_.headers_);
        if (doubled.empty())
            submitRequest(state, client, std::move(request));
        else
            rejectBadRequest(state, client, statusBadRequest,
                             fmt::format("multiple {} fields; send exactly one", doubled));
        return;
    }
    const LocalResponse response = state.localHandler_(request.target_);
    sendLocalResponse(state, client, response.status_, response, std::nullopt);
}

/// Parses the received bytes and handles the request if it is complete.
void parseRequest(FrontendState &state, ClientConnection &client)
{
    if (client.reader_.pending_.empty() && !client.requestStart_)
        return;
    const MonoTime now = std::chrono::steady_clock::now();
    unmarkIdle(state, client);
    if (!client.requestStart_) {
        client.requestStart_ = now;
        setDeadline(state, client.channel_, now + state.limits_.readTimeout_);
    }
    const std::size_t maxHeaderBytes
        = state.limits_.maxHeaderBytes_ + (client.fromPeer_ ? peerHeaderBytes : 0);
    const RequestProgress progress
        = readRequest(client.reader_, RequestLimits {maxHeaderBytes, state.limits_.maxBodyBytes_});
    if (progress.expectsContinue_)
        sendToClient(state, client, "HTTP/1.1 100 Continue\r\n\r\n");
    if (progress.parseStatus_ == ParseStatus::Done)
        handleRequest(state, client);
    else if (progress.parseStatus_ == ParseStatus::Invalid)
        rejectBadRequest(state, client, progress.status_, progress.error_);
    else if (progress.parseStatus_ == ParseStatus::HeadDone)
        reserveMemory(state, client, progress);
    // Reading may have been paused behind pipelined requests, all of which are parsed now.
    if (client.stage_ == ClientStage::Reading && client.awaitedBytes_ == 0
        && !client.closeScheduled_)
        updateInterest(state, client.channel_, client.channel_.interest_ | std::uint32_t {EPOLLIN});
}

/// Closes a connection from the event loop, because functions up the call stack still refer to it.
void scheduleClose(FrontendState &state, ClientConnection &client)
{
    client.closeScheduled_ = true;
    client.channel_.out_ = {};
    setDeadline(state, client.channel_, std::chrono::steady_clock::now());
}

bool hasPipelinedEnough(const FrontendState &state, const ClientConnection &client)
{
    return client.reader_.pending_.size() > bufferLimit(state.buffers_, maxPipelinedRequestBytes);
}

void pauseReading(FrontendState &state, ClientConnection &client)
{
    updateInterest(state, client.channel_, client.channel_.interest_ & ~std::uint32_t {EPOLLIN});
}

void waitForRequest(FrontendState &state, ClientConnection &client)
{
    client.stage_ = ClientStage::Reading;
    client.body_ = BufferShare();
    client.exchange_ = {};
    client.requestStart_.reset();
    if (state.closingIdleClients_ && client.reader_.pending_.empty()) {
        scheduleClose(state, client);
        return;
    }
    setDeadline(state, client.channel_,
                std::chrono::steady_clock::now() + state.limits_.idleTimeout_);
    // What was pipelined is parsed before more is read. Otherwise each request would let in more
    // bytes than it uses up, without a bound.
    updateInterest(state, client.channel_,
                   hasPipelinedEnough(state, client) ? std::uint32_t {EPOLLRDHUP} : readInterest);
    if (client.reader_.pending_.empty())
        markIdle(state, client);
    else if (!client.local_ && isMemoryFull(state))
        awaitMemory(state, client, 1);
    else
        parseRequest(state, client);
}

void closeGracefully(FrontendState &state, ClientConnection &client)
{
    client.stage_ = ClientStage::Lingering;
    std::string().swap(client.reader_.pending_);
    ::shutdown(client.channel_.socket_.fd_, SHUT_WR);
    updateInterest(state, client.channel_, readInterest);
    setDeadline(state, client.channel_,
                std::chrono::steady_clock::now() + state.settings_.lingerTimeout_);
}

/// Called when all bytes of a complete response were sent.
void onResponseSent(FrontendState &state, ClientConnection &client)
{
    if (client.resetOnClose_)
        scheduleClose(state, client);
    else if (client.closeAfterResponse_)
        closeGracefully(state, client);
    else
        waitForRequest(state, client);
}

/// Reports the disconnect to the control thread and cancels the attempt. An attempt that must not
/// run twice continues, unless it is streamed.
void onClientDisconnected(FrontendState &state, ClientConnection &client)
{
    const auto it = state.exchanges_.find(client.exchange_);
    if (it == state.exchanges_.end())
        return;
    ClientExchange &exchange = it->second;
    state.events_.post_(ClientDisconnected {exchange.id_, exchange.eventCount_});
    const bool continues = exchange.upstream_ && !exchange.attempt_.streaming_
        && exchange.attempt_.retryPolicy_ == RetryPolicy::AtMostOnce;
    if (continues) {
        exchange.abandoned_ = true;
        limitAbandonedAttempt(state, exchange);
        return;
    }
    cancelAttempt(state, exchange);
    state.exchanges_.erase(it);
}

void flushClient(FrontendState &state, ClientConnection &client)
{
    switch (flush(state, client.channel_)) {
    case SendStatus::Failed:
        scheduleClose(state, client);
        return;
    case SendStatus::Blocked:
        updateInterest(state, client.channel_, client.channel_.interest_ | EPOLLOUT);
        awaitReader(state, client);
        return;
    case SendStatus::Sent:
        break;
    }
    updateInterest(state, client.channel_, client.channel_.interest_ & ~std::uint32_t {EPOLLOUT});
    if (client.stage_ != ClientStage::Busy)
        return;
    setDeadline(state, client.channel_, std::nullopt);
    const auto it = state.exchanges_.find(client.exchange_);
    if (it == state.exchanges_.end())
        onResponseSent(state, client);
    else
        resumeReading(state, it->second);
}

} // namespace

bool receiveFromClient(FrontendState &state, ClientConnection &client)
{
    if (!client.local_ && isMemoryFull(state)) {
        if (client.stage_ == ClientStage::Reading && client.awaitedBytes_ == 0
            && !client.closeScheduled_) {
            awaitMemory(state, client, 1);
            return true;
        }
        if (client.stage_ == ClientStage::Busy) {
            pauseReading(state, client);
            return true;
        }
    }
    switch (receive(state, client.channel_, client.reader_.pending_)) {
    case ReceiveStatus::Received:
        break;
    case ReceiveStatus::Blocked:
        return true;
    case ReceiveStatus::Ended:
    case ReceiveStatus::Failed:
        closeClient(state, client.channel_.id_);
        return false;
    }
    if (client.stage_ == ClientStage::Lingering)
        std::string().swap(client.reader_.pending_);
    else if (client.stage_ == ClientStage::Reading)
        parseRequest(state, client);
    else if (hasPipelinedEnough(state, client))
        pauseReading(state, client);
    return true;
}

void resumeRequest(FrontendState &state, ClientConnection &client)
{
    updateInterest(state, client.channel_, client.channel_.interest_ | std::uint32_t {EPOLLIN});
    setDeadline(state, client.channel_, *client.requestStart_ + state.limits_.readTimeout_);
    parseRequest(state, client);
}

void onClientEvent(FrontendState &state, ClientConnection &client, std::uint32_t events)
{
    const ConnectionId id = client.channel_.id_;
    if ((events & EPOLLIN) != 0U) {
        if (!receiveFromClient(state, client) || !state.clients_.contains(id))
            return;
    } else if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0U) {
        closeClient(state, id);
        return;
    }
    if ((events & EPOLLOUT) != 0U)
        flushClient(state, client);
}

void onClientDeadline(FrontendState &state, ClientConnection &client)
{
    setDeadline(state, client.channel_, std::nullopt);
    if (client.awaitedBytes_ > 0)
        refuseForMemory(state, client);
    else if (client.stage_ == ClientStage::Busy && !client.closeScheduled_)
        onReaderDeadline(state, client);
    else if (client.stage_ == ClientStage::Reading && client.requestStart_
             && !client.closeScheduled_)
        rejectBadRequest(state, client, statusRequestTimeout,
                         "the request was not received in time; send it again");
    else
        closeClient(state, client.channel_.id_);
}

void closeClient(FrontendState &state, ConnectionId id)
{
    const auto it = state.clients_.find(id);
    if (it == state.clients_.end())
        return;
    onClientDisconnected(state, it->second);
    if (it->second.resetOnClose_) {
        const struct linger now
        {
            1, 0
        };
        ::setsockopt(it->second.channel_.socket_.fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    unmarkIdle(state, it->second);
    setDeadline(state, it->second.channel_, std::nullopt);
    if (it->second.local_)
        --state.localClients_;
    state.clients_.erase(it);
}

void sendToClient(FrontendState &state, ClientConnection &client, std::string_view bytes)
{
    client.channel_.out_.bytes_ += bytes;
    flushClient(state, client);
}

void completeResponse(FrontendState &state, ClientConnection &client)
{
    const auto it = state.exchanges_.find(client.exchange_);
    if (it != state.exchanges_.end()) {
        cancelAttempt(state, it->second);
        state.exchanges_.erase(it);
    }
    flushClient(state, client);
}

void sendLocalResponse(FrontendState &state, ClientConnection &client, int status,
                       const LocalResponse &response, std::optional<Millis> retryAfter, bool unable)
{
    client.stage_ = ClientStage::Busy;
    setDeadline(state, client.channel_, std::nullopt);
    std::string text
        = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", status,
                      reasonPhrase(status), response.contentType_, response.body_.size());
    const auto exchange = state.exchanges_.find(client.exchange_);
    if (exchange != state.exchanges_.end())
        text += fmt::format("{}: {}\r\n", state.settings_.headers_.requestId_,
                            exchange->second.requestId_.value_);
    if (retryAfter)
        text += fmt::format("Retry-After: {:.3f}\r\n",
                            std::chrono::duration<double>(*retryAfter).count());
    if (unable && client.fromPeer_)
        text += fmt::format("{}: 1\r\n", state.settings_.headers_.unable_);
    if (state.keepAliveDisabled_)
        client.closeAfterResponse_ = true;
    if (client.closeAfterResponse_)
        text += "Connection: close\r\n";
    text += "\r\n";
    const bool headOnly
        = exchange != state.exchanges_.end() && exchange->second.request_.method_ == "HEAD";
    if (!headOnly)
        text += response.body_;
    client.channel_.out_.bytes_ += text;
    completeResponse(state, client);
}

} // namespace tamarack::frontend
