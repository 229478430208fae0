// HTTP client for services with JSON bodies, based on POCO.
#include "adapters/jsonhttp/jsonclient.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

#include <optional>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace tamarack {

namespace {

/// Network devices on the path may have dropped the state of a connection that was idle for longer.
constexpr Millis maxIdleTime {5000};
constexpr std::size_t maxIdleConnections = 8;
constexpr std::size_t maxResponseBytes = std::size_t {64} << 20U;

/// Keep-alive probes find a connection that lost its path, also while the service delays its
/// response. TCP_USER_TIMEOUT closes it, for unanswered probes and for unacknowledged data alike;
/// TCP_KEEPCNT would have no effect beside it.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int unacknowledgedMillis = 3000;

void enableKeepAlive(Poco::Net::StreamSocket &socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
}

Poco::JSON::Object::Ptr parse(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::string stringify(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

/// Connects before the request is written, because only a failed connect proves that nothing was
/// sent.
std::optional<Connection> connect(const std::vector<std::string> &endpoints, Millis timeout)
{
    for (const std::string &endpoint : endpoints) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(endpoint), toTimespan(timeout));
            socket.setNoDelay(true);
            enableKeepAlive(socket);
            Connection connection;
            connection.socket_ = socket;
            return connection;
        } catch (const Poco::Exception &) {
            continue;
        }
    }
    return std::nullopt;
}

/// Returns whether a pooled connection can be used. A readable one was closed by the service or
/// holds unexpected data.
bool isUsable(const Connection &connection)
{
    try {
        return availableBytes(connection) == 0
            && !connection.socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::optional<Connection> takeIdleConnection(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    const MonoTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    client.idle_.remove_if(
        [oldest](const IdleConnection &idle) { return idle.idleSince_ < oldest; });
    while (!client.idle_.empty()) {
        Connection connection = std::move(client.idle_.back().connection_);
        client.idle_.pop_back();
        if (isUsable(connection))
            return connection;
    }
    return std::nullopt;
}

void returnConnection(JsonHttpClient &client, Connection connection)
{
    const std::lock_guard lock(client.mutex_);
    if (client.idle_.size() < maxIdleConnections)
        client.idle_.push_back(
            IdleConnection {std::move(connection), std::chrono::steady_clock::now()});
}

/// Closes all pooled connections: they share the network path of one that failed.
void closeIdleConnections(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    client.idle_.clear();
}

IoStatus writeRequest(Connection &connection, const JsonRequest &request, Millis timeout)
{
    Poco::Net::HTTPRequest httpRequest(request.method_, request.path_,
                                       Poco::Net::HTTPRequest::HTTP_1_1);
    httpRequest.setKeepAlive(true);
    httpRequest.setHost(connection.socket_.peerAddress().toString());
    if (!request.body_.empty()) {
        httpRequest.setContentType("application/json");
        httpRequest.setContentLength(static_cast<std::streamsize>(request.body_.size()));
    }
    return sendAll(connection, serialize(httpRequest, request.body_), timeout);
}

/// Returns the era in a header field, or 0 if it is missing or malformed.
StoreEra eraOf(const Poco::Net::HTTPResponse &response, const std::string &field)
{
    Poco::UInt64 era = 0;
    const bool valid
        = !field.empty() && Poco::NumberParser::tryParseUnsigned64(response.get(field, ""), era);
    return valid ? StoreEra {era} : StoreEra {};
}

JsonResponse unknownResponse()
{
    return JsonResponse {StoreStatus::Unknown, 0, nullptr, {}};
}

/// Reads a response, of which nothing is used unless it is whole and valid.
JsonResponse readResponse(Connection &connection, const std::string &method, Millis timeout,
                          const std::string &eraField, bool &keepAlive)
{
    ReadLimits limits;
    limits.idleTimeout_ = timeout;
    WholeResponse response;
    if (readWholeResponse(connection, limits, method, maxResponseBytes, response) != IoStatus::Ok)
        return unknownResponse();
    const std::string &text = response.body_;
    JsonResponse reply {StoreStatus::Ok, response.status_, nullptr,
                        eraOf(response.head_, eraField)};
    const bool isFramed = response.framing_ != BodyFraming::UntilClose;
    if (text.starts_with('{'))
        reply.body_ = parse(text);
    else if (!isFramed || (reply.httpStatus_ == Poco::Net::HTTPResponse::HTTP_OK && !text.empty()))
        // Without framing, only a JSON object shows its end.
        return unknownResponse();
    keepAlive = isFramed && response.head_.getKeepAlive();
    return reply;
}

/// Registers a socket so that cancelRequests() can shut it down from another thread.
struct CancelRegistration
{
    JsonHttpClient &client_;
    std::list<Poco::Net::StreamSocket>::iterator position_;
    bool registered_ = false;

    CancelRegistration(JsonHttpClient &client, const Poco::Net::StreamSocket &socket)
        : client_(client)
    {
        const std::lock_guard lock(client_.mutex_);
        if (client_.cancelled_)
            return;
        position_ = client_.cancellableSockets_.insert(client_.cancellableSockets_.end(), socket);
        registered_ = true;
    }
    ~CancelRegistration()
    {
        if (!registered_)
            return;
        const std::lock_guard lock(client_.mutex_);
        client_.cancellableSockets_.erase(position_);
    }
    CancelRegistration(const CancelRegistration &) = delete;
    CancelRegistration &operator=(const CancelRegistration &) = delete;
};

bool isCancelled(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    return client.cancelled_;
}

/// Sends the request on one connection and returns the connection to the pool after a complete
/// response.
JsonResponse roundTrip(JsonHttpClient &client, Connection connection, const JsonRequest &request)
{
    try {
        bool keepAlive = false;
        std::optional<CancelRegistration> registration;
        if (request.cancellable_ && !registration.emplace(client, connection.socket_).registered_)
            return JsonResponse {};
        const Millis timeout = request.timeout_.value_or(client.timeout_);
        if (writeRequest(connection, request, timeout) != IoStatus::Ok)
            return unknownResponse();
        JsonResponse reply
            = readResponse(connection, request.method_, timeout, client.eraField_, keepAlive);
        // The shutdown of the socket looks like an orderly end of the response.
        if (request.cancellable_ && isCancelled(client))
            return unknownResponse();
        std::uint64_t newest = client.newestEra_;
        while (reply.era_.value_ > newest
               && !client.newestEra_.compare_exchange_weak(newest, reply.era_.value_)) { }
        if (keepAlive)
            returnConnection(client, std::move(connection));
        return reply;
    } catch (const Poco::Exception &) {
        return unknownResponse();
    }
}

/// Passes on the lines of a response until @a onLine returns false, the response ends or fails, or
/// the deadline passes.
void readLines(Connection &connection, const ReadLimits &limits,
               const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    ReceivedHead head;
    if (readHead(connection, limits, "POST", head) != IoStatus::Ok)
        return;
    std::string text;
    std::string bytes;
    while (!head.body_.complete_
           && readBodyBytes(connection, limits, head.body_, bytes) == IoStatus::Ok) {
        text += bytes;
        for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
            if (!onLine(parse(text.substr(0, end))))
                return;
            text.erase(0, end + 1);
        }
        if (text.size() > maxResponseBytes)
            return;
    }
}

} // namespace

JsonHttpClient::JsonHttpClient(std::vector<std::string> endpoints, Millis timeout,
                               std::string eraField)
    : endpoints_(std::move(endpoints))
    , timeout_(timeout)
    , eraField_(std::move(eraField))
{ }

StoreEra newestEra(const JsonHttpClient &client)
{
    return StoreEra {client.newestEra_};
}

JsonResponse sendJson(JsonHttpClient &client, const JsonRequest &request)
{
    if (std::optional<Connection> pooled = takeIdleConnection(client)) {
        JsonResponse reply = roundTrip(client, std::move(*pooled), request);
        if (reply.outcome_ == StoreStatus::Ok)
            return reply;
        closeIdleConnections(client);
        if (request.idempotency_ == Idempotency::NonIdempotent)
            return reply;
    }
    std::optional<Connection> connection = connect(client.endpoints_, client.timeout_);
    if (!connection)
        return JsonResponse {};
    return roundTrip(client, std::move(*connection), request);
}

PostResult postJson(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Idempotency idempotency)
{
    const JsonResponse reply = sendJson(
        client, JsonRequest {"POST", path, stringify(body), idempotency, std::nullopt, false});
    if (reply.outcome_ != StoreStatus::Ok)
        return PostResult {reply.outcome_, nullptr};
    // Other statuses don't show whether the request took effect: a service may also send them after
    // the change, for example on a timeout.
    if (reply.httpStatus_ != Poco::Net::HTTPResponse::HTTP_OK || !reply.body_)
        return PostResult {StoreStatus::Unknown, nullptr};
    return PostResult {StoreStatus::Ok, reply.body_};
}

void postJsonStream(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    ReadLimits limits;
    limits.idleTimeout_ = limit;
    limits.deadline_ = std::chrono::steady_clock::now() + limit;
    std::optional<Connection> connection = connect(client.endpoints_, client.timeout_);
    if (!connection)
        return;
    const CancelRegistration registration(client, connection->socket_);
    if (!registration.registered_)
        return;
    try {
        const JsonRequest request {"POST", path, stringify(body), Idempotency::Idempotent,
                                   limit,  true};
        if (writeRequest(*connection, request, limit) == IoStatus::Ok)
            readLines(*connection, limits, onLine);
    } catch (const Poco::Exception &) {
        // A line was no JSON object; the lines before it were passed on.
    }
}

void cancelRequests(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    client.cancelled_ = true;
    for (Poco::Net::StreamSocket &socket : client.cancellableSockets_) {
        try {
            socket.shutdown();
        } catch (const Poco::Exception &) {
            // The socket was already closed.
        }
    }
}

} // namespace tamarack
