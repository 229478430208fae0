// Chat-completion requests and answers.
#include "adapters/json/chat.h"

#include "adapters/json/jsonreader.h"

#include <algorithm>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t maxUsageBytes = 64U << 20U;
/// Tokens that a chat template adds to each message, and once to the prompt.
constexpr std::int64_t templateTokens = 16;
constexpr std::int64_t maxOutputTokens = 1'000'000;
constexpr std::int64_t maxChoices = 16;
constexpr std::string_view usageName = "\"usage\"";

/// Reads the output limit of one choice. An engine may follow either field, so the smaller one
/// holds.
Tokens readOutputLimit(const JsonReader &root, Tokens defaultMaxOutput)
{
    const Range range {1, maxOutputTokens};
    const std::int64_t older
        = readInteger(root, "max_tokens", Need::Optional, range, maxOutputTokens);
    const std::int64_t newer
        = readInteger(root, "max_completion_tokens", Need::Optional, range, maxOutputTokens);
    const bool given
        = root.object_->has("max_tokens") || root.object_->has("max_completion_tokens");
    return given ? Tokens {std::min(older, newer)} : defaultMaxOutput;
}

ChatRequest readChatRequest(const JsonReader &root, const std::string &body,
                            Tokens defaultMaxOutput)
{
    ChatRequest request;
    request.model_ = ModelId {readString(root, "model", Need::Required)};
    request.stream_ = readBool(root, "stream", Need::Optional);
    request.wantsUsage_ = readBool(readObject(root, "stream_options", Need::Optional),
                                   "include_usage", Need::Optional);
    std::int64_t messages = 1;
    readObjects(root, "messages", Need::Required, [&messages](const JsonReader &) { ++messages; });
    if (root.object_->has("best_of"))
        addFault(root, "best_of", "is not supported", "use n");
    // The engine generates up to the output limit for each choice.
    const std::int64_t choices = readInteger(root, "n", Need::Optional, Range {1, maxChoices}, 1);
    request.choiceLimit_ = readOutputLimit(root, defaultMaxOutput);
    request.maxOutput_ = Tokens {request.choiceLimit_.count_ * choices};
    // The whole body bounds the prompt, whatever fields the engine puts into it.
    request.promptBound_
        = Tokens {static_cast<std::int64_t>(body.size()) + messages * templateTokens};
    return request;
}

std::string upstreamBody(Poco::JSON::Object &object, const ChatRequest &request)
{
    object.set("max_tokens", request.choiceLimit_.count_);
    if (object.has("max_completion_tokens"))
        object.set("max_completion_tokens", request.choiceLimit_.count_);
    if (request.stream_) {
        Poco::JSON::Object::Ptr options = object.getObject("stream_options");
        if (!options)
            options = new Poco::JSON::Object;
        options->set("include_usage", true);
        object.set("stream_options", options);
    }
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

/// Most events of a stream carry no usage or a null, so they are not parsed.
bool mayHaveUsage(const std::string &text)
{
    for (std::size_t at = text.find(usageName); at != std::string::npos;
         at = text.find(usageName, at + 1)) {
        const std::size_t value = text.find_first_not_of(" \t\r\n:", at + usageName.size());
        if (value != std::string::npos && text[value] == '{')
            return true;
    }
    return false;
}

Result<ChatUsage> readUsage(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseObject(text, maxUsageBytes));
    Faults faults;
    const JsonReader root {object, "", &faults};
    const JsonReader usage = readObject(root, "usage", Need::Optional);
    const std::int64_t prompt = readInteger(usage, "prompt_tokens", Need::Optional, Range {0});
    const std::int64_t output = readInteger(usage, "completion_tokens", Need::Optional, Range {0});
    const std::int64_t total
        = readInteger(usage, "total_tokens", Need::Optional, Range {0}, prompt + output);
    const Poco::JSON::Array::Ptr choices = object->getArray("choices");
    const bool reported
        = usage.object_->has("total_tokens") || usage.object_->has("completion_tokens");
    if (!faults.empty() || !reported)
        return ChatUsage {};
    return ChatUsage {Tokens {total}, !choices || choices->size() == 0};
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
            if (faults.empty())
                request.upstreamBody_ = upstreamBody(*object, request);
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

ChatUsage parseChatUsage(const std::string &text)
{
    if (!mayHaveUsage(text))
        return {};
    return boost::leaf::try_handle_all([&text] { return readUsage(text); },
                                       [] { return ChatUsage {}; });
}

std::optional<Tokens> parseUsage(const std::string &text)
{
    return parseChatUsage(text).tokens_;
}

bool saysLeaving(const std::string &text)
{
    if (text.find("\"leaving\"") == std::string::npos)
        return false;
    return boost::leaf::try_handle_all(
        [&text]() -> Result<bool> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxUsageBytes));
            return object->optValue<std::string>("state", "") == "leaving";
        },
        [] { return false; });
}

} // namespace tamarack
