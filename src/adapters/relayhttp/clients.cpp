// Connections of clients: requests are read whole, then handed to the control thread.
#include "adapters/relayhttp/frontparts.h"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace tamarack::front {

namespace {

constexpr int statusRequestTimeout = 408;
constexpr std::uint32_t readInterest = EPOLLIN | EPOLLRDHUP;

/// Bytes of further requests that are read while one is answered.
constexpr std::size_t maxPipelinedBytes = 64U << 10U;

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

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

/// Splits at the first separator; the second part is empty if there is none.
std::pair<std::string_view, std::string_view> split(std::string_view text, char separator)
{
    const std::size_t at = text.find(separator);
    if (at == std::string_view::npos)
        return {text, {}};
    return {text.substr(0, at), text.substr(at + 1)};
}

std::vector<PromptPart> parseParts(std::string_view text)
{
    std::vector<PromptPart> parts;
    while (!text.empty()) {
        const auto [entry, rest] = split(text, ',');
        const auto [id, tokens] = split(entry, ':');
        if (const auto count = parseNumber(tokens))
            parts.push_back(PromptPart {std::string(id), Tokens {*count}});
        text = rest;
    }
    return parts;
}

std::optional<PromptUsage> parseUsage(const HttpRequest &request, const HeaderNames &names)
{
    const auto field = findField(request.headers_, names.usage_);
    if (!field)
        return std::nullopt;
    const auto [prompt, output] = split(*field, ',');
    const auto promptTokens = parseNumber(prompt);
    const auto outputTokens = parseNumber(output);
    if (!promptTokens || !outputTokens)
        return std::nullopt;
    PromptUsage usage {Tokens {*promptTokens}, Tokens {*outputTokens}, {}};
    if (const auto parts = findField(request.headers_, names.promptParts_))
        usage.parts_ = parseParts(*parts);
    return usage;
}

std::string parseKey(const HttpRequest &request, const HeaderNames &names)
{
    const auto field = findField(request.headers_, "Authorization");
    if (!field)
        return {};
    const auto [scheme, key] = split(*field, ' ');
    return sameFieldName(scheme, names.authScheme_) ? std::string(key) : std::string();
}

void submitRequest(FrontState &state, ClientConnection &client, HttpRequest request)
{
    const HeaderNames &names = state.settings_.headers_;
    Exchange exchange;
    exchange.id_ = ExchangeId {++state.lastId_};
    exchange.client_ = client.endpoint_.id_;
    exchange.arrivedAt_ = *client.requestStart_;
    exchange.requestId_
        = RequestId {std::string(findField(request.headers_, names.requestId_).value_or(""))};
    if (const auto field = findField(request.headers_, names.deadline_)) {
        if (const auto millis = parseNumber(*field))
            exchange.clientTimeout_ = Millis {*millis};
    }
    RelayRequest relayed;
    relayed.id_ = exchange.id_;
    relayed.request_ = exchange.requestId_;
    relayed.host_ = request.host_;
    relayed.path_ = request.target_;
    relayed.key_ = parseKey(request, names);
    relayed.usage_ = parseUsage(request, names);
    relayed.bodyBytes_ = request.body_.size();
    relayed.arrivedAt_ = exchange.arrivedAt_;
    relayed.clientTimeout_ = exchange.clientTimeout_;
    client.exchange_ = exchange.id_;
    exchange.request_ = std::move(request);
    state.exchanges_.emplace(exchange.id_, std::move(exchange));
    state.events_.post_(RequestRead {std::move(relayed)});
}

void refuseBadRequest(FrontState &state, ClientConnection &client, int status,
                      const std::string &problem)
{
    client.closeAfter_ = true;
    LocalResponse answer;
    answer.contentType_ = "application/json";
    answer.body_
        = fmt::format(R"({{"error":{{"code":"invalid_request","message":"{}"}}}})", problem);
    answerLocally(state, client, status, answer, std::nullopt);
}

void handleRequest(FrontState &state, ClientConnection &client)
{
    HttpRequest request = takeRequest(client.reader_);
    client.stage_ = ClientStage::Busy;
    client.closeAfter_ = !request.keepAlive_ || request.http10_ || state.closing_;
    setDeadline(state, client.endpoint_, std::nullopt);
    if (!client.local_) {
        submitRequest(state, client, std::move(request));
        return;
    }
    const LocalResponse answer = state.pages_(request.target_);
    answerLocally(state, client, answer.status_, answer, std::nullopt);
}

/// Parses what has arrived and starts the next request if it is whole.
void readOn(FrontState &state, ClientConnection &client)
{
    if (client.reader_.pending_.empty() && !client.requestStart_)
        return;
    const MonoTime now = std::chrono::steady_clock::now();
    if (!client.requestStart_) {
        client.requestStart_ = now;
        setDeadline(state, client.endpoint_, now + state.limits_.readTimeout_);
    }
    const RequestProgress progress = readRequest(
        client.reader_, RequestLimits {state.limits_.maxHeaderBytes_, state.limits_.maxBodyBytes_});
    if (progress.expectsContinue_)
        sendToClient(state, client, "HTTP/1.1 100 Continue\r\n\r\n");
    if (progress.state_ == ReadState::Done)
        handleRequest(state, client);
    else if (progress.state_ == ReadState::Bad)
        refuseBadRequest(state, client, progress.status_, progress.problem_);
}

/// Closes a connection on the way back through the event loop, because callers still refer to it.
void closeSoon(FrontState &state, ClientConnection &client)
{
    client.closing_ = true;
    client.endpoint_.out_ = {};
    setDeadline(state, client.endpoint_, std::chrono::steady_clock::now());
}

void waitForRequest(FrontState &state, ClientConnection &client)
{
    client.stage_ = ClientStage::Reading;
    client.exchange_ = {};
    client.requestStart_.reset();
    watch(state, client.endpoint_, readInterest);
    if (state.closingIdle_ && client.reader_.pending_.empty()) {
        closeSoon(state, client);
        return;
    }
    setDeadline(state, client.endpoint_,
                std::chrono::steady_clock::now() + state.limits_.idleTimeout_);
    readOn(state, client);
}

void closeInOrder(FrontState &state, ClientConnection &client)
{
    client.stage_ = ClientStage::Lingering;
    client.reader_.pending_.clear();
    ::shutdown(client.endpoint_.socket_.fd_, SHUT_WR);
    watch(state, client.endpoint_, readInterest);
    setDeadline(state, client.endpoint_,
                std::chrono::steady_clock::now() + state.settings_.lingerLimit_);
}

/// Called when all bytes of a complete answer are sent.
void onAnswerSent(FrontState &state, ClientConnection &client)
{
    if (client.reset_)
        closeSoon(state, client);
    else if (client.closeAfter_)
        closeInOrder(state, client);
    else
        waitForRequest(state, client);
}

/// Tells the control thread that the client left, and ends the work for it.
void leave(FrontState &state, ClientConnection &client)
{
    const auto it = state.exchanges_.find(client.exchange_);
    if (it == state.exchanges_.end())
        return;
    Exchange &exchange = it->second;
    state.events_.post_(ClientDisconnected {exchange.id_, exchange.eventCount_});
    const bool finishes = exchange.upstream_ && !exchange.attempt_.streaming_
        && exchange.attempt_.retryPolicy_ == RetryPolicy::AtMostOnce;
    if (finishes) {
        exchange.abandoned_ = true;
        return;
    }
    cancelAttempt(state, exchange);
    state.exchanges_.erase(it);
}

void flushClient(FrontState &state, ClientConnection &client)
{
    switch (flush(client.endpoint_)) {
    case SendState::Failed:
        closeSoon(state, client);
        return;
    case SendState::Blocked:
        watch(state, client.endpoint_, client.endpoint_.interest_ | EPOLLOUT);
        return;
    case SendState::Sent:
        break;
    }
    watch(state, client.endpoint_, client.endpoint_.interest_ & ~std::uint32_t {EPOLLOUT});
    if (client.stage_ != ClientStage::Busy)
        return;
    const auto it = state.exchanges_.find(client.exchange_);
    if (it == state.exchanges_.end())
        onAnswerSent(state, client);
    else
        resumeUpstream(state, it->second);
}

/// @return false if the connection was closed
bool receiveFromClient(FrontState &state, ClientConnection &client)
{
    switch (receive(client.endpoint_, client.reader_.pending_)) {
    case ReceiveState::Received:
        break;
    case ReceiveState::Blocked:
        return true;
    case ReceiveState::Ended:
    case ReceiveState::Failed:
        closeClient(state, client.endpoint_.id_);
        return false;
    }
    if (client.stage_ == ClientStage::Lingering)
        client.reader_.pending_.clear();
    else if (client.stage_ == ClientStage::Reading)
        readOn(state, client);
    else if (client.reader_.pending_.size() > maxPipelinedBytes)
        watch(state, client.endpoint_, client.endpoint_.interest_ & ~std::uint32_t {EPOLLIN});
    return true;
}

} // namespace

void acceptClients(FrontState &state, bool local)
{
    const int listener = local ? state.localListener_.fd_ : state.clientListener_.fd_;
    while (local || state.clients_.size() < state.settings_.maxClients_) {
        Descriptor socket(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.fd_ < 0)
            return;
        setClientOptions(socket.fd_, state.settings_.unackedLimit_);
        const ConnectionId id {++state.lastId_};
        ClientConnection &client = state.clients_[id];
        client.endpoint_.id_ = id;
        client.endpoint_.socket_ = std::move(socket);
        client.local_ = local;
        watch(state, client.endpoint_, readInterest);
        setDeadline(state, client.endpoint_,
                    std::chrono::steady_clock::now() + state.limits_.idleTimeout_);
    }
}

void onClientEvent(FrontState &state, ClientConnection &client, std::uint32_t events)
{
    const ConnectionId id = client.endpoint_.id_;
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

void onClientDeadline(FrontState &state, ClientConnection &client)
{
    setDeadline(state, client.endpoint_, std::nullopt);
    if (client.stage_ == ClientStage::Reading && client.requestStart_ && !client.closing_)
        refuseBadRequest(state, client, statusRequestTimeout,
                         "the request did not arrive in time; send it again");
    else
        closeClient(state, client.endpoint_.id_);
}

void closeClient(FrontState &state, ConnectionId id)
{
    const auto it = state.clients_.find(id);
    if (it == state.clients_.end())
        return;
    leave(state, it->second);
    if (it->second.reset_) {
        const struct linger now
        {
            1, 0
        };
        ::setsockopt(it->second.endpoint_.socket_.fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    setDeadline(state, it->second.endpoint_, std::nullopt);
    state.clients_.erase(it);
}

void closeIdleClients(FrontState &state)
{
    std::vector<ConnectionId> idle;
    for (const auto &[id, client] : state.clients_) {
        if (client.stage_ == ClientStage::Reading && !client.requestStart_ && !client.local_)
            idle.push_back(id);
    }
    for (const ConnectionId id : idle) {
        ClientConnection &client = state.clients_.at(id);
        // A request that has arrived but was not read yet is served.
        if (receiveFromClient(state, client) && state.clients_.contains(id)
            && client.stage_ == ClientStage::Reading && !client.requestStart_)
            closeClient(state, id);
    }
}

void sendToClient(FrontState &state, ClientConnection &client, std::string_view bytes)
{
    client.endpoint_.out_.bytes_ += bytes;
    flushClient(state, client);
}

void completeAnswer(FrontState &state, ClientConnection &client)
{
    const auto it = state.exchanges_.find(client.exchange_);
    if (it != state.exchanges_.end()) {
        cancelAttempt(state, it->second);
        state.exchanges_.erase(it);
    }
    flushClient(state, client);
}

void answerLocally(FrontState &state, ClientConnection &client, int status,
                   const LocalResponse &answer, std::optional<Millis> retryAfter)
{
    client.stage_ = ClientStage::Busy;
    setDeadline(state, client.endpoint_, std::nullopt);
    std::string text
        = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", status,
                      reasonPhrase(status), answer.contentType_, answer.body_.size());
    const auto exchange = state.exchanges_.find(client.exchange_);
    if (exchange != state.exchanges_.end())
        text += fmt::format("{}: {}\r\n", state.settings_.headers_.requestId_,
                            exchange->second.requestId_.value_);
    if (retryAfter)
        text += fmt::format("Retry-After: {:.3f}\r\n",
                            std::chrono::duration<double>(*retryAfter).count());
    if (state.closing_)
        client.closeAfter_ = true;
    if (client.closeAfter_)
        text += "Connection: close\r\n";
    text += "\r\n";
    const bool headOnly
        = exchange != state.exchanges_.end() && exchange->second.request_.method_ == "HEAD";
    if (!headOnly)
        text += answer.body_;
    client.endpoint_.out_.bytes_ += text;
    completeAnswer(state, client);
}

} // namespace tamarack::front
