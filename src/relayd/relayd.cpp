// Connects the components of a relay daemon.
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

#include <malloc.h>
#include <pthread.h>

namespace tamarack {

namespace {

constexpr std::size_t holderIdBytes = 6;
/// Threads for ledger calls. With more than one, a slow call doesn't delay the next.
constexpr std::uint32_t storeThreads = 2;
/// Lifetime of the registration's lease, and the interval between renewals.
/// The lease outlasts most store outages, because all daemons of a fleet would have to register
/// again.
constexpr Seconds registrationLease {15};
constexpr Millis registrationRenewInterval {4000};
/// Interval between reads of the other daemons' registrations.
constexpr Millis memberPollInterval {6000};
/// Delay after a change of the configuration, so that one store call reads several changes. A
/// configuration must be applied within 2 s.
constexpr Millis configBatchDelay {150};
/// A message to a peer may carry the largest value of the store and all other documents.
constexpr std::size_t maxPeerMessageBytes = std::size_t {4} << 20U;
/// Descriptors for files, listeners, the local listener's connections, the store and other daemons.
constexpr std::size_t reservedDescriptors = 96;
/// Fraction of the process memory for log lines that wait for a slow reader.
constexpr double logMemoryFraction = 0.03;
/// Allocations from this size on are returned to the system when they are freed.
constexpr int mappedAllocationBytes = 1 << 20;
constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
/// Fraction of the process memory for buffers of requests and responses. The rest is for the
/// program, the documents of the store, and memory that the allocator keeps.
constexpr double bufferedMemoryFraction = 0.4;
/// Interval between attempts to listen on an address that is in use, and how much longer than a
/// stop may take they are made.
constexpr Millis addressRetryInterval {50};
constexpr Millis addressWaitMargin {2000};

std::optional<RelayDaemonSettings> readSettingsFile(const std::string &path,
                                                    ValidationErrors &errors)
{
    std::ifstream file(path);
    if (!file) {
        errors.push_back(
            ValidationError {path, "could not be read", "check the path and its permissions"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    RelayDaemonSettings settings = parseRelaySettings(text.str(), errors);
    if (!errors.empty())
        return std::nullopt;
    return settings;
}

using RelayQueue = BlockingQueue<RelayEvent>;

FrontendSettings frontendSettings(const RelayDaemonSettings &settings,
                                  const RelayPlatform &platform)
{
    FrontendSettings frontend;
    frontend.clientAddress_ = settings.clientAddress_;
    frontend.localAddress_ = settings.localAddress_;
    frontend.handoverAddress_ = settings.handoverAddress_;
    frontend.headers_ = platform.headers_;
    // Every client that waits for a response has a connection to an upstream.
    frontend.maxClients_ = (settings.maxFileDescriptors_ - reservedDescriptors) / 2;
    frontend.maxUpstreams_ = frontend.maxClients_;
    frontend.maxBufferedBytes_
        = static_cast<std::size_t>(settings.memoryMb_ * bytesPerMegabyte * bufferedMemoryFraction);
    return frontend;
}

/// Converts the events of the store and registration threads to events of the relay.
EventPort storeEvents(RelayQueue &queue, const RelayDaemonSettings &settings)
{
    return EventPort {[&queue, &settings](Event event) {
        if (auto *replied = std::get_if<StoreReplied>(&event))
            post(queue, RelayEvent {std::move(*replied)});
        else if (const auto *members = std::get_if<RegistrationsLoaded>(&event))
            post(queue, RelayEvent {countFleet(*members, settings.host_, settings.zone_)});
    }};
}

void recheckSettings(const std::string &path, const LogPort &log)
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
        LocalResponse response;
        if (path == platform.readinessPath_) {
            response.status_ = ready ? 200 : 503;
            response.body_ = ready ? "ready\n" : "not ready\n";
        } else if (path == platform.metricsPath_) {
            response.status_ = 200;
            response.body_ = formatMetrics(*registry);
        }
        return response;
    };
}

/// Starts a component.
/// @param failure receives the error if the component could not be started
template <typename Value>
std::optional<Value> tryStart(const std::function<Result<Value>()> &start, Error &failure)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, start());
            return std::optional<Value>(std::move(value));
        },
        [&failure](const Error &error) {
            failure = error;
            return std::optional<Value>();
        },
        [] { return std::optional<Value>(); });
}

/// Starts a component that listens on an address. If the address is in use, waits until the daemon
/// that ran before on this host has stopped, which takes up to @a stopTimeout. Exits the process if
/// a stop is requested meanwhile.
/// @return nothing if the component could not be started; the Error is logged
template <typename Value>
std::optional<Value> startListening(const LogPort &log, Millis stopTimeout,
                                    const std::function<Result<Value>()> &start)
{
    const MonoTime deadline = std::chrono::steady_clock::now() + stopTimeout + addressWaitMargin;
    bool waiting = false;
    while (true) {
        Error failure;
        std::optional<Value> value = tryStart(start, failure);
        if (value)
            return value;
        const bool mayWait = failure.kind_ == ErrorKind::AddressInUse
            && std::chrono::steady_clock::now() < deadline;
        const char *name = mayWait ? "daemon.waiting_for_address" : "daemon.not_started";
        if (!mayWait || !std::exchange(waiting, true))
            log.write_(LogEvent {mayWait ? LogLevel::Warning : LogLevel::Error,
                                 name,
                                 {{"error", failure.id_}, {"problem", failure.message_}}});
        if (!mayWait)
            return std::nullopt;
        if (awaitStopSignalFor(addressRetryInterval))
            std::_Exit(EXIT_SUCCESS);
    }
}

Millis maxContactAge(const RelayDaemonSettings &settings)
{
    const DocumentSyncSettings sync = relayControlSettings(settings).sync_;
    return sync.watchTimeout_ + sync.maxContactDelay_;
}

/// Returns the documents that a daemon follows.
RelayDocuments followedDocuments(const RelayPlatform &platform, const RelayDaemonSettings &settings)
{
    RelayDocuments formats = platform.documents_;
    if (!settings.evacuationTime_)
        formats.evacuationPrefix_.clear();
    return formats;
}

/// The components of a running daemon. They hold references to each other, so it must not be moved.
struct RelayDaemon
{
    const RelayPlatform &platform_;
    const RelayDaemonSettings &settings_;
    RelayDocuments formats_;
    HolderId holder_;
    RelayQueue queue_;
    EventMemory eventMemory_;
    std::atomic<bool> ready_ = false;
    FollowGate gate_;
    LogSink sink_;
    LogPort log_;
    std::shared_ptr<prometheus::Registry> registry_;
    StoreUsage usage_;
    std::optional<Frontend> frontend_;
    std::optional<PeerSocket> peers_;
    StorePort store_;
    FeedPort feed_;
    StoreWorkers workers_;
    RegistrationThreads registration_;
    std::unique_ptr<DocumentReader> documents_;
    std::vector<std::thread> followers_;

    RelayDaemon(const RelayPlatform &platform, const RelayDaemonSettings &settings)
        : platform_(platform)
        , settings_(settings)
        , formats_(followedDocuments(platform, settings))
        , holder_(settings.host_.value_ + '-' + randomHex(holderIdBytes))
        , log_(logPort(sink_))
        , registry_(std::make_shared<prometheus::Registry>())
        , usage_(makeStoreUsage(*registry_))
        , store_(countStoreCalls(platform.makeStore_(settings.storeAddress_), usage_))
        , feed_(countFeedCalls(platform.makeFeed_(settings.storeAddress_), usage_))
        , documents_(
              std::make_unique<DocumentReader>(formats_, queue_, log_, maxContactAge(settings)))
    {
        documents_->settleTime_ = settings.settleTime_;
        documents_->address_ = settings.peerAddress_;
    }
};

void onDocumentsRequest(RelayDaemon &relay, const HostId &from, const DocumentsRequest &request)
{
    DocumentsReply reply
        = makeDocumentsReply(*relay.documents_, request, std::chrono::steady_clock::now());
    addLoads(*relay.documents_, from, request, reply);
    peerPort(*relay.peers_).send_(SendPeer {from, request.replyAddress_, std::move(reply)});
    LoadList loads;
    if (request.loads_)
        loads = std::make_shared<const std::vector<InstanceLoad>>(*request.loads_);
    post(relay.queue_, RelayEvent {DocumentsRequestReceived {from, std::move(loads)}});
}

/// Handles messages from other daemons.
void onPeerEvent(RelayDaemon &relay, const Event &event)
{
    const auto *received = std::get_if<PeerMessageReceived>(&event);
    if (!received)
        return;
    if (const auto *documentsRequest = std::get_if<DocumentsRequest>(&received->message_)) {
        onDocumentsRequest(relay, received->from_, *documentsRequest);
    } else if (const auto *documentsReply = std::get_if<DocumentsReply>(&received->message_)) {
        receiveDocumentsReply(*relay.documents_, received->from_, *documentsReply);
    } else if (const auto *report = std::get_if<QuarantineReport>(&received->message_)) {
        post(relay.queue_, RelayEvent {QuarantineReportReceived {received->from_, *report}});
    } else if (const auto *loanRequest = std::get_if<LoanRequest>(&received->message_))
        post(relay.queue_, RelayEvent {LoanRequestReceived {received->from_, *loanRequest}});
    else if (const auto *loanReply = std::get_if<LoanReply>(&received->message_))
        post(relay.queue_, RelayEvent {LoanReplyReceived {received->from_, *loanReply}});
    else if (const auto *grantReport = std::get_if<GrantReport>(&received->message_))
        post(relay.queue_, RelayEvent {GrantReportReceived {*grantReport}});
    else if (const auto *permitRequest = std::get_if<PermitRequest>(&received->message_))
        post(relay.queue_, RelayEvent {PermitRequestReceived {received->from_, *permitRequest}});
    else if (const auto *permitReply = std::get_if<PermitReply>(&received->message_))
        post(relay.queue_, RelayEvent {PermitReplyReceived {received->from_, *permitReply}});
    else if (const auto *presenceRequest = std::get_if<PresenceRequest>(&received->message_))
        post(relay.queue_,
             RelayEvent {PresenceRequestReceived {received->from_, *presenceRequest}});
    else if (const auto *began = std::get_if<StreamBegan>(&received->message_))
        post(relay.queue_, RelayEvent {StreamBeganReceived {received->from_, *began}});
    else if (const auto *originRequest = std::get_if<StreamOriginRequest>(&received->message_))
        post(relay.queue_,
             RelayEvent {StreamOriginRequestReceived {received->from_, *originRequest}});
    else if (const auto *originReply = std::get_if<StreamOriginReply>(&received->message_))
        post(relay.queue_, RelayEvent {StreamOriginReplyReceived {received->from_, *originReply}});
    else if (const auto *presenceReply = std::get_if<PresenceReply>(&received->message_))
        post(relay.queue_, RelayEvent {PresenceReplyReceived {received->from_, *presenceReply}});
}

void requestPeerDocuments(RelayDaemon &relay, const RequestPeerDocuments &command)
{
    if (!relay.peers_)
        return;
    const DocumentsRequest request
        = makeDocumentsRequest(*relay.documents_, relay.settings_.peerAddress_, command);
    for (const PeerAddress &peer : command.peers_)
        peerPort(*relay.peers_).send_(SendPeer {peer.host_, peer.address_, request});
}

bool startHttpFrontend(RelayDaemon &relay)
{
    const RelayEventPort events {[&relay](RelayEvent event) {
                                     countPosted(relay.eventMemory_, event);
                                     post(relay.queue_, std::move(event));
                                 },
                                 [&relay] {
                                     return relay.eventMemory_.bytes_.load();
                                 }};
    relay.frontend_ = startListening<Frontend>(relay.log_, relay.settings_.stopTimeout_, [&] {
        return startFrontend(frontendSettings(relay.settings_, relay.platform_), events,
                             localHandler(relay.platform_, relay.ready_, relay.registry_));
    });
    return relay.frontend_.has_value();
}

bool startPeers(RelayDaemon &relay)
{
    if (relay.settings_.peerAddress_.empty())
        return true;
    PeerSettings settings;
    settings.host_ = relay.settings_.host_;
    settings.address_ = relay.settings_.peerAddress_;
    settings.maxMessageBytes_ = maxPeerMessageBytes;
    relay.peers_ = startListening<PeerSocket>(relay.log_, relay.settings_.stopTimeout_, [&] {
        return startPeerSocket(settings, EventPort {[&relay](const Event &event) {
                                   onPeerEvent(relay, event);
                               }},
                               relay.log_);
    });
    return relay.peers_.has_value();
}

void startRegistrationThreads(RelayDaemon &relay)
{
    RegistrationThreads &registration = relay.registration_;
    registration.settings_.storePrefix_ = relay.settings_.storePrefix_;
    registration.settings_.leaseTtl_ = registrationLease;
    registration.settings_.renewInterval_ = registrationRenewInterval;
    registration.settings_.pollInterval_ = memberPollInterval;
    registration.self_ = Registration {relay.settings_.host_,
                                       relay.holder_,
                                       relay.settings_.zone_,
                                       relay.settings_.peerAddress_,
                                       false,
                                       relayControlSettings(relay.settings_).capacity_,
                                       relay.settings_.handoverAddress_};
    registration.store_ = relay.store_;
    registration.events_ = storeEvents(relay.queue_, relay.settings_);
    registration.log_ = relay.log_;
    startRegistration(registration);
}

void startFollowers(RelayDaemon &relay)
{
    const auto follow = [&relay](const FollowerSettings &settings, FollowerHandlers handlers) {
        relay.followers_.emplace_back([&relay, settings, handlers = std::move(handlers)] {
            followPrefix(relay.feed_, settings, handlers, relay.gate_);
        });
    };
    const RelaySettings control = relayControlSettings(relay.settings_);
    const DocumentSyncSettings &sync = control.sync_;
    FollowerSettings config;
    config.prefix_ = configFeedPrefix(relay.formats_);
    config.watchTimeout_ = sync.contactInterval_;
    config.changeBatchDelay_ = configBatchDelay;
    follow(config, configHandlers(*relay.documents_));
    FollowerSettings instances;
    instances.prefix_ = relay.platform_.documents_.instancePrefix_;
    instances.watchTimeout_ = sync.watchTimeout_;
    instances.changeBatchDelay_ = control.instanceBatchDelay_;
    follow(instances, instanceHandlers(*relay.documents_));
}

RelayState initialState(const RelayDaemon &relay)
{
    RelayState state;
    state.settings_ = relayControlSettings(relay.settings_);
    state.prepaid_.holder_ = relay.holder_;
    state.prepaid_.peerAddress_ = relay.settings_.peerAddress_;
    state.quarantine_.address_ = relay.settings_.peerAddress_;
    state.requestQuarantine_.address_ = relay.settings_.peerAddress_;
    state.limits_.address_ = relay.settings_.peerAddress_;
    std::vector<PeerAddress> seeds;
    for (const std::string &seed : relay.settings_.seeds_) {
        if (seed != relay.settings_.peerAddress_)
            seeds.push_back(PeerAddress {HostId {seed}, ZoneId {}, seed, 0});
    }
    const RelaySettings &settings = state.settings_;
    updateSyncPeers(state.sync_,
                    PeerAddress {settings.host_, settings.zone_, {}, settings.capacity_}, seeds);
    state.members_.self_ = settings.host_;
    state.members_.zone_ = settings.zone_;
    if (!relay.settings_.peerAddress_.empty())
        state.members_.seeds_ = std::move(seeds);
    state.sync_.startedAt_ = std::chrono::steady_clock::now();
    state.followsStore_ = false;
    return state;
}

int runWith(const RelayPlatform &platform, const RelayDaemonSettings &settings,
            const std::string &settingsPath)
{
    blockHandledSignals();
    // Without this, buffers that were freed once raise the threshold, and later ones stay in the
    // heap after they are freed.
    ::mallopt(M_MMAP_THRESHOLD, mappedAllocationBytes);
    const pthread_t mainThread = pthread_self();
    RelayDaemon relay(platform, settings);
    if (settings.memoryMb_ > 0.0)
        relay.sink_.settings_.maxBytes_
            = static_cast<std::size_t>(settings.memoryMb_ * bytesPerMegabyte * logMemoryFraction);
    startLogSink(relay.sink_);
    relay.log_.write_(LogEvent {LogLevel::Info,
                                "daemon.started",
                                {{"host", settings.host_.value_},
                                 {"zone", settings.zone_.value_},
                                 {"holder", relay.holder_.value_},
                                 {"clients", settings.clientAddress_},
                                 {"store", settings.storeAddress_}}});
    if (!startHttpFrontend(relay) || !startPeers(relay)) {
        stopLogSink(relay.sink_);
        // Other threads are already running, so an orderly return is impossible.
        std::_Exit(EXIT_FAILURE);
    }
    relay.workers_.store_ = relay.store_;
    relay.workers_.events_ = storeEvents(relay.queue_, settings);
    startStoreWorkers(relay.workers_, storeThreads);
    startRegistrationThreads(relay);
    setOpen(relay.gate_, false);
    startFollowers(relay);

    RelayLoop loop {
        relay.queue_,
        relay.workers_,
        frontendPort(*relay.frontend_),
        relay.log_,
        relay.ready_,
        [&relay](const RequestPeerDocuments &command) { requestPeerDocuments(relay, command); },
        [&relay](std::shared_ptr<const LoadOffer> offer) {
            publishLoads(*relay.documents_, std::move(offer));
        },
        [&relay](std::shared_ptr<const ConfirmedVersions> versions) {
            publishVersions(*relay.documents_, std::move(versions));
        },
        [&relay](bool follows) {
            if (!follows)
                clearStoreContact(*relay.documents_);
            setOpen(relay.gate_, follows);
        },
        [&relay] { clearStoreContact(*relay.documents_); },
        [&relay](bool contact) { setStoreContact(relay.registration_, contact); },
        [&relay](SendPeer message) {
            if (relay.peers_)
                peerPort(*relay.peers_).send_(std::move(message));
        },
        [&relay] { return trafficTotals(*relay.frontend_); },
        [&relay] { return bufferUsage(*relay.frontend_); },
        relay.eventMemory_,
        [&relay] { return queuedLogBytes(relay.sink_); },
        makeRelayMetricsPort(relay.registry_),
        [&relay] { return droppedLogLines(relay.sink_); },
        [&relay] {
            relay.log_.write_(LogEvent {LogLevel::Info, "store.usage", usageFields(relay.usage_)});
            relay.log_.write_(LogEvent {LogLevel::Info, "documents.usage",
                                        usageFields(relay.documents_->usage_)});
        },
        [mainThread] {
            signalStopped(mainThread);
        }};
    std::thread controlThread([&loop, &relay] { runRelayLoop(loop, initialState(relay)); });

    awaitStopSignal([&settingsPath, &relay] { recheckSettings(settingsPath, relay.log_); });
    announceLeaving(relay.registration_);
    post(
        relay.queue_,
        RelayEvent {RelayStopRequested {std::chrono::steady_clock::now() + settings.stopTimeout_}});
    controlThread.join();
    stopFrontend(*relay.frontend_);
    stopLogSink(relay.sink_);
    // Threads that are still waiting for the store have no data left to write.
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
