// Servers in need name a limit. The store is down for longer than a lease lasts, and returns.
#include "plainserver.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr double limitPerS = 6.0;
constexpr double settleS = 3.0;
constexpr double windowS = 4.0;
constexpr Millis interval {8};
/// Times from the first request.
constexpr double namedS = 4.0;
constexpr double downS = 15.0;
constexpr double backS = 33.0;
constexpr double endS = 46.0;

const char *const config = R"({"Version": 3,
 "Routes": [{"Name": "lookup", "Host": "records.example", "PathPrefix": "/lookup/",
   "Service": "records", "Type": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 300,
   "MaxAttempts": 2, "Priority": 1}],
 "Services": [{"Name": "records", "HealthPath": "/healthz", "MaxConnections": 110}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
   "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "one", "ApiKeys": ["key-of-tenant-one"]}]})";

struct Load
{
    Record *record_ = nullptr;
    std::mutex mutex_;
    std::map<int, int> statuses_;
    std::atomic<int> running_ = 0;
};

void sendRequest(Load &load, const Machine &machine)
{
    const std::string attempt = randomId();
    const auto connection = connectTo(machine.clients_, Millis {4000});
    int status = 0;
    if (connection
        && connection->send("GET /lookup/plat HTTP/1.1\r\nHost: records.example\r\nAttempt-Id: "
                            + attempt
                            + "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n"
                              "Authorization: Token key-of-tenant-one\r\n\r\n"))
        status = statusOf(readMessage(*connection, true));
    load.record_->write("client " + attempt + " to " + machine.name_ + " got "
                        + std::to_string(status));
    const std::lock_guard lock(load.mutex_);
    ++load.statuses_[status];
}

/// Returns the most requests that a server got in a window that begins in a span of time.
std::pair<int, double> mostIn(const std::vector<double> &times, double from, double to)
{
    std::pair<int, double> most {0, from};
    for (const double begin : times) {
        if (begin < from || begin >= to)
            continue;
        const auto count
            = static_cast<int>(std::count_if(times.begin(), times.end(), [begin](double time) {
                  return time >= begin && time < begin + windowS;
              }));
        if (count > most.first)
            most = {count, begin};
    }
    return most;
}

int judge(std::vector<std::unique_ptr<PlainServer>> &servers, Record &record, double namedAt,
          double downAt, double backAt)
{
    constexpr double allowed = limitPerS * windowS * 1.5 + 5.0;
    int worst = 0;
    int before = 0;
    for (auto &server : servers) {
        std::vector<double> times;
        {
            const std::lock_guard lock(server->mutex_);
            for (const ReceivedRequest &got : server->run_)
                times.push_back(got.at_);
        }
        const auto [count, at] = mostIn(times, backAt + settleS, 1e9);
        const auto [earlier, earlierAt] = mostIn(times, namedAt + settleS, downAt - windowS);
        worst = std::max(worst, count);
        before = std::max(before, earlier);
        std::array<char, 256> text {};
        std::snprintf(text.data(), text.size(),
                      "server %s at most got %d requests in 4 s from %.3f, before %d in 4 s from "
                      "%.3f; allowed are %.0f",
                      server->id_.c_str(), count, at, earlier, earlierAt, allowed);
        record.write(text.data());
        std::printf("%s\n", text.data());
    }
    if (before == 0)
        return 2;
    const bool broken = worst > allowed;
    record.write(broken ? "LIMIT is broken" : "LIMIT holds");
    return broken ? 1 : 0;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool goesDown = !trouble || std::string(trouble) != "0";
    Record record(arguments[2]);
    Deployment deployment;
    const std::vector<std::string> zones {"zone-a", "zone-a", "zone-a", "zone-b",
                                          "zone-b", "zone-b", "zone-c", "zone-c"};
    const Clock::time_point startedAt = Clock::now();
    if (!deployment.start(arguments[1], zones, config))
        return 2;
    std::vector<std::unique_ptr<PlainServer>> servers;
    for (const int port : freePorts(3)) {
        servers.push_back(std::make_unique<PlainServer>());
        PlainServer &server = *servers.back();
        server.service_ = "records";
        server.zone_ = zones[3 * servers.size() - 3];
        server.address_ = "127.0.0.1:" + std::to_string(port);
        server.store_ = &deployment.store_;
        server.record_ = &record;
        server.workTime_ = Millis {30};
        if (!server.start())
            return 2;
    }
    int result = 2;
    if (deployment.awaitReady(Millis {15000})) {
        // The machines have known each other for a while. Counted from their start, because they
        // poll the store for each other at fixed times from then on.
        std::this_thread::sleep_until(startedAt + Millis {15000});
        Load load;
        load.record_ = &record;
        const Clock::time_point begin = Clock::now();
        Clock::time_point next = begin;
        std::size_t number = 0;
        double namedAt = 0.0;
        double downAt = 0.0;
        double backAt = 0.0;
        double elapsed = 0.0;
        while (elapsed < endS) {
            std::this_thread::sleep_for(Millis {2});
            elapsed = std::chrono::duration<double>(Clock::now() - begin).count();
            if (namedAt == 0.0 && elapsed >= namedS) {
                namedAt = record.now();
                record.write("the servers name their limit");
                for (auto &server : servers)
                    server->limit_ = limitPerS;
            }
            if (downAt == 0.0 && elapsed >= downS) {
                downAt = record.now();
                record.write(goesDown ? "the store goes down" : "the store stays");
                deployment.store_.setAway(goesDown);
            }
            if (backAt == 0.0 && elapsed >= backS) {
                backAt = record.now();
                record.write("the store is back");
                deployment.store_.setAway(false);
            }
            if (Clock::now() < next)
                continue;
            next += interval;
            ++load.running_;
            const Machine &machine = deployment.machines_[number++ % deployment.machines_.size()];
            std::thread([&load, &machine] {
                sendRequest(load, machine);
                --load.running_;
            }).detach();
        }
        for (int i = 0; i < 500 && load.running_ > 0; ++i)
            std::this_thread::sleep_for(Millis {10});
        result = judge(servers, record, namedAt, downAt, backAt);
    }
    deployment.stop();
    record.write("result " + std::to_string(result));
    std::_Exit(result);
}
