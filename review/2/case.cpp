// A runner in trouble sends bytes without end where the size of a chunk is due. Do the daemons that
// read them survive, and do the requests of others that they carry get their answers?
#include "standin.h"

#include <csignal>
#include <memory>

using namespace standin;

namespace {

constexpr int memoryMb = 110;
/// Below the 1,000 Mbit/s of a machine's link.
constexpr double bytesPerSecond = 100e6;
constexpr double length = 30;

std::string config()
{
    return R"({"Version":7,"Routes":[{"Name":"r-lamp","Host":"lamp.example",)"
           R"("PathPrefix":"/lamp/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,)"
           R"("Priority":1,"Service":"lamps","MaxAttempts":1,"Public":true,)"
           R"("SessionAffinity":false,"Resumable":false},{"Name":"r-log","Host":"lamp.example",)"
           R"("PathPrefix":"/log/","Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,)"
           R"("Priority":1,"Service":"logs","MaxAttempts":1,"Public":true,)"
           R"("SessionAffinity":false,"Resumable":false}],"Services":[{"Name":"lamps",)"
           R"("HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false},)"
           R"({"Name":"logs","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1",)"
           R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
           R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

std::atomic<bool> faulty = false;

bool answerSoundly(Connection &connection, const Request &request, double workS)
{
    sleepFor(workS);
    const std::string body = "done " + request.target_ + "\n";
    return connection.send(answerHead(200, "OK", header(request.headers_, "Attempt-Id"), sign(body),
                                      {{"Content-Length", std::to_string(body.size())}})
                           + body);
}

/// Begins an answer in chunks. Instead of the size of the next chunk, digits follow without end,
/// until the caller closes.
bool answerWithoutEnd(Connection &connection, const Request &request)
{
    if (!connection.send(answerHead(200, "OK", header(request.headers_, "Attempt-Id"), "x",
                                    {{"Transfer-Encoding", "chunked"}})
                         + "5\r\nhello\r\n"))
        return false;
    const std::string piece(100'000, '0');
    const double begin = now();
    for (double sent = 0; !connection.peerClosed(); sent += static_cast<double>(piece.size())) {
        sleepUntil(begin + sent / bytesPerSecond);
        if (!connection.send(piece))
            break;
    }
    return false;
}

struct Counts
{
    std::atomic<int> sent_ = 0;
    std::atomic<int> answered_ = 0;
    /// Passed on to a sound runner from a kept channel, which was then closed without an answer.
    std::atomic<int> lost_ = 0;
};

/// A client that keeps its channel for many requests to the sound runner.
void keepAsking(Record &record, Counts &counts, Runner &sound, Machine &machine, double until)
{
    Connection connection;
    while (now() < until) {
        if (!connection.connectTo(machine.front(), 1.0)) {
            sleepFor(0.3);
            continue;
        }
        for (int number = 0; now() < until; ++number) {
            const std::string id = newId();
            ++counts.sent_;
            const Answer answer
                = call(connection,
                       "POST /log/1 HTTP/1.1\r\nHost: lamp.example\r\nAttempt-Id: " + id
                           + "\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi",
                       "POST", 4.0);
            const bool lost
                = answer.cut_ && answer.status_ == 0 && number > 0 && sound.runs(id) > 0;
            record.line("log request " + id + " to " + machine.name() + ": " + describe(answer)
                        + (lost ? "; LOST: the sound runner ran it" : ""));
            counts.answered_ += answer.complete_ ? 1 : 0;
            counts.lost_ += lost ? 1 : 0;
            if (!answer.complete_ || !header(answer.headers_, "Connection").empty())
                break;
        }
        sleepFor(0.1);
    }
}

/// A client of the service with the runner in trouble: one request after the other.
void askForLamps(Record &record, Machine &machine, double until)
{
    while (now() < until) {
        const std::string id = newId();
        Connection connection;
        if (connection.connectTo(machine.front(), 1.0)) {
            const Answer answer
                = call(connection,
                       "POST /lamp/1 HTTP/1.1\r\nHost: lamp.example\r\nAttempt-Id: " + id
                           + "\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi",
                       "POST", 3.0);
            record.line("lamp request " + id + " to " + machine.name() + ": " + describe(answer));
        }
        sleepFor(0.3);
    }
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Store store;
    store.put("op/config", config());
    Runner lamps(store, record, "i-lamps", "lamps", "zone-a", 6,
                 [](Connection &connection, const Request &request) {
                     return faulty ? answerWithoutEnd(connection, request)
                                   : answerSoundly(connection, request, 0.06);
                 });
    Runner logs(store, record, "i-logs", "logs", "zone-a", 64,
                [](Connection &connection, const Request &request) {
                    return answerSoundly(connection, request, 0.4);
                });
    const std::vector<int> ports = Machine::choosePorts();
    const std::vector<std::string> seeds {"127.0.0.11:" + std::to_string(ports[2]),
                                          "127.0.0.12:" + std::to_string(ports[2])};
    Machine a(record, {"edge-a-1", "zone-a", "127.0.0.11", store.open(), seeds, memoryMb});
    Machine b(record, {"edge-a-2", "zone-a", "127.0.0.12", store.open(), seeds, memoryMb});
    Machine *const machines[] = {&a, &b};
    a.start();
    b.start();
    if (!a.waitReady(15) || !b.waitReady(15))
        finish(record, 2, "the daemons don't become ready");
    sleepFor(3);

    const double end = now() + length;
    Counts counts;
    std::vector<std::thread> clients;
    for (Machine *machine : machines) {
        for (int i = 0; i < 4; ++i)
            clients.emplace_back([&, machine] { keepAsking(record, counts, logs, *machine, end); });
        clients.emplace_back([&, machine] { askForLamps(record, *machine, end); });
    }
    // The platform: a process over its memory is killed, and starts again after a short delay.
    std::map<Machine *, int> ended;
    std::map<Machine *, double> startAt;
    double highest = 0;
    const double troubleAt = now() + 2;
    while (now() < end) {
        if (withTrouble() && now() > troubleAt && !faulty) {
            faulty = true;
            record.line("the runner of the lamps is in trouble");
        }
        for (Machine *machine : machines) {
            if (startAt.count(machine) > 0) {
                if (now() >= startAt[machine]) {
                    startAt.erase(machine);
                    machine->start();
                }
                continue;
            }
            const double memory = machine->memoryMb();
            highest = std::max(highest, memory);
            if (memory > memoryMb) {
                record.line("machine " + machine->name() + ": the process takes "
                            + std::to_string(static_cast<int>(memory)) + " MB, over MemoryMb "
                            + std::to_string(memoryMb));
                machine->signal(SIGKILL);
                machine->waitEnd(2);
            }
            if (!machine->running()) {
                ++ended[machine];
                startAt[machine] = now() + 0.5;
            }
        }
        sleepFor(0.01);
    }
    for (std::thread &client : clients)
        client.join();
    const bool fault = ended[&a] >= 3 && ended[&b] >= 3;
    const bool lost = counts.lost_ > 3;
    const std::string seen = "ends of the processes: " + std::to_string(ended[&a]) + " and "
        + std::to_string(ended[&b]) + "; most memory: " + std::to_string(static_cast<int>(highest))
        + " MB of " + std::to_string(memoryMb)
        + "; requests to the sound runner: " + std::to_string(counts.sent_) + ", answered "
        + std::to_string(counts.answered_) + ", lost " + std::to_string(counts.lost_);
    finish(record, fault || lost ? 1 : 0,
           std::string(fault      ? "Fault"
                           : lost ? "LOST broken"
                                  : "held")
               + ": " + seen);
}
