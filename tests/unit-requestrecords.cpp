// Tests of the request record operations. Guards against running or billing a request twice.
#include "core/core.h"

#include <catch2/catch.hpp>

namespace tamarack {

namespace {

const RequestId request {"r"};
const AdmissionId first {"h1.1"};
const AdmissionId second {"h2.1"};

CreateIntentOp intent(const AdmissionId &admission)
{
    return CreateIntentOp {request, HolderId {"h"}, admission, AccountId {"a"}, BudgetId {"b"}, {}};
}

BillOp bill(const AdmissionId &admission, std::int64_t tokens)
{
    BillOp op;
    op.request_ = request;
    op.admission_ = admission;
    op.charged_ = Tokens {tokens};
    return op;
}

} // namespace

TEST_CASE("request record operations")
{
    RequestShard shard;

    SECTION("only the first admission owns the intent")
    {
        applyOp(shard, intent(first));
        CHECK_FALSE(applyOp(shard, intent(second)));
        CHECK(ownsIntent(shard, request, first));
        CHECK_FALSE(ownsIntent(shard, request, second));
    }
    SECTION("another admission can create an intent after a withdrawal")
    {
        applyOp(shard, intent(first));
        applyOp(shard, WithdrawIntentOp {request, first, {}});
        applyOp(shard, intent(second));
        CHECK(ownsIntent(shard, request, second));
    }
    SECTION("only the owner can withdraw an intent")
    {
        applyOp(shard, intent(first));
        CHECK_FALSE(applyOp(shard, WithdrawIntentOp {request, second, {}}));
    }
    SECTION("a request is billed once")
    {
        applyOp(shard, bill(first, 10));
        CHECK_FALSE(applyOp(shard, bill(second, 20)));
        CHECK(ownsBill(shard, request, first));
        CHECK(shard.records_.at(request).charged_ == Tokens {10});
    }
    SECTION("a billed request gets no new intent")
    {
        applyOp(shard, bill(first, 10));
        CHECK_FALSE(applyOp(shard, intent(second)));
    }
    SECTION("repeating the archiving of a segment has no effect")
    {
        applyOp(shard, bill(first, 10));
        const RequestOp archive = ArchiveOp {0, {request}};
        CHECK(applyOp(shard, archive));
        CHECK(shard.records_.empty());
        applyOp(shard, bill(second, 20));
        CHECK_FALSE(applyOp(shard, archive));
        CHECK(shard.records_.contains(request));
    }
}

} // namespace tamarack
