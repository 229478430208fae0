// A limit on the bytes that all connections of the front end hold together. Limits for each
// connection don't bound the process: a few hundred clients within them exceed its memory.
// Internal to the front end.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace tamarack {

/// @brief The bytes that may be buffered and those that are. Written by the traffic thread only;
/// the totals are read by others.
struct BufferBudget
{
    /// 0 if there is no limit.
    std::size_t limit_ = 0;
    /// Sum of all shares.
    std::atomic<std::uint64_t> used_ = 0;
    /// Sum of the shares that were reserved for request bodies; part of used_.
    std::uint64_t reserved_ = 0;
    /// Requests that were refused because no memory was available for their body.
    std::atomic<std::uint64_t> refusals_ = 0;
};

/// @brief Part of a budget that belongs to one connection or exchange; returned on destruction.
struct BufferShare
{
    BufferBudget *budget_ = nullptr;
    std::size_t bytes_ = 0;
    /// Counts in BufferBudget::reserved_ too.
    bool reserved_ = false;

    BufferShare() = default;
    BufferShare(BufferShare &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , bytes_(std::exchange(other.bytes_, 0))
        , reserved_(std::exchange(other.reserved_, false))
    { }
    BufferShare &operator=(BufferShare &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        std::swap(reserved_, other.reserved_);
        return *this;
    }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;
    ~BufferShare()
    {
        if (!budget_)
            return;
        budget_->used_ -= bytes_;
        if (reserved_)
            budget_->reserved_ -= bytes_;
    }
};

/// @brief Sets the size of a share that follows the bytes of a buffer.
inline void setShare(BufferBudget &budget, BufferShare &share, std::size_t bytes)
{
    share.budget_ = &budget;
    budget.used_ += bytes;
    budget.used_ -= share.bytes_;
    share.bytes_ = bytes;
}

/// Fraction of the budget that request bodies may reserve. The rest is for small requests and for
/// responses, which end the requests that hold memory.
inline constexpr double reservableFraction = 0.6;
/// Above this fraction of the budget the buffers of single connections are kept short.
inline constexpr double shortageFraction = 0.75;

/// @brief Extends a reservation to @a bytes. One reservation is always granted, so that a body that
/// exceeds a small budget is not refused forever.
/// @return false if the budget doesn't permit it; the reservation is unchanged then
inline bool extendReservation(BufferBudget &budget, BufferShare &share, std::size_t bytes)
{
    if (bytes <= share.bytes_)
        return true;
    const std::uint64_t others = budget.reserved_ - share.bytes_;
    const auto reservable
        = static_cast<std::uint64_t>(static_cast<double>(budget.limit_) * reservableFraction);
    if (budget.limit_ > 0 && others > 0 && others + bytes > reservable)
        return false;
    share.reserved_ = true;
    budget.reserved_ = others + bytes;
    setShare(budget, share, bytes);
    return true;
}

/// @brief Returns how many bytes one buffer may hold: @a limit, or less when memory runs short.
inline std::size_t bufferLimit(const BufferBudget &budget, std::size_t limit)
{
    constexpr std::size_t limitInShortage = std::size_t {32} << 10U;
    const bool isShort = budget.limit_ > 0
        && static_cast<double>(budget.used_)
            > static_cast<double>(budget.limit_) * shortageFraction;
    return isShort ? std::min(limit, limitInShortage) : limit;
}

} // namespace tamarack
