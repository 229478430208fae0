// Fake language-model engine with fault injection; see engine.h.
#include "fakes/engine.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <thread>
#include <vector>

namespace tamarack::fakes {

namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// One chat completion. It writes to the raw socket because injected faults violate HTTP.
struct Completion
{
    Engine &engine_;
    EngineFaults faults_;
    Poco::Net::StreamSocket socket_;
    std::string requestId_;
    std::string attemptId_;
    std::int64_t outputTokens_ = 0;
    std::int64_t resumeOffset_ = 0;
    bool stream_ = false;
};

void sendRaw(Completion &completion, const std::string &text)
{
    completion.socket_.sendBytes(text.data(), static_cast<int>(text.size()), MSG_NOSIGNAL);
}

void sendChunk(Completion &completion, const std::string &text)
{
    sendRaw(completion, fmt::format("{:x}\r\n{}\r\n", text.size(), text));
}

void closeConnection(Completion &completion)
{
    completion.socket_.shutdown();
}

/// Sends nothing more, and closes the connection once the peer has closed its end.
void stallConnection(Completion &completion)
{
    pollfd descriptor {completion.socket_.impl()->sockfd(), POLLRDHUP, 0};
    constexpr int maxStallMs = 120'000; // Longer than any test runs.
    ::poll(&descriptor, 1, maxStallMs);
    closeConnection(completion);
}

std::string usageJson(const Completion &completion)
{
    const Engine &engine = completion.engine_;
    const std::int64_t total = completion.faults_.usage_ >= 0
        ? completion.faults_.usage_
        : engine.promptTokens_ + completion.outputTokens_;
    return fmt::format(R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
                       engine.promptTokens_, completion.outputTokens_, total);
}

std::string tokenEvent(std::int64_t index)
{
    return fmt::format(
        R"({{"object":"chat.completion.chunk","choices":[{{"index":0,"delta":{{"content":"w{} "}}}}]}})",
        index);
}

/// Returns the server-sent events from the resume offset on, in sending order, with the faults
/// applied.
std::vector<std::string> streamEvents(const Completion &completion)
{
    const EngineFaults &faults = completion.faults_;
    std::vector<std::string> events;
    const std::int64_t count = completion.outputTokens_ + (faults.noUsage_ ? 0 : 1);
    for (std::int64_t i = completion.resumeOffset_; i < count; ++i) {
        if (i == faults.lostEvent_)
            continue;
        const std::string data = i < completion.outputTokens_
            ? tokenEvent(i)
            : fmt::format(R"({{"choices":[],"usage":{}}})", usageJson(completion));
        const std::string id = faults.noIndex_ ? "" : fmt::format("id: {}\n", i);
        events.push_back(fmt::format("{}data: {}\n\n", id, data));
        if (faults.duplicates_)
            events.push_back(events.back());
    }
    for (std::size_t i = 1; faults.reorder_ && i < events.size(); i += 2)
        std::swap(events[i - 1], events[i]);
    return events;
}

std::string responseHead(const Completion &completion, const std::string &framing,
                         const std::string &type)
{
    const EngineFaults &faults = completion.faults_;
    std::string head = fmt::format("HTTP/1.1 {} X\r\nContent-Type: {}\r\n",
                                   faults.status_ > 0 ? faults.status_ : 200, type);
    head += fmt::format("X-Request-Id: {}\r\nX-Attempt-Id: {}\r\n{}",
                        faults.wrongRequestId_ ? "other" : completion.requestId_,
                        faults.wrongAttemptId_ ? "other" : completion.attemptId_, framing);
    if (completion.resumeOffset_ > 0)
        head += fmt::format("X-Resume-Offset: {}\r\n", completion.resumeOffset_);
    return head + "\r\n";
}

void recordGeneratedTokens(Completion &completion, std::int64_t tokens)
{
    const std::lock_guard lock(completion.engine_.mutex_);
    std::int64_t &generated = completion.engine_.generatedTokensById_[completion.requestId_];
    generated = std::max(generated, tokens);
}

void sendStreamedResponse(Completion &completion)
{
    const EngineFaults &faults = completion.faults_;
    sendRaw(completion,
            responseHead(completion, "Transfer-Encoding: chunked\r\n", "text/event-stream"));
    std::int64_t sent = completion.resumeOffset_;
    for (const std::string &text : streamEvents(completion)) {
        if (sent == faults.cutAfter_) {
            closeConnection(completion);
            return;
        }
        if (sent == faults.silentAfter_) {
            stallConnection(completion);
            return;
        }
        std::this_thread::sleep_for(completion.engine_.timePerToken_);
        sendChunk(completion, text);
        recordGeneratedTokens(completion, std::min(++sent, completion.outputTokens_));
    }
    if (!faults.noTerminator_)
        sendChunk(completion, "data: [DONE]\n\n");
    sendRaw(completion, "0\r\n\r\n");
}

std::string completionBody(const Completion &completion)
{
    std::string words;
    for (std::int64_t i = 0; i < completion.outputTokens_; ++i)
        words += fmt::format("w{} ", i);
    const std::string usage
        = completion.faults_.noUsage_ ? "" : fmt::format(R"(,"usage":{})", usageJson(completion));
    return fmt::format(R"({{"object":"chat.completion","choices":[{{"index":0,"message":)"
                       R"({{"role":"assistant","content":"{}"}},"finish_reason":"stop"}}]{}}})",
                       words, usage);
}

void sendPlainResponse(Completion &completion)
{
    const EngineFaults &faults = completion.faults_;
    std::this_thread::sleep_for(completion.engine_.timePerToken_ * completion.outputTokens_);
    recordGeneratedTokens(completion, completion.outputTokens_);
    const std::string body = completionBody(completion);
    const std::string type = "application/json";
    const std::string length = fmt::format("Content-Length: {}\r\n", body.size());
    if (faults.unframed_ || faults.cutAfter_ >= 0) {
        const std::string head = responseHead(completion, faults.unframed_ ? "" : length, type);
        sendRaw(completion,
                head + body.substr(0, faults.cutAfter_ >= 0 ? body.size() / 2 : body.size()));
        closeConnection(completion);
        return;
    }
    if (faults.noTerminator_ || faults.ambiguous_) {
        sendRaw(completion,
                responseHead(completion,
                             (faults.ambiguous_ ? length : std::string())
                                 + "Transfer-Encoding: chunked\r\n",
                             type));
        sendChunk(completion, body);
        closeConnection(completion);
        return;
    }
    const std::string reply = responseHead(completion, length, type) + body;
    sendRaw(completion, faults.duplicateResponse_ ? reply + reply : reply);
}

/// Returns the faults for one completion and decrements the remaining count.
EngineFaults consumeFaults(Engine &engine)
{
    const std::lock_guard lock(engine.mutex_);
    if (engine.faults_.times_ == 0)
        return {};
    if (engine.faults_.times_ > 0)
        --engine.faults_.times_;
    return engine.faults_;
}

/// Counts a new connection.
/// @return true if the connection has already carried a request
bool recordConnection(Engine &engine, const HTTPServerRequest &request)
{
    const std::lock_guard lock(engine.mutex_);
    const bool isNew = engine.clientAddresses_.insert(request.clientAddress().toString()).second;
    engine.connections_ += isNew ? 1 : 0;
    return !isNew;
}

/// Counts an engine run. A resumption of a known request is not a run.
void recordRun(Completion &completion)
{
    const std::lock_guard lock(completion.engine_.mutex_);
    if (completion.resumeOffset_ > 0
        && completion.engine_.runsById_.contains(completion.requestId_))
        return;
    ++completion.engine_.runs_;
    ++completion.engine_.runsById_[completion.requestId_];
}

void complete(Engine &engine, HTTPServerRequest &request, HTTPServerResponse &response)
{
    const bool reused = recordConnection(engine, request);
    const Object::Ptr body = parseJson(readBody(request));
    Completion completion {
        engine,
        consumeFaults(engine),
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket(),
        request.get("X-Request-Id", ""),
        request.get("X-Attempt-Id", ""),
        std::min(engine.outputTokens_, body->optValue<std::int64_t>("max_tokens", 16)),
        0,
        body->optValue("stream", false)};
    const EngineFaults &faults = completion.faults_;
    if (!faults.ignoreOffset_)
        completion.resumeOffset_ = std::stoll(request.get("X-Resume-Offset", "0"));
    if (reused && (faults.silentOnReuse_ || faults.closeOnReuse_)) {
        faults.silentOnReuse_ ? stallConnection(completion) : closeConnection(completion);
        return;
    }
    std::this_thread::sleep_for(faults.delay_);
    if (faults.leaving_) {
        sendText(response, 503, "application/json", R"({"state":"leaving"})");
        return;
    }
    if (faults.status_ >= 400) {
        sendText(response, faults.status_, "application/json", R"({"error":"injected"})");
        return;
    }
    recordRun(completion);
    if (completion.stream_)
        sendStreamedResponse(completion);
    else if (faults.silentAfter_ >= 0)
        stallConnection(completion);
    else
        sendPlainResponse(completion);
}

std::string counterText(Engine &engine, const std::map<std::string, std::uint64_t> &counters,
                        const std::string &id)
{
    const std::lock_guard lock(engine.mutex_);
    const auto counter = counters.find(id);
    return std::to_string(counter == counters.end() ? 0 : counter->second);
}

void cancelRun(Engine &engine, const std::string &id, HTTPServerResponse &response)
{
    std::int64_t generated = 0;
    {
        const std::lock_guard lock(engine.mutex_);
        ++engine.cancelsById_[id];
        generated = engine.generatedTokensById_[id];
    }
    sendText(response, 200, "application/json",
             fmt::format(R"({{"cancelled":true,"usage":{{"total_tokens":{}}}}})",
                         engine.promptTokens_ + generated));
}

void sendHealth(Engine &engine, HTTPServerResponse &response)
{
    EngineFaults faults;
    {
        const std::lock_guard lock(engine.mutex_);
        faults = engine.faults_;
    }
    sendText(response, faults.sick_ ? 500 : 200, "application/json",
             faults.leaving_ ? R"({"state":"leaving"})" : R"({"state":"live"})");
}

} // namespace

EngineFaults parseFaults(const std::string &json)
{
    const Object::Ptr object = parseJson(json);
    EngineFaults faults;
    faults.status_ = object->optValue("status", 0);
    faults.leaving_ = object->optValue("leaving", false);
    faults.sick_ = object->optValue("sick", false);
    faults.delay_ = std::chrono::milliseconds {object->optValue<std::int64_t>("delay", 0)};
    faults.silentAfter_ = object->optValue<std::int64_t>("silentAfter", -1);
    faults.cutAfter_ = object->optValue<std::int64_t>("cutAfter", -1);
    faults.noTerminator_ = object->optValue("noTerminator", false);
    faults.wrongRequestId_ = object->optValue("wrongRequestId", false);
    faults.wrongAttemptId_ = object->optValue("wrongAttemptId", false);
    faults.duplicates_ = object->optValue("duplicates", false);
    faults.reorder_ = object->optValue("reorder", false);
    faults.lostEvent_ = object->optValue<std::int64_t>("lostEvent", -1);
    faults.ignoreOffset_ = object->optValue("ignoreOffset", false);
    faults.noIndex_ = object->optValue("noIndex", false);
    faults.unframed_ = object->optValue("unframed", false);
    faults.ambiguous_ = object->optValue("ambiguous", false);
    faults.duplicateResponse_ = object->optValue("lateAnswer", false);
    faults.silentOnReuse_ = object->optValue("silentOnReuse", false);
    faults.closeOnReuse_ = object->optValue("closeOnReuse", false);
    faults.usage_ = object->optValue<std::int64_t>("usage", -1);
    faults.noUsage_ = object->optValue("noUsage", false);
    faults.times_ = object->optValue<std::int64_t>("times", -1);
    return faults;
}

void handleEngineRequest(Engine &engine, HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string &path = request.getURI();
    if (path == "/runs") {
        const std::lock_guard lock(engine.mutex_);
        sendText(response, 200, "text/plain", std::to_string(engine.runs_));
    } else if (path.starts_with("/runs/")) {
        sendText(response, 200, "text/plain",
                 counterText(engine, engine.runsById_, path.substr(6)));
    } else if (path.starts_with("/cancels/")) {
        sendText(response, 200, "text/plain",
                 counterText(engine, engine.cancelsById_, path.substr(9)));
    } else if (path.starts_with("/cancel/")) {
        cancelRun(engine, path.substr(8), response);
    } else if (path == "/health") {
        sendHealth(engine, response);
    } else if (path == "/faults") {
        const EngineFaults faults = parseFaults(readBody(request));
        const std::lock_guard lock(engine.mutex_);
        engine.faults_ = faults;
        sendText(response, 200, "text/plain", "ok");
    } else if (path == "/v1/chat/completions") {
        complete(engine, request, response);
    } else {
        sendText(response, 404, "application/json", R"({"error":"no such path"})");
    }
}

} // namespace tamarack::fakes
