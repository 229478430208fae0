// Memory of where streams began. Guards against a stream that continues at another software version
// because a daemon forgot it, confused it with another one, or was told two versions.
#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace tamarack {

namespace {

const StreamOriginSettings settings;
const MonoTime start {Seconds {1000}};
const ServedVersion old {ServiceId {"llm"}, SoftwareVersion {"v1"}};
const ServedVersion newer {ServiceId {"llm"}, SoftwareVersion {"v2"}};

StreamBegan began(const std::string &attempt, const ServedVersion &origin,
                  Millis lifetime = Seconds {4})
{
    return StreamBegan {streamKey(RequestId {attempt}), origin, lifetime};
}

std::vector<PeerAddress> peersOf(const std::string &self, int count)
{
    std::vector<PeerAddress> peers;
    for (int i = 0; i < count; ++i) {
        const std::string host = "h" + std::to_string(i);
        if (host != self)
            peers.push_back(PeerAddress {HostId {host}, ZoneId {"z"}, host + ":1", 0});
    }
    return peers;
}

} // namespace

TEST_CASE("a stream is known until its client has stopped waiting")
{
    StreamOrigins origins;
    const StreamKey stream = streamKey(RequestId {"a"});
    CHECK(findOrigin(origins, stream, start).knowledge_ == OriginKnowledge::Unknown);
    rememberStream(origins, settings, began("a", old), start);
    const StreamOriginReply reply = findOrigin(origins, stream, start + Millis {3999});
    CHECK(reply.knowledge_ == OriginKnowledge::Known);
    CHECK(reply.origin_ == old);
    CHECK(findOrigin(origins, streamKey(RequestId {"b"}), start).knowledge_
          == OriginKnowledge::Unknown);
    CHECK(findOrigin(origins, stream, start + Seconds {4}).knowledge_ == OriginKnowledge::Unknown);
}

TEST_CASE("a stream that is told again is known for longer")
{
    StreamOrigins origins;
    rememberStream(origins, settings, began("a", old), start);
    rememberStream(origins, settings, began("a", old), start + Seconds {3});
    // Expired streams are removed when another one is remembered.
    rememberStream(origins, settings, began("b", old), start + Seconds {5});
    CHECK(findOrigin(origins, streamKey(RequestId {"a"}), start + Seconds {6}).knowledge_
          == OriginKnowledge::Known);
    CHECK(origins.streams_.size() == origins.expiry_.size());
}

TEST_CASE("a stream for which two versions were told belongs to neither")
{
    StreamOrigins origins;
    rememberStream(origins, settings, began("a", old), start);
    rememberStream(origins, settings, began("a", newer), start);
    rememberStream(origins, settings, began("a", old), start);
    CHECK(findOrigin(origins, streamKey(RequestId {"a"}), start).knowledge_
          == OriginKnowledge::Contradictory);
}

TEST_CASE("a stream that is told without a version belongs to none")
{
    StreamOrigins origins;
    const ServedVersion unknown {ServiceId {"llm"}, SoftwareVersion {}};
    rememberStream(origins, settings, began("a", unknown), start);
    CHECK(findOrigin(origins, streamKey(RequestId {"a"}), start).knowledge_
          == OriginKnowledge::Contradictory);
}

TEST_CASE("streams that began at a process that was taken for another one become uncertain")
{
    StreamOrigins origins;
    const UpstreamId e1 {"e1"};
    rememberOwnStream(origins, settings, began("before", old), e1, start);
    rememberOwnStream(origins, settings, began("after", old), e1, start + Seconds {1});
    rememberOwnStream(origins, settings, began("other", old), UpstreamId {"e2"},
                      start + Seconds {1});
    const auto doubted = doubtStreams(origins, e1, start + Millis {500}, start + Seconds {2});
    REQUIRE(doubted.size() == 1);
    CHECK(doubted[0].stream_ == streamKey(RequestId {"after"}));
    CHECK(doubted[0].origin_.version_.isEmpty());
    CHECK(doubted[0].lifetime_ == Seconds {3});
    const auto knowledge = [&](const std::string &attempt) {
        return findOrigin(origins, streamKey(RequestId {attempt}), start + Seconds {2}).knowledge_;
    };
    CHECK(knowledge("before") == OriginKnowledge::Known);
    CHECK(knowledge("after") == OriginKnowledge::Contradictory);
    CHECK(knowledge("other") == OriginKnowledge::Known);
}

TEST_CASE("the memory of streams is bounded, and those that end first are forgotten first")
{
    StreamOrigins origins;
    StreamOriginSettings few;
    few.maxStreams_ = 100;
    for (int i = 0; i < 1000; ++i)
        rememberStream(origins, few, began(std::to_string(i), old, Millis {10'000 + i}), start);
    CHECK(origins.streams_.size() == 100);
    CHECK(origins.expiry_.size() == 100);
    CHECK(findOrigin(origins, streamKey(RequestId {"999"}), start).knowledge_
          == OriginKnowledge::Known);
    // A client cannot keep its entry for longer.
    rememberStream(origins, few, began("x", old, Millis {1'000'000'000}), start);
    CHECK(findOrigin(origins, streamKey(RequestId {"x"}), start + few.maxLifetime_).knowledge_
          == OriginKnowledge::Unknown);
}

TEST_CASE("all daemons select the same keepers of a stream")
{
    for (int stream = 0; stream < 50; ++stream) {
        const StreamKey key = streamKey(RequestId {std::to_string(stream)});
        std::set<std::string> all;
        for (int host = 0; host < 8; ++host) {
            const HostId self {"h" + std::to_string(host)};
            std::set<std::string> keepers;
            for (const PeerAddress &keeper : keepersOf(key, self, peersOf(self.value_, 8), 3)) {
                CHECK(keeper.host_ != self);
                CHECK(keeper.address_ == keeper.host_.value_ + ":1");
                keepers.insert(keeper.host_.value_);
            }
            if (keepers.size() == 2)
                keepers.insert(self.value_);
            if (all.empty())
                all = keepers;
            CHECK(keepers == all);
        }
        CHECK(all.size() == 3);
    }
    CHECK(keepersOf(StreamKey {1}, HostId {"h0"}, {}, 3).empty());
}

} // namespace tamarack
