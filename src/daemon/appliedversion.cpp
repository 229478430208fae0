// The bundle version that the control thread has applied.
#include "daemon/appliedversion.h"

namespace tamarack {

void setAppliedVersion(AppliedVersion &applied, BundleVersion version)
{
    {
        const std::lock_guard lock(applied.mutex_);
        applied.version_ = version;
    }
    applied.changed_.notify_all();
}

BundleVersion awaitAppliedVersion(AppliedVersion &applied, BundleVersion version, Millis limit)
{
    std::unique_lock lock(applied.mutex_);
    applied.changed_.wait_for(lock, limit,
                              [&applied, version] { return applied.version_ >= version; });
    return applied.version_;
}

} // namespace tamarack
