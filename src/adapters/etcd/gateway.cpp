// HTTP calls to the JSON gateway by POCO.
#include "adapters/etcd/gateway.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <istream>
#include <ostream>
#include <sstream>

namespace tamarack {

namespace {

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
bool connect(Poco::Net::StreamSocket &socket, const std::string &endpoint, Millis timeout)
{
    try {
        socket.connect(Poco::Net::SocketAddress(endpoint), timespan(timeout));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void send(Poco::Net::HTTPClientSession &session, const std::string &path,
          const Poco::JSON::Object &body, Millis timeout)
{
    std::ostringstream text;
    body.stringify(text);
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.str().size()));
    session.setTimeout(timespan(timeout), timespan(timeout), timespan(timeout));
    session.sendRequest(request) << text.str() << std::flush;
}

GatewayReply receive(Poco::Net::HTTPClientSession &session)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    // Any other status may be sent after the change was made, for example on a time-out.
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        return GatewayReply {StoreStatus::Unknown, nullptr};
    return GatewayReply {StoreStatus::Ok, parse(text)};
}

void receiveLines(Poco::Net::HTTPClientSession &session,
                  const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string line;
    while (std::getline(stream, line)) {
        if (!onLine(parse(line)))
            return;
    }
}

} // namespace

GatewayReply postJson(const std::vector<std::string> &endpoints, const std::string &path,
                      const Poco::JSON::Object &body, Millis timeout)
{
    for (const std::string &endpoint : endpoints) {
        Poco::Net::StreamSocket socket;
        if (!connect(socket, endpoint, timeout))
            continue;
        try {
            Poco::Net::HTTPClientSession session(socket);
            send(session, path, body, timeout);
            return receive(session);
        } catch (const Poco::Exception &) {
            return GatewayReply {StoreStatus::Unknown, nullptr};
        }
    }
    return GatewayReply {};
}

void postJsonStream(const std::vector<std::string> &endpoints, const std::string &path,
                    const Poco::JSON::Object &body, Millis limit,
                    const std::function<bool(const Poco::JSON::Object::Ptr &)> &onLine)
{
    for (const std::string &endpoint : endpoints) {
        Poco::Net::StreamSocket socket;
        if (!connect(socket, endpoint, limit))
            continue;
        try {
            Poco::Net::HTTPClientSession session(socket);
            send(session, path, body, limit);
            receiveLines(session, onLine);
        } catch (const Poco::Exception &) {
            return;
        }
        return;
    }
}

} // namespace tamarack
