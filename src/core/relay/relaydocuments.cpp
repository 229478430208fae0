// Documents of the store: where they come from, and how the relay applies them.
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"
#include "core/relay/urgency.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace tamarack::relaydetail {

namespace {

/// Returns for the log how old the documents from peers are; "none" if no peer had contact to the
/// store.
std::string peerContactAge(const DocumentSync &sync, MonoTime now)
{
    if (!sync.freshAt_)
        return "none";
    return std::to_string(std::chrono::duration_cast<Millis>(now - *sync.freshAt_).count());
}

void logInstance(RelayCommands &out, const Instance &instance, StorePosition position,
                 ChangeSource source)
{
    logLine(out, LogLevel::Info, "instance.changed",
            {{"upstream", instance.id_.value_},
             {"service", instance.service_.value_},
             {"address", instance.address_},
             {"zone", instance.zone_.value_},
             {"version", instance.version_.value_},
             {"state", instance.state_ == InstanceState::Ready ? "ready" : "draining"},
             {"era", std::to_string(position.era_.value_)},
             {"revision", std::to_string(position.revision_.value_)},
             {"source", sourceName(source)}});
}

} // namespace

std::string sourceName(ChangeSource source)
{
    return source == ChangeSource::Store ? "store" : "peer";
}

MonoTime earliestRemoval(const RelayState &state, ChangeSource source, MonoTime now)
{
    const RelaySettings &settings = state.settings_;
    if (source == ChangeSource::Store)
        return now - settings.instanceBatchDelay_;
    // The peer that reported the removal had no news of it at the previous contact.
    const std::optional<MonoTime> knownAt = state.sync_.completeAt_;
    // Entries expire during an outage although their instances are alive and will renew them.
    const bool afterOutage = !knownAt || now - *knownAt > settings.minOutage_;
    return afterOutage ? now : *knownAt;
}

void resumeWaitingForInstance(RelayState &state, MonoTime now, RelayCommands &out)
{
    // The most urgent first, and among these the one with the least time left.
    std::vector<std::tuple<int, MonoTime, ExchangeId>> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingInstance)
            waiting.emplace_back(active.urgency_, active.deadline_, id);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto &[urgency, deadline, id] : waiting)
        dispatch(state, state.active_.at(id), now, out);
}

bool recordReply(RelayState &state, const DocumentsReplyReceived &event, MonoTime now)
{
    recordDocumentsReply(state.sync_, state.settings_.sync_, event.from_, event.contactAge_,
                         event.announcedBytes_ > 0, now);
    recordReceivedLoads(state.loads_, state.settings_.load_, event.from_, event.loads_,
                        event.loadReporters_, now);
    return noteConfirmedByPeer(state.versions_, event.versions_);
}

void requestAnnounced(RelayState &state, const DocumentsReplyReceived &event, MonoTime now,
                      RelayCommands &out)
{
    if (event.announcedBytes_ == 0 || event.address_.empty())
        return;
    const std::optional<DocumentTransfer> overdue = state.sync_.transfer_;
    if (!startTransfer(state.sync_, state.settings_.sync_, event.from_, event.announcedBytes_, now))
        return;
    if (overdue)
        logLine(out, LogLevel::Warning, "documents.transfer_overdue",
                {{"from", overdue->from_.value_}, {"bytes", std::to_string(overdue->bytes_)}});
    out.emplace_back(RequestPeerDocuments {
        {PeerAddress {event.from_, {}, event.address_, 0}}, {}, LargeDocuments::Compress});
}

void finishTransfer(RelayState &state, const DocumentsReplyReceived &event, MonoTime now,
                    RelayCommands &out)
{
    const std::optional<DocumentTransfer> transfer
        = endTransfer(state.sync_, event.from_, event.contactAge_);
    if (!transfer)
        return;
    const auto time = std::chrono::duration_cast<Millis>(now - transfer->startedAt_);
    logLine(out, LogLevel::Info, "documents.transferred",
            {{"from", transfer->from_.value_},
             {"bytes", std::to_string(transfer->bytes_)},
             {"time_ms", std::to_string(time.count())}});
}

void requestDocuments(RelayState &state, MonoTime now, RelayCommands &out)
{
    std::vector<PeerAddress> peers = nextSyncPeers(state.sync_, state.settings_.sync_, now);
    if (peers.empty())
        return;
    RequestPeerDocuments request {std::move(peers)};
    if (sharesLoad(state))
        request.loads_ = ownLoads(state.choice_, state.settings_.load_);
    out.emplace_back(std::move(request));
}

void updateStoreUse(RelayState &state, MonoTime now, RelayCommands &out)
{
    const bool follows = followsStore(state.sync_, state.settings_.sync_, now);
    if (follows != state.followsStore_) {
        state.followsStore_ = follows;
        setFollowing(state.sync_, state.settings_.sync_, follows, now);
        logLine(out, LogLevel::Info, "documents.source",
                {{"follows_store", follows ? "yes" : "no"},
                 {"zone_daemons", std::to_string(state.sync_.sameZone_.size())},
                 {"silent_peers", std::to_string(state.sync_.silent_.size())},
                 {"peer_contact_age_ms", peerContactAge(state.sync_, now)}});
        out.emplace_back(SetFollowsStore {follows});
    }
    const bool overdue = isReplyOverdue(state.sync_, now);
    if (overdue != state.storeReplyOverdue_) {
        state.storeReplyOverdue_ = overdue;
        logLine(out, overdue ? LogLevel::Warning : LogLevel::Info, "store.reply_overdue",
                {{"overdue", overdue ? "yes" : "no"},
                 {"peer_contact_age_ms", peerContactAge(state.sync_, now)}});
    }
    const bool contact = hasStoreContact(state.sync_, state.settings_.sync_, now);
    if (contact != state.storeContact_) {
        state.storeContact_ = contact;
        noticeStoreContact(state.prepaid_, contact, now);
        logLine(out, contact ? LogLevel::Info : LogLevel::Warning,
                contact ? "store.contact_regained" : "store.contact_lost",
                {{"follows_store", follows ? "yes" : "no"},
                 {"peer_contact_age_ms", peerContactAge(state.sync_, now)}});
        out.emplace_back(SetStoreContact {contact});
    }
}

void onEvent(RelayState &state, const ConfigReceived &event, MonoTime now, RelayCommands &out)
{
    if (state.config_ && event.config_->version_ <= state.config_->version_)
        return;
    state.config_ = event.config_;
    state.priorities_ = prioritiesOf(*state.config_);
    applyFunding(state.prepaid_, state.settings_.prepaid_, *state.config_, now);
    scheduleFirstGrants(state.prepaid_, state.settings_.prepaid_, now);
    noteStreamServices(state, now);
    out.emplace_back(ApplyLimits {state.config_->limits_});
    logLine(out, LogLevel::Info, "config.applied",
            {{"version", std::to_string(state.config_->version_.value_)},
             {"routes", std::to_string(state.config_->routes_.size())},
             {"accounts", std::to_string(state.config_->accounts_.size())},
             {"source", sourceName(event.source_)}});
    updateReadiness(state, out);
}

void onEvent(RelayState &state, const InstancesListed &event, MonoTime now, RelayCommands &out)
{
    for (const ListedInstance &listed : event.instances_)
        noteEntry(state, listed, now, out);
    const std::vector<UpstreamId> missing
        = applyListing(state.directory_, event.instances_, event.position_,
                       earliestRemoval(state, event.source_, now));
    for (const ListedInstance &listed : event.instances_)
        recordEntry(state.cold_, listed, !state.instancesListed_, now);
    noteServedVersions(state, now);
    state.instancesListed_ = true;
    logLine(out, LogLevel::Info, "instances.listed",
            {{"count", std::to_string(event.instances_.size())},
             {"missing", std::to_string(missing.size())},
             {"era", std::to_string(event.position_.era_.value_)},
             {"revision", std::to_string(event.position_.revision_.value_)},
             {"source", sourceName(event.source_)}});
    updateReadiness(state, out);
    resumeWaitingForInstance(state, now, out);
}

void onEvent(RelayState &state, const InstanceChanged &event, MonoTime now, RelayCommands &out)
{
    noteEntry(state, event.listed_, now, out);
    if (!upsertInstance(state.directory_, event.listed_))
        return;
    const Instance &instance = event.listed_.instance_;
    if (!state.versions_.seenAt_.contains({instance.service_, instance.version_}))
        noteServedVersions(state, now);
    recordEntry(state.cold_, event.listed_, false, now);
    logInstance(out, event.listed_.instance_, event.listed_.position_, event.source_);
    resumeWaitingForInstance(state, now, out);
}

void onEvent(RelayState &state, const InstanceRemoved &event, MonoTime now, RelayCommands &out)
{
    const MonoTime since = earliestRemoval(state, event.source_, now);
    if (!markMissing(state.directory_, event.id_, event.position_, since))
        return;
    const auto age = std::chrono::duration_cast<Millis>(now - since);
    logLine(out, LogLevel::Info, "instance.missing",
            {{"upstream", event.id_.value_},
             {"age_ms", std::to_string(age.count())},
             {"era", std::to_string(event.position_.era_.value_)},
             {"revision", std::to_string(event.position_.revision_.value_)},
             {"source", sourceName(event.source_)}});
}

void onEvent(RelayState &state, const FeedAvailabilityChanged &event, MonoTime now,
             RelayCommands &out)
{
    // A watch that ends after following was stopped says nothing about the source in use.
    if (!state.followsStore_)
        return;
    setFeedAvailability(state.sync_, event.name_, event.available_, now);
    logLine(out, event.available_ ? LogLevel::Info : LogLevel::Warning,
            event.available_ ? "dependency.regained" : "dependency.lost",
            {{"name", event.name_}, {"detail", event.detail_}});
}

void onEvent(RelayState &state, const ConfigFeedReplied &event, MonoTime now, RelayCommands &)
{
    recordStoreReply(state.sync_, state.settings_.sync_, event.knownAt_.value_or(now), now);
}

void onEvent(RelayState &state, const StoreEraNoticed &event, MonoTime now, RelayCommands &out)
{
    if (event.era_ <= state.storeEra_)
        return;
    logLine(out, state.storeEra_ == StoreEra {} ? LogLevel::Info : LogLevel::Warning, "store.era",
            {{"era", std::to_string(event.era_.value_)},
             {"previous", std::to_string(state.storeEra_.value_)}});
    state.storeEra_ = event.era_;
    noticeStoreEra(state.prepaid_, state.settings_.prepaid_, event.era_, now);
    noteVersionEra(state.versions_, event.era_);
}

} // namespace tamarack::relaydetail
