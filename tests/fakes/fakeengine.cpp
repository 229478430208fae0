// fake-engine: a model engine with the chat-completions interface. It answers with a fixed number
// of words and reports usage.
#include "fakes/fakehttp.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ostream>
#include <thread>

namespace tamarack::fakes {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct Engine
{
    std::int64_t outputTokens_ = 8;
    std::int64_t promptTokens_ = 4;
    std::chrono::milliseconds tokenTime_ {0};
    std::atomic<std::uint64_t> runs_ {0};
};

Object usage(const Engine &engine, std::int64_t output)
{
    Object object;
    object.set("prompt_tokens", engine.promptTokens_);
    object.set("completion_tokens", output);
    object.set("total_tokens", engine.promptTokens_ + output);
    return object;
}

std::string chunk(const std::string &word)
{
    Object delta;
    delta.set("content", word);
    Object choice;
    choice.set("index", 0);
    choice.set("delta", delta);
    Object object;
    object.set("object", "chat.completion.chunk");
    object.set("choices", Array().add(choice));
    return toText(object);
}

void streamAnswer(const Engine &engine, std::int64_t output, std::int64_t offset,
                  HTTPServerResponse &response)
{
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::ostream &out = response.send();
    for (std::int64_t i = offset; i < output; ++i) {
        std::this_thread::sleep_for(engine.tokenTime_);
        out << "data: " << chunk(fmt::format("w{} ", i)) << "\n\n" << std::flush;
    }
    Object last;
    last.set("object", "chat.completion.chunk");
    last.set("choices", Array());
    last.set("usage", usage(engine, output));
    out << "data: " << toText(last) << "\n\ndata: [DONE]\n\n" << std::flush;
}

void plainAnswer(const Engine &engine, std::int64_t output, HTTPServerResponse &response)
{
    std::this_thread::sleep_for(engine.tokenTime_ * output);
    std::string text;
    for (std::int64_t i = 0; i < output; ++i)
        text += fmt::format("w{} ", i);
    Object message;
    message.set("role", "assistant");
    message.set("content", text);
    Object choice;
    choice.set("index", 0);
    choice.set("message", message);
    choice.set("finish_reason", "stop");
    Object object;
    object.set("object", "chat.completion");
    object.set("choices", Array().add(choice));
    object.set("usage", usage(engine, output));
    sendJson(response, object);
}

void handle(Engine &engine, HTTPServerRequest &request, HTTPServerResponse &response)
{
    if (request.getURI() == "/runs") {
        sendText(response, 200, "text/plain", std::to_string(engine.runs_.load()));
        return;
    }
    const Object::Ptr body = parseJson(readBody(request));
    ++engine.runs_;
    const std::int64_t output
        = std::min(engine.outputTokens_, body->optValue<std::int64_t>("max_tokens", 16));
    if (body->optValue("stream", false))
        streamAnswer(engine, output, std::stoll(request.get("X-Resume-Offset", "0")), response);
    else
        plainAnswer(engine, output, response);
}

} // namespace

} // namespace tamarack::fakes

int main(int argc, char **argv)
{
    CLI::App app {"fake-engine: a model engine, for tests"};
    std::string address = "127.0.0.1:8000";
    std::int64_t tokenMs = 0;
    tamarack::fakes::Engine engine;
    app.add_option("--address", address, "IP:port to listen on");
    app.add_option("--output-tokens", engine.outputTokens_, "tokens of each answer");
    app.add_option("--token-ms", tokenMs, "time for one token in milliseconds");
    CLI11_PARSE(app, argc, argv);
    engine.tokenTime_ = std::chrono::milliseconds {tokenMs};
    tamarack::fakes::runFake(address, [&engine](auto &request, auto &response) {
        tamarack::fakes::handle(engine, request, response);
    });
}
