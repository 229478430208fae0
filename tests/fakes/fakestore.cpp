// fake-store: a key-value store in memory. Faults are set by POST /faults {"mode", "delay_ms"}; see
// fakestorecore.h. GET /calls returns the number of calls by path.
#include "fakes/fakestorecore.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app {"fake-store: a key-value store in memory, for tests"};
    std::string address = "127.0.0.1:2379";
    app.add_option("--address", address, "IP:port to listen on");
    CLI11_PARSE(app, argc, argv);
    tamarack::fakes::Store store;
    tamarack::fakes::runHttpServer(address, [&store](auto &request, auto &response) {
        tamarack::fakes::handleStoreCall(store, request, response);
    });
}
