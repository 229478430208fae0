// Stand-in for a model server.
#include "modelserver.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace review {

namespace {

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// Returns whether the process that took a request still runs.
bool isRunning(ModelServer &server, const std::string &id)
{
    const std::lock_guard lock(server.mutex_);
    return !server.down_ && server.id_ == id;
}

void answerRequest(ModelServer &server, const std::string &id, Connection &connection,
                   const Message &request)
{
    ModelService &service = *server.service_;
    const std::string attempt = fieldOf(request.fields_, "Attempt-Id");
    const std::string expected = fieldOf(request.fields_, "Expect-Instance");
    if (!expected.empty() && expected != id) {
        connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                        + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    service.record_->write("server " + id + " at " + server.address_ + " begins " + attempt);
    {
        const std::lock_guard lock(service.mutex_);
        service.begun_.emplace(attempt, service.record_->now());
    }
    std::this_thread::sleep_for(service.readTime_);
    if (!isRunning(server, id))
        return;
    const std::vector<std::string> parts = partsOf(fieldOf(request.fields_, "Prefix-Hash"));
    const bool crashes
        = std::find(parts.begin(), parts.end(), service.crashingPart_) != parts.end();
    if (crashes) {
        server.crash(id);
        return;
    }
    connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
                    + "\r\nResponse-Signature: " + id
                    + "\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= service.events_; ++event) {
        if (!isRunning(server, id)
            || !connection.send(
                chunk("id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n")))
            return;
        std::this_thread::sleep_for(service.eventInterval_);
    }
    connection.send("0\r\n\r\n");
}

void serve(ModelServer &server, const std::string &id, Connection &connection)
{
    while (isRunning(server, id)) {
        const Message request = readMessage(connection, false);
        if (!request.complete_ || !isRunning(server, id))
            return;
        answerRequest(server, id, connection, request);
    }
}

} // namespace

bool ModelServer::start()
{
    const std::string id = "i-" + randomId(10);
    {
        const std::lock_guard lock(mutex_);
        id_ = id;
        down_ = false;
    }
    listener_ = std::make_unique<Listener>();
    if (!listener_->open(address_, [this, id](const std::shared_ptr<Connection> &connection) {
            serve(*this, id, *connection);
        }))
        return false;
    const auto born
        = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch());
    std::ostringstream entry;
    entry
        << R"({"Service":")" << service_->name_ << R"(","Address":")" << address_ << R"(","Zone":")"
        << zone_
        << R"(","Version":"1","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":)"
        << born.count() << "}";
    entry_ = entry.str();
    checkIn();
    return true;
}

void ModelServer::checkIn()
{
    service_->store_->put("servers/" + id_, entry_);
}

void ModelServer::crash(const std::string &id)
{
    constexpr Millis lapseTime {3600};
    {
        const std::lock_guard lock(mutex_);
        if (down_ || id_ != id)
            return;
        down_ = true;
        upAt_ = Clock::now() + service_->downTime_;
        lapse_ = {"servers/" + id, Clock::now() + lapseTime};
    }
    service_->record_->write("server " + id + " at " + address_ + " crashes");
    {
        const std::lock_guard lock(service_->mutex_);
        service_->crashes_.push_back(service_->record_->now());
    }
    listener_->kill();
}

void ModelServer::tend()
{
    std::optional<std::string> lapsed;
    bool starts = false;
    {
        const std::lock_guard lock(mutex_);
        if (lapse_ && Clock::now() >= lapse_->second) {
            lapsed = lapse_->first;
            lapse_.reset();
        }
        starts = down_ && Clock::now() >= upAt_ && listener_ && listener_->fd_ < 0;
    }
    if (lapsed)
        service_->store_->remove(*lapsed);
    if (starts && start())
        service_->record_->write("server " + id_ + " at " + address_ + " starts");
}

void ModelServer::stop()
{
    {
        const std::lock_guard lock(mutex_);
        down_ = true;
    }
    if (listener_)
        listener_->kill();
}

std::vector<std::string> partsOf(const std::string &list)
{
    std::vector<std::string> parts;
    std::istringstream entries(list);
    std::string entry;
    while (std::getline(entries, entry, ','))
        parts.push_back(entry.substr(0, entry.find(':')));
    return parts;
}

} // namespace review
