// A blocking queue for passing items between threads.
#pragma once

#include "core/time.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace tamarack {

/// @brief An item with the time at which it was posted.
template <typename Item>
struct PostedItem
{
    Item item_;
    MonoTime postedAt_ {};
};

/// @brief An unbounded queue. All functions are safe to call from any thread.
template <typename Item>
struct BlockingQueue
{
    std::mutex mutex_;
    std::condition_variable posted_;
    std::deque<PostedItem<Item>> items_;
};

/// @brief Appends an item and wakes one waiting thread.
template <typename Item>
void post(BlockingQueue<Item> &queue, Item item)
{
    {
        const std::lock_guard lock(queue.mutex_);
        queue.items_.push_back({std::move(item), std::chrono::steady_clock::now()});
    }
    queue.posted_.notify_one();
}

/// @brief Removes the first item. Blocks until there is one or @a deadline passes.
/// @param deadline nothing to wait without a limit
/// @return nothing if the deadline passed
template <typename Item>
std::optional<PostedItem<Item>> takePosted(BlockingQueue<Item> &queue,
                                           std::optional<MonoTime> deadline)
{
    std::unique_lock lock(queue.mutex_);
    const auto hasItem = [&queue] {
        return !queue.items_.empty();
    };
    if (!deadline)
        queue.posted_.wait(lock, hasItem);
    else if (!queue.posted_.wait_until(lock, *deadline, hasItem))
        return std::nullopt;
    PostedItem<Item> item = std::move(queue.items_.front());
    queue.items_.pop_front();
    return item;
}

/// @brief Like takePosted(), without the time.
template <typename Item>
std::optional<Item> take(BlockingQueue<Item> &queue, std::optional<MonoTime> deadline)
{
    std::optional<PostedItem<Item>> posted = takePosted(queue, deadline);
    if (!posted)
        return std::nullopt;
    return std::move(posted->item_);
}

} // namespace tamarack
