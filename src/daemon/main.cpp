// tamarackd: the router daemon. Reads its settings, connects the adapters to the core and runs
// until it is asked to stop.
#include "adapters/crypto/crypto.h"
#include "adapters/etcd/etcd.h"
#include "adapters/http/http.h"
#include "adapters/json/json.h"
#include "adapters/logging/logging.h"
#include "daemon/admin.h"
#include "daemon/controlloop.h"
#include "daemon/peering.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace tamarack {

namespace {

constexpr int stoppedSignal = SIGUSR1;
constexpr std::size_t idBytes = 8;
constexpr std::size_t requestIdBytes = 16;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, stoppedSignal);
    return signals;
}

/// Waits for the end of a planned stop, a second signal or the settings' limit.
bool awaitStopped(const sigset_t &signals, Millis limit)
{
    const auto seconds = std::chrono::duration_cast<Seconds>(limit);
    const timespec timeout {
        static_cast<time_t>(seconds.count()),
        static_cast<long>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(limit - seconds).count())};
    return sigtimedwait(&signals, nullptr, &timeout) == stoppedSignal;
}

CallerServerSettings callerServerSettings(const Settings &settings)
{
    CallerServerSettings server;
    server.address_ = settings.callerAddress_;
    server.connections_ = settings.callerConnections_;
    server.maxRequestBytes_ = settings.maxRequestBytes_;
    return server;
}

int runDaemon(const Settings &settings)
{
    sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const pthread_t mainThread = pthread_self();

    const LogPort log {writeLogLine};
    EventQueue queue;
    const EventPort events {[&queue](Event event) {
        post(queue, std::move(event));
    }};
    const StorePort store
        = makeEtcdPort(EtcdSettings {settings.storeEndpoints_, settings.storeTimeout_});

    TrafficContext traffic;
    traffic.events_ = events;
    traffic.upstreams_ = makeHttpUpstreamPort();
    traffic.log_ = log;
    traffic.newRequestId_ = [] {
        return RequestId {"r" + randomHex(requestIdBytes)};
    };
    traffic.digest_ = sha256Hex;

    StoreWorkers workers;
    workers.store_ = store;
    workers.events_ = events;
    startStoreWorkers(workers, settings.storeWorkers_);

    const BundleStore bundles {store, settings.storePrefix_, settings.operators_};
    std::atomic<bool> stopping {false};
    std::thread bundleThread(
        [&] { watchBundles(bundles, events, log, [&stopping] { return stopping.load(); }); });

    ControlState state;
    state.settings_
        = controlSettings(settings, HolderId {settings.host_.value_ + '-' + randomHex(idBytes)});
    ControlLoop loop {queue, workers, traffic, log, [mainThread] {
                          pthread_kill(mainThread, stoppedSignal);
                      }};
    Peering peering;
    // Other threads run already and would block an orderly return.
    if (!startPeering(peering, settings, state, store, events, log))
        std::_Exit(1);
    connectPeering(peering, loop);
    std::thread controlThread([&loop, &state] { runControlLoop(loop, std::move(state)); });

    const AdminContext admin {bundles, traffic, settings.host_};
    CallerServer adminServer
        = startAdminServer(AdminServerSettings {settings.adminAddress_, settings.adminTokenSha256_},
                           [&admin](const AdminCall &call) { return handleAdmin(admin, call); });
    CallerServer callers = startCallerServer(callerServerSettings(settings), traffic);
    log.write_(LogEvent {LogLevel::Info,
                         "daemon.started",
                         {{"host", settings.host_.value_},
                          {"zone", settings.zone_.value_},
                          {"callers", settings.callerAddress_},
                          {"admin", settings.adminAddress_}}});

    int signal = 0;
    sigwait(&signals, &signal);
    stopAccepting(callers);
    events.post_(StopRequested {});
    announceLeaving(peering);
    if (!awaitStopped(signals, settings.stopLimit_)) {
        log.write_(LogEvent {LogLevel::Error, "daemon.stop_forced", {}});
        std::_Exit(1);
    }
    stopping = true;
    stopAccepting(adminServer);
    controlThread.join();
    stopPeering(peering);
    bundleThread.join();
    stopStoreWorkers(workers);
    return 0;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

int run(int argc, char **argv)
{
    CLI::App app {"tamarackd: router daemon for prepaid language-model token budgets"};
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "JSON settings file")->required()->check(CLI::ExistingFile);
    app.add_flag("--check-settings", checkOnly, "check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    Faults faults;
    const Settings settings = parseSettings(readFile(path), faults);
    if (!faults.empty()) {
        fmt::print(stderr, "{}", formatFaults(faults));
        return 2;
    }
    if (checkOnly) {
        fmt::print("settings are valid\n");
        return 0;
    }
    return runDaemon(settings);
}

} // namespace

} // namespace tamarack

int main(int argc, char **argv)
{
    return tamarack::run(argc, argv);
}
