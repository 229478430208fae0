// Tests the etcd client against fake-store. Guards against treating a lost response as a failed
// call, also on a reused connection, and against watches that never end.
#include "adapters/etcd/etcd.h"
#include "fakes/fakestorecore.h"

#include <catch2/catch.hpp>

#include <thread>

namespace tamarack {

namespace {

/// Outcome of calls while the store returns 503. etcd may return 503 after it has applied a change,
/// so the client must report an unknown outcome.
constexpr StoreStatus statusWhileDown = StoreStatus::Unknown;

struct Fixture
{
    fakes::Store fake_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
    StorePort store_;

    ~Fixture()
    {
        {
            const std::lock_guard lock(fake_.mutex_);
            fake_.stopping_ = true;
        }
        if (server_)
            server_->stopAll(false);
        // Watch handlers check stopping_ every 200 ms.
        while (server_ && server_->currentThreads() > 0)
            std::this_thread::sleep_for(Millis {10});
    }
};

void setUp(Fixture &fixture, Millis timeout = Millis {1000})
{
    fixture.server_
        = fakes::startHttpServer("127.0.0.1:0", [&fixture](auto &request, auto &response) {
              fakes::handleStoreRequest(fixture.fake_, request, response);
          });
    fixture.store_ = makeEtcdStorePort(
        EtcdSettings {{"127.0.0.1:" + std::to_string(fixture.server_->port())}, timeout});
}

StorePort unreachableStore(Millis timeout)
{
    return makeEtcdStorePort(EtcdSettings {{"127.0.0.1:1"}, timeout});
}

} // namespace

} // namespace tamarack

// The test cases for all store adapters. They use Fixture, setUp(), unreachableStore() and
// statusWhileDown.
#include "storecontract.h"
