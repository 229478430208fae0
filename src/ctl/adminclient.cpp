// HTTP client of the administration interface.
#include "ctl/adminclient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <istream>
#include <ostream>

namespace tamarack {

AdminCallResult callAdmin(const AdminTarget &target, const std::string &method,
                          const std::string &path, const std::string &body)
{
    try {
        Poco::Net::HTTPClientSession session {Poco::Net::SocketAddress(target.address_)};
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.set("Authorization", "Bearer " + target.token_);
        request.setContentLength64(static_cast<std::int64_t>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        AdminCallResult result {response.getStatus(), {}};
        Poco::StreamCopier::copyToString(stream, result.body_);
        return result;
    } catch (const Poco::Exception &error) {
        return AdminCallResult {0,
                                "the daemon at " + target.address_ + " cannot be reached ("
                                    + error.displayText() + "); check --admin"};
    }
}

} // namespace tamarack
