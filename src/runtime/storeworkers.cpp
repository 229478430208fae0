// Worker threads that execute store calls.
#include "runtime/storeworkers.h"

namespace tamarack {

namespace {

void runWorker(StoreWorkers &workers)
{
    std::unique_lock lock(workers.mutex_);
    while (true) {
        workers.submitted_.wait(
            lock, [&workers] { return workers.stopping_ || !workers.queue_.empty(); });
        if (workers.stopping_)
            return;
        const SubmitStoreCall call = std::move(workers.queue_.front());
        workers.queue_.pop_front();
        lock.unlock();
        StoreReply reply = workers.store_.call_(call.call_);
        reply.call_ = call.id_;
        workers.events_.post_(StoreReplied {std::move(reply)});
        lock.lock();
    }
}

} // namespace

void startStoreWorkers(StoreWorkers &workers, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i)
        workers.threads_.emplace_back(runWorker, std::ref(workers));
}

void submitStoreCall(StoreWorkers &workers, SubmitStoreCall call)
{
    {
        const std::lock_guard lock(workers.mutex_);
        workers.queue_.push_back(std::move(call));
    }
    workers.submitted_.notify_one();
}

void stopStoreWorkers(StoreWorkers &workers)
{
    {
        const std::lock_guard lock(workers.mutex_);
        workers.stopping_ = true;
    }
    workers.submitted_.notify_all();
    for (std::thread &thread : workers.threads_)
        thread.join();
    workers.threads_.clear();
}

} // namespace tamarack
