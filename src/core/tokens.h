// Amounts of language-model tokens.
#pragma once

#include <compare>
#include <cstdint>

namespace tamarack {

/// @brief A number of tokens. Differences may be negative.
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
