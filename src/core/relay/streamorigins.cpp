// Remembers where streams began.
#include "core/relay/streamorigins.h"

#include "core/hash.h"

#include <algorithm>
#include <string>

namespace tamarack {

namespace {

void forget(StreamOrigins &origins, std::set<std::pair<MonoTime, StreamKey>>::iterator entry)
{
    origins.streams_.erase(entry->second);
    origins.expiry_.erase(entry);
}

void forgetExpired(StreamOrigins &origins, MonoTime now)
{
    while (!origins.expiry_.empty() && origins.expiry_.begin()->first <= now)
        forget(origins, origins.expiry_.begin());
}

RememberedStream &remember(StreamOrigins &origins, const StreamOriginSettings &settings,
                           const StreamBegan &began, MonoTime now)
{
    forgetExpired(origins, now);
    const auto known = origins.streams_.find(began.stream_);
    const bool added = known == origins.streams_.end();
    if (added && origins.streams_.size() >= settings.maxStreams_)
        forget(origins, origins.expiry_.begin());
    RememberedStream &stream = origins.streams_[began.stream_];
    if (added)
        stream.origin_ = began.origin_;
    else
        origins.expiry_.erase({stream.until_, began.stream_});
    if (stream.origin_ != began.origin_ || began.origin_.version_.isEmpty())
        stream.contradictory_ = true;
    const Millis lifetime = std::clamp(began.lifetime_, Millis {}, settings.maxLifetime_);
    stream.until_ = std::max(stream.until_, now + lifetime);
    origins.expiry_.emplace(stream.until_, began.stream_);
    return stream;
}

} // namespace

StreamKey streamKey(const RequestId &begunBy)
{
    return StreamKey {hash64(begunBy.value_)};
}

void rememberStream(StreamOrigins &origins, const StreamOriginSettings &settings,
                    const StreamBegan &began, MonoTime now)
{
    remember(origins, settings, began, now);
}

void rememberOwnStream(StreamOrigins &origins, const StreamOriginSettings &settings,
                       const StreamBegan &began, const UpstreamId &instance, MonoTime now)
{
    RememberedStream &stream = remember(origins, settings, began, now);
    stream.instance_ = instance;
    stream.begunAt_ = now;
}

StreamOriginReply findOrigin(const StreamOrigins &origins, StreamKey stream, MonoTime now)
{
    const auto known = origins.streams_.find(stream);
    if (known == origins.streams_.end() || known->second.until_ <= now)
        return StreamOriginReply {stream, OriginKnowledge::Unknown, {}};
    if (known->second.contradictory_)
        return StreamOriginReply {stream, OriginKnowledge::Contradictory, {}};
    return StreamOriginReply {stream, OriginKnowledge::Known, known->second.origin_};
}

std::vector<StreamBegan> doubtStreams(StreamOrigins &origins, const UpstreamId &instance,
                                      MonoTime since, MonoTime now)
{
    std::vector<StreamBegan> doubted;
    for (auto &[key, stream] : origins.streams_) {
        if (stream.instance_ != instance || stream.begunAt_ < since || stream.until_ <= now)
            continue;
        stream.contradictory_ = true;
        doubted.push_back(StreamBegan {
            key, {stream.origin_.service_, {}}, std::chrono::ceil<Millis>(stream.until_ - now)});
    }
    return doubted;
}

std::vector<StreamBegan> ownStreams(const StreamOrigins &origins, const ServiceId &service,
                                    MonoTime now)
{
    std::vector<StreamBegan> own;
    for (const auto &[key, stream] : origins.streams_) {
        if (stream.instance_.isEmpty() || stream.origin_.service_ != service
            || stream.until_ <= now)
            continue;
        ServedVersion origin = stream.origin_;
        if (stream.contradictory_)
            origin.version_ = {};
        own.push_back(StreamBegan {key, origin, std::chrono::ceil<Millis>(stream.until_ - now)});
    }
    return own;
}

std::vector<PeerAddress> keepersOf(StreamKey stream, const HostId &self,
                                   std::vector<PeerAddress> peers, std::size_t copies)
{
    peers.push_back(PeerAddress {self, {}, {}, 0});
    const std::string key = std::to_string(stream.value_);
    const auto isBefore = [&key](const PeerAddress &a, const PeerAddress &b) {
        const std::uint64_t weightA = rendezvousWeight(key, a.host_.value_);
        const std::uint64_t weightB = rendezvousWeight(key, b.host_.value_);
        return weightA != weightB ? weightA > weightB : a.host_ < b.host_;
    };
    const auto last = peers.begin() + static_cast<std::ptrdiff_t>(std::min(copies, peers.size()));
    std::partial_sort(peers.begin(), last, peers.end(), isBefore);
    peers.erase(last, peers.end());
    std::erase_if(peers, [&self](const PeerAddress &peer) { return peer.host_ == self; });
    return peers;
}

} // namespace tamarack
