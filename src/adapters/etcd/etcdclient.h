// Calls to the key-value store by the v3 JSON gateway.
// Source: etcd documentation, "Why gRPC gateway", API v3 (range, txn, lease, watch).
#pragma once

#include "ports/store.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief How to reach the store.
struct EtcdSettings
{
    /// "IP:port" of each member; a call goes to the first that accepts a connection.
    std::vector<std::string> endpoints_;
    /// Longest time for one call.
    Millis timeout_ {1000};
};

/// @brief Returns a port that talks to the store.
StorePort makeEtcdPort(EtcdSettings settings);

} // namespace tamarack
