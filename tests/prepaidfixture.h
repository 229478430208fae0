// Daemons with prepaid balances and one ledger key, for unit tests without a store.
#pragma once

#include "core/relay/relay.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

namespace tamarack {

inline const AccountId acme {"acme"};

/// The ledger's key in the store.
struct Cell
{
    Revision revision_;
    std::optional<StoredValue> value_;
};

inline StoreReply carryOut(Cell &cell, const SubmitStoreCall &call)
{
    StoreReply reply;
    reply.call_ = call.id_;
    const auto *swap = std::get_if<CompareAndSwapCall>(&call.call_);
    if (swap && swap->expected_ == cell.revision_) {
        cell.revision_ = Revision {cell.revision_.value_ + 1};
        cell.value_ = swap->value_;
        reply.status_ = StoreStatus::Ok;
        reply.current_.revision_ = cell.revision_;
        return reply;
    }
    reply.status_ = swap ? StoreStatus::Conflict : StoreStatus::Ok;
    reply.current_ = VersionedValue {cell.revision_, cell.value_};
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
    fundAccounts(daemon.state_, PrepaidSettings {}, config, now);
    return daemon;
}

/// Carries out all due calls.
inline void settle(Daemon &daemon, Cell &cell, MonoTime now)
{
    const PrepaidSettings settings;
    for (int round = 0; round < 10; ++round) {
        const auto calls = startPrepaidCalls(daemon.state_, settings, now);
        if (calls.empty())
            return;
        for (const SubmitStoreCall &call : calls)
            finishPrepaidCall(daemon.state_, settings, carryOut(cell, call), now);
    }
}

} // namespace tamarack
