// The store port over the v3 JSON gateway of etcd.
// Source: etcd documentation, "Why gRPC gateway", API v3 (range, txn, lease, watch).
#pragma once

#include "ports/store.h"

#include <string>
#include <vector>

namespace tamarack {

/// @brief Connection settings of the store.
struct EtcdSettings
{
    /// "IP:port" of each etcd member; a call goes to the first that accepts a connection.
    std::vector<std::string> endpoints_;
    /// Timeout of one call.
    Millis timeout_ {1000};
};

/// @brief Returns a store port that calls etcd. Its functions block and are safe to call from any
/// thread.
StorePort makeEtcdStorePort(EtcdSettings settings);

} // namespace tamarack
