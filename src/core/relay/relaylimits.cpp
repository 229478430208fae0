// Requests to instances that state something about themselves: permits for those with a request
// limit.
#include "core/hash.h"
#include "core/relay/relayinternal.h"
#include "core/relay/relaystreams.h"

#include <fmt/format.h>

#include <algorithm>

namespace tamarack::relaydetail {

namespace {

/// Returns the zone of an instance, or an empty one if it is not known here.
ZoneId zoneOf(const RelayState &state, const UpstreamId &instance)
{
    const auto known = state.directory_.known_.find(instance);
    return known == state.directory_.known_.end() ? ZoneId {} : known->second.instance_.zone_;
}

/// Returns the cold instance for which a daemon requests a permit; nothing if neither that daemon
/// nor this one knows that it is cold, or the message only reports the end of a stated limit.
std::optional<ColdTarget> coldTarget(const RelayState &state, const PermitRequest &request,
                                     MonoTime now)
{
    if (request.coldPerSecond_ && *request.coldPerSecond_ > 0.0)
        return ColdTarget {request.process_, request.zone_, *request.coldPerSecond_};
    const auto known = state.directory_.known_.find(request.process_.instance_);
    if (!request.limit_ || known == state.directory_.known_.end())
        return std::nullopt;
    const Instance &instance = known->second.instance_;
    const std::optional<double> rate = coldRate(state, instance, now);
    return rate ? std::optional(ColdTarget {request.process_, instance.zone_, *rate})
                : std::nullopt;
}

void logPermit(const RelayedRequest &active, const InstanceProcess &process,
               const HostId &coordinator, std::string_view result, Millis wait, RelayCommands &out)
{
    std::vector<LogField> fields = requestFields(active);
    fields.push_back({"upstream", process.instance_.value_});
    fields.push_back({"coordinator", coordinator.value_});
    fields.push_back({"result", std::string(result)});
    fields.push_back({"wait_ms", std::to_string(wait.count())});
    logLine(out, LogLevel::Info, "request.permit", std::move(fields));
}

Millis waitFor(const RelayState &state, const InstanceProcess &process, MonoTime now)
{
    const auto until = deniedUntil(state.limits_, process, now);
    return until ? std::chrono::ceil<Millis>(*until - now) : Millis {};
}

/// Finds the request that waits for a reply to a permit request.
RelayedRequest *findAwaiting(RelayState &state, const PermitReplyReceived &event)
{
    for (auto &[id, active] : state.active_) {
        if (active.stage_ == RelayStage::AwaitingPermit && active.awaitedPermit_
            && active.awaitedPermit_->number_ == event.reply_.number_
            && active.awaitedPermit_->coordinator_ == event.from_
            && active.awaitedPermit_->process_ == event.reply_.process_)
            return &active;
    }
    return nullptr;
}

/// Returns whether a permit can still be used. One for a cold instance that is used late, for
/// example after a suspension of this daemon, would add up with those of the next second; one for a
/// stated limit is not enough for an instance that is cold by now.
bool isValid(const RelayState &state, const AwaitedPermit &permit, const Instance &instance,
             MonoTime now)
{
    if (permit.isCold_)
        return now <= permit.requestedAt_ + state.settings_.limits_.replyTimeout_;
    return !coldRate(state, instance, now);
}

/// Sends a request for which a permit was granted, if the instance still takes requests.
void sendWithPermit(RelayState &state, RelayedRequest &active, const AwaitedPermit &permit,
                    MonoTime now, RelayCommands &out)
{
    const RelayService *service = serviceOf(active, permit.service_);
    const auto known = state.directory_.known_.find(permit.process_.instance_);
    const bool usable = service && known != state.directory_.known_.end()
        && processOf(known->second.instance_) == permit.process_
        && known->second.instance_.state_ == InstanceState::Ready
        && !excludedZones(state, active).contains(known->second.instance_.zone_)
        && !isLeaving(state.choice_, permit.process_)
        && !closedUntil(state.choice_, permit.process_, now)
        && isValid(state, permit, known->second.instance_, now);
    if (!usable) {
        dispatch(state, active, now, out);
        return;
    }
    if (!refuseIfQuarantined(state, active, now, out))
        send(state, active, Placement {permit.choice_, service}, now, out);
}

/// Returns how many requests this daemon may have at an instance that fails if it has to refuse too
/// many, so that all daemons together send it no more than it has slots for.
std::uint32_t brittleShare(const RelayState &state, const Instance &instance)
{
    const std::uint32_t daemons = std::max(state.fleet_.daemons_, 1U);
    if (instance.slots_ >= daemons)
        return instance.slots_ / daemons;
    // One request each for the daemons that come first in rank.
    const std::uint64_t own = rendezvousWeight(instance.id_.value_, state.settings_.host_.value_);
    const auto before = std::count_if(
        state.fleet_.peers_.begin(), state.fleet_.peers_.end(), [&](const PeerAddress &peer) {
            return rendezvousWeight(instance.id_.value_, peer.host_.value_) > own;
        });
    return before < static_cast<std::ptrdiff_t>(instance.slots_) ? 1 : 0;
}

/// Adds the instances that may refuse only few requests, and have as many of this daemon as they
/// may.
void addFullBrittle(const RelayState &state, std::set<UpstreamId> &instances)
{
    for (const auto &[id, record] : state.choice_.instanceStats_) {
        if (!record.notice_.maxRefusals_)
            continue;
        const auto known = state.directory_.known_.find(id);
        if (known != state.directory_.known_.end()
            && record.running_ >= brittleShare(state, known->second.instance_))
            instances.insert(id);
    }
}

} // namespace

bool usesService(const RelayedRequest &active, const ServiceId &service)
{
    const std::vector<RelayTarget> &targets = active.route_->targets_;
    return std::any_of(targets.begin(), targets.end(), [&service](const RelayTarget &target) {
        return target.service_ == service;
    });
}

std::set<UpstreamId> excludedInstances(const RelayState &state, const RelayedRequest &active,
                                       MonoTime now)
{
    std::set<UpstreamId> excluded = active.tried_;
    for (const auto &[process, until] : state.limits_.deniedUntil_) {
        if (until > now)
            excluded.insert(process.instance_);
    }
    for (const auto &[id, until] : state.coldPermits_.awaited_) {
        if (until > now)
            excluded.insert(id);
    }
    addFullBrittle(state, excluded);
    if (active.permitRequests_ < state.settings_.maxPermitRequests_)
        return excluded;
    for (const auto &[id, record] : state.cold_.records_) {
        if (record.reported_)
            excluded.insert(id);
    }
    for (const auto &[process, statement] : state.limits_.stated_)
        excluded.insert(process.instance_);
    return excluded;
}

/// Returns until when the reply to another request's permit for a cold instance is awaited.
std::optional<MonoTime> awaitedUntil(const RelayState &state, const UpstreamId &id, MonoTime now)
{
    const auto awaited = state.coldPermits_.awaited_.find(id);
    if (awaited == state.coldPermits_.awaited_.end() || awaited->second <= now)
        return std::nullopt;
    return awaited->second;
}

std::optional<MonoTime> nextAcceptingTime(const RelayState &state, const RelayedRequest &active,
                                          MonoTime now)
{
    const std::set<ZoneId> zones = excludedZones(state, active);
    std::optional<MonoTime> next;
    for (const auto &[id, known] : state.directory_.known_) {
        const Instance &instance = known.instance_;
        const InstanceProcess process = processOf(instance);
        if (instance.state_ != InstanceState::Ready || active.tried_.contains(id)
            || zones.contains(instance.zone_) || !usesService(active, instance.service_)
            || isLeaving(state.choice_, process))
            continue;
        const auto versions = allowedVersions(state, active, instance.service_);
        if (versions && !versions->contains(instance.version_))
            continue;
        // The later of the two, if there are both.
        const std::optional<MonoTime> until
            = std::max({deniedUntil(state.limits_, process, now),
                        closedUntil(state.choice_, process, now), awaitedUntil(state, id, now)});
        if (until && (!next || *until < *next))
            next = until;
    }
    return next;
}

void pauseBrittle(RelayState &state, const UpstreamId &id, MonoTime now)
{
    const auto record = state.choice_.instanceStats_.find(id);
    if (record == state.choice_.instanceStats_.end() || !record->second.notice_.maxRefusals_)
        return;
    const double daemons = std::max(state.fleet_.daemons_, 1U);
    const double perSecond = *record->second.notice_.maxRefusals_ / daemons;
    const std::chrono::duration<double> longest = state.settings_.maxBrittlePause_;
    const auto pause = perSecond > 0.0
        ? std::min(std::chrono::duration<double>(1.0 / perSecond), longest)
        : longest;
    InstanceStats &stats = record->second;
    stats.ejectedUntil_
        = std::max(stats.ejectedUntil_, now + std::chrono::duration_cast<Micros>(pause));
}

PermitStatus obtainPermit(RelayState &state, RelayedRequest &active, const Placement &placement,
                          MonoTime now, RelayCommands &out)
{
    const RequestLimitSettings &settings = state.settings_.limits_;
    const Instance &instance = state.directory_.known_.at(placement.choice_.instance_).instance_;
    const InstanceProcess process = processOf(instance);
    const std::optional<double> cold = coldRate(state, instance, now);
    if (!cold && !needsPermit(state.limits_, process))
        return PermitStatus::Granted;
    PermitAnswer answer = cold
        ? askForColdPermit(state.coldPermits_, state.limits_, state.settings_.cold_, settings,
                           ColdTarget {process, instance.zone_, *cold}, now)
        : askForPermit(state.limits_, settings, process, instance.zone_, now);
    if (answer.result_) {
        logPermit(active, process, answer.coordinator_.host_, permitResultCode(*answer.result_),
                  waitFor(state, process, now), out);
        return *answer.result_ == PermitResult::Denied ? PermitStatus::Denied
                                                       : PermitStatus::Granted;
    }
    active.stage_ = RelayStage::AwaitingPermit;
    active.awaitedPermit_
        = AwaitedPermit {answer.request_.number_, answer.coordinator_.host_, process,
                         placement.choice_,       placement.service_->id_,   now,
                         cold.has_value()};
    ++active.permitRequests_;
    active.stageDeadline_ = now + settings.replyTimeout_;
    rescheduleTimer(state, active);
    out.emplace_back(SendPeer {answer.coordinator_.host_, answer.coordinator_.address_,
                               std::move(answer.request_)});
    return PermitStatus::Requested;
}

void onPermitTimeout(RelayState &state, RelayedRequest &active, MonoTime now, RelayCommands &out)
{
    const AwaitedPermit permit = *active.awaitedPermit_;
    recordMissingPermitReply(state.limits_, state.settings_.limits_, permit.process_,
                             permit.coordinator_, now);
    logPermit(active, permit.process_, permit.coordinator_, "unanswered",
              waitFor(state, permit.process_, now), out);
    state.coldPermits_.awaited_.erase(permit.process_.instance_);
    dispatch(state, active, now, out);
    if (permit.isCold_)
        resumeWaitingForInstance(state, now, out);
}

void onPermitRequest(RelayState &state, const PermitRequestReceived &event, MonoTime now,
                     RelayCommands &out)
{
    const PermitRequest &request = event.request_;
    const ZoneId known = zoneOf(state, request.process_.instance_);
    const ZoneId zone = known.isEmpty() ? request.zone_ : known;
    if (request.limit_ && isEvacuated(state.evacuations_, zone)) {
        out.emplace_back(
            SendPeer {event.from_, request.replyAddress_,
                      PermitReply {request.process_, request.number_, PermitResult::Denied,
                                   state.settings_.evacuationDenial_}});
        return;
    }
    const std::optional<ColdTarget> cold = coldTarget(state, request, now);
    std::optional<PermitReply> reply;
    if (cold)
        reply = handleColdPermitRequest(state.coldPermits_, state.limits_, state.settings_.cold_,
                                        state.settings_.limits_, request, *cold, now);
    else
        reply = handlePermitRequest(state.limits_, state.settings_.limits_, request, zone, now);
    if (reply)
        out.emplace_back(SendPeer {event.from_, request.replyAddress_, std::move(*reply)});
}

void onPermitReply(RelayState &state, const PermitReplyReceived &event, MonoTime now,
                   RelayCommands &out)
{
    RelayedRequest *active = findAwaiting(state, event);
    const AwaitedPermit permit = active ? *active->awaitedPermit_ : AwaitedPermit {};
    handlePermitReply(state.limits_, state.settings_.limits_, event.reply_, event.from_,
                      permit.requestedAt_, now);
    if (!active) {
        // The request that the permit was for has ended or uses another instance.
        if (state.coldPermits_.awaited_.erase(event.reply_.process_.instance_) > 0)
            resumeWaitingForInstance(state, now, out);
        return;
    }
    state.coldPermits_.awaited_.erase(permit.process_.instance_);
    logPermit(*active, permit.process_, event.from_, permitResultCode(event.reply_.result_),
              event.reply_.retryAfter_, out);
    if (event.reply_.result_ == PermitResult::Granted)
        sendWithPermit(state, *active, permit, now, out);
    else
        dispatch(state, *active, now, out);
    // They did not ask as well while the reply was awaited.
    if (permit.isCold_)
        resumeWaitingForInstance(state, now, out);
}

void onInstanceNotice(RelayState &state, const InstanceNoticeReceived &event, MonoTime now,
                      RelayCommands &out)
{
    const auto known = state.directory_.known_.find(event.instance_);
    const auto stats = state.choice_.instanceStats_.find(event.instance_);
    if (known == state.directory_.known_.end() || stats == state.choice_.instanceStats_.end())
        return;
    const InstanceNotice &notice = event.notice_;
    InstanceNotice logged = notice;
    // Differs in each response; instance.cold is logged instead.
    logged.coldRemaining_.reset();
    if (stats->second.notice_ != logged)
        logLine(out, LogLevel::Info, "instance.notice",
                {{"upstream", event.instance_.value_},
                 {"request_limit",
                  notice.requestLimit_ ? fmt::format("{:.3f}", *notice.requestLimit_) : "none"},
                 {"max_refusals",
                  notice.maxRefusals_ ? fmt::format("{:.3f}", *notice.maxRefusals_) : "none"},
                 {"leaving", notice.leaving_ ? "yes" : "no"},
                 {"retry_after_ms",
                  notice.retryAfter_ ? std::to_string(notice.retryAfter_->count()) : "none"}});
    stats->second.notice_ = logged;
    if (notice.coldRemaining_)
        recordColdResponse(state.cold_, event.instance_, *notice.coldRemaining_, now);
    const Instance &instance = known->second.instance_;
    recordNotice(state.choice_, state.settings_.choice_, processOf(instance), notice, now);
    const bool ended = recordStatedLimit(state.limits_, state.settings_.limits_,
                                         processOf(instance), notice.requestLimit_, now);
    if (!ended)
        return;
    std::optional<PermitAnswer> report = reportLimitEnded(state.limits_, state.settings_.limits_,
                                                          processOf(instance), instance.zone_, now);
    if (report)
        out.emplace_back(SendPeer {report->coordinator_.host_, report->coordinator_.address_,
                                   std::move(report->request_)});
    resumeWaitingForInstance(state, now, out);
}

} // namespace tamarack::relaydetail
