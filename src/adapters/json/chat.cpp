// Chat-completion requests and answers.
#include "adapters/json/chat.h"

#include "adapters/json/jsonreader.h"

#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t maxUsageBytes = 64U << 20U;
/// Tokens that a chat template adds to each message, and once to the prompt.
constexpr std::int64_t templateTokens = 16;

ChatRequest readChatRequest(const JsonReader &root, const std::string &body,
                            Tokens defaultMaxOutput)
{
    ChatRequest request;
    request.model_ = ModelId {readString(root, "model", Need::Required)};
    request.stream_ = readBool(root, "stream", Need::Optional);
    std::int64_t messages = 1;
    readObjects(root, "messages", Need::Required, [&messages](const JsonReader &) { ++messages; });
    const Range outputRange {1, 1'000'000};
    const char *limit
        = root.object_->has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    request.maxOutput_
        = Tokens {readInteger(root, limit, Need::Optional, outputRange, defaultMaxOutput.count_)};
    // The whole body bounds the prompt, whatever fields the engine puts into it.
    request.promptBound_
        = Tokens {static_cast<std::int64_t>(body.size()) + messages * templateTokens};
    return request;
}

} // namespace

ChatRequest parseChatRequest(const std::string &body, Tokens defaultMaxOutput, std::size_t maxBytes,
                             Faults &faults)
{
    ChatRequest request;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, parseObject(body, maxBytes));
            const JsonReader root {object, "", &faults};
            request = readChatRequest(root, body, defaultMaxOutput);
            object->set("max_tokens", request.maxOutput_.count_);
            if (request.stream_) {
                Poco::JSON::Object options;
                options.set("include_usage", true);
                object->set("stream_options", options);
            }
            std::ostringstream text;
            object->stringify(text);
            request.upstreamBody_ = text.str();
            return {};
        },
        [&faults](const Error &error) {
            faults.push_back(Fault {"body", error.message_, error.id_});
        },
        [&faults] {
            faults.push_back(Fault {"body", "could not be read", "check the document"});
        });
    return request;
}

std::optional<Tokens> parseUsage(const std::string &text)
{
    // Most events of a stream carry no usage, so they are not parsed.
    if (text.find("\"usage\"") == std::string::npos)
        return std::nullopt;
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Tokens>> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxUsageBytes));
            Faults faults;
            const JsonReader root {object, "", &faults};
            const JsonReader usage = readObject(root, "usage", Need::Optional);
            const std::int64_t total
                = readInteger(usage, "total_tokens", Need::Required, Range {0});
            if (!faults.empty())
                return std::optional<Tokens> {};
            return std::optional<Tokens> {Tokens {total}};
        },
        [] { return std::optional<Tokens> {}; });
}

} // namespace tamarack
