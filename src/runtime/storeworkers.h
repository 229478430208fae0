// Threads that carry out calls to the store, so that the control thread never waits for it.
#pragma once

#include "ports/ports.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace tamarack {

/// @brief Worker threads and their queue. Joined by stopStoreWorkers().
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

/// @brief Queues a call; its reply is posted as StoreReplied.
void submitStoreCall(StoreWorkers &workers, SubmitStoreCall call);

/// @brief Finishes the calls that are being carried out and joins the threads.
void stopStoreWorkers(StoreWorkers &workers);

} // namespace tamarack
