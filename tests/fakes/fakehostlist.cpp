// fake-hostlist: the platform's host list service. PUT /hosts replaces the list with the request
// body, so that a test can mark a host as leaving, remove it or serve a malformed list.
#include "fakes/fakehttp.h"

#include <CLI/CLI.hpp>

#include <mutex>

int main(int argc, char **argv)
{
    CLI::App app {"fake-hostlist: the platform's host list service for tests"};
    std::string address = "127.0.0.1:8200";
    app.add_option("--address", address, "IP:port to listen on");
    CLI11_PARSE(app, argc, argv);
    std::mutex mutex;
    std::string list = "[]";
    tamarack::fakes::runHttpServer(address, [&](auto &request, auto &response) {
        using namespace tamarack::fakes;
        const std::lock_guard lock(mutex);
        if (request.getMethod() == "PUT")
            list = readBody(request);
        sendText(response, 200, "application/json", list);
    });
}
