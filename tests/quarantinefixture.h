// A fleet of daemons that exchange reports of crashes, for unit tests without a network.
#pragma once

#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

using RequestParts = std::vector<std::string>;

struct QuarantineMessage
{
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    QuarantineReport report_;
};

struct QuarantineFleet
{
    QuarantineScope scope_ = QuarantineScope::PromptParts;
    QuarantineSettings settings_;
    std::vector<Quarantine> daemons_;
    std::deque<QuarantineMessage> messages_;
    MonoTime now_ {Seconds {1000}};
    /// Daemons without contact to the others.
    std::set<std::size_t> cutOff_;
    /// Every third message is lost and every third is delivered twice.
    bool lossy_ = false;
    std::size_t sent_ = 0;
    /// Number of parts in the largest report that was sent.
    std::size_t largestReport_ = 0;
};

inline PeerAddress quarantinePeer(std::size_t index)
{
    const std::string name = std::to_string(index);
    return PeerAddress {HostId {"h" + name}, ZoneId {"z" + std::to_string(index % 5)}, name, 0};
}

inline void restart(QuarantineFleet &fleet, std::size_t index)
{
    std::vector<PeerAddress> peers;
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
        if (i != index)
            peers.push_back(quarantinePeer(i));
    }
    Quarantine &daemon = fleet.daemons_[index] = makeQuarantine(fleet.scope_);
    daemon.address_ = std::to_string(index);
    updateQuarantinePeers(daemon, quarantinePeer(index), peers, fleet.now_);
}

inline QuarantineFleet makeQuarantineFleet(std::size_t size,
                                           QuarantineScope scope = QuarantineScope::PromptParts)
{
    QuarantineFleet fleet;
    fleet.scope_ = scope;
    if (scope == QuarantineScope::Requests)
        fleet.settings_ = requestQuarantineSettings();
    fleet.daemons_.resize(size);
    for (std::size_t i = 0; i < size; ++i)
        restart(fleet, i);
    return fleet;
}

inline void sendReport(QuarantineFleet &fleet, std::size_t from, const std::string &to,
                       QuarantineReport report)
{
    ++fleet.sent_;
    std::size_t parts = 0;
    for (const ReportedCrash &reported : report.crashes_)
        parts += reported.suspects_.size() + reported.cleared_.size();
    fleet.largestReport_ = std::max(fleet.largestReport_, parts);
    if (fleet.lossy_ && fleet.sent_ % 3 == 0)
        return;
    const QuarantineMessage message {from, std::stoul(to), std::move(report)};
    fleet.messages_.push_back(message);
    if (fleet.lossy_ && fleet.sent_ % 3 == 1)
        fleet.messages_.push_back(message);
}

/// Delivers the messages in flight; replies are delivered in the next step.
inline void deliverReports(QuarantineFleet &fleet)
{
    for (const QuarantineMessage &message : std::exchange(fleet.messages_, {})) {
        if (fleet.cutOff_.contains(message.from_) || fleet.cutOff_.contains(message.to_))
            continue;
        std::optional<QuarantineReport> reply = mergeReport(
            fleet.daemons_[message.to_], fleet.settings_, message.report_, fleet.now_);
        if (reply)
            sendReport(fleet, message.to_, message.report_.replyAddress_, std::move(*reply));
    }
}

inline void passTime(QuarantineFleet &fleet, Millis time)
{
    constexpr Millis step {20};
    for (const MonoTime end = fleet.now_ + time; fleet.now_ < end;) {
        fleet.now_ += step;
        deliverReports(fleet);
        for (std::size_t i = 0; i < fleet.daemons_.size(); ++i) {
            for (OutgoingReport &due : dueReports(fleet.daemons_[i], fleet.settings_, fleet.now_))
                sendReport(fleet, i, due.peer_.address_, std::move(due.report_));
        }
    }
}

inline RelayRequest requestWithParts(const RequestParts &parts)
{
    RelayRequest request;
    request.usage_ = PromptUsage {};
    for (const std::string &part : parts)
        request.usage_->parts_.push_back(PromptPart {part, Tokens {100}});
    return request;
}

inline void crash(QuarantineFleet &fleet, std::size_t daemon, const std::string &instance,
                  const RequestParts &parts, const std::string &address = {})
{
    recordCrash(fleet.daemons_[daemon], fleet.settings_,
                InstanceProcess {UpstreamId {instance}, WallTime {Millis {1}}},
                address.empty() ? instance + ":80" : address, sharedParts(requestWithParts(parts)),
                fleet.now_);
}

inline bool survive(QuarantineFleet &fleet, std::size_t daemon, const std::string &instance,
                    Millis sentBefore)
{
    return recordSurvival(fleet.daemons_[daemon], fleet.settings_,
                          InstanceProcess {UpstreamId {instance}, WallTime {Millis {1}}},
                          fleet.now_ - sentBefore, fleet.now_);
}

inline void respond(QuarantineFleet &fleet, std::size_t daemon, const RequestParts &parts)
{
    recordResponse(fleet.daemons_[daemon], fleet.settings_, sharedParts(requestWithParts(parts)),
                   fleet.now_);
}

inline bool refuses(QuarantineFleet &fleet, std::size_t daemon, const RequestParts &parts)
{
    return checkQuarantine(fleet.daemons_[daemon], fleet.settings_,
                           sharedParts(requestWithParts(parts)), fleet.now_)
               .decision_
        == QuarantineDecision::Refuse;
}

/// Time within which each daemon must refuse a part after its fifth crash.
inline constexpr Millis bound {3000};

inline RequestParts soundRequest(int number)
{
    return {"system", "template", "sound" + std::to_string(number % 40),
            "own" + std::to_string(number)};
}

/// Sound requests at all daemons, which are answered.
inline void serveSoundRequests(QuarantineFleet &fleet, int count)
{
    for (int i = 0; i < count; ++i)
        respond(fleet, static_cast<std::size_t>(i) * 7 % fleet.daemons_.size(), soundRequest(i));
}

inline std::size_t countRefusing(QuarantineFleet &fleet, const RequestParts &parts)
{
    std::size_t refusing = 0;
    for (std::size_t i = 0; i < fleet.daemons_.size(); ++i)
        refusing += refuses(fleet, i, parts) ? 1 : 0;
    return refusing;
}

} // namespace tamarack
