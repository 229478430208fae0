// The registration of a daemon in the store. Guards against a daemon that stays unregistered after
// its lease expired, a reply was lost or the store was unavailable.
#include "runtime/registration.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace tamarack {

namespace {

/// An in-memory store whose leases are expired by the test.
struct LeaseStore
{
    std::map<StoreKey, VersionedValue> entries_;
    std::set<LeaseId> leases_;
    std::uint64_t revision_ = 0;
    std::uint64_t lastLease_ = 0;
    bool down_ = false;
    bool losesReplies_ = false;
    StoreEra era_ {1};
};

StoreReply compareAndSwap(LeaseStore &store, const CompareAndSwapCall &call)
{
    StoreReply reply;
    if (store.down_)
        return reply;
    VersionedValue &current = store.entries_[call.key_];
    reply.status_ = current.revision_ == call.expected_ ? StoreStatus::Ok : StoreStatus::Conflict;
    if (reply.status_ == StoreStatus::Ok)
        current = VersionedValue {Revision {++store.revision_}, call.value_};
    reply.current_ = current;
    if (store.losesReplies_)
        return StoreReply {{}, StoreStatus::Unknown, {}};
    return reply;
}

StorePort portOf(LeaseStore &store)
{
    StorePort port;
    port.call_ = [&store](const StoreCall &call) {
        return compareAndSwap(store, std::get<CompareAndSwapCall>(call));
    };
    port.grantLease_ = [&store](Seconds) {
        if (store.down_)
            return LeaseId {};
        const LeaseId lease {++store.lastLease_};
        store.leases_.insert(lease);
        return lease;
    };
    port.renewLease_ = [&store](LeaseId lease) {
        if (store.down_)
            return LeaseRenewal::Unconfirmed;
        return store.leases_.contains(lease) ? LeaseRenewal::Renewed : LeaseRenewal::Ended;
    };
    port.era_ = [&store] {
        return store.era_;
    };
    return port;
}

void expireLeases(LeaseStore &store)
{
    store.leases_.clear();
    store.entries_.clear();
}

} // namespace

TEST_CASE("registration")
{
    LeaseStore store;
    RegistrationThreads threads;
    threads.settings_.storePrefix_ = "/t";
    threads.self_.holder_ = HolderId {"h-1"};
    threads.store_ = portOf(store);
    WrittenRegistration written;
    const auto stored = [&store]() -> const Registration * {
        const auto it = store.entries_.find(StoreKey {"/t/members/h-1"});
        return it == store.entries_.end() || !it->second.value_
            ? nullptr
            : &std::get<Registration>(*it->second.value_);
    };
    REQUIRE(refreshRegistration(threads, written, false));
    REQUIRE(stored());

    SECTION("a renewed lease needs no further write")
    {
        const std::uint64_t before = store.revision_;
        CHECK(refreshRegistration(threads, written, false));
        CHECK(store.revision_ == before);
    }
    SECTION("after its lease expired it registers again")
    {
        expireLeases(store);
        CHECK(refreshRegistration(threads, written, false));
        CHECK(stored());
    }
    SECTION("after the store returned from a copy it registers again, although its lease id exists")
    {
        // The copy lacks the registration, and another daemon got the same lease id since.
        store.entries_.clear();
        store.era_ = StoreEra {2};
        CHECK(refreshRegistration(threads, written, false));
        CHECK(stored());
    }
    SECTION("it registers again after the store was unavailable")
    {
        store.down_ = true;
        CHECK_FALSE(refreshRegistration(threads, written, false));
        store.down_ = false;
        expireLeases(store);
        CHECK(refreshRegistration(threads, written, false));
        CHECK(stored());
    }
    SECTION("an unconfirmed renewal keeps the lease")
    {
        // Otherwise all daemons of a fleet register again after each outage of the store.
        const std::uint64_t lastLease = store.lastLease_;
        store.down_ = true;
        CHECK_FALSE(refreshRegistration(threads, written, false));
        store.down_ = false;
        CHECK(refreshRegistration(threads, written, false));
        CHECK(store.lastLease_ == lastLease);
    }
    SECTION("a graceful shutdown marks it as leaving")
    {
        CHECK(refreshRegistration(threads, written, true));
        CHECK(stored()->leaving_);
    }
    SECTION("a lost reply is resolved by the next write")
    {
        store.losesReplies_ = true;
        CHECK_FALSE(refreshRegistration(threads, written, true));
        store.losesReplies_ = false;
        CHECK(refreshRegistration(threads, written, true));
        CHECK(stored()->leaving_);
    }
}

} // namespace tamarack
