// Chat-completion requests and answers.
#include "adapters/json/chat.h"

#include "adapters/json/jsonreader.h"
#include "adapters/json/memberscan.h"

#include <fmt/format.h>

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

/// A request whose messages, by far its largest part, are kept as text.
struct SplitRequest
{
    /// The document without its messages.
    std::string rest_;
    std::string_view messages_;
    std::int64_t messageCount_ = 0;
};

boost::leaf::error_id malformed(std::string message)
{
    return fail(ErrorKind::InvalidMessage, "tamarack.chat.101", std::move(message));
}

/// Separates the messages. A key with an escape could hide a second list of messages.
Result<SplitRequest> splitRequest(const std::string &body)
{
    const auto members = scanObject(body);
    if (!members)
        return malformed("the document is not a JSON object; check its brackets and quotes");
    SplitRequest split;
    for (const MemberText &member : *members) {
        if (member.key_.find('\\') != std::string_view::npos)
            return malformed("a field name has an escape; send it plain");
        if (member.key_ == "messages") {
            if (!split.messages_.empty())
                return malformed("messages are given twice; send one list");
            split.messages_ = member.value_;
            continue;
        }
        split.rest_ += split.rest_.empty() ? "{" : ",";
        split.rest_ += fmt::format("\"{}\":{}", member.key_, member.value_);
    }
    split.rest_ += split.rest_.empty() ? "{}" : "}";
    return split;
}

/// Counts the messages, and reports a list that is missing or holds something else than objects.
std::int64_t countMessages(const JsonReader &root, std::string_view messages)
{
    if (messages.empty()) {
        addError(root, "messages", "is missing", "add it");
        return 0;
    }
    const auto elements = scanArray(messages);
    const bool objects = elements
        && std::all_of(elements->begin(), elements->end(),
                       [](std::string_view element) { return element.starts_with('{'); });
    if (!objects) {
        addError(root, "messages", "is not a list of objects", "send one object for each message");
        return 0;
    }
    return static_cast<std::int64_t>(elements->size());
}

ChatRequest readChatRequest(const JsonReader &root, const SplitRequest &split, std::size_t bytes,
                            Tokens defaultMaxOutput)
{
    ChatRequest request;
    request.model_ = ModelId {readString(root, "model", Need::Required)};
    request.stream_ = readBool(root, "stream", Need::Optional);
    request.includeUsage_ = readBool(readObject(root, "stream_options", Need::Optional),
                                     "include_usage", Need::Optional);
    const std::int64_t messages = countMessages(root, split.messages_) + 1;
    if (root.object_->has("best_of"))
        addError(root, "best_of", "is not supported", "use n");
    // The engine generates up to the output limit for each choice.
    const std::int64_t choices = readInteger(root, "n", Need::Optional, Range {1, maxChoices}, 1);
    request.choiceLimit_ = readOutputLimit(root, defaultMaxOutput);
    request.maxOutput_ = Tokens {request.choiceLimit_.count_ * choices};
    // The whole body bounds the prompt, whatever fields the engine puts into it.
    request.promptBound_ = Tokens {static_cast<std::int64_t>(bytes) + messages * templateTokens};
    return request;
}

std::string upstreamBody(Poco::JSON::Object &object, const ChatRequest &request,
                         std::string_view messages)
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
    std::string document = text.str();
    document.pop_back();
    return fmt::format("{},\"messages\":{}}}", document, messages);
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
    const auto members = scanObject(text);
    const std::string_view usageText
        = members ? findMember(*members, "usage") : std::string_view {};
    if (usageText.empty())
        return ChatUsage {};
    BOOST_LEAF_AUTO(object, parseObject(std::string(usageText), maxUsageBytes));
    ValidationErrors errors;
    const JsonReader usage {object, "usage", &errors};
    const std::int64_t prompt = readInteger(usage, "prompt_tokens", Need::Optional, Range {0});
    const std::int64_t output = readInteger(usage, "completion_tokens", Need::Optional, Range {0});
    const std::int64_t total
        = readInteger(usage, "total_tokens", Need::Optional, Range {0}, prompt + output);
    const bool reported = object->has("total_tokens") || object->has("completion_tokens");
    if (!errors.empty() || !reported)
        return ChatUsage {};
    const std::string_view choices = findMember(*members, "choices");
    const auto elements = scanArray(choices);
    return ChatUsage {Tokens {total}, choices.empty() || (elements && elements->empty())};
}

} // namespace

ChatRequest parseChatRequest(const std::string &body, Tokens defaultMaxOutput, std::size_t maxBytes,
                             ValidationErrors &errors)
{
    ChatRequest request;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(split, splitRequest(body));
            BOOST_LEAF_AUTO(object, parseObject(split.rest_, maxBytes));
            const JsonReader root {object, "", &errors};
            request = readChatRequest(root, split, body.size(), defaultMaxOutput);
            if (errors.empty())
                request.upstreamBody_ = upstreamBody(*object, request, split.messages_);
            return {};
        },
        [&errors](const Error &error) {
            errors.push_back(ValidationError {"body", error.message_, error.id_});
        },
        [&errors] {
            errors.push_back(ValidationError {"body", "could not be read", "check the document"});
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

bool reportsLeaving(const std::string &text)
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
