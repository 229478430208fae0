// A limit on the memory that all connections of the front end hold together. Limits for each
// connection don't bound the process: a few hundred clients within them exceed its memory.
// Internal to the front end.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace tamarack {

/// @brief What memory is held for.
enum class MemoryKind {
    Connections,
    Requests,
    Responses,
};
inline constexpr std::size_t memoryKinds = 3;

/// @brief The bytes that may be buffered and those that are. Written by the traffic thread only;
/// the totals are read by others.
struct BufferBudget
{
    /// 0 if there is no limit.
    std::size_t limit_ = 0;
    /// Sum of all shares.
    std::atomic<std::uint64_t> used_ = 0;
    /// The same by kind.
    std::array<std::atomic<std::uint64_t>, memoryKinds> usedByKind_ {};
    /// Sum of the shares that were reserved for request bodies; part of used_.
    std::uint64_t reserved_ = 0;
    /// Requests that were refused because no memory was available for their body.
    std::atomic<std::uint64_t> refusals_ = 0;
    /// Idle connections that were closed to make room for new ones.
    std::atomic<std::uint64_t> idleClosed_ = 0;
    /// Connections that were closed because the client did not read its response.
    std::atomic<std::uint64_t> unreadClosed_ = 0;
};

/// @brief Adds a number of bytes, which may be negative.
inline void changeUse(BufferBudget &budget, MemoryKind kind, std::int64_t bytes)
{
    budget.used_ += static_cast<std::uint64_t>(bytes);
    budget.usedByKind_[static_cast<std::size_t>(kind)] += static_cast<std::uint64_t>(bytes);
}

/// @brief Part of a budget that belongs to one connection or exchange; returned on destruction.
struct BufferShare
{
    BufferBudget *budget_ = nullptr;
    std::size_t bytes_ = 0;
    MemoryKind kind_ = MemoryKind::Requests;
    /// Counts in BufferBudget::reserved_ too.
    bool reserved_ = false;

    BufferShare() = default;
    BufferShare(BufferShare &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , bytes_(std::exchange(other.bytes_, 0))
        , kind_(other.kind_)
        , reserved_(std::exchange(other.reserved_, false))
    { }
    BufferShare &operator=(BufferShare &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        std::swap(kind_, other.kind_);
        std::swap(reserved_, other.reserved_);
        return *this;
    }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;
    ~BufferShare()
    {
        if (!budget_)
            return;
        changeUse(*budget_, kind_, -static_cast<std::int64_t>(bytes_));
        if (reserved_)
            budget_->reserved_ -= bytes_;
    }
};

/// @brief Sets the size of a share that follows the bytes of a buffer. A share keeps its kind.
inline void setShare(BufferBudget &budget, BufferShare &share, MemoryKind kind, std::size_t bytes)
{
    share.budget_ = &budget;
    share.kind_ = kind;
    changeUse(budget, kind,
              static_cast<std::int64_t>(bytes) - static_cast<std::int64_t>(share.bytes_));
    share.bytes_ = bytes;
}

/// Fraction of the budget that request bodies may reserve. The rest is for small requests and for
/// responses, which end the requests that hold memory.
inline constexpr double reservableFraction = 0.6;
/// Above this fraction of the budget the buffers of single connections are kept short.
inline constexpr double shortageFraction = 0.75;
/// Above this fraction of the budget nothing more is read from clients until memory is free again.
/// The rest is for what is read before the use is counted again.
inline constexpr double fullFraction = 0.9;

/// @brief Returns whether more than a fraction of the budget is used.
inline bool usesMoreThan(const BufferBudget &budget, double fraction)
{
    return budget.limit_ > 0
        && static_cast<double>(budget.used_) > static_cast<double>(budget.limit_) * fraction;
}

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
    setShare(budget, share, MemoryKind::Requests, bytes);
    return true;
}

/// @brief Returns how many bytes one buffer may hold: @a limit, or less when memory runs short.
inline std::size_t bufferLimit(const BufferBudget &budget, std::size_t limit)
{
    constexpr std::size_t limitInShortage = std::size_t {32} << 10U;
    constexpr std::size_t limitWhenFull = std::size_t {4} << 10U;
    if (usesMoreThan(budget, fullFraction))
        return std::min(limit, limitWhenFull);
    return usesMoreThan(budget, shortageFraction) ? std::min(limit, limitInShortage) : limit;
}

} // namespace tamarack
