// fake-service: a plain service that counts its calls and echoes the body.
#include "fakes/fakehttp.h"

#include <CLI/CLI.hpp>

#include <atomic>

int main(int argc, char **argv)
{
    CLI::App app {"fake-service: a plain service, for tests"};
    std::string address = "127.0.0.1:8100";
    app.add_option("--address", address, "IP:port to listen on");
    CLI11_PARSE(app, argc, argv);
    std::atomic<std::uint64_t> runs {0};
    tamarack::fakes::runFake(address, [&runs](auto &request, auto &response) {
        using namespace tamarack::fakes;
        if (request.getURI() == "/runs") {
            sendText(response, 200, "text/plain", std::to_string(runs.load()));
            return;
        }
        ++runs;
        const std::string body = readBody(request);
        sendText(response, 200, "text/plain",
                 request.getMethod() + " " + request.getURI() + " " + body);
    });
}
