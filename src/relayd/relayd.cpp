// Composition of a relay daemon.
#include "relayd/relayd.h"

#include "adapters/crypto/crypto.h"
#include "adapters/json/json.h"
#include "adapters/logging/logging.h"
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
/// Descriptors that are not for clients: files, listeners and upstreams.
constexpr std::size_t clientDescriptorShare = 2;

std::optional<RelayDaemonSettings> readSettingsFile(const std::string &path, Faults &faults)
{
    std::ifstream file(path);
    if (!file) {
        faults.push_back(Fault {path, "can't be read", "check the path and its permissions"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    RelayDaemonSettings settings = parseRelaySettings(text.str(), faults);
    if (!faults.empty())
        return std::nullopt;
    return settings;
}

using RelayQueue = WaitQueue<RelayEvent>;

void postTo(RelayQueue &queue, RelayEvent event)
{
    post(queue, std::move(event));
}

/// Decodes a document or logs why that failed.
template <typename Value>
std::optional<Value> decodeOrLog(const LogPort &log, const std::string &key,
                                 const std::function<Result<Value>()> &decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<Value>(std::move(value));
        },
        [&](const Error &error) {
            log.write_(
                LogEvent {LogLevel::Warning,
                          "document.rejected",
                          {{"key", key}, {"error", error.id_}, {"problem", error.message_}}});
            return std::optional<Value>();
        },
        [&] {
            log.write_(LogEvent {LogLevel::Warning, "document.rejected", {{"key", key}}});
            return std::optional<Value>();
        });
}

void onConfigEntry(const RelayDocuments &documents, RelayQueue &queue, const LogPort &log,
                   const FeedEntry &entry)
{
    if (entry.key_.value_ != documents.configKey_ || !entry.value_)
        return;
    std::optional<RelayConfig> config = decodeOrLog<RelayConfig>(
        log, entry.key_.value_, [&] { return documents.decodeConfig_(*entry.value_); });
    if (config)
        postTo(queue,
               ConfigSeen {std::make_shared<const RelayConfig>(std::move(*config)),
                           ChangeSource::Store});
}

std::optional<ListedInstance> decodeInstanceEntry(const RelayDocuments &documents,
                                                  const LogPort &log, const FeedEntry &entry)
{
    const std::string id = entry.key_.value_.substr(documents.instancePrefix_.size());
    std::optional<Instance> instance = decodeOrLog<Instance>(
        log, entry.key_.value_, [&] { return documents.decodeInstance_(id, *entry.value_); });
    if (!instance)
        return std::nullopt;
    return ListedInstance {std::move(*instance), entry.revision_};
}

void onInstanceEntry(const RelayDocuments &documents, RelayQueue &queue, const LogPort &log,
                     const FeedEntry &entry)
{
    if (!entry.key_.value_.starts_with(documents.instancePrefix_))
        return;
    const UpstreamId id {entry.key_.value_.substr(documents.instancePrefix_.size())};
    std::optional<ListedInstance> listed;
    if (entry.value_)
        listed = decodeInstanceEntry(documents, log, entry);
    // An entry that can't be read names no instance to use.
    if (listed)
        postTo(queue, InstanceChanged {std::move(*listed), ChangeSource::Store});
    else
        postTo(queue, InstanceRemoved {id, entry.revision_, ChangeSource::Store});
}

FollowerHandlers configHandlers(const RelayDocuments &documents, RelayQueue &queue,
                                const LogPort &log)
{
    const auto onEntry = [&documents, &queue, &log](const FeedEntry &entry) {
        onConfigEntry(documents, queue, log, entry);
    };
    FollowerHandlers handlers;
    handlers.onChange_ = onEntry;
    handlers.onListing_ = [onEntry](const std::vector<FeedEntry> &entries, Revision) {
        for (const FeedEntry &entry : entries)
            onEntry(entry);
    };
    handlers.onAvailability_ = [&queue](bool available, const std::string &detail) {
        postTo(queue, DependencyChanged {"store.config", available, detail});
    };
    return handlers;
}

FollowerHandlers instanceHandlers(const RelayDocuments &documents, RelayQueue &queue,
                                  const LogPort &log)
{
    FollowerHandlers handlers;
    handlers.onChange_ = [&documents, &queue, &log](const FeedEntry &entry) {
        onInstanceEntry(documents, queue, log, entry);
    };
    handlers.onListing_
        = [&documents, &queue, &log](const std::vector<FeedEntry> &entries, Revision at) {
              InstancesListed listing;
              listing.revision_ = at;
              for (const FeedEntry &entry : entries) {
                  if (auto listed = decodeInstanceEntry(documents, log, entry))
                      listing.instances_.push_back(std::move(*listed));
              }
              postTo(queue, std::move(listing));
          };
    handlers.onAvailability_ = [&queue](bool available, const std::string &detail) {
        postTo(queue, DependencyChanged {"store.instances", available, detail});
    };
    return handlers;
}

FrontSettings frontSettings(const RelayDaemonSettings &settings, const RelayPlatform &platform)
{
    FrontSettings front;
    front.clientAddress_ = settings.clientAddress_;
    front.localAddress_ = settings.localAddress_;
    front.headers_ = platform.headers_;
    front.maxClients_ = settings.descriptors_ / clientDescriptorShare;
    return front;
}

/// Turns what the shared store threads post into events of the relay.
EventPort storeEvents(RelayQueue &queue, const RelayDaemonSettings &settings)
{
    return EventPort {[&queue, zone = settings.zone_](Event event) {
        if (auto *replied = std::get_if<StoreReplied>(&event))
            postTo(queue, std::move(*replied));
        const auto *members = std::get_if<MembersSeen>(&event);
        if (!members)
            return;
        FleetCounted counted {0, 0};
        for (const RegisteredMember &member : members->members_) {
            if (member.registration_.leaving_)
                continue;
            ++counted.daemons_;
            if (member.registration_.zone_ == zone)
                ++counted.zoneDaemons_;
        }
        counted.daemons_ = std::max(counted.daemons_, 1U);
        counted.zoneDaemons_ = std::max(counted.zoneDaemons_, 1U);
        postTo(queue, counted);
    }};
}

void checkAgain(const std::string &path, const LogPort &log)
{
    Faults faults;
    const bool valid = readSettingsFile(path, faults).has_value();
    log.write_(LogEvent {valid ? LogLevel::Info : LogLevel::Error,
                         "settings.reloaded",
                         {{"valid", valid ? "yes" : "no"}, {"faults", formatFaults(faults)}}});
}

LocalPages localPages(const RelayPlatform &platform, const std::atomic<bool> &ready)
{
    return [&platform, &ready](const std::string &path) {
        LocalAnswer answer;
        if (path == platform.readinessPath_) {
            answer.status_ = ready ? 200 : 503;
            answer.body_ = ready ? "ready\n" : "not ready\n";
        }
        return answer;
    };
}

int runWith(const RelayPlatform &platform, const RelayDaemonSettings &settings,
            const std::string &settingsPath)
{
    blockHandledSignals();
    const pthread_t mainThread = pthread_self();
    LogSink sink;
    startLogSink(sink);
    const LogPort log = logPort(sink);
    log.write_(LogEvent {LogLevel::Info,
                         "daemon.started",
                         {{"host", settings.host_.value_},
                          {"zone", settings.zone_.value_},
                          {"clients", settings.clientAddress_},
                          {"store", settings.storeAddress_}}});
    RelayQueue queue;
    std::atomic<bool> ready = false;
    const RelayEventPort events {[&queue](RelayEvent event) {
        postTo(queue, std::move(event));
    }};
    std::optional<Front> front = boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Front>> {
            BOOST_LEAF_AUTO(
                started,
                startFront(frontSettings(settings, platform), events, localPages(platform, ready)));
            return std::optional<Front>(std::move(started));
        },
        [&log](const Error &error) {
            log.write_(LogEvent {LogLevel::Error,
                                 "daemon.not_started",
                                 {{"error", error.id_}, {"problem", error.message_}}});
            return std::optional<Front>();
        },
        [] { return std::optional<Front>(); });
    if (!front) {
        stopLogSink(sink);
        return EXIT_FAILURE;
    }

    const HolderId holder {settings.host_.value_ + '-' + randomHex(holderBytes)};
    const StorePort store = platform.makeStore_(settings.storeAddress_);
    const FeedPort feed = platform.makeFeed_(settings.storeAddress_);
    const EventPort sharedEvents = storeEvents(queue, settings);
    StoreWorkers workers;
    workers.store_ = store;
    workers.events_ = sharedEvents;
    startStoreWorkers(workers, storeWorkers);

    RegistrationThreads registration;
    registration.settings_.storePrefix_ = settings.storePrefix_;
    registration.settings_.leaseTime_ = Seconds {5};
    registration.settings_.keepInterval_ = Millis {1500};
    registration.self_
        = Registration {settings.host_, holder, settings.zone_, settings.peerAddress_, false};
    registration.store_ = store;
    registration.events_ = sharedEvents;
    registration.log_ = log;
    startRegistration(registration);

    StopFlag stop;
    FollowerSettings configSettings;
    configSettings.prefix_ = platform.documents_.configKey_;
    FollowerSettings instanceSettings;
    instanceSettings.prefix_ = platform.documents_.instancePrefix_;
    std::thread configThread([&] {
        followPrefix(feed, configSettings, configHandlers(platform.documents_, queue, log), stop);
    });
    std::thread instanceThread([&] {
        followPrefix(feed, instanceSettings, instanceHandlers(platform.documents_, queue, log),
                     stop);
    });

    RelayState state;
    state.settings_ = relayControlSettings(settings);
    state.prepaid_.holder_ = holder;
    RelayLoop loop {queue, workers, frontPort(*front), log, ready, [mainThread] {
                        signalStopped(mainThread);
                    }};
    std::thread controlThread([&loop, &state] { runRelayLoop(loop, std::move(state)); });

    awaitStopSignal([&settingsPath, &log] { checkAgain(settingsPath, log); });
    announceLeaving(registration);
    postTo(queue, RelayStopAsked {std::chrono::steady_clock::now() + settings.stopLimit_});
    controlThread.join();
    stopFront(*front);
    stopLogSink(sink);
    // Threads that wait for the store hold nothing that has to be written.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int runRelayDaemon(const RelayPlatform &platform, const std::string &settingsPath)
{
    Faults faults;
    const std::optional<RelayDaemonSettings> settings = readSettingsFile(settingsPath, faults);
    if (!settings) {
        fmt::print(stderr, "{}", formatFaults(faults));
        return 2;
    }
    return runWith(platform, *settings, settingsPath);
}

int checkRelaySettings(const std::string &settingsPath)
{
    Faults faults;
    if (!readSettingsFile(settingsPath, faults)) {
        fmt::print(stderr, "{}", formatFaults(faults));
        return 2;
    }
    fmt::print("settings are valid\n");
    return 0;
}

} // namespace tamarack
