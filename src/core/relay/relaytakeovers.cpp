// Requests that other daemons take over while this host is cut off from all instances.
#include "core/relay/relaytakeovers.h"
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tamarack::relaydetail {

namespace {

/// Instances that are probed at a time, each on another host.
constexpr std::size_t probesAtATime = 6;

/// Returns the instances that may be probed.
std::vector<const Instance *> probedInstances(const RelayState &state)
{
    std::vector<const Instance *> instances;
    for (const auto &[id, known] : state.directory_.known_) {
        const bool isKnownService
            = state.config_ && state.config_->services_.contains(known.instance_.service_);
        if (isKnownService && known.instance_.state_ == InstanceState::Ready)
            instances.push_back(&known.instance_);
    }
    return instances;
}

std::size_t countHosts(const std::vector<const Instance *> &instances)
{
    std::set<std::string> hosts;
    for (const Instance *instance : instances)
        hosts.insert(hostOf(instance->address_));
    return hosts.size();
}

bool knowsTakeovers(const RelayState &state)
{
    return std::any_of(state.fleet_.peers_.begin(), state.fleet_.peers_.end(),
                       [](const PeerAddress &peer) { return !peer.handoverAddress_.empty(); });
}

void noteConnectFailed(RelayState &state, const std::string &address, MonoTime now,
                       RelayCommands &out)
{
    const bool isCutOff = recordConnectFailed(state.reachability_, state.settings_.reachability_,
                                              address, countHosts(probedInstances(state)), now);
    if (isCutOff)
        logLine(out, LogLevel::Warning, "upstreams.unreachable",
                {{"hosts", std::to_string(state.reachability_.failedAt_.size())},
                 {"takeovers", knowsTakeovers(state) ? "yes" : "no"}});
}

/// Returns the daemons that a request must not be handed to: those that had it, and those in
/// regions that its body may not reach.
std::set<HostId> excludedTakeovers(const RelayState &state, const RelayedRequest &active)
{
    std::set<HostId> excluded = active.triedPeers_;
    if (!active.allowedRegions_)
        return excluded;
    const auto regionOf = [&state](const ZoneId &zone) {
        const auto region = state.settings_.regions_.find(zone);
        return region == state.settings_.regions_.end() ? RegionId {} : region->second;
    };
    const RegionId own = regionOf(state.settings_.zone_);
    for (const PeerAddress &peer : state.fleet_.peers_) {
        const RegionId region = regionOf(peer.zone_);
        const bool isAllowed
            = active.allowedRegions_->contains(region) || (region == own && !own.isEmpty());
        if (!isAllowed)
            excluded.insert(peer.host_);
    }
    return excluded;
}

TakeoverOutcome outcomeOf(const RelayAttemptEnded &ended)
{
    switch (ended.end_) {
    case AttemptEnd::Failed:
        return ended.peerUnable_ ? TakeoverOutcome::Unable : TakeoverOutcome::Answered;
    case AttemptEnd::NotSent:
        return ended.connectionsUsed_ ? TakeoverOutcome::Unknown : TakeoverOutcome::Unreachable;
    case AttemptEnd::Delivered:
        return TakeoverOutcome::Answered;
    default:
        return TakeoverOutcome::Unknown;
    }
}

/// The instances failed because of this host's links.
void forgetUnreachable(ChoiceState &choice)
{
    for (auto &[id, record] : choice.instanceStats_) {
        if (!record.unreachableAt_)
            continue;
        record.unreachableAt_.reset();
        record.ejectedUntil_ = {};
        record.consecutiveFailures_ = 0;
        record.failureRate_ = 0.0;
    }
}

/// Returns true if events of a stream came from an instance of this daemon. Another daemon would
/// have to find out at which version, so the stream goes on here.
bool beganHere(const RelayedRequest &active)
{
    return active.origin_ && active.events_ > 0 && !active.beganAtPeer_;
}

/// Passes what another daemon has refused on, or ends the request as one that may have run.
void passRefusalOn(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                   MonoTime now, RelayCommands &out)
{
    if (active.mayHaveRun_ || active.events_ > 0 || ended.partiallyDelivered_) {
        failRequest(state, active, ended, now, out);
        return;
    }
    out.emplace_back(ForwardFailure {active.request_.id_});
    finish(state, active, fmt::format("handed over {}", ended.status_), now, out);
}

} // namespace

bool isUnable(const RelayState &state)
{
    return state.reachability_.isCutOff_ || state.stopRequestedAt_ || !state.config_;
}

bool handOver(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const TakeoverSettings &settings = state.settings_.takeovers_;
    if (active.request_.handedOver_ || beganHere(active)
        || active.triedPeers_.size() >= settings.maxTries_
        || active.deadline_ - now < state.settings_.minRetryTime_)
        return false;
    const PeerAddress *peer
        = chooseTakeover(state.takeovers_, settings, state.fleet_.peers_, state.settings_.zone_,
                         excludedTakeovers(state, active), active.request_.request_.value_, now);
    if (!peer)
        return false;
    // The other daemon charges the account for its own attempts.
    if (active.reserved_ && !active.mayHaveRun_) {
        settleTokens(state.prepaid_, active.account_, *active.reserved_, Tokens {}, now);
        active.reserved_.reset();
    }
    active.stage_ = RelayStage::Sent;
    active.choice_.reset();
    active.peer_ = peer->host_;
    active.triedPeers_.insert(peer->host_);
    ++active.attempts_;
    active.sentAt_ = now;
    active.outputStarted_ = false;
    active.attemptRunning_ = true;
    active.awaitedPermit_.reset();
    active.stageDeadline_.reset();
    rescheduleTimer(state, active);
    recordHandedOver(state.takeovers_, peer->host_);
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(active.attempts_)});
    fields.push_back({"host", peer->host_.value_});
    fields.push_back({"address", peer->handoverAddress_});
    logLine(out, LogLevel::Info, "request.handover", std::move(fields));
    SendAttempt attempt;
    attempt.id_ = active.request_.id_;
    attempt.attempt_ = active.attempts_;
    attempt.instance_ = UpstreamId {"daemon " + peer->host_.value_};
    attempt.address_ = peer->handoverAddress_;
    attempt.deadline_ = active.deadline_;
    attempt.retryPolicy_ = active.route_->retryPolicy_;
    attempt.streaming_ = active.route_->streaming_;
    attempt.maxConnections_ = settings.maxConnections_;
    attempt.connectTimeout_ = state.settings_.connectTimeout_;
    attempt.toPeer_ = true;
    attempt.attemptsUsed_ = active.attemptsUsed_;
    out.emplace_back(std::move(attempt));
    return true;
}

bool handOverIfCutOff(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const bool isCutOff = state.reachability_.isCutOff_;
    if ((!isCutOff && !active.beganAtPeer_) || beganHere(active))
        return false;
    if (handOver(state, active, now, out))
        return true;
    // A daemon without others that could take over tries the instances itself.
    if (!active.beganAtPeer_ && !active.request_.handedOver_ && !knowsTakeovers(state))
        return false;
    if (active.beganAtPeer_)
        failWithoutInstance(state, active, "stream_version_unknown", std::nullopt, now, out);
    else
        refuseUnable(state, active, "cut_off", now, out);
    return true;
}

void onPeerAttemptEnded(RelayState &state, RelayedRequest &active, const RelayAttemptEnded &ended,
                        MonoTime now, RelayCommands &out)
{
    const HostId host = *active.peer_;
    recordTakeoverEnd(state.takeovers_, state.settings_.takeovers_, host, outcomeOf(ended), now);
    recordStreamBegan(state, active, ended.begunBy_, now, out);
    if (ended.end_ == AttemptEnd::Delivered) {
        active.mayHaveRun_ = true;
        finish(state, active, fmt::format("handed over {}", ended.status_), now, out);
        return;
    }
    if (ended.end_ == AttemptEnd::ClientDisconnected) {
        active.mayHaveRun_ = true;
        finish(state, active, "client_left", now, out);
        return;
    }
    if (ended.end_ == AttemptEnd::Failed && !ended.peerUnable_) {
        passRefusalOn(state, active, ended, now, out);
        return;
    }
    const bool notRun = ended.end_ == AttemptEnd::Failed || ended.end_ == AttemptEnd::NotSent
        || ended.end_ == AttemptEnd::Superseded;
    std::optional<std::string> reason;
    if (!notRun) {
        active.mayHaveRun_ = true;
        ++active.attemptsUsed_;
        reason = resendDenialReason(state, active, now);
    }
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"attempt", std::to_string(ended.attempt_)});
    fields.push_back({"host", host.value_});
    fields.push_back({"end", std::string(attemptEndCode(ended.end_))});
    fields.push_back({"status", std::to_string(ended.status_)});
    fields.push_back({"detail", ended.detail_});
    fields.push_back({"repeat", reason ? "no:" + *reason : "yes"});
    logLine(out, LogLevel::Warning, "request.handover_failed", std::move(fields));
    if (reason) {
        failRequest(state, active, ended, now, out);
        return;
    }
    if (handOver(state, active, now, out))
        return;
    // What was reserved was released when the request was handed over.
    if (beganHere(active) || (!state.reachability_.isCutOff_ && !active.beganAtPeer_))
        reserveAndDispatch(state, active, now, out);
    else if (ended.end_ == AttemptEnd::Failed)
        passRefusalOn(state, active, ended, now, out);
    else
        failRequest(state, active, ended, now, out);
}

void recordReachability(RelayState &state, const RelayedRequest &active,
                        const RelayAttemptEnded &ended, MonoTime now, RelayCommands &out)
{
    if (ended.connected_ && ended.end_ != AttemptEnd::ConnectionLost
        && ended.end_ != AttemptEnd::ClientDisconnected) {
        recordInstanceReached(state, active.sentAt_, now, out);
        return;
    }
    if (ended.end_ != AttemptEnd::NotSent || ended.connectionsUsed_)
        return;
    noteConnectFailed(state, active.choice_->address_, now, out);
}

void recordInstanceReached(RelayState &state, MonoTime since, MonoTime now, RelayCommands &out)
{
    if (!recordConnected(state.reachability_, since))
        return;
    logLine(out, LogLevel::Info, "upstreams.reachable",
            {{"handed_over", std::to_string(state.takeovers_.handedOver_)}});
    forgetUnreachable(state.choice_);
    resumeWaitingForInstance(state, now, out);
}

void runReachability(RelayState &state, MonoTime now, RelayCommands &out)
{
    if (!takeDueProbe(state.reachability_, state.settings_.reachability_, now))
        return;
    for (const PeerAddress &daemon :
         daemonsToAsk(state.takeovers_, state.settings_.takeovers_, state.fleet_.peers_))
        out.emplace_back(
            SendPeer {daemon.host_, daemon.address_, PresenceRequest {state.limits_.address_}});
    const std::vector<const Instance *> instances = probedInstances(state);
    std::set<std::string> hosts;
    for (std::size_t i = 0; i < instances.size() && hosts.size() < probesAtATime; ++i) {
        const Instance &instance
            = *instances[state.reachability_.nextInstance_++ % instances.size()];
        if (!hosts.insert(hostOf(instance.address_)).second)
            continue;
        out.emplace_back(ProbeInstance {
            instance.id_, instance.address_, instance.startedAt_,
            connectionsPerInstance(state, state.config_->services_.at(instance.service_)),
            state.settings_.connectTimeout_});
    }
}

void onEvent(RelayState &state, const InstanceProbed &event, MonoTime now, RelayCommands &out)
{
    if (event.connected_) {
        recordInstanceReached(state, now, now, out);
        return;
    }
    const auto known = state.directory_.known_.find(event.instance_);
    if (known != state.directory_.known_.end())
        noteConnectFailed(state, known->second.instance_.address_, now, out);
}

} // namespace tamarack::relaydetail
