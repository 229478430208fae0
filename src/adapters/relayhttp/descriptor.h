// RAII wrapper for file descriptors. Internal to the front end.
#pragma once

#include <unistd.h>

#include <utility>

namespace tamarack {

/// @brief Owns a file descriptor and closes it on destruction.
struct Descriptor
{
    int fd_ = -1;

    Descriptor() = default;
    explicit Descriptor(int fd)
        : fd_(fd)
    { }
    Descriptor(Descriptor &&other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    { }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }
};

} // namespace tamarack
