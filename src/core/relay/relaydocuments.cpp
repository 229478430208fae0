// Where a relay's documents come from: the store or peers, and what their replies show.
#include "core/relay/relayinternal.h"

#include <utility>

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

} // namespace

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

void recordReply(RelayState &state, const DocumentsReplyReceived &event, MonoTime now)
{
    recordDocumentsReply(state.sync_, state.settings_.sync_, event.from_, event.contactAge_, now);
}

void requestDocuments(RelayState &state, MonoTime now, RelayCommands &out)
{
    std::vector<PeerAddress> peers = nextSyncPeers(state.sync_, state.settings_.sync_, now);
    if (!peers.empty())
        out.emplace_back(RequestPeerDocuments {std::move(peers)});
}

void updateStoreUse(RelayState &state, MonoTime now, RelayCommands &out)
{
    const bool follows = followsStore(state.sync_, state.settings_.sync_, now);
    if (follows != state.followsStore_) {
        state.followsStore_ = follows;
        if (!follows)
            state.sync_.unavailableFeeds_.clear();
        logLine(out, LogLevel::Info, "documents.source",
                {{"follows_store", follows ? "yes" : "no"},
                 {"zone_daemons", std::to_string(state.sync_.sameZone_.size())},
                 {"silent_peers", std::to_string(state.sync_.silent_.size())},
                 {"peer_contact_age_ms", peerContactAge(state.sync_, now)}});
        out.emplace_back(SetFollowsStore {follows});
    }
    const bool contact = hasStoreContact(state.sync_, state.settings_.sync_, now);
    if (contact != state.storeContact_) {
        state.storeContact_ = contact;
        if (contact)
            endBackoff(state.prepaid_, now);
        logLine(out, contact ? LogLevel::Info : LogLevel::Warning,
                contact ? "store.contact_regained" : "store.contact_lost",
                {{"follows_store", follows ? "yes" : "no"},
                 {"peer_contact_age_ms", peerContactAge(state.sync_, now)}});
        out.emplace_back(SetStoreContact {contact});
    }
}

} // namespace tamarack::relaydetail
