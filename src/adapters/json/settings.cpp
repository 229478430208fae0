// The settings file of a daemon.
#include "adapters/json/settings.h"

#include "adapters/json/address.h"
#include "adapters/json/jsonreader.h"

namespace tamarack {

namespace {

constexpr std::size_t maxSettingsBytes = 1U << 20U;
constexpr Range timeoutRange {1, 3'600'000};

void readListeners(const JsonReader &root, Settings &settings)
{
    const JsonReader callers = readObject(root, "callers", Need::Required);
    settings.callerAddress_ = readAddress(callers, "address", Need::Required);
    settings.maxCallerConnections_ = static_cast<std::uint32_t>(
        readInteger(callers, "maxConnections", Need::Optional, Range {1, 10'000},
                    settings.maxCallerConnections_));
    settings.maxRequestBytes_ = static_cast<std::size_t>(
        readInteger(callers, "maxRequestBytes", Need::Optional, Range {1024, 1 << 30},
                    static_cast<std::int64_t>(settings.maxRequestBytes_)));
    rejectUnknownFields(callers, {"address", "maxConnections", "maxRequestBytes"});
    const JsonReader admin = readObject(root, "admin", Need::Required);
    settings.adminAddress_ = readAddress(admin, "address", Need::Required);
    settings.adminTokensSha256_ = readStrings(admin, "tokensSha256", Need::Optional);
    const std::string token = readString(admin, "tokenSha256", Need::Optional);
    if (!token.empty())
        settings.adminTokensSha256_.push_back(token);
    if (settings.adminTokensSha256_.empty())
        addError(admin, "tokensSha256", "is empty",
                 "list the SHA-256 of at least one operator token");
    rejectUnknownFields(admin, {"address", "tokenSha256", "tokensSha256"});
}

/// Reads an optional count and keeps its present value as the fallback.
template <typename Number>
void readCount(const JsonReader &reader, const char *field, Range range, Number &value)
{
    value = static_cast<Number>(
        readInteger(reader, field, Need::Optional, range, static_cast<std::int64_t>(value)));
}

void readPeers(const JsonReader &root, Settings &settings)
{
    const JsonReader peers = readObject(root, "peers", Need::Optional);
    const auto millis = [&peers](const char *field, Millis &value) {
        value = readMillis(peers, field, Need::Optional, timeoutRange, value);
    };
    PeerOptions &options = settings.peers_;
    settings.peerAddress_ = readAddress(peers, "address", Need::Optional);
    millis("heartbeatMs", options.membership_.heartbeatInterval_);
    readCount(peers, "zoneFanout", Range {1, 64}, options.membership_.zoneFanout_);
    readCount(peers, "farFanout", Range {1, 64}, options.membership_.remoteZoneFanout_);
    millis("deadGraceMs", options.membership_.deadGracePeriod_);
    millis("holdDownMs", options.membership_.holdDown_);
    millis("homeLimitMs", options.home_.homeTimeout_);
    millis("askIntervalMs", options.home_.reserveRetryInterval_);
    options.lease_
        = readMillis(peers, "leaseMs", Need::Optional, Range {2000, 3'600'000}, options.lease_);
    readCount(peers, "maxMessageBytes", Range {1024, 64 << 20}, options.maxMessageBytes_);
    readCount(peers, "queueMessages", Range {16, 100'000}, options.queueMessages_);
    if (options.home_.reserveRetryInterval_ >= options.home_.homeTimeout_)
        addError(peers, "askIntervalMs", "is not below homeLimitMs",
                 "use a half or less of homeLimitMs, so that a lost message can be repeated");
    rejectUnknownFields(peers,
                        {"address", "heartbeatMs", "zoneFanout", "farFanout", "deadGraceMs",
                         "holdDownMs", "homeLimitMs", "askIntervalMs", "leaseMs", "maxMessageBytes",
                         "queueMessages"});
}

void readPlatform(const JsonReader &root, Settings &settings)
{
    const JsonReader store = readObject(root, "store", Need::Required);
    settings.storeEndpoints_ = readStrings(store, "endpoints", Need::Required);
    if (settings.storeEndpoints_.empty())
        addError(store, "endpoints", "is empty", "list at least one IP:port of the store");
    settings.storePrefix_ = readString(store, "prefix", Need::Optional, settings.storePrefix_);
    settings.storeTimeout_
        = readMillis(store, "timeoutMs", Need::Optional, timeoutRange, settings.storeTimeout_);
    settings.storeThreads_ = static_cast<std::uint32_t>(
        readInteger(store, "workers", Need::Optional, Range {1, 64}, settings.storeThreads_));
    rejectUnknownFields(store, {"endpoints", "prefix", "timeoutMs", "workers"});
    const JsonReader hosts = readObject(root, "hostList", Need::Optional);
    settings.hostListAddress_ = readString(hosts, "address", Need::Optional);
    settings.hostListInterval_
        = readMillis(hosts, "intervalMs", Need::Optional, timeoutRange, settings.hostListInterval_);
    rejectUnknownFields(hosts, {"address", "intervalMs"});
    readObjects(root, "operators", Need::Required, [&settings](const JsonReader &reader) {
        settings.operators_.push_back(
            TrustedOperator {OperatorId {readString(reader, "id", Need::Required)},
                             readString(reader, "publicKey", Need::Required)});
        rejectUnknownFields(reader, {"id", "publicKey"});
    });
}

void readLimits(const JsonReader &root, Settings &settings)
{
    const JsonReader limits = readObject(root, "limits", Need::Optional);
    const auto millis = [&limits](const char *field, Millis fallback) {
        return readMillis(limits, field, Need::Optional, timeoutRange, fallback);
    };
    settings.flushInterval_ = millis("flushIntervalMs", settings.flushInterval_);
    settings.redrawInterval_ = millis("redrawIntervalMs", settings.redrawInterval_);
    settings.silenceLimit_ = millis("silenceLimitMs", settings.silenceLimit_);
    settings.stopTimeout_ = millis("stopLimitMs", settings.stopTimeout_);
    settings.maxAttempts_ = static_cast<std::uint32_t>(
        readInteger(limits, "maxAttempts", Need::Optional, Range {1, 10}, settings.maxAttempts_));
    rejectUnknownFields(
        limits,
        {"flushIntervalMs", "redrawIntervalMs", "silenceLimitMs", "stopLimitMs", "maxAttempts"});
}

} // namespace

Settings parseSettings(const std::string &text, ValidationErrors &errors)
{
    Settings settings;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxSettingsBytes));
            const JsonReader root {object, "", &errors};
            settings.host_ = HostId {readString(root, "host", Need::Required)};
            settings.zone_ = ZoneId {readString(root, "zone", Need::Required)};
            readListeners(root, settings);
            readPeers(root, settings);
            readPlatform(root, settings);
            readLimits(root, settings);
            rejectUnknownFields(root,
                                {"host", "zone", "callers", "admin", "peers", "store", "hostList",
                                 "operators", "limits"});
            return {};
        },
        [&errors](const Error &error) {
            errors.push_back(ValidationError {"settings", error.message_, error.id_});
        },
        [&errors] {
            errors.push_back(
                ValidationError {"settings", "could not be read", "check the document"});
        });
    return settings;
}

ControlSettings controlSettings(const Settings &settings, HolderId holder)
{
    ControlSettings control;
    control.host_ = settings.host_;
    control.holder_ = std::move(holder);
    control.zone_ = settings.zone_;
    control.storePrefix_ = settings.storePrefix_;
    control.flushInterval_ = settings.flushInterval_;
    control.redrawInterval_ = settings.redrawInterval_;
    control.maxAttempts_ = settings.maxAttempts_;
    control.silenceLimit_ = settings.silenceLimit_;
    return control;
}

} // namespace tamarack
