// fake-service: a plain service that counts its calls and echoes the request body. POST /faults
// sets the faults to inject: {"status": 500, "cut": true, "silent": true, "delay": 100, "times":
// 1}.
#include "fakes/fakehttp.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <CLI/CLI.hpp>

#include <poll.h>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace tamarack::fakes {

namespace {

struct ServiceFaults
{
    int status_ = 200;
    /// Executes the call and closes the connection without a response.
    bool cut_ = false;
    /// Executes the call and keeps the connection open without a response.
    bool silent_ = false;
    std::chrono::milliseconds delay_ {0};
    /// Number of calls that the faults apply to; -1 for all.
    std::int64_t times_ = -1;
};

struct PlainService
{
    std::mutex mutex_;
    ServiceFaults faults_;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> runsById_;
};

ServiceFaults parseServiceFaults(const std::string &json)
{
    const Poco::JSON::Object::Ptr object = parseJson(json);
    ServiceFaults faults;
    faults.status_ = object->optValue("status", 200);
    faults.cut_ = object->optValue("cut", false);
    faults.silent_ = object->optValue("silent", false);
    faults.delay_ = std::chrono::milliseconds {object->optValue<std::int64_t>("delay", 0)};
    faults.times_ = object->optValue<std::int64_t>("times", -1);
    return faults;
}

/// Counts a call, and returns its faults after decrementing their remaining count.
ServiceFaults recordRun(PlainService &service, const std::string &id)
{
    const std::lock_guard lock(service.mutex_);
    ++service.runs_;
    ++service.runsById_[id];
    if (service.faults_.times_ == 0)
        return {};
    if (service.faults_.times_ > 0)
        --service.faults_.times_;
    return service.faults_;
}

void run(PlainService &service, Poco::Net::HTTPServerRequest &request,
         Poco::Net::HTTPServerResponse &response)
{
    const std::string body = readBody(request);
    const ServiceFaults faults = recordRun(service, request.get("X-Request-Id", ""));
    std::this_thread::sleep_for(faults.delay_);
    if (faults.cut_ || faults.silent_) {
        auto &socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
        constexpr int maxStallMs = 120'000; // Longer than any test runs.
        pollfd descriptor {socket.impl()->sockfd(), POLLRDHUP, 0};
        if (faults.silent_)
            ::poll(&descriptor, 1, maxStallMs);
        socket.shutdown();
        return;
    }
    sendText(response, faults.status_, "text/plain",
             request.getMethod() + " " + request.getURI() + " " + body);
}

void handle(PlainService &service, Poco::Net::HTTPServerRequest &request,
            Poco::Net::HTTPServerResponse &response)
{
    const std::string &path = request.getURI();
    if (path == "/faults") {
        const ServiceFaults faults = parseServiceFaults(readBody(request));
        const std::lock_guard lock(service.mutex_);
        service.faults_ = faults;
        sendText(response, 200, "text/plain", "ok");
    } else if (path == "/health") {
        sendText(response, 200, "application/json", R"({"state":"live"})");
    } else if (path == "/runs" || path.starts_with("/runs/")) {
        const std::lock_guard lock(service.mutex_);
        const std::uint64_t runs
            = path == "/runs" ? service.runs_ : service.runsById_[path.substr(6)];
        sendText(response, 200, "text/plain", std::to_string(runs));
    } else {
        run(service, request, response);
    }
}

} // namespace

} // namespace tamarack::fakes

int main(int argc, char **argv)
{
    CLI::App app {"fake-service: a plain service for tests"};
    std::string address = "127.0.0.1:8100";
    app.add_option("--address", address, "IP:port to listen on");
    CLI11_PARSE(app, argc, argv);
    tamarack::fakes::PlainService service;
    tamarack::fakes::runHttpServer(address, [&service](auto &request, auto &response) {
        tamarack::fakes::handle(service, request, response);
    });
}
