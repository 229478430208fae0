// Parsing of the settings file of a daemon.
#include "adapters/json/settings.h"

#include "adapters/json/address.h"
#include "adapters/json/jsonreader.h"

namespace tamarack {

namespace {

constexpr std::size_t maxSettingsBytes = 1U << 20U;
constexpr IntegerRange timeoutRange {1, 3'600'000};

void readListeners(const JsonReader &root, Settings &settings)
{
    const JsonReader callers = readObject(root, "callers", FieldPresence::Required);
    settings.callerAddress_ = readAddress(callers, "address", FieldPresence::Required);
    settings.maxCallerConnections_ = static_cast<std::uint32_t>(
        readInteger(callers, "maxConnections", FieldPresence::Optional, IntegerRange {1, 10'000},
                    settings.maxCallerConnections_));
    settings.maxRequestBytes_ = static_cast<std::size_t>(readInteger(
        callers, "maxRequestBytes", FieldPresence::Optional, IntegerRange {1024, 1 << 30},
        static_cast<std::int64_t>(settings.maxRequestBytes_)));
    rejectUnknownFields(callers, {"address", "maxConnections", "maxRequestBytes"});
    const JsonReader admin = readObject(root, "admin", FieldPresence::Required);
    settings.adminAddress_ = readAddress(admin, "address", FieldPresence::Required);
    settings.adminTokensSha256_ = readStrings(admin, "tokensSha256", FieldPresence::Optional);
    const std::string token = readString(admin, "tokenSha256", FieldPresence::Optional);
    if (!token.empty())
        settings.adminTokensSha256_.push_back(token);
    if (settings.adminTokensSha256_.empty())
        addError(admin, "tokensSha256", "is empty",
                 "list the SHA-256 of at least one operator token");
    rejectUnknownFields(admin, {"address", "tokenSha256", "tokensSha256"});
}

/// Reads an optional count; @a value is kept if the field is absent or invalid.
template <typename Number>
void readCount(const JsonReader &reader, const char *field, IntegerRange range, Number &value)
{
    value = static_cast<Number>(readInteger(reader, field, FieldPresence::Optional, range,
                                            static_cast<std::int64_t>(value)));
}

void readPeers(const JsonReader &root, Settings &settings)
{
    const JsonReader peers = readObject(root, "peers", FieldPresence::Optional);
    const auto millis = [&peers](const char *field, Millis &value) {
        value = readMillis(peers, field, FieldPresence::Optional, timeoutRange, value);
    };
    PeerOptions &options = settings.peers_;
    settings.peerAddress_ = readAddress(peers, "address", FieldPresence::Optional);
    millis("heartbeatMs", options.membership_.heartbeatInterval_);
    readCount(peers, "zoneFanout", IntegerRange {1, 64}, options.membership_.zoneFanout_);
    readCount(peers, "farFanout", IntegerRange {1, 64}, options.membership_.remoteZoneFanout_);
    millis("deadGraceMs", options.membership_.deadGracePeriod_);
    millis("holdDownMs", options.membership_.holdDown_);
    millis("homeLimitMs", options.home_.homeTimeout_);
    millis("askIntervalMs", options.home_.reserveRetryInterval_);
    options.lease_ = readMillis(peers, "leaseMs", FieldPresence::Optional,
                                IntegerRange {2000, 3'600'000}, options.lease_);
    readCount(peers, "maxMessageBytes", IntegerRange {1024, 64 << 20}, options.maxMessageBytes_);
    readCount(peers, "queueMessages", IntegerRange {16, 100'000}, options.maxQueuedMessages_);
    if (options.home_.reserveRetryInterval_ >= options.home_.homeTimeout_)
        addError(peers, "askIntervalMs", "is not less than homeLimitMs",
                 "use at most half of homeLimitMs, so that a lost message can be repeated");
    rejectUnknownFields(peers,
                        {"address", "heartbeatMs", "zoneFanout", "farFanout", "deadGraceMs",
                         "holdDownMs", "homeLimitMs", "askIntervalMs", "leaseMs", "maxMessageBytes",
                         "queueMessages"});
}

void readExternalServices(const JsonReader &root, Settings &settings)
{
    const JsonReader store = readObject(root, "store", FieldPresence::Required);
    settings.storeEndpoints_ = readStrings(store, "endpoints", FieldPresence::Required);
    if (settings.storeEndpoints_.empty())
        addError(store, "endpoints", "is empty", "list at least one IP:port of the store");
    settings.storePrefix_
        = readString(store, "prefix", FieldPresence::Optional, settings.storePrefix_);
    settings.storeTimeout_ = readMillis(store, "timeoutMs", FieldPresence::Optional, timeoutRange,
                                        settings.storeTimeout_);
    settings.storeThreads_ = static_cast<std::uint32_t>(readInteger(
        store, "workers", FieldPresence::Optional, IntegerRange {1, 64}, settings.storeThreads_));
    rejectUnknownFields(store, {"endpoints", "prefix", "timeoutMs", "workers"});
    const JsonReader hosts = readObject(root, "hostList", FieldPresence::Optional);
    settings.hostListAddress_ = readString(hosts, "address", FieldPresence::Optional);
    settings.hostListInterval_ = readMillis(hosts, "intervalMs", FieldPresence::Optional,
                                            timeoutRange, settings.hostListInterval_);
    rejectUnknownFields(hosts, {"address", "intervalMs"});
    readObjects(root, "operators", FieldPresence::Required, [&settings](const JsonReader &reader) {
        settings.operators_.push_back(
            TrustedOperator {OperatorId {readString(reader, "id", FieldPresence::Required)},
                             readString(reader, "publicKey", FieldPresence::Required)});
        rejectUnknownFields(reader, {"id", "publicKey"});
    });
}

void readLimits(const JsonReader &root, Settings &settings)
{
    const JsonReader limits = readObject(root, "limits", FieldPresence::Optional);
    const auto millis = [&limits](const char *field, Millis fallback) {
        return readMillis(limits, field, FieldPresence::Optional, timeoutRange, fallback);
    };
    settings.flushInterval_ = millis("flushIntervalMs", settings.flushInterval_);
    settings.redrawInterval_ = millis("redrawIntervalMs", settings.redrawInterval_);
    settings.silenceLimit_ = millis("silenceLimitMs", settings.silenceLimit_);
    settings.stopTimeout_ = millis("stopLimitMs", settings.stopTimeout_);
    settings.maxAttempts_
        = static_cast<std::uint32_t>(readInteger(limits, "maxAttempts", FieldPresence::Optional,
                                                 IntegerRange {1, 10}, settings.maxAttempts_));
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
            settings.host_ = HostId {readString(root, "host", FieldPresence::Required)};
            settings.zone_ = ZoneId {readString(root, "zone", FieldPresence::Required)};
            readListeners(root, settings);
            readPeers(root, settings);
            readExternalServices(root, settings);
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
