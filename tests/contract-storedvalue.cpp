// Tests the encoding of stored values. Guards against fields that are lost in a round trip.
#include "adapters/shardcodec/shardcodec.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

template <typename T>
T roundTrip(StoredKind kind, const T &value)
{
    return std::get<T>(decodeStoredValue(kind, encodeStoredValue(value)).value());
}

} // namespace

TEST_CASE("stored values")
{
    SECTION("ledger shard")
    {
        LedgerShard shard;
        BudgetRecord &record = shard.budgets_[BudgetId {"b"}];
        record.funded_ = Tokens {10};
        record.fundingVersion_ = BundleVersion {3};
        record.charged_ = Tokens {2};
        record.grants_[GrantId {"g"}] = Grant {HolderId {"h"}, Tokens {5},         Tokens {1},
                                               Tokens {2},     GrantState::Active, Tokens {3}};
        record.grants_[GrantId {"w"}]
            = Grant {HolderId {"h"}, Tokens {1}, Tokens {}, Tokens {}, GrantState::WrittenOff};
        const LedgerShard copy = roundTrip(StoredKind::LedgerShard, shard);
        const BudgetRecord &read = copy.budgets_.at(BudgetId {"b"});
        CHECK(read.funded_ == record.funded_);
        CHECK(read.fundingVersion_ == record.fundingVersion_);
        CHECK(read.charged_ == record.charged_);
        CHECK(read.grants_.at(GrantId {"g"}).authorized_ == Tokens {5});
        CHECK(read.grants_.at(GrantId {"g"}).reserve_ == Tokens {1});
        CHECK(read.grants_.at(GrantId {"g"}).settled_ == Tokens {2});
        CHECK(read.grants_.at(GrantId {"g"}).returned_ == Tokens {3});
        CHECK(read.grants_.at(GrantId {"w"}).state_ == GrantState::WrittenOff);
    }
    SECTION("record of versions")
    {
        const VersionRecord record {{{ServiceId {"s"}, SoftwareVersion {"v1"}},
                                     {ServiceId {"s"}, SoftwareVersion {"v2"}},
                                     {ServiceId {"t"}, SoftwareVersion {"v1"}}}};
        CHECK(roundTrip(StoredKind::VersionRecord, record) == record);
    }
    SECTION("malformed bytes are rejected")
    {
        CHECK_FALSE(decodeStoredValue(StoredKind::LedgerShard, "\xff\xff\xff"));
    }
}

} // namespace tamarack
