// tamarackd: the router daemon. Reads its settings, connects the adapters to the core and runs
// until it receives SIGTERM or SIGINT.
#include "adapters/crypto/crypto.h"
#include "adapters/etcd/etcd.h"
#include "adapters/http/http.h"
#include "adapters/json/json.h"
#include "adapters/logging/logging.h"
#include "adapters/metrics/metrics.h"
#include "daemon/admin.h"
#include "daemon/bundlewatch.h"
#include "daemon/controlloop.h"
#include "daemon/peering.h"
#include "daemon/reloadablesettings.h"
#include "runtime/gracefulshutdown.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <pthread.h>

namespace tamarack {

namespace {

constexpr std::size_t holderIdBytes = 8;
constexpr std::size_t requestIdBytes = 16;

CallerServerSettings callerServerSettings(const Settings &settings)
{
    CallerServerSettings server;
    server.address_ = settings.callerAddress_;
    server.maxConnections_ = settings.maxCallerConnections_;
    server.maxRequestBytes_ = settings.maxRequestBytes_;
    return server;
}

AdminServerSettings adminServerSettings(const ReloadableSettings &reloadable)
{
    AdminServerSettings server;
    server.address_ = reloadable.current_.load()->adminAddress_;
    server.tokens_ = [&reloadable] {
        return reloadable.current_.load()->adminTokensSha256_;
    };
    return server;
}

void setUpTraffic(TrafficContext &traffic, const EventPort &events, const LogPort &log)
{
    traffic.events_ = events;
    traffic.upstreams_ = makeHttpUpstreamPort();
    traffic.log_ = log;
    traffic.newRequestId_ = [] {
        return RequestId {"r" + randomHex(requestIdBytes)};
    };
    traffic.digest_ = sha256Hex;
}

int runDaemon(ReloadableSettings &reloadable)
{
    blockHandledSignals();
    const pthread_t mainThread = pthread_self();
    const std::shared_ptr<const Settings> settings = reloadable.current_.load();
    const LogPort log {writeLogLine};
    BlockingQueue<Event> queue;
    const EventPort events {[&queue](Event event) {
        post(queue, std::move(event));
    }};
    const StorePort store
        = makeEtcdStorePort(EtcdSettings {settings->storeEndpoints_, settings->storeTimeout_});
    TrafficContext traffic;
    setUpTraffic(traffic, events, log);

    StoreWorkers workers;
    workers.store_ = store;
    workers.events_ = events;
    startStoreWorkers(workers, settings->storeThreads_);

    BundleCache cache;
    StopFlag stopFlag;
    const BundleStore bundles {store, settings->storePrefix_,
                               [&reloadable] { return reloadable.current_.load()->operators_; },
                               &cache, &stopFlag};
    std::thread bundleThread([&] { watchBundles(bundles, events, log); });

    ControlState state;
    state.settings_ = controlSettings(
        *settings, HolderId {settings->host_.value_ + '-' + randomHex(holderIdBytes)});
    AppliedVersion applied;
    ControlLoop loop {queue, workers, traffic, log, applied, [mainThread] {
                          signalStopped(mainThread);
                      }};
    Peering peering;
    // Other threads are already running, so an orderly return is impossible.
    if (!startPeering(peering, *settings, state, store, events, log))
        std::_Exit(1);
    connectPeering(peering, loop);
    const auto registry = std::make_shared<prometheus::Registry>();
    loop.metrics_ = makeMetricsPort(registry);
    std::thread controlThread([&loop, &state] { runControlLoop(loop, std::move(state)); });

    const AdminContext admin {bundles, traffic, applied, log, settings->host_, [registry] {
                                  return formatMetrics(*registry);
                              }};
    HttpListener adminServer
        = startAdminServer(adminServerSettings(reloadable), [&admin](const AdminRequest &request) {
              return handleAdminRequest(admin, request);
          });
    HttpListener callerServer = startCallerServer(callerServerSettings(*settings), traffic);
    log.write_(LogEvent {LogLevel::Info,
                         "daemon.started",
                         {{"host", settings->host_.value_},
                          {"zone", settings->zone_.value_},
                          {"callers", settings->callerAddress_},
                          {"admin", settings->adminAddress_}}});

    awaitStopSignal([&reloadable, &log] { reloadSettings(reloadable, log); });
    const auto stopAcceptingWork = [&callerServer, &peering] {
        announceLeaving(peering);
        stopAccepting(callerServer);
    };
    const GracefulShutdown shutdown {settings->stopTimeout_, stopAcceptingWork,
                                     [&callerServer] { callerServer.server_->stopAll(false); },
                                     events, log};
    shutDownGracefully(shutdown);
    stopWatchingBundles(bundles);
    stopAccepting(adminServer);
    controlThread.join();
    stopPeering(peering);
    bundleThread.join();
    stopStoreWorkers(workers);
    return 0;
}

int run(int argc, char **argv)
{
    CLI::App app {"tamarackd: router daemon for prepaid language-model token budgets"};
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "JSON settings file")->required()->check(CLI::ExistingFile);
    app.add_flag("--check-settings", checkOnly, "check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    ValidationErrors errors;
    ReloadableSettings reloadable;
    reloadable.path_ = path;
    if (!readSettings(reloadable, errors)) {
        fmt::print(stderr, "{}", formatValidationErrors(errors));
        return 2;
    }
    if (checkOnly) {
        fmt::print("settings are valid\n");
        return 0;
    }
    return runDaemon(reloadable);
}

} // namespace

} // namespace tamarack

int main(int argc, char **argv)
{
    return tamarack::run(argc, argv);
}
