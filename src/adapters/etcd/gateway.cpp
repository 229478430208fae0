// HTTP calls to the JSON gateway by POCO.
#include "adapters/etcd/gateway.h"

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

SessionPtr takeIdle(Gateway &gateway)
{
    const std::lock_guard lock(gateway.mutex_);
    const MonoTime oldest = std::chrono::steady_clock::now() - maxIdleTime;
    gateway.idle_.remove_if([oldest](const IdleConnection &idle) { return idle.since_ < oldest; });
    while (!gateway.idle_.empty()) {
        SessionPtr session = std::move(gateway.idle_.back().session_);
        gateway.idle_.pop_back();
        if (isFresh(*session))
            return session;
    }
    return nullptr;
}

void keepIdle(Gateway &gateway, SessionPtr session)
{
    const std::lock_guard lock(gateway.mutex_);
    if (gateway.idle_.size() < maxIdleConnections)
        gateway.idle_.push_back(
            IdleConnection {std::move(session), std::chrono::steady_clock::now()});
}

/// The other kept connections share the path of one that failed.
void dropIdle(Gateway &gateway)
{
    const std::lock_guard lock(gateway.mutex_);
    gateway.idle_.clear();
}

void send(HTTPClientSession &session, const std::string &path, const std::string &body,
          Millis timeout)
{
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(true);
    // A session on a connected socket ignores its own time-outs, so they are set on the socket.
    session.socket().setSendTimeout(timespan(timeout));
    session.socket().setReceiveTimeout(timespan(timeout));
    session.setKeepAlive(true);
    session.sendRequest(request) << body << std::flush;
}

GatewayReply receive(HTTPClientSession &session, bool &keep)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    // Any other status may be sent after the change was made, for example on a time-out.
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        return GatewayReply {StoreStatus::Unknown, nullptr};
    const bool whole = !response.hasContentLength()
        || response.getContentLength64() == static_cast<std::int64_t>(text.size());
    if (!whole)
        return GatewayReply {StoreStatus::Unknown, nullptr};
    GatewayReply reply {StoreStatus::Ok, parse(text)};
    keep = response.getKeepAlive();
    return reply;
}

/// Makes the call on one connection and keeps the connection if the answer is whole.
GatewayReply exchange(Gateway &gateway, SessionPtr session, const std::string &path,
                      const std::string &body)
{
    try {
        bool keep = false;
        send(*session, path, body, gateway.timeout_);
        GatewayReply reply = receive(*session, keep);
        if (keep)
            keepIdle(gateway, std::move(session));
        return reply;
    } catch (const Poco::Exception &) {
        return GatewayReply {StoreStatus::Unknown, nullptr};
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

Gateway::Gateway(std::vector<std::string> endpoints, Millis timeout)
    : endpoints_(std::move(endpoints))
    , timeout_(timeout)
{ }

Gateway::~Gateway() = default;

GatewayReply postJson(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                      Effect effect)
{
    std::ostringstream text;
    body.stringify(text);
    if (SessionPtr kept = takeIdle(gateway)) {
        GatewayReply reply = exchange(gateway, std::move(kept), path, text.str());
        if (reply.status_ == StoreStatus::Ok)
            return reply;
        dropIdle(gateway);
        if (effect == Effect::Once)
            return reply;
    }
    std::optional<Poco::Net::StreamSocket> socket = connect(gateway.endpoints_, gateway.timeout_);
    if (!socket)
        return GatewayReply {};
    return exchange(gateway, std::make_unique<HTTPClientSession>(*socket), path, text.str());
}

void postJsonStream(Gateway &gateway, const std::string &path, const Poco::JSON::Object &body,
                    Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    const MonoTime deadline = std::chrono::steady_clock::now() + limit;
    const std::optional<Poco::Net::StreamSocket> socket
        = connect(gateway.endpoints_, gateway.timeout_);
    if (!socket)
        return;
    std::list<Poco::Net::StreamSocket>::iterator place;
    {
        const std::lock_guard lock(gateway.mutex_);
        if (gateway.cancelled_)
            return;
        place = gateway.streams_.insert(gateway.streams_.end(), *socket);
    }
    try {
        std::ostringstream text;
        body.stringify(text);
        HTTPClientSession session(*socket);
        send(session, path, text.str(), limit);
        receiveLines(session, deadline, onLine);
    } catch (const Poco::Exception &) {
        // The stream ended or was silent until the limit; the caller reads the key again.
    }
    const std::lock_guard lock(gateway.mutex_);
    gateway.streams_.erase(place);
}

void cancelStreams(Gateway &gateway)
{
    const std::lock_guard lock(gateway.mutex_);
    gateway.cancelled_ = true;
    for (Poco::Net::StreamSocket &socket : gateway.streams_) {
        try {
            socket.shutdown();
        } catch (const Poco::Exception &) {
            // The stream has ended on its own.
        }
    }
}

} // namespace tamarack
