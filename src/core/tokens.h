// Arithmetic type for language-model token counts.
#pragma once

#include <compare>
#include <cstdint>

namespace tamarack {

/// @brief A signed number of tokens; the result of a subtraction may be negative.
struct Tokens
{
    std::int64_t count_ = 0;

    auto operator<=>(const Tokens &) const = default;

    Tokens &operator+=(Tokens other)
    {
        count_ += other.count_;
        return *this;
    }
    Tokens &operator-=(Tokens other)
    {
        count_ -= other.count_;
        return *this;
    }
    friend Tokens operator+(Tokens a, Tokens b) { return a += b; }
    friend Tokens operator-(Tokens a, Tokens b) { return a -= b; }
};

} // namespace tamarack
