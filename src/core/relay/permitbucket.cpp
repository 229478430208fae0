// Token bucket from which permits are granted.
#include "core/relay/permitbucket.h"

#include <algorithm>

namespace tamarack {

std::optional<Millis> takePermit(TokenBucket &bucket, const PermitAllowance &allowance,
                                 Millis maxRetryAfter, MonoTime now)
{
    using FractionalSeconds = std::chrono::duration<double>;
    const double rate = allowance.perSecond_;
    const double elapsed = FractionalSeconds {now - bucket.refilledAt_}.count();
    bucket.available_ = std::min(bucket.available_ + elapsed * rate, allowance.capacity_);
    bucket.refilledAt_ = now;
    if (bucket.available_ >= 1.0) {
        bucket.available_ -= 1.0;
        return std::nullopt;
    }
    const auto timeFor = [rate](double permits) {
        return std::chrono::duration_cast<MonoTime::duration>(FractionalSeconds {permits / rate});
    };
    const MonoTime retryAt = std::max(bucket.nextRetryAt_, now + timeFor(1.0 - bucket.available_));
    const MonoTime latest = now + maxRetryAfter;
    bucket.nextRetryAt_ = std::min(retryAt + timeFor(1.0), latest);
    return std::max(std::chrono::ceil<Millis>(std::min(retryAt, latest) - now), Millis {1});
}

} // namespace tamarack
