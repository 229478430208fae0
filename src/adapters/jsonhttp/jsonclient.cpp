// HTTP client for services with JSON bodies, based on POCO.
#include "adapters/jsonhttp/jsonclient.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <istream>
#include <optional>
#include <ostream>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace tamarack {

namespace {

using Poco::Net::HTTPClientSession;
using SessionPtr = std::unique_ptr<HTTPClientSession>;

/// Network devices on the path may have dropped the state of a connection that was idle for longer.
constexpr Millis maxIdleTime {5000};
constexpr std::size_t maxIdleSessions = 8;

/// Keep-alive probes find a connection that lost its path within about 3 s, also while the service
/// delays its response. Unacknowledged data fails it after the same time.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int unacknowledgedMillis = 3000;

void enableKeepAlive(Poco::Net::StreamSocket &socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
}

Poco::Timespan timespan(Millis time)
{
    return Poco::Timespan(std::chrono::duration_cast<Micros>(time).count());
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
std::optional<Poco::Net::StreamSocket> connect(const std::vector<std::string> &endpoints,
                                               Millis timeout)
{
    for (const std::string &endpoint : endpoints) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(endpoint), timespan(timeout));
            socket.setNoDelay(true);
            enableKeepAlive(socket);
            return socket;
        } catch (const Poco::Exception &) {
            continue;
        }
    }
    return std::nullopt;
}

/// Returns whether a pooled connection can be used. A readable one was closed by the service or
/// holds unexpected data.
bool isUsable(HTTPClientSession &session)
{
    try {
        return !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

SessionPtr takeIdleSession(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    const MonoTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    client.idle_.remove_if([oldest](const IdleSession &idle) { return idle.idleSince_ < oldest; });
    while (!client.idle_.empty()) {
        SessionPtr session = std::move(client.idle_.back().session_);
        client.idle_.pop_back();
        if (isUsable(*session))
            return session;
    }
    return nullptr;
}

void returnSession(JsonHttpClient &client, SessionPtr session)
{
    const std::lock_guard lock(client.mutex_);
    if (client.idle_.size() < maxIdleSessions)
        client.idle_.push_back(IdleSession {std::move(session), std::chrono::steady_clock::now()});
}

/// Closes all pooled connections: they share the network path of one that failed.
void closeIdleSessions(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    client.idle_.clear();
}

void writeRequest(HTTPClientSession &session, const JsonRequest &request, Millis timeout)
{
    Poco::Net::HTTPRequest httpRequest(request.method_, request.path_,
                                       Poco::Net::HTTPRequest::HTTP_1_1);
    httpRequest.setKeepAlive(true);
    // A session created from a connected socket does not know its host name.
    httpRequest.setHost(session.socket().peerAddress().toString());
    if (!request.body_.empty()) {
        httpRequest.setContentType("application/json");
        httpRequest.setContentLength(static_cast<std::streamsize>(request.body_.size()));
    }
    // A session created from a connected socket ignores its own timeouts, so they are set on the
    // socket.
    session.socket().setSendTimeout(timespan(timeout));
    session.socket().setReceiveTimeout(timespan(timeout));
    session.setKeepAlive(true);
    session.sendRequest(httpRequest) << request.body_ << std::flush;
}

/// Returns the era in a header field, or 0 if it is missing or malformed.
StoreEra eraOf(const Poco::Net::HTTPResponse &response, const std::string &field)
{
    Poco::UInt64 era = 0;
    const bool valid
        = !field.empty() && Poco::NumberParser::tryParseUnsigned64(response.get(field, ""), era);
    return valid ? StoreEra {era} : StoreEra {};
}

JsonResponse readResponse(HTTPClientSession &session, const std::string &eraField, bool &keepAlive)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    const bool complete = !response.hasContentLength()
        || response.getContentLength64() == static_cast<std::int64_t>(text.size());
    if (!complete)
        return JsonResponse {StoreStatus::Unknown, 0, nullptr, {}};
    JsonResponse reply {StoreStatus::Ok, response.getStatus(), nullptr, eraOf(response, eraField)};
    if (text.starts_with('{'))
        reply.body_ = parse(text);
    else if (reply.httpStatus_ == Poco::Net::HTTPResponse::HTTP_OK && !text.empty())
        return JsonResponse {StoreStatus::Unknown, 0, nullptr, {}};
    keepAlive = response.getKeepAlive();
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

/// Sends the request on one connection and returns the connection to the pool after a complete
/// response.
JsonResponse roundTrip(JsonHttpClient &client, SessionPtr session, const JsonRequest &request)
{
    try {
        bool keepAlive = false;
        std::optional<CancelRegistration> registration;
        if (request.cancellable_ && !registration.emplace(client, session->socket()).registered_)
            return JsonResponse {};
        writeRequest(*session, request, request.timeout_.value_or(client.timeout_));
        JsonResponse reply = readResponse(*session, client.eraField_, keepAlive);
        std::uint64_t newest = client.newestEra_;
        while (reply.era_.value_ > newest
               && !client.newestEra_.compare_exchange_weak(newest, reply.era_.value_)) { }
        if (keepAlive)
            returnSession(client, std::move(session));
        return reply;
    } catch (const Poco::Exception &) {
        return JsonResponse {StoreStatus::Unknown, 0, nullptr, {}};
    }
}

void readLines(HTTPClientSession &session, MonoTime deadline,
               const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string line;
    while (std::chrono::steady_clock::now() < deadline && std::getline(stream, line)) {
        if (!onLine(parse(line)))
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

JsonHttpClient::~JsonHttpClient() = default;

StoreEra newestEra(const JsonHttpClient &client)
{
    return StoreEra {client.newestEra_};
}

JsonResponse sendJson(JsonHttpClient &client, const JsonRequest &request)
{
    if (SessionPtr pooled = takeIdleSession(client)) {
        JsonResponse reply = roundTrip(client, std::move(pooled), request);
        if (reply.outcome_ == StoreStatus::Ok)
            return reply;
        closeIdleSessions(client);
        if (request.idempotency_ == Idempotency::NonIdempotent)
            return reply;
    }
    std::optional<Poco::Net::StreamSocket> socket = connect(client.endpoints_, client.timeout_);
    if (!socket)
        return JsonResponse {};
    return roundTrip(client, std::make_unique<HTTPClientSession>(*socket), request);
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
    const MonoTime deadline = std::chrono::steady_clock::now() + limit;
    const std::optional<Poco::Net::StreamSocket> socket
        = connect(client.endpoints_, client.timeout_);
    if (!socket)
        return;
    const CancelRegistration registration(client, *socket);
    if (!registration.registered_)
        return;
    try {
        HTTPClientSession session(*socket);
        writeRequest(
            session,
            JsonRequest {"POST", path, stringify(body), Idempotency::Idempotent, limit, true},
            limit);
        readLines(session, deadline, onLine);
    } catch (const Poco::Exception &) {
        // The stream failed or timed out; the lines received so far were passed on.
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
