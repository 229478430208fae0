// Streams that continue at another instance: only at the software version that began them.
#include "core/relay/relaystreams.h"
#include "core/relay/relayinternal.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tamarack::relaydetail {

namespace {

constexpr int statusServiceUnavailable = 503;
constexpr const char *unknownOrigin = "stream_version_unknown";
constexpr const char *versionGone = "stream_version_gone";

/// How long after its client's deadline a stream is remembered: the clocks of a client and a daemon
/// start at different times.
constexpr Millis lifetimeMargin {1000};

std::string namesOf(const std::set<SoftwareVersion> &versions)
{
    std::string names;
    for (const SoftwareVersion &version : versions)
        names += (names.empty() ? "" : ",") + version.value_;
    return names.empty() ? "none" : names;
}

void logOrigin(const RelayedRequest &active, std::string_view source, const std::string &versions,
               RelayCommands &out)
{
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"resumes", active.request_.resumed_->begunBy_.value_});
    fields.push_back({"source", std::string(source)});
    fields.push_back({"versions", versions});
    logLine(out, LogLevel::Info, "request.origin", std::move(fields));
}

void refuseUnknownOrigin(RelayState &state, RelayedRequest &active, MonoTime now,
                         RelayCommands &out)
{
    ++state.resumedStreams_.unknown_;
    refuse(state, active, statusServiceUnavailable, unknownOrigin, now, out);
}

/// Takes what a daemon knows of a stream.
/// @return false if the request was refused
bool takeOrigin(RelayState &state, RelayedRequest &active, const StreamOriginReply &reply,
                std::string_view source, MonoTime now, RelayCommands &out)
{
    if (reply.knowledge_ == OriginKnowledge::Contradictory) {
        logOrigin(active, source, "contradictory", out);
        refuseUnknownOrigin(state, active, now, out);
        return false;
    }
    logOrigin(active, source, reply.origin_.version_.value_, out);
    active.origin_ = reply.origin_;
    ++state.resumedStreams_.known_;
    return true;
}

void awaitOrigin(RelayState &state, RelayedRequest &active, Millis wait, MonoTime now)
{
    active.stage_ = RelayStage::AwaitingOrigin;
    active.stageDeadline_ = now + wait;
    rescheduleTimer(state, active);
}

/// Continues a stream that no daemon knows if there is only one version at which it can have begun.
/// @return false if the request waits for the record of the versions or was refused
bool takeOnlyVersion(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (!isInStep(state.sync_, state.settings_.sync_, now)) {
        // Another version may have joined, and a daemon that doesn't write the record have used it.
        logOrigin(active, "store", "out_of_step", out);
        refuseUnknownOrigin(state, active, now, out);
        return false;
    }
    const ServiceId service = servicesInOrder(*active.route_, splitId(active)).front();
    const auto possible = possibleOrigins(state.versions_, state.settings_.versions_, service,
                                          active.request_.arrivedAt_, now);
    if (!possible) {
        requestRead(state.versions_, active.request_.arrivedAt_);
        const bool isStoreFailing = !state.versions_.call_ && state.versions_.nextCallAt_ > now;
        if (isStoreFailing) {
            logOrigin(active, "store", "unavailable", out);
            refuseUnknownOrigin(state, active, now, out);
            return false;
        }
        awaitOrigin(state, active, state.settings_.recordWait_, now);
        return false;
    }
    logOrigin(active, "store", namesOf(*possible), out);
    if (possible->size() != 1) {
        refuseUnknownOrigin(state, active, now, out);
        return false;
    }
    active.origin_ = ServedVersion {service, *possible->begin()};
    ++state.resumedStreams_.known_;
    return true;
}

/// Asks the daemons that remember a stream.
/// @return false if there are none
bool askKeepers(RelayState &state, RelayedRequest &active, StreamKey stream, MonoTime now,
                RelayCommands &out)
{
    if (state.limits_.address_.empty())
        return false;
    for (const PeerAddress &keeper : keepersOf(stream, state.settings_.host_, state.fleet_.peers_,
                                               state.settings_.origins_.copies_)) {
        active.originAsked_.insert(keeper.host_);
        out.emplace_back(SendPeer {keeper.host_, keeper.address_,
                                   StreamOriginRequest {state.limits_.address_, stream}});
    }
    if (active.originAsked_.empty())
        return false;
    awaitOrigin(state, active, state.settings_.origins_.replyTimeout_, now);
    return true;
}

/// Returns the requests in a stage, as they may end while they are handled.
std::vector<ExchangeId> requestsAwaitingOrigin(const RelayState &state)
{
    std::vector<ExchangeId> waiting;
    for (const auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingOrigin)
            waiting.push_back(id);
    }
    return waiting;
}

/// Handles the reply of a daemon to a request that waits for it.
void takeReply(RelayState &state, RelayedRequest &active, const StreamOriginReplyReceived &event,
               MonoTime now, RelayCommands &out)
{
    if (active.originAsked_.erase(event.from_) == 0
        || streamKey(active.request_.resumed_->begunBy_) != event.reply_.stream_)
        return;
    bool isKnown = false;
    if (event.reply_.knowledge_ != OriginKnowledge::Unknown) {
        active.originAsked_.clear();
        isKnown = takeOrigin(state, active, event.reply_, "peer", now, out);
    } else if (active.originAsked_.empty()) {
        isKnown = takeOnlyVersion(state, active, now, out);
    }
    if (isKnown)
        reserveAndDispatch(state, active, now, out);
}

void tellKeepers(RelayState &state, const StreamBegan &began, RelayCommands &out)
{
    for (const PeerAddress &keeper :
         keepersOf(began.stream_, state.settings_.host_, state.fleet_.peers_,
                   state.settings_.origins_.copies_))
        out.emplace_back(SendPeer {keeper.host_, keeper.address_, began});
}

/// Tells the keepers of the streams of a service once they are needed: a second version is served,
/// or the store can't be asked.
void updateKeptServices(RelayState &state, MonoTime now, RelayCommands &out)
{
    std::set<ServiceId> kept;
    for (const ServiceId &service : state.versions_.services_) {
        if (!state.storeContact_
            || hasSeveralVersions(state.versions_, state.settings_.versions_, service, now))
            kept.insert(service);
    }
    for (const ServiceId &service : kept) {
        if (state.keptServices_.contains(service))
            continue;
        for (const StreamBegan &began : ownStreams(state.origins_, service, now))
            tellKeepers(state, began, out);
    }
    state.keptServices_ = std::move(kept);
}

/// Makes the streams uncertain that began lately at an instance, which turns out to be another
/// process of another version.
void doubtOrigins(RelayState &state, const UpstreamId &id, MonoTime since, MonoTime now,
                  RelayCommands &out)
{
    for (auto &[exchange, active] : state.active_) {
        const bool isConcerned = isResumable(active) && active.attemptRunning_ && !active.peer_
            && active.choice_ && active.choice_->instance_ == id && active.sentAt_ >= since;
        if (!isConcerned)
            continue;
        ServedVersion &sentTo = active.attemptVersions_[active.attempts_];
        sentTo.version_ = {};
        // The version of a stream that had begun before is certain.
        if (active.origin_ && active.firstOutputAt_ && *active.firstOutputAt_ >= since)
            active.origin_->version_ = {};
    }
    for (const StreamBegan &doubted : doubtStreams(state.origins_, id, since, now))
        tellKeepers(state, doubted, out);
}

} // namespace

bool isResumable(const RelayedRequest &active)
{
    return active.route_ && active.route_->streaming_ && active.route_->resumable_;
}

std::optional<std::set<SoftwareVersion>>
allowedVersions(const RelayState &state, const RelayedRequest &active, const ServiceId &service)
{
    if (!isResumable(active))
        return std::nullopt;
    if (!active.origin_)
        return confirmedVersions(state.versions_, service);
    if (active.origin_->service_ != service)
        return std::set<SoftwareVersion> {};
    return std::set<SoftwareVersion> {active.origin_->version_};
}

void addPossiblyRestarted(const RelayState &state, std::set<UpstreamId> &instances, MonoTime now)
{
    if (!isInStep(state.sync_, state.settings_.sync_, now)) {
        for (const auto &[id, known] : state.directory_.known_)
            instances.insert(id);
        return;
    }
    for (const auto &[id, record] : state.choice_.instanceStats_) {
        if (record.unreachableAt_ && now - *record.unreachableAt_ < state.settings_.maxEntryDelay_)
            instances.insert(id);
    }
}

const RequestId &splitId(const RelayedRequest &active)
{
    const bool named = active.request_.resumed_ && !active.request_.resumed_->begunBy_.isEmpty();
    return named ? active.request_.resumed_->begunBy_ : active.request_.request_;
}

bool endWithoutOrigin(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (!active.origin_)
        return false;
    const std::set<ZoneId> zones = excludedZones(state, active);
    for (const auto &[id, known] : state.directory_.known_) {
        const Instance &instance = known.instance_;
        if (ServedVersion {instance.service_, instance.version_} == *active.origin_
            && usesService(active, instance.service_) && instance.state_ == InstanceState::Ready
            && !active.tried_.contains(id) && !zones.contains(instance.zone_))
            return false;
    }
    ++state.resumedStreams_.gone_;
    if (active.attempts_ == 0)
        refuseForGood(state, active, versionGone, now, out);
    else
        failWithoutInstance(state, active, versionGone, std::nullopt, now, out);
    return true;
}

bool findStreamOrigin(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    if (!isResumable(active) || !active.request_.resumed_)
        return true;
    const RequestId &begunBy = active.request_.resumed_->begunBy_;
    if (!begunBy.isEmpty()) {
        const StreamKey stream = streamKey(begunBy);
        const StreamOriginReply own = findOrigin(state.origins_, stream, now);
        if (own.knowledge_ != OriginKnowledge::Unknown)
            return takeOrigin(state, active, own, "own", now, out);
        if (askKeepers(state, active, stream, now, out))
            return false;
    }
    return takeOnlyVersion(state, active, now, out);
}

void onOriginTimeout(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const bool peersAreSilent = !active.originAsked_.empty();
    active.originAsked_.clear();
    if (now >= active.deadline_ || !peersAreSilent) {
        logOrigin(active, "store", "unavailable", out);
        refuseUnknownOrigin(state, active, now, out);
        return;
    }
    if (takeOnlyVersion(state, active, now, out))
        reserveAndDispatch(state, active, now, out);
}

void recordStreamBegan(RelayState &state, RelayedRequest &active, std::uint32_t attempt,
                       MonoTime now, RelayCommands &out)
{
    const auto sentTo = active.attemptVersions_.find(attempt);
    if (sentTo == active.attemptVersions_.end() || !isResumable(active))
        return;
    const bool isNew = !active.origin_;
    if (isNew)
        active.origin_ = sentTo->second;
    const bool isUnnamed = active.request_.resumed_ && active.request_.resumed_->begunBy_.isEmpty();
    // A stream that was taken up is told again, because its keepers may have changed.
    if (isUnnamed || (!isNew && (!active.request_.resumed_ || active.streamTold_)))
        return;
    active.streamTold_ = true;
    const Millis lifetime = active.request_.clientTimeout_
        ? *active.request_.clientTimeout_ + lifetimeMargin
        : state.settings_.origins_.defaultLifetime_;
    const StreamBegan began {streamKey(splitId(active)), *active.origin_, lifetime};
    const auto chosen = active.choice_ ? active.choice_->instance_ : UpstreamId {};
    rememberOwnStream(state.origins_, state.settings_.origins_, began, chosen, now);
    if (state.keptServices_.contains(began.origin_.service_))
        tellKeepers(state, began, out);
}

void noteEntry(RelayState &state, const ListedInstance &listed, MonoTime now, RelayCommands &out)
{
    const UpstreamId &id = listed.instance_.id_;
    const auto known = state.directory_.known_.find(id);
    const bool isKnown = known != state.directory_.known_.end();
    if (!isKnown || known->second.position_ >= listed.position_
        || known->second.instance_.version_ == listed.instance_.version_)
        return;
    doubtOrigins(state, id, now - state.settings_.maxEntryDelay_, now, out);
}

void noteServedVersions(RelayState &state, MonoTime now)
{
    state.versionsNotedAt_ = now;
    std::set<ServedVersion> served;
    for (const auto &[id, known] : state.directory_.known_) {
        if (state.versions_.services_.contains(known.instance_.service_))
            served.insert(ServedVersion {known.instance_.service_, known.instance_.version_});
    }
    noteServed(state.versions_, state.settings_.versions_, served, now);
}

void noteStreamServices(RelayState &state, MonoTime now)
{
    state.versions_.services_.clear();
    for (const RelayRoute &route : state.config_->routes_) {
        if (!route.streaming_ || !route.resumable_)
            continue;
        for (const RelayTarget &target : route.targets_)
            state.versions_.services_.insert(target.service_);
    }
    noteServedVersions(state, now);
}

void runVersions(RelayState &state, MonoTime now, RelayCommands &out)
{
    const ServedVersionSettings &settings = state.settings_.versions_;
    if (now - state.versionsNotedAt_ >= state.settings_.versionNoteInterval_)
        noteServedVersions(state, now);
    updateKeptServices(state, now, out);
    auto call = startVersionCall(state.versions_, settings, state.followsStore_, now);
    if (call) {
        const bool writes = std::holds_alternative<CompareAndSwapCall>(call->call_);
        logLine(out, LogLevel::Info, "versions.call",
                {{"call", std::to_string(call->id_.value_)}, {"kind", writes ? "swap" : "read"}});
        out.emplace_back(std::move(*call));
    }
    ConfirmedVersions confirmed = versionsToConfirm(state.versions_);
    if (confirmed == state.publishedVersions_)
        return;
    state.publishedVersions_ = confirmed;
    out.emplace_back(PublishVersions {std::make_shared<ConfirmedVersions>(std::move(confirmed))});
}

bool onVersionReply(RelayState &state, const StoreReplied &event, MonoTime now, RelayCommands &out)
{
    if (!finishVersionCall(state.versions_, state.settings_.versions_, event.reply_, now))
        return false;
    std::string names;
    if (state.versions_.copy_) {
        for (const ServedVersion &version : state.versions_.copy_->record_.versions_)
            names += (names.empty() ? "" : ",") + version.service_.value_ + "/"
                + version.version_.value_;
    }
    logLine(out, LogLevel::Info, "versions.recorded",
            {{"call", std::to_string(event.reply_.call_.value_)},
             {"ok", state.versions_.copy_ ? "yes" : "no"},
             {"versions", names}});
    for (const ExchangeId id : requestsAwaitingOrigin(state)) {
        const auto active = state.active_.find(id);
        if (active != state.active_.end() && active->second.originAsked_.empty()
            && takeOnlyVersion(state, active->second, now, out))
            reserveAndDispatch(state, active->second, now, out);
    }
    resumeWaitingForInstance(state, now, out);
    return true;
}

void onEvent(RelayState &state, const StreamBeganReceived &event, MonoTime now, RelayCommands &)
{
    rememberStream(state.origins_, state.settings_.origins_, event.began_, now);
}

void onEvent(RelayState &state, const StreamOriginRequestReceived &event, MonoTime now,
             RelayCommands &out)
{
    out.emplace_back(SendPeer {event.from_, event.request_.replyAddress_,
                               findOrigin(state.origins_, event.request_.stream_, now)});
}

void onEvent(RelayState &state, const StreamOriginReplyReceived &event, MonoTime now,
             RelayCommands &out)
{
    for (const ExchangeId id : requestsAwaitingOrigin(state)) {
        const auto active = state.active_.find(id);
        if (active != state.active_.end())
            takeReply(state, active->second, event, now, out);
    }
}

void onEvent(RelayState &state, const MachineResumed &, MonoTime now, RelayCommands &out)
{
    distrustConfirmations(state.versions_);
    recordSuspension(state.sync_, now);
    out.emplace_back(ForgetStoreContact {});
}

} // namespace tamarack::relaydetail
