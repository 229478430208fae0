// fake-store: an in-memory key-value store with the JSON gateway of etcd. POST /faults {"mode",
// "delay_ms"} sets the fault to inject; see Store::mode_. GET /calls returns the call count by
// path.
#include "fakes/fakestorecore.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app {"fake-store: an in-memory key-value store for tests"};
    std::string address = "127.0.0.1:2379";
    app.add_option("--address", address, "IP:port to listen on");
    CLI11_PARSE(app, argc, argv);
    tamarack::fakes::Store store;
    tamarack::fakes::runHttpServer(address, [&store](auto &request, auto &response) {
        tamarack::fakes::handleStoreRequest(store, request, response);
    });
}
