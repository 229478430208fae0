// Test cases that each adapter of the store port must pass. The including file defines, for one
// adapter and its fake: Fixture with fake_, server_ and store_, setUp(), unreachableStore() and
// statusWhileDown.
#pragma once

#include <catch2/catch.hpp>

#include <thread>

namespace tamarack {

namespace {

const StoreKey key {"/t/k"};

void setMode(Fixture &fixture, const std::string &mode, Millis delay = Millis {0})
{
    const std::lock_guard lock(fixture.fake_.mutex_);
    fixture.fake_.mode_ = mode;
    fixture.fake_.delay_ = delay;
}

StoreReply read(const Fixture &fixture)
{
    return fixture.store_.call_(ReadCall {key, StoredKind::BundlePart});
}

StoreReply write(const Fixture &fixture, Revision expected, const std::string &content,
                 std::optional<LeaseId> lease = std::nullopt)
{
    return fixture.store_.call_(CompareAndSwapCall {key, expected, BundlePart {content}, lease});
}

std::string content(const StoreReply &reply)
{
    return reply.current_.value_ ? std::get<BundlePart>(*reply.current_.value_).content_ : "absent";
}

} // namespace

TEST_CASE("reads and compare-and-swap calls")
{
    Fixture fixture;
    setUp(fixture);
    CHECK(read(fixture).status_ == StoreStatus::Ok);
    CHECK(content(read(fixture)) == "absent");
    const StoreReply created = write(fixture, Revision {}, "one");
    REQUIRE(created.status_ == StoreStatus::Ok);
    CHECK(content(read(fixture)) == "one");
    CHECK(read(fixture).current_.revision_ == created.current_.revision_);
    const StoreReply again = write(fixture, Revision {}, "two");
    CHECK(again.status_ == StoreStatus::Conflict);
    CHECK(content(again) == "one");
    CHECK(again.current_.revision_ == created.current_.revision_);
    CHECK(write(fixture, created.current_.revision_, "three").status_ == StoreStatus::Ok);
    CHECK(content(read(fixture)) == "three");
}

TEST_CASE("a value near the size limit of the store")
{
    Fixture fixture;
    setUp(fixture, Millis {5000});
    std::string large(1'000'000, 'x');
    large.front() = '\0';
    REQUIRE(write(fixture, Revision {}, large).status_ == StoreStatus::Ok);
    CHECK(content(read(fixture)) == large);
}

TEST_CASE("faults on new and on reused connections")
{
    struct Case
    {
        const char *mode_;
        StoreStatus read_;
        StoreStatus swap_;
        bool effect_;
    };
    const Case cases[] {
        {"down", statusWhileDown, statusWhileDown, false},
        {"lose-answer", StoreStatus::Unknown, StoreStatus::Unknown, true},
        {"slow", StoreStatus::Unknown, StoreStatus::Unknown, true},
        {"malformed", StoreStatus::Unknown, StoreStatus::Unknown, true},
        {"wrong-types", StoreStatus::Unknown, StoreStatus::Unknown, true},
    };
    for (const Case &c : cases) {
        for (const bool reused : {false, true}) {
            Fixture fixture;
            setUp(fixture, Millis {200});
            if (reused)
                REQUIRE(read(fixture).status_ == StoreStatus::Ok);
            setMode(fixture, c.mode_, Millis {600});
            INFO(c.mode_ << " on a " << (reused ? "reused" : "new") << " connection");
            CHECK(write(fixture, Revision {}, "one").status_ == c.swap_);
            CHECK(read(fixture).status_ == c.read_);
            setMode(fixture, "none");
            CHECK((content(read(fixture)) == "one") == c.effect_);
        }
    }
}

TEST_CASE("a call without a connection is reported as not received")
{
    Fixture fixture;
    setUp(fixture);
    fixture.store_ = unreachableStore(Millis {200});
    CHECK(write(fixture, Revision {}, "one").status_ == StoreStatus::Unavailable);
    CHECK(read(fixture).status_ == StoreStatus::Unavailable);
    CHECK(fixture.store_.grantLease_(Seconds {1}) == LeaseId {});
    CHECK(!fixture.store_.waitForChange_(key, Revision {}, Millis {100}));
}

TEST_CASE("leases delete their keys when they expire or are revoked")
{
    Fixture fixture;
    setUp(fixture);
    const LeaseId lease = fixture.store_.grantLease_(Seconds {3});
    REQUIRE(lease != LeaseId {});
    const StoreReply written = write(fixture, Revision {}, "one", lease);
    REQUIRE(written.status_ == StoreStatus::Ok);
    CHECK(fixture.store_.renewLease_(lease) == LeaseRenewal::Renewed);
    CHECK(content(read(fixture)) == "one");
    CHECK(fixture.store_.waitForChange_(key, written.current_.revision_, Seconds {30}));
    CHECK(content(read(fixture)) == "absent");
    CHECK(fixture.store_.renewLease_(lease) == LeaseRenewal::Ended);
    const LeaseId second = fixture.store_.grantLease_(Seconds {60});
    REQUIRE(write(fixture, Revision {}, "two", second).status_ == StoreStatus::Ok);
    CHECK(fixture.store_.revokeLease_(second));
    CHECK(content(read(fixture)) == "absent");
}

TEST_CASE("watches")
{
    Fixture fixture;
    setUp(fixture);
    const Revision seen = write(fixture, Revision {}, "one").current_.revision_;
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [start] {
        return std::chrono::steady_clock::now() - start;
    };
    SECTION("with an event")
    {
        std::thread writer([&] {
            std::this_thread::sleep_for(Millis {100});
            write(fixture, seen, "two");
        });
        CHECK(fixture.store_.waitForChange_(key, seen, Seconds {30}));
        writer.join();
    }
    SECTION("with an event before the watch starts")
    {
        write(fixture, seen, "two");
        CHECK(fixture.store_.waitForChange_(key, seen, Seconds {5}));
    }
    SECTION("without an event until the limit")
    {
        CHECK(!fixture.store_.waitForChange_(key, seen, Millis {400}));
        // A watch that never ends is detected by the timeout of the test program.
        CHECK(elapsed() >= Millis {350});
    }
    SECTION("without a response although there is an event")
    {
        setMode(fixture, "silent-watch");
        write(fixture, seen, "two");
        CHECK(!fixture.store_.waitForChange_(key, seen, Millis {400}));
        setMode(fixture, "none");
    }
    SECTION("cancelled")
    {
        std::thread stopper([&] {
            std::this_thread::sleep_for(Millis {100});
            fixture.store_.cancelWaits_();
        });
        CHECK(!fixture.store_.waitForChange_(key, seen, Seconds {20}));
        CHECK(elapsed() < Seconds {20});
        stopper.join();
        CHECK(!fixture.store_.waitForChange_(key, seen, Seconds {20}));
        CHECK(elapsed() < Seconds {3});
    }
}

TEST_CASE("connections are reused")
{
    Fixture fixture;
    setUp(fixture);
    constexpr int calls = 500;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i)
        REQUIRE(read(fixture).status_ == StoreStatus::Ok);
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    WARN(calls / time.count() << " reads/s on one thread");
    CHECK(fixture.server_->totalConnections() <= calls / 50);
}

} // namespace tamarack
