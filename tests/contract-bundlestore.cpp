// Bundles in the store, with a store in memory. Guards against a bundle that nobody signed, a
// version that goes back, parts that are fetched again, and threads that do not end.
#include "adapters/crypto/crypto.h"
#include "bundledocuments.h"
#include "daemon/bundlewatch.h"
#include "fakes/memorystore.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace tamarack {

namespace {

using fakes::bundleDocument;
using fakes::MemoryStore;
using fakes::StoreFault;

struct Fixture
{
    MemoryStore memory_;
    BundleCache cache_;
    StopFlag stop_;
    std::map<std::string, KeyPair> keys_;
    BundleStore store_;
};

/// Runs a function that must succeed.
template <typename Function>
auto must(const Function &function)
{
    using Value = std::decay_t<decltype(function().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Value> { return function(); },
        [](const Error &error) -> Value {
            FAIL(error.id_ + ": " + error.message_);
            throw std::logic_error(error.id_);
        },
        []() -> Value { throw std::logic_error("no error object"); });
}

/// Runs a function and returns the error, or an empty one if it succeeds.
template <typename Function>
Error errorOf(const Function &function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(function());
            return Error {};
        },
        [](const Error &error) { return error; }, [] { return Error {}; });
}

void setUp(Fixture &fixture)
{
    for (const char *name : {"anna", "bert", "mallory"})
        fixture.keys_[name] = must([] { return generateKeyPair(); });
    std::vector<TrustedOperator> trusted {{OperatorId {"anna"}, fixture.keys_["anna"].publicKey_},
                                          {OperatorId {"bert"}, fixture.keys_["bert"].publicKey_}};
    fixture.store_ = BundleStore {fakes::makeMemoryStorePort(fixture.memory_), "/t",
                                  [trusted = std::move(trusted)] { return trusted; },
                                  &fixture.cache_, &fixture.stop_};
}

Submission signedBy(Fixture &fixture, const std::string &name, std::uint64_t version,
                    const std::string &document)
{
    const std::vector<BundlePartText> parts = must([&] { return splitBundle(document); });
    Manifest manifest {BundleVersion {version}, {}};
    Submission submission;
    for (const BundlePartText &part : parts) {
        manifest.parts_.push_back(ManifestPart {part.name_, sha256Hex(part.content_)});
        submission.parts_.push_back(part.content_);
    }
    submission.manifest_ = formatManifest(manifest);
    submission.operator_ = OperatorId {name};
    submission.signature_ = base64Encode(
        must([&] { return sign(submission.manifest_, fixture.keys_[name].privateKey_); }));
    return submission;
}

void accept(Fixture &fixture, std::uint64_t version, std::int64_t funded = 100)
{
    const Submission submission = signedBy(fixture, "anna", version, bundleDocument(3, funded));
    CHECK(must([&] { return submitBundle(fixture.store_, submission); })
          == BundleVersion {version});
}

BundleHead storedHead(Fixture &fixture)
{
    return std::get<BundleHead>(*fixture.memory_.values_[bundleHeadKey("/t")].value_);
}

void writeHead(Fixture &fixture, BundleHead head)
{
    fixture.memory_.values_[bundleHeadKey("/t")]
        = VersionedValue {Revision {++fixture.memory_.revision_}, std::move(head)};
}

std::string loadError(Fixture &fixture)
{
    return errorOf([&] { return loadBundle(fixture.store_); }).id_;
}

} // namespace

TEST_CASE("submissions that are not what an operator signed are refused")
{
    Fixture fixture;
    setUp(fixture);
    Submission submission = signedBy(fixture, "anna", 1, bundleDocument(3));
    std::string expected;
    SECTION("unknown operator")
    {
        submission = signedBy(fixture, "mallory", 1, bundleDocument(3));
        expected = "tamarack.bundle.202";
    }
    SECTION("signed by another operator than stated")
    {
        submission.operator_ = OperatorId {"bert"};
        expected = "tamarack.crypto.121";
    }
    SECTION("changed manifest")
    {
        submission.manifest_ = formatManifest(Manifest {BundleVersion {1}, {{"x", "y"}}});
        expected = "tamarack.crypto.121";
    }
    SECTION("truncated signature")
    {
        submission.signature_ = base64Encode("short");
        expected = "tamarack.crypto.121";
    }
    SECTION("signature that is not base64")
    {
        submission.signature_ = "?";
        expected = "tamarack.crypto.101";
    }
    SECTION("truncated part")
    {
        submission.parts_.front().pop_back();
        expected = "tamarack.bundle.204";
    }
    SECTION("missing part")
    {
        submission.parts_.pop_back();
        expected = "tamarack.bundle.201";
    }
    CHECK(errorOf([&] { return submitBundle(fixture.store_, submission); }).id_ == expected);
    CHECK(fixture.memory_.values_[bundleHeadKey("/t")].revision_ == Revision {});
}

TEST_CASE("a head in the store that is not what was accepted is ignored")
{
    Fixture fixture;
    setUp(fixture);
    accept(fixture, 1);
    const BundleHead first = storedHead(fixture);
    accept(fixture, 2, 200);
    const BundleHead second = storedHead(fixture);
    REQUIRE(must([&] { return loadBundle(fixture.store_); }).bundle_->version_
            == BundleVersion {2});
    SECTION("older head offered after a newer one")
    {
        writeHead(fixture, first);
        CHECK(loadError(fixture) == "tamarack.bundle.209");
    }
    SECTION("old manifest replayed under a new version")
    {
        BundleHead replayed = first;
        replayed.version_ = BundleVersion {3};
        writeHead(fixture, replayed);
        CHECK(loadError(fixture) == "tamarack.bundle.203");
    }
    SECTION("forged signature")
    {
        BundleHead forged = second;
        forged.version_ = BundleVersion {3};
        forged.manifest_ = formatManifest(Manifest {BundleVersion {3}, {}});
        writeHead(fixture, forged);
        CHECK(loadError(fixture) == "tamarack.crypto.121");
    }
    SECTION("another bundle of the same version")
    {
        const Submission other = signedBy(fixture, "bert", 2, bundleDocument(3, 300));
        writeHead(fixture,
                  BundleHead {BundleVersion {2}, other.manifest_, OperatorId {"bert"},
                              must([&] { return base64Decode(other.signature_); })});
        for (const std::string &part : other.parts_)
            fixture.memory_.values_[bundlePartKey("/t", sha256Hex(part))]
                = VersionedValue {Revision {++fixture.memory_.revision_}, BundlePart {part}};
        CHECK(loadError(fixture) == "tamarack.bundle.209");
    }
    SECTION("deleted head")
    {
        fixture.memory_.values_.erase(bundleHeadKey("/t"));
        CHECK(loadError(fixture) == "tamarack.bundle.210");
    }
    CHECK(newestBundle(fixture.cache_).bundle_->version_ == BundleVersion {2});
}

TEST_CASE("the loser of a race is told the winner")
{
    Fixture fixture;
    setUp(fixture);
    accept(fixture, 1);
    const Submission late = signedBy(fixture, "bert", 1, bundleDocument(3, 7));
    const Error error = errorOf([&] { return submitBundle(fixture.store_, late); });
    CHECK(error.id_ == "tamarack.bundle.207");
    CHECK(error.message_.find("version 1 by operator anna") != std::string::npos);
    CHECK(error.message_.find("submit version 2") != std::string::npos);
}

TEST_CASE("lowered funding is refused with the figures")
{
    Fixture fixture;
    setUp(fixture);
    accept(fixture, 1);
    LedgerShard shard;
    BudgetRecord &record = shard.budgets_[BudgetId {"budget-000000"}];
    record.funded_ = Tokens {100};
    record.charged_ = Tokens {40};
    record.grants_[GrantId {"g"}] = Grant {HolderId {"h"}, Tokens {11}, {}, {}, GrantState::Active};
    const ShardNumber number = ledgerShardOf(BudgetId {"budget-000000"}, 16);
    fixture.memory_.values_[StoreKey {fmt::format("/t/ledger/{}", number.value_)}]
        = VersionedValue {Revision {77}, shard};
    const Submission lower = signedBy(fixture, "anna", 2, bundleDocument(3, 50));
    const Error error = errorOf([&] { return submitBundle(fixture.store_, lower); });
    CHECK(error.id_ == "tamarack.bundle.212");
    CHECK(error.message_.find("51 is committed (charged 40, lost 0, outstanding 11)")
          != std::string::npos);
    const Submission shards = signedBy(fixture, "anna", 2, bundleDocument(3, 100, 8));
    CHECK(errorOf([&] { return submitBundle(fixture.store_, shards); }).id_
          == "tamarack.bundle.211");
    accept(fixture, 2, 51);
}

TEST_CASE("a new version costs only the parts that changed")
{
    Fixture fixture;
    setUp(fixture);
    must([&] {
        return submitBundle(fixture.store_, signedBy(fixture, "anna", 1, bundleDocument(9000)));
    });
    must([&] { return loadBundle(fixture.store_); });
    const auto before = newestBundle(fixture.cache_).bundle_;
    const std::size_t segments = before->budgets_.segments().size();
    CHECK(segments > 4);
    CHECK(fixture.memory_.bundlePartReads_ == segments + 3);
    Submission second = signedBy(fixture, "anna", 2, bundleDocument(9000, 101));
    const Submission whole = second;
    // The daemon that takes the submission holds the parts that did not change.
    std::erase_if(second.parts_, [&](const std::string &part) {
        return fixture.memory_.values_.contains(bundlePartKey("/t", sha256Hex(part)));
    });
    CHECK(second.parts_.size() == 1);
    must([&] { return submitBundle(fixture.store_, second); });
    must([&] { return loadBundle(fixture.store_); });
    CHECK(fixture.memory_.bundlePartReads_ == segments + 3 + 1);
    const auto after = newestBundle(fixture.cache_).bundle_;
    std::size_t shared = 0;
    for (std::size_t i = 0; i < segments; ++i)
        shared += before->budgets_.segments()[i] == after->budgets_.segments()[i] ? 1 : 0;
    CHECK(shared == segments - 1);
}

TEST_CASE("a restarted daemon holds no bundle while the store is down")
{
    Fixture fixture;
    setUp(fixture);
    accept(fixture, 1);
    Fixture restarted;
    setUp(restarted);
    restarted.memory_.fault_ = [](const StoreCall &) {
        return StoreFault::Unavailable;
    };
    CHECK(loadError(restarted) == "tamarack.bundle.201");
    CHECK(newestBundle(restarted.cache_).bundle_ == nullptr);
    const Submission submission = signedBy(restarted, "anna", 1, bundleDocument(3));
    CHECK(errorOf([&] { return submitBundle(restarted.store_, submission); }).kind_
          == ErrorKind::StoreUnavailable);
}

TEST_CASE("a watch that ends silently does not hide a version, and a stop ends the thread at once")
{
    Fixture fixture;
    setUp(fixture);
    accept(fixture, 1);
    std::mutex mutex;
    std::condition_variable seen;
    std::uint64_t newest = 0;
    const EventPort events {[&](const Event &event) {
        const auto *bundle = std::get_if<BundleLoaded>(&event);
        if (!bundle)
            return;
        const std::lock_guard lock(mutex);
        newest = bundle->bundle_->version_.value_;
        seen.notify_all();
    }};
    int warnings = 0;
    const LogPort log {[&](const LogEvent &) {
        const std::lock_guard lock(mutex);
        ++warnings;
        seen.notify_all();
    }};
    const auto awaitVersion = [&](std::uint64_t version) {
        std::unique_lock lock(mutex);
        return seen.wait_for(lock, Seconds {10}, [&] { return newest == version; });
    };
    std::thread watcher([&] { watchBundles(fixture.store_, events, log); });
    CHECK(awaitVersion(1));
    accept(fixture, 2);
    CHECK(awaitVersion(2));
    {
        const std::lock_guard lock(fixture.memory_.mutex_);
        fixture.memory_.fault_ = [](const StoreCall &) {
            return StoreFault::Unavailable;
        };
    }
    {
        std::unique_lock lock(mutex);
        CHECK(seen.wait_for(lock, Seconds {30}, [&] { return warnings > 0; }));
    }
    // Long enough for many reads if the thread spins during the outage.
    std::this_thread::sleep_for(Millis {600});
    {
        const std::lock_guard lock(fixture.memory_.mutex_);
        fixture.memory_.fault_ = nullptr;
    }
    accept(fixture, 3);
    CHECK(awaitVersion(3));
    // Half a second lies between two reads, so that the thread does not spin.
    CHECK(fixture.memory_.calls_ < 80);
    const auto start = std::chrono::steady_clock::now();
    stopWatchingBundles(fixture.store_);
    watcher.join();
    // The watch alone would last 10 s.
    CHECK(std::chrono::steady_clock::now() - start < Seconds {5});
}

TEST_CASE("the history names each accepted version")
{
    Fixture fixture;
    setUp(fixture);
    for (std::uint64_t version = 1; version <= 4; ++version)
        accept(fixture, version);
    const auto all = must([&] { return readHistory(fixture.store_, 10); });
    REQUIRE(all.size() == 4);
    CHECK(all.front().version_ == BundleVersion {4});
    CHECK(all.back().version_ == BundleVersion {1});
    CHECK(must([&] { return readHistory(fixture.store_, 2); }).size() == 2);
}

} // namespace tamarack
