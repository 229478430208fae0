// Composition of a relay daemon.
#include "relayd/relayd.h"

#include "adapters/crypto/crypto.h"
#include "adapters/json/json.h"
#include "adapters/logging/logging.h"
#include "adapters/metrics/metrics.h"
#include "adapters/peers/peers.h"
#include "relayd/documents.h"
#include "relayd/follower.h"
#include "relayd/relayloop.h"
#include "runtime/runtime.h"

#include <fmt/format.h>

#include <fstream>
#include <memory>
#include <sstream>

#include <pthread.h>

namespace tamarack {

namespace {

constexpr std::size_t holderBytes = 6;
/// Reads and writes of the ledger; more than one so that a slow call does not hold up the next.
constexpr std::uint32_t storeWorkers = 2;
/// Lifetime of the registration without renewal, and the pause between renewals.
constexpr Seconds registrationLease {5};
constexpr Millis registrationInterval {1500};
/// Pause between reads of the other daemons' registrations.
constexpr Millis membersInterval {3000};
/// Changes that follow each other within the pause cost one call. A configuration has to be in
/// force within 2 s; a change of an instance is also learned from its answers.
constexpr Millis configChangePause {150};
constexpr Millis instanceChangePause {400};
/// The wait for a configuration ends sooner and shows whether the store answers.
constexpr Millis instanceWaitLimit {3000};
/// Descriptors that are not for clients: files, listeners and upstreams.
constexpr std::size_t clientDescriptorShare = 2;

std::optional<RelayDaemonSettings> readSettingsFile(const std::string &path,
                                                    ValidationErrors &errors)
{
    std::ifstream file(path);
    if (!file) {
        errors.push_back(
            ValidationError {path, "can't be read", "check the path and its permissions"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    RelayDaemonSettings settings = parseRelaySettings(text.str(), errors);
    if (!errors.empty())
        return std::nullopt;
    return settings;
}

using RelayQueue = WaitQueue<RelayEvent>;

FrontendSettings frontendSettings(const RelayDaemonSettings &settings,
                                  const RelayPlatform &platform)
{
    FrontendSettings front;
    front.clientAddress_ = settings.clientAddress_;
    front.localAddress_ = settings.localAddress_;
    front.headers_ = platform.headers_;
    front.maxClients_ = settings.maxFileDescriptors_ / clientDescriptorShare;
    return front;
}

/// Turns what the shared store threads post into events of the relay.
EventPort storeEvents(RelayQueue &queue, const RelayDaemonSettings &settings)
{
    return EventPort {[&queue, &settings](Event event) {
        if (auto *replied = std::get_if<StoreReplied>(&event))
            post(queue, RelayEvent {std::move(*replied)});
        else if (const auto *members = std::get_if<RegistrationsLoaded>(&event))
            post(queue, RelayEvent {countFleet(*members, settings.host_, settings.zone_)});
    }};
}

void checkAgain(const std::string &path, const LogPort &log)
{
    ValidationErrors errors;
    const bool valid = readSettingsFile(path, errors).has_value();
    log.write_(
        LogEvent {valid ? LogLevel::Info : LogLevel::Error,
                  "settings.reloaded",
                  {{"valid", valid ? "yes" : "no"}, {"faults", formatValidationErrors(errors)}}});
}

LocalHandler localHandler(const RelayPlatform &platform, const std::atomic<bool> &ready,
                          const std::shared_ptr<prometheus::Registry> &registry)
{
    return [&platform, &ready, registry](const std::string &path) {
        LocalResponse answer;
        if (path == platform.readinessPath_) {
            answer.status_ = ready ? 200 : 503;
            answer.body_ = ready ? "ready\n" : "not ready\n";
        } else if (path == platform.metricsPath_) {
            answer.status_ = 200;
            answer.body_ = formatMetrics(*registry);
        }
        return answer;
    };
}

/// Takes a result or logs its error.
template <typename Value>
std::optional<Value> takeOrLog(const LogPort &log, const std::function<Result<Value>()> &start)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, start());
            return std::optional<Value>(std::move(value));
        },
        [&log](const Error &error) {
            log.write_(LogEvent {LogLevel::Error,
                                 "daemon.not_started",
                                 {{"error", error.id_}, {"problem", error.message_}}});
            return std::optional<Value>();
        },
        [] { return std::optional<Value>(); });
}

/// The parts of a running daemon. They refer to each other, so it stays where it was made.
struct Running
{
    const RelayPlatform &platform_;
    const RelayDaemonSettings &settings_;
    HolderId holder_;
    RelayQueue queue_;
    std::atomic<bool> ready_ = false;
    StopFlag stop_;
    LogSink sink_;
    LogPort log_;
    std::shared_ptr<prometheus::Registry> registry_;
    std::optional<Frontend> front_;
    std::optional<PeerSocket> peers_;
    StorePort store_;
    FeedPort feed_;
    StoreWorkers workers_;
    RegistrationThreads registration_;
    std::unique_ptr<DocumentReader> documents_;
    std::vector<std::thread> followers_;

    Running(const RelayPlatform &platform, const RelayDaemonSettings &settings)
        : platform_(platform)
        , settings_(settings)
        , holder_(settings.host_.value_ + '-' + randomHex(holderBytes))
        , log_(logPort(sink_))
        , registry_(std::make_shared<prometheus::Registry>())
        , store_(platform.makeStore_(settings.storeAddress_))
        , feed_(platform.makeFeed_(settings.storeAddress_))
        , documents_(new DocumentReader {platform.documents_, queue_, log_, {}})
    { }
};

/// Questions and answers of other daemons.
void onPeerEvent(Running &running, const Event &event)
{
    const auto *received = std::get_if<PeerMessageReceived>(&event);
    if (!received)
        return;
    if (const auto *asked = std::get_if<DocumentsAsked>(&received->message_))
        peerPort(*running.peers_)
            .send_(SendPeer {received->from_, asked->replyAddress_,
                             answerQuestion(*running.documents_, *asked)});
    else if (const auto *offered = std::get_if<DocumentsOffered>(&received->message_))
        takeOffer(*running.documents_, *offered);
    else if (const auto *ask = std::get_if<TokensAsked>(&received->message_))
        post(running.queue_, RelayEvent {LoanRequestReceived {received->from_, *ask}});
    else if (const auto *lent = std::get_if<TokensLent>(&received->message_))
        post(running.queue_, RelayEvent {LoanReplyReceived {received->from_, *lent}});
}

void askPeers(Running &running, const std::vector<PeerAddress> &peers)
{
    if (!running.peers_)
        return;
    const DocumentsAsked question
        = documentQuestion(*running.documents_, running.settings_.peerAddress_);
    for (const PeerAddress &peer : peers)
        peerPort(*running.peers_).send_(SendPeer {peer.host_, peer.address_, question});
}

bool startHttpFrontend(Running &running)
{
    const RelayEventPort events {[&running](RelayEvent event) {
        post(running.queue_, std::move(event));
    }};
    running.front_ = takeOrLog<Frontend>(running.log_, [&] {
        return startFrontend(frontendSettings(running.settings_, running.platform_), events,
                             localHandler(running.platform_, running.ready_, running.registry_));
    });
    return running.front_.has_value();
}

bool startPeers(Running &running)
{
    if (running.settings_.peerAddress_.empty())
        return true;
    PeerSettings settings;
    settings.host_ = running.settings_.host_;
    settings.address_ = running.settings_.peerAddress_;
    running.peers_ = takeOrLog<PeerSocket>(running.log_, [&] {
        return startPeerSocket(settings, EventPort {[&running](const Event &event) {
                                   onPeerEvent(running, event);
                               }},
                               running.log_);
    });
    return running.peers_.has_value();
}

void startRegistering(Running &running)
{
    RegistrationThreads &registration = running.registration_;
    registration.settings_.storePrefix_ = running.settings_.storePrefix_;
    registration.settings_.leaseTtl_ = registrationLease;
    registration.settings_.renewInterval_ = registrationInterval;
    registration.settings_.pollInterval_ = membersInterval;
    registration.self_
        = Registration {running.settings_.host_, running.holder_, running.settings_.zone_,
                        running.settings_.peerAddress_, false};
    registration.store_ = running.store_;
    registration.events_ = storeEvents(running.queue_, running.settings_);
    registration.log_ = running.log_;
    startRegistration(registration);
}

void startFollowers(Running &running)
{
    const auto follow = [&running](const FollowerSettings &settings, FollowerHandlers handlers) {
        running.followers_.emplace_back([&running, settings, handlers = std::move(handlers)] {
            followPrefix(running.feed_, settings, handlers, running.stop_);
        });
    };
    FollowerSettings config;
    config.prefix_ = running.platform_.documents_.configKey_;
    config.changePause_ = configChangePause;
    follow(config, configHandlers(*running.documents_));
    FollowerSettings instances;
    instances.prefix_ = running.platform_.documents_.instancePrefix_;
    instances.waitLimit_ = instanceWaitLimit;
    instances.changePause_ = instanceChangePause;
    follow(instances, instanceHandlers(*running.documents_));
}

RelayState initialState(const Running &running)
{
    RelayState state;
    state.settings_ = relayControlSettings(running.settings_);
    state.prepaid_.holder_ = running.holder_;
    state.prepaid_.peerAddress_ = running.settings_.peerAddress_;
    for (const std::string &seed : running.settings_.seeds_) {
        if (seed != running.settings_.peerAddress_)
            state.sync_.peers_.push_back(PeerAddress {HostId {seed}, ZoneId {}, seed});
    }
    return state;
}

int runWith(const RelayPlatform &platform, const RelayDaemonSettings &settings,
            const std::string &settingsPath)
{
    blockHandledSignals();
    const pthread_t mainThread = pthread_self();
    Running running(platform, settings);
    startLogSink(running.sink_);
    running.log_.write_(LogEvent {LogLevel::Info,
                                  "daemon.started",
                                  {{"host", settings.host_.value_},
                                   {"zone", settings.zone_.value_},
                                   {"holder", running.holder_.value_},
                                   {"clients", settings.clientAddress_},
                                   {"store", settings.storeAddress_}}});
    if (!startHttpFrontend(running) || !startPeers(running)) {
        stopLogSink(running.sink_);
        // Threads that run already would block an orderly return.
        std::_Exit(EXIT_FAILURE);
    }
    running.workers_.store_ = running.store_;
    running.workers_.events_ = storeEvents(running.queue_, settings);
    startStoreWorkers(running.workers_, storeWorkers);
    startRegistering(running);
    startFollowers(running);

    RelayLoop loop {running.queue_,
                    running.workers_,
                    frontendPort(*running.front_),
                    running.log_,
                    running.ready_,
                    [&running](const auto &peers) { askPeers(running, peers); },
                    [&running](SendPeer message) {
                        if (running.peers_)
                            peerPort(*running.peers_).send_(std::move(message));
                    },
                    makeRelayMetricsPort(running.registry_),
                    [&running] { return droppedLogLines(running.sink_); },
                    [mainThread] {
                        signalStopped(mainThread);
                    }};
    std::thread controlThread([&loop, &running] { runRelayLoop(loop, initialState(running)); });

    awaitStopSignal([&settingsPath, &running] { checkAgain(settingsPath, running.log_); });
    announceLeaving(running.registration_);
    post(
        running.queue_,
        RelayEvent {RelayStopRequested {std::chrono::steady_clock::now() + settings.stopTimeout_}});
    controlThread.join();
    stopFrontend(*running.front_);
    stopLogSink(running.sink_);
    // Threads that wait for the store hold nothing that has to be written.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int runRelayDaemon(const RelayPlatform &platform, const std::string &settingsPath)
{
    ValidationErrors errors;
    const std::optional<RelayDaemonSettings> settings = readSettingsFile(settingsPath, errors);
    if (!settings) {
        fmt::print(stderr, "{}", formatValidationErrors(errors));
        return 2;
    }
    return runWith(platform, *settings, settingsPath);
}

int checkRelaySettings(const std::string &settingsPath)
{
    ValidationErrors errors;
    if (!readSettingsFile(settingsPath, errors)) {
        fmt::print(stderr, "{}", formatValidationErrors(errors));
        return 2;
    }
    fmt::print("settings are valid\n");
    return 0;
}

} // namespace tamarack
