// The retry budget. Guards against retry storms, and against an account that can never retry.
#include "core/core.h"

#include <catch2/catch.hpp>

namespace tamarack {

TEST_CASE("retry budget")
{
    RetryBudget budget;
    const RetrySettings settings;
    MonoTime now {Seconds {1000}};

    SECTION("a retry storm is limited to the share of requests")
    {
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            now += Millis {1};
            creditRequest(budget, settings, now);
            for (int attempt = 0; attempt < 2; ++attempt) {
                if (isRetryAllowed(budget, settings, now)) {
                    consumeRetry(budget);
                    ++retries;
                }
            }
        }
        CHECK(retries <= 1000 * settings.share_ + settings.initial_ + 1);
        CHECK(retries >= 1000 * settings.share_ - 1);
    }
    SECTION("an account with little traffic can retry")
    {
        creditRequest(budget, settings, now);
        for (int i = 0; i < 3; ++i) {
            REQUIRE(isRetryAllowed(budget, settings, now));
            consumeRetry(budget);
        }
        CHECK_FALSE(isRetryAllowed(budget, settings, now));
        now += Seconds {10};
        CHECK(isRetryAllowed(budget, settings, now));
    }
}

} // namespace tamarack
