// Tests the parsing of chat-completion requests and of usage. Guards against requests that the
// engine reads differently from the daemon, and against usage taken from generated text.
#include "adapters/json/json.h"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

ChatRequest parse(const std::string &body, ValidationErrors &errors)
{
    return parseChatRequest(body, Tokens {100}, 1U << 20U, errors);
}

} // namespace

TEST_CASE("messages are forwarded byte for byte")
{
    ValidationErrors errors;
    const std::string messages
        = R"([ {"role":"user","content":"a \"]}\\ [{ \u00e9","x":[1e3,{"y":[]}]} , {} ])";
    const ChatRequest request = parse(
        R"({ "messages" : )" + messages + R"( ,"model":"m","seed":18446744073709551615})", errors);
    REQUIRE(errors.empty());
    CHECK(request.upstreamBody_.find(messages) != std::string::npos);
    CHECK(request.upstreamBody_.find("18446744073709551615") != std::string::npos);
    CHECK(request.model_ == ModelId {"m"});
}

TEST_CASE("a document that two parsers could read differently is rejected")
{
    const std::string body = GENERATE(
        as<std::string> {}, "", "[]", "null", R"({"model":"m","messages":[{}])",
        R"({"model":"m","messages":[{}]}})", R"({"model":"m","messages":[{]}})",
        R"({"model":"m","messages":["a]})", R"({"model":"m","messages":[{}],"messages":[{}]})",
        // An escape in a field name would hide the output limit from a text scan.
        R"({"model":"m","messages":[{}],"max\u005ftokens":9})",
        R"({"model":"m","messages":[{}],"mess\u0061ges":[{}]})", R"({"model":"m","messages":{}})",
        R"({"model":"m","messages":["text"]})", R"({"model":"m","messages":[{}] [{}]})",
        R"({"model":"m","messages":[{}],})", R"({"model":"m","messages":[{}],"max_tokens":"9"})",
        R"({"model":"m" "n":2,"messages":[{}]})",
        "{\"model\":\"m\",\"messages\":[" + std::string(100, '[') + std::string(100, ']') + "]}");
    INFO(body);
    ValidationErrors errors;
    parse(body, errors);
    CHECK_FALSE(errors.empty());
}

TEST_CASE("the last of two fields with the same name applies, in the daemon and at the engine")
{
    ValidationErrors errors;
    const ChatRequest request
        = parse(R"({"model":"m","max_tokens":5,"max_tokens":70,"messages":[{}]})", errors);
    REQUIRE(errors.empty());
    CHECK(request.maxOutput_ == Tokens {70});
    CHECK(request.upstreamBody_.find(R"("max_tokens":5)") == std::string::npos);
}

TEST_CASE("usage is read from the top level of a response only")
{
    CHECK(parseUsage(R"({"usage":{"total_tokens":12},"choices":[]})") == Tokens {12});
    CHECK(parseUsage(R"({"usage":{"prompt_tokens":4,"completion_tokens":3}})") == Tokens {7});
    CHECK_FALSE(parseUsage(R"({"choices":[{"usage":{"total_tokens":12}}]})"));
    CHECK_FALSE(parseUsage(R"({"choices":[{"text":"\"usage\":{\"total_tokens\":12}"}]})"));
    CHECK_FALSE(parseUsage(R"({"usage":null,"choices":[{}]})"));
    CHECK_FALSE(parseUsage(R"({"usage":{"total_tokens":-5}})"));
    CHECK_FALSE(parseUsage(R"({"usage":{"total_tokens":12})"));
    CHECK(parseChatUsage(R"({"usage":{"total_tokens":12},"choices":[ ]})").usageOnly_);
    CHECK_FALSE(parseChatUsage(R"({"usage":{"total_tokens":12},"choices":[{}]})").usageOnly_);
}
