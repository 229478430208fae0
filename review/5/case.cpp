// Machines are stopped as in a rolling restart. The last request that a daemon still carries fails
// at its runner. Does the client get that answer before the daemon ends?
#include "standin.h"

#include <csignal>
#include <memory>

using namespace standin;

namespace {

constexpr int machineCount = 8;
constexpr int stopCount = 24;
constexpr double gapSeconds = 1;
constexpr double graceSeconds = 8;
/// When the clients send on their kept channels, after the SIGTERM.
constexpr double sendAfter = 2.7;
constexpr double workSeconds = 0.45;

std::string config()
{
    return R"({"Version":7,"Routes":[{"Name":"r-lamp","Host":"lamp.example",)"
           R"("PathPrefix":"/lamp/","Type":"unsafe","TimeoutMs":2000,"TargetLatencyMs":300,)"
           R"("Priority":1,"Service":"lamps","MaxAttempts":1,"Public":true,)"
           R"("SessionAffinity":false,"Resumable":false}],"Services":[{"Name":"lamps",)"
           R"("HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000}})";
}

std::string post(const std::string &target, const std::string &id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: lamp.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi";
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Store store;
    store.put("op/config", config());
    Runner runner(store, record, "i-lamps", "lamps", "zone-a", 64,
                  [](Connection &connection, const Request &request) {
                      const bool fails = request.target_ == "/lamp/fails";
                      sleepFor(fails ? workSeconds : 0.02);
                      const std::string body = fails ? "the lamp doesn't answer" : "done";
                      return connection.send(
                          answerHead(fails ? 500 : 200, fails ? "Internal Server Error" : "OK",
                                     header(request.headers_, "Attempt-Id"), sign(body),
                                     {{"Content-Length", std::to_string(body.size())}})
                          + body);
                  });
    const std::vector<int> ports = Machine::choosePorts();
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i)
        seeds.push_back("127.0.0." + std::to_string(11 + i) + ':' + std::to_string(ports[2]));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < machineCount; ++i) {
        machines.push_back(std::make_unique<Machine>(
            record,
            Machine::Settings {"edge-a-" + std::to_string(i + 1), "zone-a",
                               "127.0.0." + std::to_string(11 + i), store.open(), seeds, 110}));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitReady(20))
            finish(record, 2, "the daemons don't become ready");
    }
    sleepFor(4);

    // The machines are stopped and started in turn, one each gapSeconds.
    const double begin = now() + 1;
    const auto stopTime = [begin](int stop) {
        return begin + stop * gapSeconds;
    };
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> clients;
    for (int stop = 0; stop < stopCount; ++stop)
        clients.emplace_back([&, stop] {
            const Machine &machine = *machines[static_cast<std::size_t>(stop % machineCount)];
            sleepUntil(stopTime(stop) - 0.5);
            Connection connection;
            if (!connection.connectTo(machine.front(), 1.0))
                return;
            // The channel is kept: it has served a request before.
            call(connection, post("/lamp/1", newId()), "POST", 3.0);
            sleepUntil(stopTime(stop) + sendAfter);
            const std::string id = newId();
            const Answer answer = call(connection, post("/lamp/fails", id), "POST", 3.0);
            const bool isLost = !answer.complete_ && answer.cut_ && runner.runs(id) > 0;
            record.line("request " + id + " to " + machine.name() + ": " + describe(answer)
                        + (isLost ? "; LOST: a runner ran it" : ""));
            answered += answer.complete_ ? 1 : 0;
            lost += isLost ? 1 : 0;
        });
    std::map<Machine *, double> startAt;
    std::map<Machine *, double> killAt;
    int stops = 0;
    while (now() < stopTime(stopCount) + graceSeconds) {
        if (withTrouble() && stops < stopCount && now() >= stopTime(stops)) {
            Machine &machine = *machines[static_cast<std::size_t>(stops++ % machineCount)];
            machine.signal(SIGTERM);
            killAt[&machine] = now() + graceSeconds;
        }
        for (const auto &machine : machines) {
            if (startAt.count(machine.get()) > 0) {
                if (now() >= startAt[machine.get()]) {
                    startAt.erase(machine.get());
                    machine->start();
                }
            } else if (!machine->running()) {
                killAt.erase(machine.get());
                startAt[machine.get()] = now() + 0.3;
            } else if (killAt.count(machine.get()) > 0 && now() >= killAt[machine.get()]) {
                machine->signal(SIGKILL);
            }
        }
        sleepFor(0.005);
    }
    for (std::thread &client : clients)
        client.join();
    if (lost + answered < stopCount)
        finish(record, 2, "not all requests reached a runner");
    finish(record, lost > 0 ? 1 : 0,
           std::string(lost > 0 ? "LOST broken: " : "LOST held: ") + std::to_string(lost) + " of "
               + std::to_string(stopCount)
               + " requests were passed on to a runner and have no answer; answered "
               + std::to_string(answered));
}
