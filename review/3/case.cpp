// Slow runners: the first events of many streams come when the time of their route ends. Does each
// client get an answer in the protocol, whole or broken off?
#include "standin.h"

#include <memory>
#include <random>

using namespace standin;

namespace {

constexpr int clientCount = 200;
constexpr int rounds = 4;
/// The first events come within the last part of the time of their route.
constexpr double spreadSeconds = 0.02;

std::string config()
{
    return R"({"Version":7,"Routes":[{"Name":"r-chat","Host":"chat.example",)"
           R"("PathPrefix":"/chat/","Type":"streaming","TimeoutMs":2000,"TargetLatencyMs":600,)"
           R"("Priority":1,"Service":"llm","MaxAttempts":1,"Public":true,)"
           R"("SessionAffinity":true,"Resumable":false,"TargetGapMs":400}],"Services":[)"
           R"({"Name":"llm","HealthPath":"/healthz","MaxConnections":370,"Protocol":"h1",)"
           R"("Tls":false,"Engine":{"Slots":64,"KvCapacityTokens":435147,"KvBytes":327680,)"
           R"("Stride":10,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,)"
           R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

/// A batch whose first token takes about as long as the requests may. The runner stops work at the
/// value of Deadline-Ms that it receives.
bool stream(Connection &connection, const Request &request)
{
    static std::mutex mutex;
    static std::mt19937 generator(1);
    const double arrivedAt = now();
    const double deadline = arrivedAt + std::stod(header(request.headers_, "Deadline-Ms")) / 1000.0;
    double early = 0;
    {
        const std::lock_guard lock(mutex);
        early = std::uniform_real_distribution<double>(0.0, spreadSeconds)(generator);
    }
    const std::string attempt = header(request.headers_, "Attempt-Id");
    sleepUntil(deadline - early);
    const std::string event = "id: 1\ndata: 0123456789\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!connection.send(
            answerHead(200, "OK", attempt, sign(attempt),
                       {{"Content-Type", "text/event-stream"}, {"Transfer-Encoding", "chunked"}})
            + size + event + "\r\n"))
        return false;
    // The deadline has passed: the rest is not made.
    sleepFor(0.05);
    return false;
}

/// Returns true if the bytes after the head are chunks, the last of which may be broken off.
bool areChunks(std::string body)
{
    while (!body.empty()) {
        const std::size_t end = body.find("\r\n");
        const std::string size = body.substr(0, end);
        if (size.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
            return false;
        if (end == std::string::npos)
            return true;
        const std::size_t length = std::strtoull(size.c_str(), nullptr, 16);
        if (body.size() < end + 2 + length + 2)
            return true;
        if (body.substr(end + 2 + length, 2) != "\r\n")
            return false;
        body.erase(0, end + 2 + length + 2);
    }
    return true;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Store store;
    store.put("op/config", config());
    const Runner::Work work = [](Connection &connection, const Request &request) {
        if (withTrouble())
            return stream(connection, request);
        const std::string attempt = header(request.headers_, "Attempt-Id");
        sleepFor(0.1);
        return connection.send(
            answerHead(200, "OK", attempt, sign(attempt),
                       {{"Content-Type", "text/event-stream"}, {"Transfer-Encoding", "chunked"}})
            + "18\r\nid: 1\ndata: 0123456789\n\n\r\n0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < 9; ++i)
        runners.push_back(std::make_unique<Runner>(store, record, "i-" + std::to_string(i + 1),
                                                   "llm", "zone-a", 64, work));
    const std::vector<int> ports = Machine::choosePorts();
    Machine machine(record,
                    {"edge-a-1",
                     "zone-a",
                     "127.0.0.11",
                     store.open(),
                     {"127.0.0.11:" + std::to_string(ports[2])},
                     110});
    machine.start();
    if (!machine.waitReady(15))
        finish(record, 2, "the daemon doesn't become ready");
    sleepFor(3);

    std::atomic<int> sent = 0;
    std::atomic<int> mixed = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> clients;
        for (int i = 0; i < clientCount; ++i)
            clients.emplace_back([&] {
                const std::string id = newId();
                Connection connection;
                if (!connection.connectTo(machine.front(), 1.0)
                    || !connection.send(
                        "POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: " + id
                        + "\r\nModel: m\r\nToken-Usage: 1000,100\r\nPrefix-Hash: " + id
                        + ":1000\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi"))
                    return;
                ++sent;
                const double until = now() + 3.2;
                std::string bytes;
                while (connection.receive(until) == 1 && now() < until) { }
                bytes = connection.input_;
                const std::size_t head = bytes.find("\r\n\r\n");
                const bool chunked = bytes.find("Transfer-Encoding: chunked") < head;
                const bool bad
                    = head != std::string::npos && chunked && !areChunks(bytes.substr(head + 4));
                mixed += bad ? 1 : 0;
                std::string shown;
                for (const char c : bytes)
                    shown += c == '\r' ? "" : c == '\n' ? "|" : std::string(1, c);
                record.line("request " + id + (bad ? ": MIXED: " : ": ") + shown);
            });
        for (std::thread &client : clients)
            client.join();
    }
    finish(record, mixed > 0 ? 1 : 0,
           std::string(mixed > 0 ? "MIXED broken: " : "MIXED held: ") + std::to_string(mixed)
               + " of " + std::to_string(sent)
               + " clients got bytes that are no answer in the protocol");
}
