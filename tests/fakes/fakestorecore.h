// In-memory fake of etcd's v3 JSON gateway with fault injection. Runs in fake-store or inside a
// test process.
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

/// @brief A deleted key, kept so that watches can report the deletion.
struct StoreDeletion
{
    std::string key_;
    std::uint64_t revision_ = 0;
};

/// @brief The store and the fault to inject.
struct Store
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoreEntry> entries_;
    std::map<std::string, StoreLease> leases_;
    std::vector<StoreDeletion> deletions_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLeaseId_ = 0;
    /// The fault: "none", "down" (responds 503 without executing the request), "lose-answer"
    /// (executes it and closes the connection without a response), "slow" (executes it and responds
    /// after delay_), "malformed" (responds with truncated JSON), "wrong-types" (responds with JSON
    /// values of the wrong types) or "silent-watch" (watches report no events).
    std::string mode_ = "none";
    std::chrono::milliseconds delay_ {0};
    /// Ends all watches, so that the store can be destroyed.
    bool stopping_ = false;
    /// Number of calls by path.
    std::map<std::string, std::uint64_t> calls_;
};

/// @brief Handles a request to the JSON gateway, POST /faults or GET /calls.
void handleStoreRequest(Store &store, Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response);

} // namespace tamarack::fakes
