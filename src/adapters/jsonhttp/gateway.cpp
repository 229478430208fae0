// HTTP calls with JSON bodies by POCO.
#include "adapters/jsonhttp/gateway.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <istream>
#include <optional>
#include <ostream>
#include <sstream>

namespace tamarack {

namespace {

using Poco::Net::HTTPClientSession;
using SessionPtr = std::unique_ptr<HTTPClientSession>;

/// A connection that was idle for longer may have lost its state somewhere on the path (fault F7).
constexpr Millis maxIdleTime {5000};
constexpr std::size_t maxIdleConnections = 8;

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

/// Connects on its own, because a failure to connect is the only proof that nothing was sent.
std::optional<Poco::Net::StreamSocket> connect(const std::vector<std::string> &endpoints,
                                               Millis timeout)
{
    for (const std::string &endpoint : endpoints) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(endpoint), timespan(timeout));
            socket.setNoDelay(true);
            return socket;
        } catch (const Poco::Exception &) {
            continue;
        }
    }
    return std::nullopt;
}

/// A kept connection that is readable was closed by the store or holds an answer to nobody.
bool isFresh(HTTPClientSession &session)
{
    try {
        return !session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

SessionPtr takeIdle(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    const MonoTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    client.idle_.remove_if([oldest](const IdleConnection &idle) { return idle.since_ < oldest; });
    while (!client.idle_.empty()) {
        SessionPtr session = std::move(client.idle_.back().session_);
        client.idle_.pop_back();
        if (isFresh(*session))
            return session;
    }
    return nullptr;
}

void keepIdle(JsonHttpClient &client, SessionPtr session)
{
    const std::lock_guard lock(client.mutex_);
    if (client.idle_.size() < maxIdleConnections)
        client.idle_.push_back(
            IdleConnection {std::move(session), std::chrono::steady_clock::now()});
}

/// The other kept connections share the path of one that failed.
void dropIdle(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    client.idle_.clear();
}

void send(HTTPClientSession &session, const JsonRequest &call, Millis timeout)
{
    Poco::Net::HTTPRequest request(call.method_, call.path_, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setKeepAlive(true);
    // A session on a connected socket knows no host name.
    request.setHost(session.socket().peerAddress().toString());
    if (!call.body_.empty()) {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body_.size()));
    }
    // A session on a connected socket ignores its own time-outs, so they are set on the socket.
    session.socket().setSendTimeout(timespan(timeout));
    session.socket().setReceiveTimeout(timespan(timeout));
    session.setKeepAlive(true);
    session.sendRequest(request) << call.body_ << std::flush;
}

JsonResponse receive(HTTPClientSession &session, bool &keep)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    const bool whole = !response.hasContentLength()
        || response.getContentLength64() == static_cast<std::int64_t>(text.size());
    if (!whole)
        return JsonResponse {StoreStatus::Unknown, 0, nullptr};
    JsonResponse reply {StoreStatus::Ok, response.getStatus(), nullptr};
    if (text.starts_with('{'))
        reply.body_ = parse(text);
    else if (reply.status_ == Poco::Net::HTTPResponse::HTTP_OK && !text.empty())
        return JsonResponse {StoreStatus::Unknown, 0, nullptr};
    keep = response.getKeepAlive();
    return reply;
}

/// Registers a connection so that another thread can end a call on it.
struct CancelEntry
{
    JsonHttpClient &gateway_;
    std::list<Poco::Net::StreamSocket>::iterator place_;
    bool entered_ = false;

    CancelEntry(JsonHttpClient &client, const Poco::Net::StreamSocket &socket)
        : gateway_(client)
    {
        const std::lock_guard lock(gateway_.mutex_);
        if (gateway_.cancelled_)
            return;
        place_ = gateway_.streams_.insert(gateway_.streams_.end(), socket);
        entered_ = true;
    }
    ~CancelEntry()
    {
        if (!entered_)
            return;
        const std::lock_guard lock(gateway_.mutex_);
        gateway_.streams_.erase(place_);
    }
    CancelEntry(const CancelEntry &) = delete;
    CancelEntry &operator=(const CancelEntry &) = delete;
};

/// Makes the call on one connection and keeps the connection if the answer is whole.
JsonResponse exchange(JsonHttpClient &client, SessionPtr session, const JsonRequest &call)
{
    try {
        bool keep = false;
        std::optional<CancelEntry> entry;
        if (call.cancellable_ && !entry.emplace(client, session->socket()).entered_)
            return JsonResponse {};
        send(*session, call, call.timeout_.value_or(client.timeout_));
        JsonResponse reply = receive(*session, keep);
        if (keep)
            keepIdle(client, std::move(session));
        return reply;
    } catch (const Poco::Exception &) {
        return JsonResponse {StoreStatus::Unknown, 0, nullptr};
    }
}

void receiveLines(HTTPClientSession &session, MonoTime deadline,
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

JsonHttpClient::JsonHttpClient(std::vector<std::string> endpoints, Millis timeout)
    : endpoints_(std::move(endpoints))
    , timeout_(timeout)
{ }

JsonHttpClient::~JsonHttpClient() = default;

JsonResponse sendJson(JsonHttpClient &client, const JsonRequest &call)
{
    if (SessionPtr kept = takeIdle(client)) {
        JsonResponse reply = exchange(client, std::move(kept), call);
        if (reply.delivery_ == StoreStatus::Ok)
            return reply;
        dropIdle(client);
        if (call.effect_ == Idempotency::NonIdempotent)
            return reply;
    }
    std::optional<Poco::Net::StreamSocket> socket = connect(client.endpoints_, client.timeout_);
    if (!socket)
        return JsonResponse {};
    return exchange(client, std::make_unique<HTTPClientSession>(*socket), call);
}

PostResult postJson(JsonHttpClient &client, const std::string &path, const Poco::JSON::Object &body,
                    Idempotency effect)
{
    const JsonResponse reply = sendJson(
        client, JsonRequest {"POST", path, stringify(body), effect, std::nullopt, false});
    if (reply.delivery_ != StoreStatus::Ok)
        return PostResult {reply.delivery_, nullptr};
    // Any other status may be sent after the change was made, for example on a time-out.
    if (reply.status_ != Poco::Net::HTTPResponse::HTTP_OK || !reply.body_)
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
    const CancelEntry entry(client, *socket);
    if (!entry.entered_)
        return;
    try {
        HTTPClientSession session(*socket);
        send(session,
             JsonRequest {"POST", path, stringify(body), Idempotency::Idempotent, limit, true},
             limit);
        receiveLines(session, deadline, onLine);
    } catch (const Poco::Exception &) {
        // The stream ended or was silent until the limit; the caller reads the key again.
    }
}

void cancelRequests(JsonHttpClient &client)
{
    const std::lock_guard lock(client.mutex_);
    client.cancelled_ = true;
    for (Poco::Net::StreamSocket &socket : client.streams_) {
        try {
            socket.shutdown();
        } catch (const Poco::Exception &) {
            // The call has ended on its own.
        }
    }
}

} // namespace tamarack
