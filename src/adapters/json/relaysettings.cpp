// The settings file of a relay daemon.
#include "adapters/json/relaysettings.h"

#include "adapters/json/address.h"
#include "adapters/json/jsonreader.h"

namespace tamarack {

namespace {

constexpr std::size_t maxSettingsBytes = 1U << 20U;
constexpr Range timeRange {1, 3'600'000};

/// How long before the end of its drain time an instance that is missing gets its last request.
constexpr Millis drainMargin {500};

void readListen(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader listen = readObject(root, "listen", Need::Required);
    settings.clientAddress_ = readAddress(listen, "clients", Need::Required);
    settings.localAddress_ = readAddress(listen, "local", Need::Required);
    settings.metricsAddress_ = readAddress(listen, "metrics", Need::Optional);
    settings.peerAddress_ = readAddress(listen, "peers", Need::Optional);
    rejectUnknownFields(listen, {"clients", "local", "metrics", "peers"});
}

void readStore(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader store = readObject(root, "store", Need::Required);
    settings.storeAddress_ = readAddress(store, "address", Need::Required);
    settings.storePrefix_ = readString(store, "prefix", Need::Optional, settings.storePrefix_);
    settings.ledgerShards_ = static_cast<std::uint32_t>(readInteger(
        store, "ledgerShards", Need::Optional, Range {1, 1024}, settings.ledgerShards_));
    rejectUnknownFields(store, {"address", "prefix", "ledgerShards"});
}

void readRetries(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader retries = readObject(root, "retries", Need::Optional);
    SharedRetryLimit &limit = settings.retries_;
    limit.share_ = readNumber(retries, "share", Need::Optional, 0.0, limit.share_);
    limit.extra_ = readNumber(retries, "extra", Need::Optional, 0.0, limit.extra_);
    const double seconds = readNumber(retries, "windowS", Need::Optional, 1.0,
                                      std::chrono::duration<double>(limit.window_).count());
    limit.window_ = std::chrono::duration_cast<Millis>(std::chrono::duration<double>(seconds));
    rejectUnknownFields(retries, {"share", "extra", "windowS"});
}

void readLimits(const JsonReader &root, RelayDaemonSettings &settings)
{
    const JsonReader limits = readObject(root, "limits", Need::Optional);
    settings.drainLimit_
        = readMillis(limits, "drainMs", Need::Optional, timeRange, settings.drainLimit_);
    const double stop = readNumber(limits, "stopS", Need::Optional, 1.0,
                                   std::chrono::duration<double>(settings.stopTimeout_).count());
    settings.stopTimeout_ = std::chrono::duration_cast<Millis>(std::chrono::duration<double>(stop));
    settings.maxFileDescriptors_ = static_cast<std::size_t>(
        readInteger(limits, "descriptors", Need::Optional, Range {256, 1'000'000},
                    static_cast<std::int64_t>(settings.maxFileDescriptors_)));
    rejectUnknownFields(limits, {"drainMs", "stopS", "descriptors"});
}

} // namespace

RelayDaemonSettings parseRelaySettings(const std::string &text, ValidationErrors &errors)
{
    RelayDaemonSettings settings;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, parseObject(text, maxSettingsBytes));
            const JsonReader root {object, "", &errors};
            settings.host_ = HostId {readString(root, "host", Need::Required)};
            settings.zone_ = ZoneId {readString(root, "zone", Need::Required)};
            readListen(root, settings);
            readStore(root, settings);
            readRetries(root, settings);
            readLimits(root, settings);
            settings.seeds_ = readStrings(root, "seeds", Need::Optional);
            rejectUnknownFields(root,
                                {"host", "zone", "listen", "seeds", "store", "retries", "limits"});
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
    control.retries_ = settings.retries_;
    control.missingRetention_ = std::max(settings.drainLimit_ - drainMargin, Millis {0});
    control.prepaid_.keyPrefix_ = settings.storePrefix_ + "/ledger";
    control.prepaid_.shards_ = settings.ledgerShards_;
    return control;
}

} // namespace tamarack
