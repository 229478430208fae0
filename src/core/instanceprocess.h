// Identifies one process of an upstream instance. An instance may restart under the same id.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <compare>

namespace tamarack {

struct InstanceProcess
{
    UpstreamId instance_;
    WallTime startedAt_ {};

    auto operator<=>(const InstanceProcess &) const = default;
};

} // namespace tamarack
