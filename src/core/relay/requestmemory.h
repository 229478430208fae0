// Memory that requests take, for budgets.
#pragma once

#include "core/relay/request.h"

#include <cstddef>
#include <string>

namespace tamarack {

/// What the allocator adds to each block.
inline constexpr std::size_t allocationBytes = 16;

/// @brief Returns the memory of a string beside the object itself.
inline std::size_t memoryOf(const std::string &text)
{
    constexpr std::size_t inPlaceBytes = 15;
    return text.capacity() > inPlaceBytes ? text.capacity() + allocationBytes : 0;
}

/// @brief Returns the memory of a request. Linear in the number of its prompt's parts.
inline std::size_t memoryOf(const RelayRequest &request)
{
    std::size_t bytes = sizeof(RelayRequest) + memoryOf(request.request_.value_)
        + memoryOf(request.host_) + memoryOf(request.path_) + memoryOf(request.key_);
    if (request.resumed_)
        bytes += memoryOf(request.resumed_->begunBy_.value_);
    if (!request.usage_)
        return bytes;
    for (const PromptPart &part : request.usage_->parts_)
        bytes += sizeof(PromptPart) + memoryOf(part.id_);
    return bytes;
}

} // namespace tamarack
