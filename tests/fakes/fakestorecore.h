// The key-value store of fake-store, so that tests can run it on a thread of their own.
#pragma once

#include "fakes/fakehttp.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tamarack::fakes {

struct StoreEntry
{
    std::string value_;
    std::uint64_t modRevision_ = 0;
    std::uint64_t createRevision_ = 0;
    std::string lease_;
};

struct StoreLease
{
    std::chrono::seconds timeToLive_ {};
    std::chrono::steady_clock::time_point expiresAt_;
};

/// @brief A deleted key, so that watches can report it.
struct StoreDeletion
{
    std::string key_;
    std::uint64_t revision_ = 0;
};

/// @brief The store and its faults.
struct Store
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoreEntry> entries_;
    std::map<std::string, StoreLease> leases_;
    std::vector<StoreDeletion> deletions_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLeaseId_ = 0;
    /// "none", "down" (503 without effect), "lose-answer" (effect, then the connection closes),
    /// "slow" (effect, answer after delay_), "malformed", "wrong-types" or "silent-watch".
    std::string mode_ = "none";
    std::chrono::milliseconds delay_ {0};
    /// Ends watches, so that the store can be destroyed.
    bool stopping_ = false;
    /// Calls by path.
    std::map<std::string, std::uint64_t> calls_;
};

/// @brief Answers a call of the gateway, POST /faults or GET /calls.
void handleStoreCall(Store &store, Poco::Net::HTTPServerRequest &request,
                     Poco::Net::HTTPServerResponse &response);

} // namespace tamarack::fakes
