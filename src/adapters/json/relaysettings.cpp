// Parsing of the settings file of a relay daemon.
#include "adapters/json/relaysettings.h"

#include "adapters/json/address.h"
#include "adapters/json/jsonreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <limits>

namespace tamarack {

namespace {

constexpr std::size_t maxSettingsBytes = 1U << 20U;
constexpr double maxProcessorCores = 1024.0;
constexpr double maxMemoryMb = 1e6;
constexpr IntegerRange timeRange {1, 3'600'000};

/// An instance missing from the store stops getting requests this long before its drain timeout
/// ends.
constexpr Millis drainMargin {500};

/// Inserts null where a field has no value: templates of a platform render a field that the
/// platform doesn't have as nothing.
std::string fillMissingValues(const std::string &text)
{
    std::string filled;
    filled.reserve(text.size());
    bool inString = false;
    bool valueDue = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            filled += c;
            if (c == '\\' && i + 1 < text.size())
                filled += text[++i];
            else if (c == '"')
                inString = false;
            continue;
        }
        if (valueDue && (c == ',' || c == '}'))
            filled += "null";
        if (!std::isspace(static_cast<unsigned char>(c)))
            valueDue = c == ':';
        inString = c == '"';
        filled += c;
    }
    return filled;
}

void readListen(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader listen = readObject(root, "listen", FieldPresence::Required);
    settings.clientAddress_ = readAddress(listen, "clients", FieldPresence::Required);
    settings.localAddress_ = readAddress(listen, "local", FieldPresence::Required);
    settings.metricsAddress_ = readAddress(listen, "metrics", FieldPresence::Optional);
    settings.peerAddress_ = readAddress(listen, "peers", FieldPresence::Optional);
    settings.handoverAddress_ = readAddress(listen, "handover", FieldPresence::Optional);
    rejectUnknownFields(listen, {"clients", "local", "metrics", "peers", "handover"});
}

void readStore(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader store = readObject(root, "store", FieldPresence::Required);
    settings.storeAddress_ = readAddress(store, "address", FieldPresence::Required);
    settings.storePrefix_
        = readString(store, "prefix", FieldPresence::Optional, settings.storePrefix_);
    settings.ledgerShards_
        = static_cast<std::uint32_t>(readInteger(store, "ledgerShards", FieldPresence::Optional,
                                                 IntegerRange {1, 1024}, settings.ledgerShards_));
    settings.settleTime_
        = readMillis(store, "settleMs", FieldPresence::Optional, timeRange, settings.settleTime_);
    settings.applyTime_
        = readMillis(store, "applyMs", FieldPresence::Optional, timeRange, settings.applyTime_);
    rejectUnknownFields(store, {"address", "prefix", "ledgerShards", "settleMs", "applyMs"});
}

void readRetries(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader retries = readObject(root, "retries", FieldPresence::Optional);
    SharedRetryLimit &limit = settings.retries_;
    limit.share_ = readNumber(retries, "share", FieldPresence::Optional, 0.0, limit.share_);
    limit.extra_ = readNumber(retries, "extra", FieldPresence::Optional, 0.0, limit.extra_);
    const double seconds = readNumber(retries, "windowS", FieldPresence::Optional, 1.0,
                                      std::chrono::duration<double>(limit.window_).count());
    limit.window_ = std::chrono::duration_cast<Millis>(std::chrono::duration<double>(seconds));
    rejectUnknownFields(retries, {"share", "extra", "windowS"});
}

void readLimits(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader limits = readObject(root, "limits", FieldPresence::Optional);
    settings.drainTimeout_
        = readMillis(limits, "drainMs", FieldPresence::Optional, timeRange, settings.drainTimeout_);
    const double stop = readNumber(limits, "stopS", FieldPresence::Optional, 1.0,
                                   std::chrono::duration<double>(settings.stopTimeout_).count());
    settings.stopTimeout_ = std::chrono::duration_cast<Millis>(std::chrono::duration<double>(stop));
    settings.maxFileDescriptors_ = static_cast<std::size_t>(
        readInteger(limits, "descriptors", FieldPresence::Optional, IntegerRange {256, 1'000'000},
                    static_cast<std::int64_t>(settings.maxFileDescriptors_)));
    settings.processorCores_
        = readNumber(limits, "cores", FieldPresence::Optional, 0.0, settings.processorCores_);
    if (settings.processorCores_ > maxProcessorCores)
        limits.errors_->push_back(ValidationError {"limits.cores",
                                                   fmt::format("is above {}", maxProcessorCores),
                                                   "set it to the number of processor cores"});
    settings.linkMbps_
        = readNumber(limits, "linkMbps", FieldPresence::Optional, 0.0, settings.linkMbps_);
    settings.memoryMb_
        = readNumber(limits, "memoryMb", FieldPresence::Optional, 0.0, settings.memoryMb_);
    if (settings.memoryMb_ > maxMemoryMb)
        limits.errors_->push_back(ValidationError {"limits.memoryMb",
                                                   fmt::format("is above {}", maxMemoryMb),
                                                   "set it to the memory in megabytes"});
    rejectUnknownFields(limits,
                        {"drainMs", "stopS", "descriptors", "cores", "linkMbps", "memoryMb"});
}

void readEvacuation(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader evacuation = readObject(root, "evacuation", FieldPresence::Optional);
    const Millis applyTime = readMillis(evacuation, "applyMs", FieldPresence::Optional,
                                        IntegerRange {0, 3'600'000}, Millis {});
    if (applyTime > Millis {})
        settings.evacuationTime_ = applyTime;
    rejectUnknownFields(evacuation, {"applyMs"});
}

void readCold(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader cold = readObject(root, "cold", FieldPresence::Optional);
    settings.coldOverrun_
        = readNumber(cold, "overrun", FieldPresence::Optional, 0.0, settings.coldOverrun_);
    settings.coldSlack_
        = readNumber(cold, "slack", FieldPresence::Optional, 0.0, settings.coldSlack_);
    rejectUnknownFields(cold, {"overrun", "slack"});
}

void readRegions(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader regions = readObject(root, "regions", FieldPresence::Optional);
    for (const std::string &zone : regions.object_->getNames())
        settings.regions_[ZoneId {zone}]
            = RegionId {readString(regions, zone, FieldPresence::Required)};
}

void readBalancing(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader balancing = readObject(root, "balancing", FieldPresence::Optional);
    settings.shareLoadFrom_ = static_cast<std::uint32_t>(readInteger(
        balancing, "shareLoadFrom", FieldPresence::Optional, IntegerRange {0, 1'000'000}));
    rejectUnknownFields(balancing, {"shareLoadFrom"});
}

void readAdmission(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader admission = readObject(root, "admission", FieldPresence::Optional);
    settings.manageShortageFrom_ = static_cast<std::uint32_t>(readInteger(
        admission, "manageShortageFrom", FieldPresence::Optional, IntegerRange {0, 1'000'000}));
    rejectUnknownFields(admission, {"manageShortageFrom"});
}

} // namespace

RelayDaemonSettings parseRelaySettings(const std::string &text, ValidationErrors &errors)
{
    RelayDaemonSettings settings;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, parseObject(fillMissingValues(text), maxSettingsBytes));
            const JsonReader root {object, "", &errors};
            settings.host_ = HostId {readString(root, "host", FieldPresence::Required)};
            settings.zone_ = ZoneId {readString(root, "zone", FieldPresence::Required)};
            readListen(root, settings);
            readStore(root, settings);
            readRetries(root, settings);
            readLimits(root, settings);
            readEvacuation(root, settings);
            readCold(root, settings);
            readRegions(root, settings);
            readBalancing(root, settings);
            readAdmission(root, settings);
            settings.seeds_ = readStrings(root, "seeds", FieldPresence::Optional);
            rejectUnknownFields(root,
                                {"host", "zone", "listen", "seeds", "store", "retries", "limits",
                                 "evacuation", "cold", "regions", "balancing", "admission"});
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

RelaySettings relayControlSettings(const RelayDaemonSettings &settings)
{
    RelaySettings control;
    control.host_ = settings.host_;
    control.zone_ = settings.zone_;
    constexpr double thousandths = 1000.0;
    control.capacity_ = static_cast<std::uint32_t>(
        std::clamp(settings.processorCores_, 0.0, maxProcessorCores) * thousandths);
    // Requests also stop going to a leaving instance within the drain timeout.
    const Millis evacuationTime = settings.evacuationTime_.value_or(settings.applyTime_);
    control.sync_ = documentSyncSettings(
        std::min({settings.applyTime_, settings.drainTimeout_, evacuationTime}),
        settings.settleTime_);
    control.evacuationSettleTime_ = settings.settleTime_;
    control.regions_ = settings.regions_;
    constexpr double bytesPerMegabit = 125'000.0;
    control.overload_.linkBytesPerSecond_ = settings.linkMbps_ * bytesPerMegabit;
    control.retries_ = settings.retries_;
    control.cold_.overrun_ = settings.coldOverrun_;
    control.cold_.slack_ = settings.coldSlack_;
    // A permit is used after its reply and the connection to the instance.
    control.cold_.useWithin_ = control.limits_.replyTimeout_ + control.connectTimeout_;
    control.missingRetention_ = std::max(settings.drainTimeout_ - drainMargin, Millis {0});
    control.choice_.leavingRetention_ = control.missingRetention_;
    control.prepaid_.keyPrefix_ = settings.storePrefix_ + "/ledger";
    control.prepaid_.shards_ = settings.ledgerShards_;
    control.versions_.key_ = StoreKey {settings.storePrefix_ + "/versions"};
    control.shareLoadFrom_ = settings.shareLoadFrom_;
    control.prepaid_.manageShortageFrom_ = settings.manageShortageFrom_ > 0
        ? settings.manageShortageFrom_
        : std::numeric_limits<std::uint32_t>::max();
    return control;
}

} // namespace tamarack
