// Chooses the daemon that takes over requests.
#include "core/relay/takeovers.h"

#include "core/hash.h"

#include <tuple>

namespace tamarack {

const PeerAddress *chooseTakeover(const Takeovers &takeovers, const TakeoverSettings &settings,
                                  const std::vector<PeerAddress> &peers, const ZoneId &zone,
                                  const std::set<HostId> &tried, const std::string &spread,
                                  MonoTime now)
{
    const PeerAddress *best = nullptr;
    std::tuple<bool, std::uint32_t, std::uint64_t> bestRank;
    for (const PeerAddress &peer : peers) {
        if (peer.handoverAddress_.empty() || tried.contains(peer.host_)
            || isExcluded(takeovers.excluded_, peer.host_, now))
            continue;
        const auto running = takeovers.running_.find(peer.host_);
        const std::uint32_t load = (running == takeovers.running_.end() ? 0 : running->second)
            + (peer.zone_ == zone ? 0 : settings.otherZonePenalty_);
        const auto able = takeovers.ableAt_.find(peer.host_);
        const bool isUncertain
            = able == takeovers.ableAt_.end() || now - able->second > settings.ableTime_;
        const std::tuple rank {isUncertain, load, rendezvousWeight(spread, peer.host_.value_)};
        if (!best || rank < bestRank) {
            best = &peer;
            bestRank = rank;
        }
    }
    return best;
}

void recordHandedOver(Takeovers &takeovers, const HostId &host)
{
    ++takeovers.running_[host];
    ++takeovers.handedOver_;
}

void recordTakeoverEnd(Takeovers &takeovers, const TakeoverSettings &settings, const HostId &host,
                       TakeoverOutcome outcome, MonoTime now)
{
    const auto running = takeovers.running_.find(host);
    if (running != takeovers.running_.end() && --running->second == 0)
        takeovers.running_.erase(running);
    if (outcome == TakeoverOutcome::Unreachable)
        takeovers.excluded_[host] = now + settings.unreachableTime_;
    else if (outcome != TakeoverOutcome::Unknown)
        recordAbility(takeovers, settings, host, outcome == TakeoverOutcome::Unable, now);
}

void recordAbility(Takeovers &takeovers, const TakeoverSettings &settings, const HostId &host,
                   bool unable, MonoTime now)
{
    if (unable) {
        takeovers.ableAt_.erase(host);
        takeovers.excluded_[host] = now + settings.unableTime_;
    } else {
        takeovers.ableAt_[host] = now;
        takeovers.excluded_.erase(host);
    }
}

std::vector<PeerAddress> daemonsToAsk(Takeovers &takeovers, const TakeoverSettings &settings,
                                      const std::vector<PeerAddress> &peers)
{
    std::vector<PeerAddress> asked;
    removeUnknown(takeovers.ableAt_, peers);
    removeUnknown(takeovers.excluded_, peers);
    for (std::size_t i = 0; i < peers.size() && asked.size() < settings.maxAsked_; ++i) {
        const PeerAddress &peer = peers[takeovers.asked_++ % peers.size()];
        if (!peer.handoverAddress_.empty())
            asked.push_back(peer);
    }
    return asked;
}

} // namespace tamarack
