// fake-engine: an engine with the chat-completions API. Each response has a fixed number of words
// and reports token usage. --faults or POST /faults sets the faults to inject.
#include "fakes/engine.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app {"fake-engine: a language-model engine for tests"};
    std::string address = "127.0.0.1:8000";
    std::string faults = "{}";
    std::int64_t tokenMs = 0;
    tamarack::fakes::Engine engine;
    app.add_option("--address", address, "IP:port to listen on");
    app.add_option("--output-tokens", engine.outputTokens_,
                   "number of output tokens of each response");
    app.add_option("--token-ms", tokenMs, "time per output token in milliseconds");
    app.add_option("--faults", faults,
                   "faults to inject as a JSON object, for example {\"cutAfter\":3}");
    CLI11_PARSE(app, argc, argv);
    engine.timePerToken_ = std::chrono::milliseconds {tokenMs};
    engine.faults_ = tamarack::fakes::parseFaults(faults);
    tamarack::fakes::runHttpServer(address, [&engine](auto &request, auto &response) {
        tamarack::fakes::handleEngineRequest(engine, request, response);
    });
}
