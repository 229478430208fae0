// Operations of ledger shards. Guards against overspend by repeated, reordered or late operations.
#include "core/core.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

const BudgetId budget {"b"};
const GrantId grantA {"a.1"};
const GrantId grantB {"b.1"};

LedgerShard fundedShard(std::int64_t tokens)
{
    LedgerShard shard;
    applyOp(shard, LedgerOp {FundOp {budget, Tokens {tokens}, BundleVersion {1}}});
    return shard;
}

DrawOp draw(const GrantId &grant, std::int64_t armed, std::int64_t atLeast = 0,
            std::int64_t reserve = 0)
{
    return DrawOp {budget,           grant,           HolderId {"h"}, Tokens {armed},
                   Tokens {atLeast}, Tokens {reserve}};
}

} // namespace

TEST_CASE("ledger")
{
    LedgerShard shard = fundedShard(100);
    BudgetRecord &record = shard.budgets_.at(budget);

    SECTION("a draw never exceeds what is unallocated")
    {
        applyOp(shard, draw(grantA, 70));
        applyOp(shard, draw(grantB, 70));
        CHECK(record.grants_.at(grantB).authorized_ == Tokens {30});
        CHECK(checkInvariants(shard));
    }
    SECTION("a draw that cannot reach its minimum takes nothing")
    {
        applyOp(shard, draw(grantA, 70));
        CHECK_FALSE(applyOp(shard, draw(grantB, 50, 50)));
        CHECK_FALSE(record.grants_.contains(grantB));
    }
    SECTION("repeating an operation changes nothing")
    {
        applyOp(shard, draw(grantA, 50, 0, 20));
        CHECK_FALSE(applyOp(shard, draw(grantA, 50, 0, 20)));
        applyOp(shard, SettleOp {budget, grantA, Tokens {10}});
        CHECK_FALSE(applyOp(shard, SettleOp {budget, grantA, Tokens {10}}));
        CHECK(record.charged_ == Tokens {10});
    }
    SECTION("reordered settlements count once")
    {
        applyOp(shard, draw(grantA, 50));
        applyOp(shard, SettleOp {budget, grantA, Tokens {30}});
        applyOp(shard, SettleOp {budget, grantA, Tokens {10}});
        CHECK(record.charged_ == Tokens {30});
    }
    SECTION("a release frees what was not spent")
    {
        applyOp(shard, draw(grantA, 50));
        applyOp(shard, ReleaseOp {budget, grantA, Tokens {20}});
        CHECK(record.charged_ == Tokens {20});
        CHECK(unallocatedTokens(record) == Tokens {80});
    }
    SECTION("the armed rest of a dead holder is lost and not granted again")
    {
        applyOp(shard, draw(grantA, 60, 0, 20));
        applyOp(shard, SettleOp {budget, grantA, Tokens {10}});
        applyOp(shard, WriteOffOp {budget, grantA});
        CHECK(lostTokens(record) == Tokens {50});
        CHECK(unallocatedTokens(record) == Tokens {40});
        SECTION("a holder that was only paused settles exactly")
        {
            applyOp(shard, SettleOp {budget, grantA, Tokens {45}});
            CHECK(record.charged_ == Tokens {45});
            CHECK(lostTokens(record) == Tokens {15});
        }
        SECTION("a holder that was only paused draws no more from that grant")
        {
            CHECK_FALSE(applyOp(shard, draw(grantA, 90)));
        }
    }
    SECTION("funding is cumulative and older versions have no effect")
    {
        applyOp(shard, FundOp {budget, Tokens {300}, BundleVersion {3}});
        CHECK_FALSE(applyOp(shard, FundOp {budget, Tokens {200}, BundleVersion {2}}));
        CHECK(record.funded_ == Tokens {300});
    }
    SECTION("funding never drops below what is committed")
    {
        applyOp(shard, draw(grantA, 80));
        applyOp(shard, FundOp {budget, Tokens {10}, BundleVersion {2}});
        CHECK(record.funded_ == Tokens {80});
        CHECK(checkInvariants(shard));
    }
}

} // namespace tamarack
