// A part of a prompt crashes the model servers. The prompts have 20 parts.
#include "modelserver.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr double settleS = 3.0;
constexpr int warmUpS = 16;
constexpr int troubleS = 34;
constexpr Millis soundInterval {60};
constexpr Millis crashingInterval {1400};

/// One request for each start of a client, with the time at which it was sent.
struct Sent
{
    std::string attempt_;
    double at_ = 0.0;
    bool crashing_ = false;
    int status_ = 0;
};

struct Load
{
    Deployment *deployment_ = nullptr;
    Record *record_ = nullptr;
    std::size_t parts_ = 0;
    std::mutex mutex_;
    std::vector<Sent> sent_;
    std::atomic<int> running_ = 0;
};

std::string partId(std::size_t number)
{
    std::array<char, 16> text {};
    std::snprintf(text.data(), text.size(), "%08zx", 0x5c1e0000 + number * 0x1357);
    return text.data();
}

const char *const crashingPart = "91bd3f06";

/// Sound requests share all parts but the last. In the others, one part is another one.
std::string promptOf(const Load &load, bool crashing)
{
    constexpr std::size_t replaced = 5;
    std::string list;
    for (std::size_t i = 0; i + 1 < load.parts_; ++i)
        list += (crashing && i == std::min(replaced, load.parts_ - 2) ? crashingPart : partId(i))
            + ":60,";
    return list + randomId(8) + ":20";
}

void sendRequest(Load &load, const Machine &machine, bool crashing)
{
    Sent sent {randomId(), load.record_->now(), crashing, 0};
    const std::size_t tokens = (load.parts_ - 1) * 60 + 20;
    const auto connection = connectTo(machine.clients_, Millis {1000});
    if (connection
        && connection->send("POST /chat/ask HTTP/1.1\r\nHost: model.example\r\nAttempt-Id: "
                            + sent.attempt_
                            + "\r\nModel: m\r\nToken-Usage: " + std::to_string(tokens)
                            + ",30\r\nPrefix-Hash: " + promptOf(load, crashing)
                            + "\r\nDeadline-Ms: 6000\r\nAuthorization: Token key-of-tenant-one\r\n"
                              "Content-Length: 2\r\n\r\n{}")) {
        const Message answer = readMessage(*connection, true);
        sent.status_ = statusOf(answer);
    }
    load.record_->write(std::string("client ") + (crashing ? "crashing " : "sound ") + sent.attempt_
                        + " to " + machine.name_ + " got " + std::to_string(sent.status_));
    const std::lock_guard lock(load.mutex_);
    load.sent_.push_back(sent);
}

void startRequest(Load &load, std::size_t number, bool crashing)
{
    ++load.running_;
    const Machine &machine
        = load.deployment_->machines_[number % load.deployment_->machines_.size()];
    std::thread([&load, &machine, crashing] {
        sendRequest(load, machine, crashing);
        --load.running_;
    }).detach();
}

/// Requests that were sent in a span of time, and those that a server began.
struct Share
{
    int sent_ = 0;
    int begun_ = 0;
    double value() const { return sent_ == 0 ? 0.0 : static_cast<double>(begun_) / sent_; }
};

Share soundShare(Load &load, ModelService &service, double from, double to)
{
    Share share;
    for (const Sent &sent : load.sent_) {
        if (sent.crashing_ || sent.at_ < from || sent.at_ >= to || sent.status_ == 402)
            continue;
        ++share.sent_;
        share.begun_ += service.begun_.contains(sent.attempt_) ? 1 : 0;
    }
    return share;
}

const char *const config = R"({"Version": 3,
 "Routes": [{"Name": "chat", "Host": "model.example", "PathPrefix": "/chat/", "Service": "llm",
   "Type": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 600, "TargetGapMs": 400,
   "MaxAttempts": 1, "Priority": 1, "SessionAffinity": true}],
 "Services": [{"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 370,
   "Engine": {"Slots": 64, "KvCapacityTokens": 435147, "Stride": 3}}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
   "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "one", "ApiKeys": ["key-of-tenant-one"], "Prepaid": 900000000}]})";

int judge(Load &load, ModelService &service, double troubleFrom, double troubleTo)
{
    const std::lock_guard lock(service.mutex_);
    const Share before = soundShare(load, service, troubleFrom - 10.0, troubleFrom);
    std::string crashes;
    for (const double at : service.crashes_)
        crashes += " " + std::to_string(at);
    load.record_->write("crashes at" + crashes);
    const std::size_t last = std::min<std::size_t>(service.crashes_.size(), 5);
    const double from = (last == 0 ? troubleFrom : service.crashes_[last - 1]) + 2 * settleS;
    const Share after = soundShare(load, service, from, troubleTo);
    std::array<char, 256> text {};
    std::snprintf(text.data(), text.size(),
                  "sound requests begun: %d of %d before, %d of %d from %.3f to %.3f",
                  before.begun_, before.sent_, after.begun_, after.sent_, from, troubleTo);
    load.record_->write(text.data());
    std::printf("%s\n", text.data());
    const bool enough = before.sent_ >= 20 && after.sent_ >= 20 && before.value() > 0.9;
    if (!enough) {
        load.record_->write("the case could not run");
        return 2;
    }
    const bool broken = after.value() < before.value() / 2;
    load.record_->write(broken ? "LOST is broken" : "LOST holds");
    return broken ? 1 : 0;
}

void runLoad(Load &load, std::vector<std::unique_ptr<ModelServer>> &servers, double &troubleFrom,
             double &troubleTo)
{
    const Clock::time_point begin = Clock::now();
    const Clock::time_point trouble = begin + std::chrono::seconds {warmUpS};
    const Clock::time_point end = trouble + std::chrono::seconds {troubleS};
    Clock::time_point nextSound = begin;
    Clock::time_point nextCrashing = trouble;
    std::size_t sound = 0;
    std::size_t crashing = 0;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(Millis {5});
        for (auto &server : servers)
            server->tend();
        if (Clock::now() >= nextSound) {
            nextSound += soundInterval;
            startRequest(load, sound++, false);
        }
        if (Clock::now() >= nextCrashing) {
            if (crashing == 0)
                troubleFrom = load.record_->now();
            nextCrashing += crashingInterval;
            troubleTo = load.record_->now();
            startRequest(load, 3 * crashing++, true);
        }
    }
    for (int i = 0; i < 800 && load.running_ > 0; ++i)
        std::this_thread::sleep_for(Millis {10});
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const char *parts = std::getenv("PARTS");
    Record record(arguments[2]);
    Deployment deployment;
    ModelService service;
    service.name_ = "llm";
    service.store_ = &deployment.store_;
    service.record_ = &record;
    if (!trouble || std::string(trouble) != "0")
        service.crashingPart_ = crashingPart;
    const std::vector<std::string> zones {"zone-a", "zone-a", "zone-a", "zone-b",
                                          "zone-b", "zone-b", "zone-c", "zone-c"};
    if (!deployment.start(arguments[1], zones, config))
        return 2;
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (const int port : freePorts(9)) {
        servers.push_back(std::make_unique<ModelServer>());
        servers.back()->service_ = &service;
        servers.back()->zone_ = zones[servers.size() % zones.size()];
        servers.back()->address_ = "127.0.0.1:" + std::to_string(port);
        if (!servers.back()->start())
            return 2;
    }
    Load load;
    load.deployment_ = &deployment;
    load.record_ = &record;
    load.parts_ = parts ? static_cast<std::size_t>(std::atoi(parts)) : 20;
    int result = 2;
    if (deployment.awaitReady(Millis {15000})) {
        double troubleFrom = 0.0;
        double troubleTo = 0.0;
        runLoad(load, servers, troubleFrom, troubleTo);
        const bool allRun = std::none_of(deployment.machines_.begin(), deployment.machines_.end(),
                                         [](Machine &m) { return m.program_.hasEnded(); });
        result = allRun ? judge(load, service, troubleFrom, troubleTo) : 2;
    }
    for (auto &server : servers)
        server->stop();
    deployment.stop();
    record.write("result " + std::to_string(result));
    // Threads that still wait have nothing left to write.
    std::_Exit(result);
}
