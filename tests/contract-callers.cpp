// Tests of the callers' listener with raw requests. Guards against ambiguous or invalid requests
// that reach an upstream, request smuggling through unread bodies, and altered responses of
// services.
#include "adapters/http/callerserver.h"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <atomic>

using namespace tamarack;

namespace {

const std::string keyHash
    = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"; // "key"

/// A listener whose control thread admits everything and whose upstream sends a fixed response.
struct Listener
{
    TrafficContext context_;
    ExchangeResult response_;
    std::atomic<int> exchanges_ {0};
    ExchangeRequest last_;
    std::atomic<int> finished_ {0};
    HttpListener server_;
};

void takeEvent(Listener &listener, const Event &event)
{
    if (std::holds_alternative<RequestFinished>(event))
        ++listener.finished_;
    if (const auto *admission = std::get_if<AdmissionRequested>(&event))
        fillSlot(listener.context_.slots_, admission->waiter_,
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
        for (int i = 0; l->response_.streamed_ && i < 3; ++i) {
            if (!sink(StreamEvent {"{\"e\":" + std::to_string(i) + "}", false}))
                break;
        }
        return l->response_;
    };
    l->context_.upstreams_.cancel_ = [](const std::string &, const RequestId &, Millis) {
        return std::optional<Tokens> {};
    };
    l->response_.result_ = AttemptResult::Complete;
    l->response_.status_ = 200;
    l->response_.contentType_ = "text/plain";
    l->response_.body_ = "done";
    CallerServerSettings settings;
    settings.address_ = "127.0.0.1:0";
    settings.maxConnections_ = 8;
    settings.maxRequestBytes_ = 1000;
    l->server_ = startCallerServer(settings, l->context_);
    return listener;
}

/// Sends raw bytes and returns everything received until the connection ends.
std::string sendRaw(const Listener &listener, const std::string &text)
{
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress("127.0.0.1", listener.server_.server_->port()));
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::string response;
    std::string buffer(4096, '\0');
    try {
        for (int n = 1; n > 0;) {
            n = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            response.append(buffer, 0, static_cast<std::size_t>(std::max(n, 0)));
        }
    } catch (const Poco::Exception &) {
        // The listener closed the connection with unread bytes of the request, which causes a
        // reset.
    }
    return response;
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

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

const std::string chat = "/v1/chat/completions";
const std::string chatBody = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";

std::string chatWith(const std::string &field)
{
    return post(chat, "", chatBody.substr(0, chatBody.size() - 1) + "," + field + "}");
}

struct Case
{
    std::string name_;
    std::string request_;
};

} // namespace

TEST_CASE("invalid requests are refused as not run and reach no upstream")
{
    const auto testCase = GENERATE(values<Case>({
        {"other path", post("/v2/chat", "", chatBody)},
        {"other method", "GET " + chat + " HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"not JSON", post(chat, "", "{")},
        {"no model", post(chat, "", R"({"messages":[]})")},
        {"output limit below 1", chatWith(R"("max_tokens":0)")},
        {"output limit above the range", chatWith(R"("max_completion_tokens":99999999)")},
        {"too many choices", chatWith(R"("n":1000)")},
        {"no choices", chatWith(R"("n":0)")},
        {"best_of multiplies the output", chatWith(R"("best_of":4)")},
        {"body above the limit", post(chat, "", std::string(2000, ' '))},
        {"chunks, whose end POCO does not verify",
         "POST " + chat + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"length and chunks", post(chat, "Transfer-Encoding: chunked\r\n", chatBody)},
        {"two lengths", post(chat, "Content-Length: 3\r\n", chatBody)},
        {"a negative length", "POST " + chat + " HTTP/1.1\r\nContent-Length: -1\r\n\r\n"},
        {"deadline with a unit", post(chat, "Tamarack-Deadline-Ms: 5s\r\n", chatBody)},
        {"deadline of nothing", post(chat, "Tamarack-Deadline-Ms: 0\r\n", chatBody)},
        {"two keys", post(chat, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", chatBody)},
        {"two authorizations", post(chat, "Authorization: Bearer other\r\n", chatBody)},
        {"key with a space", post(chat, "Idempotency-Key: a b\r\n", chatBody)},
        {"key too long",
         post(chat, "Idempotency-Key: " + std::string(300, 'a') + "\r\n", chatBody)},
        {"non-idempotent mark with another value",
         post(chat, "Tamarack-Non-Idempotent: yes\r\n", chatBody)},
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
    const std::string response = sendRaw(*listener, testCase.request_);
    INFO(response);
    CHECK(response.starts_with("HTTP/1.1 400 "));
    CHECK(response.find(R"("code":"invalid_request")") != std::string::npos);
    CHECK(response.find(R"("execution":"not_run")") != std::string::npos);
    CHECK(response.find("Tamarack-Request-Id: r1") != std::string::npos);
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("a Content-Length that is not a number closes the connection")
{
    // POCO throws before the handler runs, so there is no response; the request must not run
    // either.
    const auto listener = startListener();
    const std::string response
        = sendRaw(*listener, "POST " + chat + " HTTP/1.1\r\nContent-Length: 5x\r\n\r\n12345");
    CHECK(response.empty());
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("the refusal of an unknown key carries a request id")
{
    const auto listener = startListener();
    const std::string response
        = sendRaw(*listener, "GET /services/lamps/x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 401 "));
    CHECK(response.find("Tamarack-Request-Id: r1") != std::string::npos);
}

TEST_CASE("an unread body is not parsed as the next request")
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
    const std::string response = sendRaw(*listener, request);
    CHECK(countOccurrences(response, "HTTP/1.1 ") == 1);
    CHECK(listener->exchanges_ == 0);
}

TEST_CASE("a truncated body is not forwarded")
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

TEST_CASE("a response of a service is forwarded unchanged")
{
    const auto listener = startListener();
    SECTION("binary body, content type, status and fields")
    {
        listener->response_.status_ = 201;
        listener->response_.contentType_ = "application/octet-stream";
        listener->response_.headers_ = {HeaderField {"Location", "/7"}};
        listener->response_.body_ = std::string("\0\xff\r\n\r\nHTTP/1.1", 14);
        const std::string response = sendRaw(*listener, service("GET", "/x?a=1&b=%20"));
        CHECK(response.starts_with("HTTP/1.1 201 "));
        CHECK(response.find("Content-Type: application/octet-stream") != std::string::npos);
        CHECK(response.find("Location: /7") != std::string::npos);
        CHECK(response.ends_with("\r\n\r\n" + listener->response_.body_));
        CHECK(listener->last_.path_ == "/x?a=1&b=%20");
    }
    SECTION("a large body")
    {
        listener->response_.body_ = std::string(5U << 20U, 'x');
        CHECK(sendRaw(*listener, service("GET", "/x")).ends_with(listener->response_.body_));
    }
    SECTION("statuses without a body")
    {
        listener->response_.status_ = GENERATE(204, 304);
        listener->response_.body_.clear();
        CHECK(sendRaw(*listener, service("DELETE", "/x")).ends_with("\r\n\r\n"));
    }
    SECTION("HEAD has no body")
    {
        CHECK(sendRaw(*listener, service("HEAD", "/x")).ends_with("\r\n\r\n"));
    }
    SECTION("an error status")
    {
        listener->response_.status_ = 404;
        CHECK(sendRaw(*listener, service("GET", "/x")).starts_with("HTTP/1.1 404 "));
    }
    SECTION("a field of the upstream cannot add a header")
    {
        listener->response_.contentType_ = "text/plain\r\nSet-Cookie: a=b";
        CHECK(sendRaw(*listener, service("GET", "/x")).find("Set-Cookie") == std::string::npos);
    }
    SECTION("hop-by-hop fields are dropped, end-to-end fields are forwarded")
    {
        sendRaw(*listener,
                service("GET", "/x", "Accept: a/b\r\nX-Request-Id: mine\r\nUpgrade: h2c\r\n"));
        REQUIRE(listener->last_.headers_.size() == 1);
        CHECK(listener->last_.headers_.front().value_ == "a/b");
        CHECK(listener->last_.request_ == RequestId {"r1"});
    }
}

TEST_CASE("a complete stream ends with its terminator")
{
    const auto listener = startListener();
    listener->response_.streamed_ = true;
    const std::string response = sendRaw(*listener, chatWith(R"("stream":true)"));
    CHECK(response.find(R"(data: {"e":2})") != std::string::npos);
    CHECK(response.find("data: [DONE]") != std::string::npos);
    CHECK(listener->last_.body_.find("include_usage") != std::string::npos);
}

TEST_CASE("the output limit of each choice is forwarded")
{
    const auto listener = startListener();
    sendRaw(*listener, chatWith(R"("max_tokens":9,"max_completion_tokens":7,"n":3)"));
    CHECK(listener->last_.body_.find(R"("max_tokens":7)") != std::string::npos);
    CHECK(listener->last_.body_.find(R"("max_completion_tokens":7)") != std::string::npos);
}

TEST_CASE("a connection that fails during a write ends the request")
{
    const auto listener = startListener();
    listener->response_.body_ = std::string(64U << 20U, 'x');
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
