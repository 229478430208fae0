// Stand-in for a server of a plain service.
#include "plainserver.h"

#include <sstream>

namespace review {

namespace {

void serve(PlainServer &server, Connection &connection)
{
    while (true) {
        const Message request = readMessage(connection, false);
        if (!request.complete_)
            return;
        const std::string attempt = fieldOf(request.fields_, "Attempt-Id");
        const std::string expected = fieldOf(request.fields_, "Expect-Instance");
        if (!expected.empty() && expected != server.id_) {
            if (!connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                                 + "\r\nInstance-Id: " + server.id_
                                 + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        server.record_->write("server " + server.id_ + " runs " + attempt);
        {
            const std::lock_guard lock(server.mutex_);
            server.run_.push_back(
                ReceivedRequest {attempt, request.fields_, server.record_->now()});
        }
        std::this_thread::sleep_for(server.workTime_);
        const double limit = server.limit_;
        const std::string named
            = limit < 0.0 ? std::string() : "Server-Limit: " + std::to_string(limit) + "\r\n";
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nAttempt-Id: " + attempt
                             + "\r\nResponse-Signature: " + server.id_
                             + "\r\nKeep-Alive: timeout=5\r\n" + named
                             + "Content-Length: " + std::to_string(server.answerBytes_) + "\r\n\r\n"
                             + std::string(server.answerBytes_, 'a')))
            return;
    }
}

} // namespace

bool PlainServer::start()
{
    id_ = "i-" + randomId(10);
    if (!listener_.open(address_, [this](const std::shared_ptr<Connection> &connection) {
            serve(*this, *connection);
        }))
        return false;
    const auto born
        = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
    std::ostringstream entry;
    entry
        << R"({"Service":")" << service_ << R"(","Address":")" << address_ << R"(","Zone":")"
        << zone_
        << R"(","Version":"1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":)"
        << born.count() << "}";
    store_->put("servers/" + id_, entry.str());
    return true;
}

} // namespace review
