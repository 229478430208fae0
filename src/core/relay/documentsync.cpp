// Decides from where a daemon learns the documents of the store.
#include "core/relay/documentsync.h"

#include "core/hash.h"

#include <algorithm>

namespace tamarack {

namespace {

/// Rendezvous hashing key that ranks the daemons as observers.
constexpr const char *rankPurpose = "observer";
/// A watch may take this part of the settle time. The rest is for polling an observer and for a
/// batch of changes.
constexpr int watchPercent = 60;
/// Observers confirm their contact to the store several times within the time to apply a change.
constexpr int contactPercent = 25;
/// Allowance for a call, a peer message and the processor time of a small host.
constexpr Millis deliveryMargin {150};
/// Time to read a change from the store and apply it, on a small host under load.
constexpr Millis applyMargin {600};

/// Returns true while a new daemon waits for the registrations of the others.
bool isStarting(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return !sync.peersSeen_ && now < sync.startedAt_ + settings.startupWait_;
}

bool isAlone(const DocumentSync &sync)
{
    return sync.sameZone_.size() <= 1 && sync.otherZones_.empty();
}

/// Returns the first @a count daemons of each zone that replied to the last requests; this daemon
/// counts as one.
std::vector<PeerAddress> responsivePeers(const DocumentSync &sync,
                                         const std::vector<PeerAddress> &ranked, std::size_t count)
{
    std::vector<PeerAddress> found;
    std::map<ZoneId, std::size_t> foundInZone;
    for (const PeerAddress &peer : ranked) {
        if (sync.silent_.contains(peer.host_) || foundInZone[peer.zone_] == count)
            continue;
        ++foundInZone[peer.zone_];
        found.push_back(peer);
    }
    return found;
}

bool isObserver(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    const std::vector<PeerAddress> observers
        = responsivePeers(sync, sync.sameZone_, settings.observersPerZone_);
    return std::any_of(observers.begin(), observers.end(),
                       [&sync](const PeerAddress &peer) { return peer.host_ == sync.self_; });
}

bool isFresh(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return sync.freshAt_ && now - *sync.freshAt_ <= settings.freshLifetime_;
}

bool wasRequested(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return sync.requestedAt_ && now - *sync.requestedAt_ <= settings.observeOnRequest_;
}

/// Returns the longest time between two replies of the store that are not overdue.
Millis replyLimit(const DocumentSyncSettings &settings)
{
    return settings.contactInterval_ + settings.maxReplyDelay_;
}

/// Returns true if the store does not reply to this daemon. An overdue reply counts for observers
/// only: the others ask peers in any case, and a large document may take long to arrive.
bool lacksStore(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return !sync.unavailableFeeds_.empty()
        || (isReplyOverdue(sync, now) && isObserver(sync, settings));
}

/// Returns true if this daemon relies on the documents of peers, whether or not a reply of the
/// store is overdue.
bool reliesOnPeers(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    return !isAlone(sync) && (!sync.unavailableFeeds_.empty() || !isObserver(sync, settings));
}

bool needsPeers(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return reliesOnPeers(sync, settings) || (!isAlone(sync) && isReplyOverdue(sync, now));
}

/// Returns how long this daemon waits for a peer with contact before it follows the store.
Millis followDelay(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    const auto range = static_cast<std::uint64_t>(settings.maxFollowDelay_.count()) + 1;
    return Millis {hash64(sync.self_.value_) % range};
}

void noteHeard(DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime at, MonoTime now)
{
    if (sync.heardAt_ && now - *sync.heardAt_ > settings.maxSilence_)
        sync.inStepSince_ = now;
    sync.heardAt_ = std::max(sync.heardAt_.value_or(MonoTime {}), at);
}

void noteConfigKnown(DocumentSync &sync, MonoTime knownAt)
{
    sync.configAt_ = std::max(sync.configAt_.value_or(MonoTime {}), knownAt);
}

void excludeSilentPeers(DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    std::erase_if(sync.unanswered_, [&](const auto &request) {
        if (now - request.second < settings.replyTimeout_)
            return false;
        sync.silent_[request.first] = now + settings.probeInterval_;
        return true;
    });
}

/// Returns the silent peers whose next probe is due.
std::vector<PeerAddress> dueProbes(DocumentSync &sync, const DocumentSyncSettings &settings,
                                   MonoTime now)
{
    std::vector<PeerAddress> due;
    const std::vector<PeerAddress> *const zones[] = {&sync.sameZone_, &sync.otherZones_};
    for (const std::vector<PeerAddress> *peers : zones) {
        for (const PeerAddress &peer : *peers) {
            const auto silent = sync.silent_.find(peer.host_);
            if (silent == sync.silent_.end() || silent->second > now)
                continue;
            silent->second = now + settings.probeInterval_;
            due.push_back(peer);
        }
    }
    return due;
}

/// Returns true if peers of other availability zones may be asked.
bool mayAskOtherZones(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    // The first reply carries all documents, which should not come from another zone.
    const bool hasDocuments = sync.freshAt_ || sync.hadStoreReply_;
    return !sync.otherZones_.empty()
        && (hasDocuments || sync.requestCount_ > 2 * settings.otherZoneEvery_);
}

/// Returns true if it is the turn of the other availability zones.
bool asksOtherZones(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    return mayAskOtherZones(sync, settings) && sync.requestCount_ % settings.otherZoneEvery_ == 0;
}

/// Returns the peers of this zone among which the next request chooses: its observers and the peer
/// that last replied with contact to the store, if possible only those with contact.
std::vector<PeerAddress> candidatesOfZone(const DocumentSync &sync,
                                          const DocumentSyncSettings &settings)
{
    const auto isSelf = [&sync](const PeerAddress &peer) {
        return peer.host_ == sync.self_;
    };
    const auto lacksContact = [&sync](const PeerAddress &peer) {
        return sync.withoutContact_.contains(peer.host_);
    };
    std::vector<PeerAddress> candidates
        = responsivePeers(sync, sync.sameZone_, settings.observersPerZone_);
    std::erase_if(candidates, isSelf);
    const auto isFreshest = [&sync](const PeerAddress &peer) {
        return peer.host_ == sync.freshFrom_;
    };
    const bool isMissing = std::none_of(candidates.begin(), candidates.end(), isFreshest)
        && !sync.silent_.contains(sync.freshFrom_);
    if (isMissing)
        std::copy_if(sync.sameZone_.begin(), sync.sameZone_.end(), std::back_inserter(candidates),
                     isFreshest);
    if (std::all_of(candidates.begin(), candidates.end(), lacksContact)) {
        // One more than the observers is queried, which then follows the store.
        candidates = responsivePeers(sync, sync.sameZone_, settings.observersPerZone_ + 1);
        std::erase_if(candidates, isSelf);
    }
    if (!std::all_of(candidates.begin(), candidates.end(), lacksContact))
        std::erase_if(candidates, lacksContact);
    return candidates;
}

/// Returns true if the observers of this zone other than this daemon replied without contact to the
/// store, or there are none.
bool zoneLacksContact(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    const std::vector<PeerAddress> observers
        = responsivePeers(sync, sync.sameZone_, settings.observersPerZone_);
    return std::all_of(observers.begin(), observers.end(), [&sync](const PeerAddress &peer) {
        return peer.host_ == sync.self_ || sync.withoutContact_.contains(peer.host_);
    });
}

/// Returns the peers among which the next request chooses.
std::vector<PeerAddress> candidatePeers(const DocumentSync &sync,
                                        const DocumentSyncSettings &settings)
{
    std::vector<PeerAddress> candidates;
    if (!asksOtherZones(sync, settings))
        candidates = candidatesOfZone(sync, settings);
    if (candidates.empty())
        candidates = responsivePeers(sync, sync.otherZones_, settings.observersPerZone_);
    return candidates;
}

/// Adds up to @a count of the candidates to the peers that are asked, beginning with the one whose
/// turn it is.
void selectPeers(DocumentSync &sync, const std::vector<PeerAddress> &candidates, std::size_t count,
                 std::size_t turn, MonoTime now, std::vector<PeerAddress> &selected)
{
    count = std::min(count, candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        const PeerAddress &peer = candidates[(turn * count + i) % candidates.size()];
        // The host id of a seed is unknown, so its reply can't be matched.
        const bool sent = peer.zone_.isEmpty() || sync.unanswered_.emplace(peer.host_, now).second;
        // A second request to a peer whose reply is on its way would double a large reply.
        if (sent)
            selected.push_back(peer);
    }
}

} // namespace

DocumentSyncSettings documentSyncSettings(Millis applyTime, Millis settleTime)
{
    DocumentSyncSettings settings;
    settings.watchTimeout_ = std::max(settleTime * watchPercent / 100, Millis {1});
    settings.contactInterval_
        = std::clamp(applyTime * contactPercent / 100, Millis {1}, settings.watchTimeout_);
    // In the worst case, every other reply comes from another zone or is lost.
    const Millis usualAge
        = settings.contactInterval_ + 2 * settings.requestInterval_ + deliveryMargin;
    const Millis maxAge = std::max(applyTime - applyMargin, Millis {});
    settings.freshLifetime_ = std::min(usualAge, maxAge);
    settings.maxFollowDelay_ = std::min(settings.maxFollowDelay_, maxAge - settings.freshLifetime_);
    settings.maxConfigAge_ = applyTime;
    return settings;
}

void updateSyncPeers(DocumentSync &sync, const PeerAddress &self,
                     const std::vector<PeerAddress> &peers)
{
    sync.self_ = self.host_;
    sync.sameZone_ = {self};
    sync.otherZones_.clear();
    for (const PeerAddress &peer : peers)
        (peer.zone_ == self.zone_ ? sync.sameZone_ : sync.otherZones_).push_back(peer);
    sortByRank(sync.sameZone_, rankPurpose);
    sortByRank(sync.otherZones_, rankPurpose);
    removeUnknown(sync.silent_, peers);
    removeUnknown(sync.unanswered_, peers);
    removeUnknown(sync.withoutContact_, peers);
}

void setFeedAvailability(DocumentSync &sync, const std::string &feed, bool available, MonoTime now)
{
    if (available) {
        sync.unavailableFeeds_.erase(feed);
        return;
    }
    if (sync.unavailableFeeds_.empty())
        sync.nextRequestAt_ = now;
    sync.unavailableFeeds_.insert(feed);
}

void setFollowing(DocumentSync &sync, const DocumentSyncSettings &settings, bool follows,
                  MonoTime now)
{
    if (follows) {
        sync.replyDueAt_ = now + replyLimit(settings);
        return;
    }
    sync.replyDueAt_.reset();
    sync.unavailableFeeds_.clear();
}

void recordStoreReply(DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime knownAt,
                      MonoTime now)
{
    noteConfigKnown(sync, knownAt);
    noteHeard(sync, settings, knownAt, now);
    // A watch that ends after following was stopped says nothing about the source in use.
    if (!sync.replyDueAt_)
        return;
    sync.hadStoreReply_ = true;
    sync.replyDueAt_ = now + replyLimit(settings);
}

void recordSuspension(DocumentSync &sync, MonoTime now)
{
    if (sync.configAt_)
        sync.configAt_ = MonoTime {};
    if (sync.heardAt_)
        sync.heardAt_ = MonoTime {};
    sync.completeAt_.reset();
    // The reply of a silent peer is not counted, and the peer is probed.
    for (const auto &[host, askedAt] : sync.unanswered_)
        sync.silent_[host] = now;
    sync.unanswered_.clear();
    sync.transfer_.reset();
    sync.nextRequestAt_ = now;
}

bool isConfigCurrent(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    return !sync.configAt_ || now - *sync.configAt_ <= settings.maxConfigAge_;
}

bool isInStep(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    // A daemon without others hears from nobody while the store is away.
    if (isAlone(sync))
        return true;
    return !sync.heardAt_
        || (now - *sync.heardAt_ <= settings.maxSilence_
            && now - sync.inStepSince_ >= settings.stepDelay_);
}

bool isReplyOverdue(const DocumentSync &sync, MonoTime now)
{
    return sync.replyDueAt_ && now >= *sync.replyDueAt_;
}

void recordDocumentsRequest(DocumentSync &sync, MonoTime now)
{
    sync.requestedAt_ = now;
}

void recordDocumentsReply(DocumentSync &sync, const DocumentSyncSettings &settings,
                          const HostId &from, std::optional<Millis> contactAge, bool announces,
                          MonoTime now)
{
    // A reply may have waited at a full link, so its request is the latest time that it is known to
    // follow. That of a reply after its timeout is forgotten.
    std::optional<MonoTime> requestedAt;
    if (const auto request = sync.unanswered_.find(from); request != sync.unanswered_.end())
        requestedAt = request->second;
    else if (!sync.silent_.contains(from))
        requestedAt = now;
    sync.unanswered_.erase(from);
    sync.silent_.erase(from);
    sync.repliedAt_ = now;
    if (contactAge)
        sync.freshAt_ = std::max(sync.freshAt_.value_or(MonoTime {}), now - *contactAge);
    if (requestedAt)
        noteHeard(sync, settings, *requestedAt, now);
    if (contactAge && requestedAt) {
        const MonoTime knownAt = *requestedAt - *contactAge;
        sync.completeAt_ = std::max(sync.completeAt_.value_or(MonoTime {}), knownAt);
        if (!announces)
            noteConfigKnown(sync, knownAt);
    }
    // A daemon whose own reply is overdue looks for a peer whose reply is not.
    const Millis maxAge = lacksStore(sync, settings, now)
        ? std::min(settings.freshLifetime_, replyLimit(settings))
        : settings.freshLifetime_;
    if (contactAge && *contactAge <= maxAge) {
        sync.freshFrom_ = from;
        sync.withoutContact_.erase(from);
    } else {
        sync.withoutContact_[from] = now + settings.probeInterval_;
    }
}

bool startTransfer(DocumentSync &sync, const DocumentSyncSettings &settings, const HostId &from,
                   std::uint64_t bytes, MonoTime now)
{
    if (sync.transfer_ && now < sync.transfer_->overdueAt_)
        return false;
    const std::chrono::duration<double> time {static_cast<double>(bytes)
                                              / settings.minTransferBytesPerSecond_};
    sync.transfer_ = DocumentTransfer {
        from, now, bytes, now + settings.replyTimeout_ + std::chrono::duration_cast<Millis>(time)};
    return true;
}

std::optional<DocumentTransfer> endTransfer(DocumentSync &sync, const HostId &from,
                                            std::optional<Millis> contactAge)
{
    if (!sync.transfer_ || sync.transfer_->from_ != from)
        return std::nullopt;
    if (contactAge)
        noteConfigKnown(sync, sync.transfer_->startedAt_ - *contactAge);
    return std::exchange(sync.transfer_, std::nullopt);
}

bool followsStore(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    if (isStarting(sync, settings, now))
        return false;
    if (isAlone(sync) || isObserver(sync, settings) || wasRequested(sync, settings, now))
        return true;
    if (isFresh(sync, settings, now))
        return false;
    const bool peersReply = sync.repliedAt_ && now - *sync.repliedAt_ <= settings.freshLifetime_;
    if (!peersReply || !sync.freshAt_)
        return true;
    return now >= *sync.freshAt_ + settings.freshLifetime_ + followDelay(sync, settings);
}

bool hasStoreContact(const DocumentSync &sync, const DocumentSyncSettings &settings, MonoTime now)
{
    if (isStarting(sync, settings, now))
        return true;
    return isFresh(sync, settings, now)
        || (sync.unavailableFeeds_.empty() && followsStore(sync, settings, now));
}

std::vector<PeerAddress> nextSyncPeers(DocumentSync &sync, const DocumentSyncSettings &settings,
                                       MonoTime now)
{
    sync.startupOver_ = !isStarting(sync, settings, now);
    excludeSilentPeers(sync, settings, now);
    std::erase_if(sync.withoutContact_, [now](const auto &entry) { return entry.second <= now; });
    std::vector<PeerAddress> selected = dueProbes(sync, settings, now);
    if (now < sync.nextRequestAt_ || !needsPeers(sync, settings, now))
        return selected;
    sync.nextRequestAt_ = now + settings.requestInterval_;
    ++sync.requestCount_;
    const bool fresh = !lacksStore(sync, settings, now) && isFresh(sync, settings, now);
    const bool otherZones = asksOtherZones(sync, settings);
    // Requests to this zone and to the others take turns separately, so that each observer has its
    // turn.
    const std::size_t toOtherZones = sync.requestCount_ / settings.otherZoneEvery_;
    const std::size_t turn = otherZones ? toOtherZones : sync.requestCount_ - toOtherZones;
    const std::vector<PeerAddress> candidates = candidatePeers(sync, settings);
    selectPeers(sync, candidates, fresh ? 1 : settings.fanout_, turn, now, selected);
    // What keeps the store from replying to this daemon may concern all observers of its zone.
    if (lacksStore(sync, settings, now) && !otherZones && zoneLacksContact(sync, settings)
        && mayAskOtherZones(sync, settings))
        selectPeers(sync, responsivePeers(sync, sync.otherZones_, settings.observersPerZone_),
                    settings.fanout_, sync.requestCount_, now, selected);
    return selected;
}

std::optional<MonoTime> nextSyncTime(const DocumentSync &sync, const DocumentSyncSettings &settings)
{
    std::optional<MonoTime> next;
    const auto takeEarlier = [&next](MonoTime time) {
        next = std::min(next.value_or(time), time);
    };
    if (!sync.startupOver_)
        takeEarlier(sync.startedAt_ + settings.startupWait_);
    if (reliesOnPeers(sync, settings))
        takeEarlier(sync.nextRequestAt_);
    else if (sync.replyDueAt_ && !isAlone(sync))
        takeEarlier(std::max(*sync.replyDueAt_, sync.nextRequestAt_));
    for (const auto &[host, probeAt] : sync.silent_)
        takeEarlier(probeAt);
    return next;
}

} // namespace tamarack
