// Worker threads that execute store calls, so that the control thread never blocks on the store.
#pragma once

#include "ports/ports.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarack {

/// @brief Worker threads and their queue. stopStoreWorkers() must be called before destruction.
struct StoreWorkers
{
    StorePort store_;
    EventPort events_;
    std::mutex mutex_;
    std::condition_variable submitted_;
    std::deque<SubmitStoreCall> queue_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

/// @brief Starts @a count threads.
void startStoreWorkers(StoreWorkers &workers, std::uint32_t count);

/// @brief Queues a call. Its reply is posted as StoreReplied.
void submitStoreCall(StoreWorkers &workers, SubmitStoreCall call);

/// @brief Waits for the calls in progress and joins the threads. Queued calls are discarded.
void stopStoreWorkers(StoreWorkers &workers);

} // namespace tamarack
