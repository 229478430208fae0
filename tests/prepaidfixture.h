// Daemons with prepaid balances and one ledger key in memory, for unit tests without a store.
#pragma once

#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

namespace tamarack {

inline const AccountId acme {"acme"};

/// A key of the store, held in memory.
struct FakeStoreKey
{
    Revision revision_;
    std::optional<StoredValue> value_;
    /// Era that the store states in its replies.
    StoreEra era_ {};
};

inline StoreReply applyStoreCall(FakeStoreKey &storeKey, const SubmitStoreCall &call)
{
    StoreReply reply;
    reply.call_ = call.id_;
    reply.era_ = storeKey.era_;
    const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_);
    if (swap && swap->expected_ == storeKey.revision_) {
        storeKey.revision_ = Revision {storeKey.revision_.value_ + 1};
        storeKey.value_ = swap->value_;
        reply.status_ = StoreStatus::Ok;
        reply.current_.revision_ = storeKey.revision_;
        return reply;
    }
    reply.status_ = swap ? StoreStatus::Conflict : StoreStatus::Ok;
    reply.current_ = VersionedValue {storeKey.revision_, storeKey.value_};
    return reply;
}

inline RelayConfig configWith(std::uint64_t version, std::int64_t prepaid)
{
    RelayConfig config;
    config.version_ = ConfigVersion {version};
    config.accounts_[acme] = RelayAccount {acme, std::nullopt, Tokens {prepaid}};
    return config;
}

struct Daemon
{
    PrepaidState state_;
    Tokens spent_;
};

inline Daemon makeDaemon(const std::string &holder, const RelayConfig &config, MonoTime now)
{
    Daemon daemon;
    daemon.state_.holder_ = HolderId {holder};
    daemon.state_.daemons_ = 3;
    applyFunding(daemon.state_, PrepaidSettings {}, config, now);
    return daemon;
}

/// Executes all store calls that are due.
inline void runStoreCalls(Daemon &daemon, FakeStoreKey &storeKey, MonoTime now)
{
    const PrepaidSettings settings;
    for (int round = 0; round < 10; ++round) {
        const auto calls = startPrepaidCalls(daemon.state_, settings, now);
        if (calls.empty())
            return;
        for (const SubmitStoreCall &call : calls)
            finishPrepaidCall(daemon.state_, settings, applyStoreCall(storeKey, call), now);
    }
}

} // namespace tamarack
