// The callers' listener: raw requests and what they are answered with.
#include "adapters/http/callerserver.h"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <atomic>

using namespace tamarack;

namespace {

const std::string keyHash
    = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"; // "key"

/// A listener whose control thread permits everything and whose upstream gives a fixed answer.
struct Listener
{
    TrafficContext context_;
    ExchangeResult answer_;
    std::atomic<int> exchanges_ {0};
    ExchangeRequest last_;
    std::atomic<int> finished_ {0};
    HttpListener server_;
};

void takeEvent(Listener &listener, const Event &event)
{
    if (std::holds_alternative<RequestFinished>(event))
        ++listener.finished_;
    if (const auto *ask = std::get_if<AdmissionRequested>(&event))
        fillSlot(listener.context_.slots_, ask->waiter_,
                 Dispatch {AdmissionId {"admission"}, AttemptId {"a1"}, UpstreamId {"one"}, "one",
                           Seconds {60}});
}

std::shared_ptr<const Snapshot> makeSnapshot()
{
    auto bundle = std::make_shared<Bundle>();
    bundle->accounts_[AccountId {"club"}] = ClientAccount {};
    bundle->routes_.push_back(ServiceRoute {ServiceId {"lamps"}, "", "/", true, Tokens {5}});
    bundle->routes_.push_back(ServiceRoute {ServiceId {"lamps"}, "POST", "/on", false, Tokens {5}});
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->bundle_ = bundle;
    snapshot->keys_[keyHash] = KeyOwner {AccountId {"club"}, BudgetId {"budget"}};
    return snapshot;
}

std::unique_ptr<Listener> startListener()
{
    auto listener = std::make_unique<Listener>();
    Listener *l = listener.get();
    l->context_.events_.post_ = [l](const Event &event) {
        takeEvent(*l, event);
    };
    l->context_.log_.write_ = [](const LogEvent &) {
    };
    l->context_.newRequestId_ = [] {
        return RequestId {"r1"};
    };
    l->context_.digest_ = [](std::string_view) {
        return std::string("digest");
    };
    l->context_.snapshot_.store(makeSnapshot());
    l->context_.upstreams_.exchange_ = [l](const ExchangeRequest &request, const EventSink &sink) {
        ++l->exchanges_;
        l->last_ = request;
        for (int i = 0; l->answer_.streamed_ && i < 3; ++i) {
            if (!sink(StreamEvent {"{\"e\":" + std::to_string(i) + "}", false}))
                break;
        }
        return l->answer_;
    };
    l->context_.upstreams_.cancel_ = [](const std::string &, const RequestId &, Millis) {
        return std::optional<Tokens> {};
    };
    l->answer_.result_ = AttemptResult::Complete;
    l->answer_.status_ = 200;
    l->answer_.contentType_ = "text/plain";
    l->answer_.body_ = "done";
    CallerServerSettings settings;
    settings.address_ = "127.0.0.1:0";
    settings.connections_ = 8;
    settings.maxRequestBytes_ = 1000;
    l->server_ = startCallerServer(settings, l->context_);
    return listener;
}

/// Sends raw bytes and returns everything up to the end of the connection.
std::string ask(const Listener &listener, const std::string &text)
{
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", listener.server_.server_->port()));
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::string answer;
    std::string buffer(4096, '\0');
    try {
        for (int n = 1; n > 0;) {
            n = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            answer.append(buffer, 0, static_cast<std::size_t>(std::max(n, 0)));
        }
    } catch (const Poco::Exception &) {
        // A reset after the answer: the listener closed with unread bytes of the request.
    }
    return answer;
}

std::string post(const std::string &path, const std::string &fields, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

std::string service(const std::string &method, const std::string &path,
                    const std::string &fields = {})
{
    return method + " /services/lamps" + path
        + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nConnection: close\r\n" + fields
        + "\r\n";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

const std::string chat = "/v1/chat/completions";
const std::string question = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";

std::string chatWith(const std::string &field)
{
    return post(chat, "", question.substr(0, question.size() - 1) + "," + field + "}");
}

struct Case
{
    std::string name_;
    std::string request_;
};

} // namespace

TEST_CASE("requests that fail a check are refused as not run and reach no upstream")
{
    const auto testCase = GENERATE(values<Case>({
        {"other path", post("/v2/chat", "", question)},
        {"other method", "GET " + chat + " HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"not JSON", post(chat, "", "{")},
        {"no model", post(chat, "", R"({"messages":[]})")},
        {"output limit below 1", chatWith(R"("max_tokens":0)")},
        {"output limit above the range", chatWith(R"("max_completion_tokens":99999999)")},
        {"too many choices", chatWith(R"("n":1000)")},
        {"no choices", chatWith(R"("n":0)")},
        {"best_of multiplies the output", chatWith(R"("best_of":4)")},
        {"body above the limit", post(chat, "", std::string(2000, ' '))},
        {"chunks, whose end POCO does not prove",
         "POST " + chat + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"length and chunks", post(chat, "Transfer-Encoding: chunked\r\n", question)},
        {"two lengths", post(chat, "Content-Length: 3\r\n", question)},
        {"a negative length", "POST " + chat + " HTTP/1.1\r\nContent-Length: -1\r\n\r\n"},
        {"deadline with a unit", post(chat, "Tamarack-Deadline-Ms: 5s\r\n", question)},
        {"deadline of nothing", post(chat, "Tamarack-Deadline-Ms: 0\r\n", question)},
        {"two keys", post(chat, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", question)},
        {"two authorizations", post(chat, "Authorization: Bearer other\r\n", question)},
        {"key with a space", post(chat, "Idempotency-Key: a b\r\n", question)},
        {"key too long",
         post(chat, "Idempotency-Key: " + std::string(300, 'a') + "\r\n", question)},
        {"unclear mark", post(chat, "Tamarack-Non-Idempotent: yes\r\n", question)},
        {"non-idempotent without key", post("/services/lamps/on", "", "")},
        {"dots lead to another route", service("POST", "/read/../on")},
        {"encoded dots", service("POST", "/read/%2e%2E/on")},
        {"encoded letters hide the route", service("POST", "/%6fn")},
        {"encoded separator", service("POST", "/read%2f..%2fon")},
        {"empty segment hides the route", service("POST", "//on")},
        {"method that services do not have", service("TRACE", "/x")},
        {"service without routes",
         "GET /services/none/x HTTP/1.1\r\nAuthorization: Bearer key\r\nConnection: close\r\n\r\n"},
    }));
    INFO(testCase.name_);
    const auto listener = startListener();
    const std::string answer = ask(*listener, testCase.request_);
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 400 "));
    CHECK(answer.find(R"("code":"invalid_request")") != std::string::npos);
    CHECK(answer.find(R"("execution":"not_run")") != std::string::npos);
    CHECK(answer.find("Tamarack-Request-Id: r1") != std::string::npos);
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("a length that is no number ends the connection")
{
    // POCO throws before the handler runs, so there is no answer; nothing may run either.
    const auto listener = startListener();
    const std::string answer
        = ask(*listener, "POST " + chat + " HTTP/1.1\r\nContent-Length: 5x\r\n\r\n12345");
    CHECK(answer.empty());
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("an unknown key is refused with an id")
{
    const auto listener = startListener();
    const std::string answer
        = ask(*listener, "GET /services/lamps/x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 401 "));
    CHECK(answer.find("Tamarack-Request-Id: r1") != std::string::npos);
}

TEST_CASE("an unread body is not taken for the next request")
{
    const auto listener = startListener();
    const std::string hidden
        = "GET /services/lamps/hidden HTTP/1.1\r\nAuthorization: Bearer key\r\n\r\n";
    const std::string request = GENERATE_COPY(
        as<std::string> {},
        "POST /nowhere HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n"
            + hidden,
        "GET /v1/models HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n"
            + hidden,
        "POST /services/lamps/x HTTP/1.1\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
            + hidden);
    const std::string answer = ask(*listener, request);
    CHECK(countOf(answer, "HTTP/1.1 ") == 1);
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("a body that ends early is not sent on")
{
    const auto listener = startListener();
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", listener->server_.server_->port()));
    const std::string text = "POST /services/lamps/x HTTP/1.1\r\nAuthorization: Bearer key\r\n"
                             "Content-Length: 10\r\n\r\nhalf";
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    socket.shutdownSend();
    std::string buffer(4096, '\0');
    const int received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    CHECK(buffer.substr(0, static_cast<std::size_t>(received)).starts_with("HTTP/1.1 400 "));
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("an answer of a service passes unchanged")
{
    const auto listener = startListener();
    SECTION("binary body, content type, status and fields")
    {
        listener->answer_.status_ = 201;
        listener->answer_.contentType_ = "application/octet-stream";
        listener->answer_.headers_ = {HeaderField {"Location", "/7"}};
        listener->answer_.body_ = std::string("\0\xff\r\n\r\nHTTP/1.1", 14);
        const std::string answer = ask(*listener, service("GET", "/x?a=1&b=%20"));
        CHECK(answer.starts_with("HTTP/1.1 201 "));
        CHECK(answer.find("Content-Type: application/octet-stream") != std::string::npos);
        CHECK(answer.find("Location: /7") != std::string::npos);
        CHECK(answer.ends_with("\r\n\r\n" + listener->answer_.body_));
        CHECK(listener->last_.path_ == "/x?a=1&b=%20");
    }
    SECTION("a large body")
    {
        listener->answer_.body_ = std::string(5U << 20U, 'x');
        CHECK(ask(*listener, service("GET", "/x")).ends_with(listener->answer_.body_));
    }
    SECTION("statuses without a body")
    {
        listener->answer_.status_ = GENERATE(204, 304);
        listener->answer_.body_.clear();
        CHECK(ask(*listener, service("DELETE", "/x")).ends_with("\r\n\r\n"));
    }
    SECTION("HEAD has no body")
    {
        CHECK(ask(*listener, service("HEAD", "/x")).ends_with("\r\n\r\n"));
    }
    SECTION("an error status")
    {
        listener->answer_.status_ = 404;
        CHECK(ask(*listener, service("GET", "/x")).starts_with("HTTP/1.1 404 "));
    }
    SECTION("a field of the upstream cannot add a header")
    {
        listener->answer_.contentType_ = "text/plain\r\nSet-Cookie: a=b";
        CHECK(ask(*listener, service("GET", "/x")).find("Set-Cookie") == std::string::npos);
    }
    SECTION("fields of one hop end here, fields for the service pass")
    {
        ask(*listener,
            service("GET", "/x", "Accept: a/b\r\nX-Request-Id: mine\r\nUpgrade: h2c\r\n"));
        REQUIRE(listener->last_.headers_.size() == 1);
        CHECK(listener->last_.headers_.front().value_ == "a/b");
        CHECK(listener->last_.request_ == RequestId {"r1"});
    }
}

TEST_CASE("a stream ends with its terminator only if it is whole")
{
    const auto listener = startListener();
    listener->answer_.streamed_ = true;
    const std::string answer = ask(*listener, chatWith(R"("stream":true)"));
    CHECK(answer.find(R"(data: {"e":2})") != std::string::npos);
    CHECK(answer.find("data: [DONE]") != std::string::npos);
    CHECK(listener->last_.body_.find("include_usage") != std::string::npos);
}

TEST_CASE("choices multiply the bound of the output")
{
    const auto listener = startListener();
    ask(*listener, chatWith(R"("max_tokens":9,"max_completion_tokens":7,"n":3)"));
    CHECK(listener->last_.body_.find(R"("max_tokens":7)") != std::string::npos);
    CHECK(listener->last_.body_.find(R"("max_completion_tokens":7)") != std::string::npos);
}

TEST_CASE("a connection that fails under a write ends the request")
{
    const auto listener = startListener();
    listener->answer_.body_ = std::string(64U << 20U, 'x');
    {
        Poco::Net::StreamSocket socket(
            Poco::Net::SocketAddress("127.0.0.1", listener->server_.server_->port()));
        const std::string text = service("GET", "/x");
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        char first = 0;
        socket.receiveBytes(&first, 1);
        socket.setLinger(true, 0);
    }
    listener->server_.server_->stopAll(true);
    listener->server_.threads_->joinAll();
    CHECK(listener->finished_ == 1);
}
