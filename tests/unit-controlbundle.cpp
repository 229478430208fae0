// Bundles and the graceful shutdown in the control state machine. Guards against a return to an
// older version, service with a bundle that the policy no longer allows, and a forced shutdown that
// does not log the requests that it aborts.
#include "core/core.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace tamarack {

namespace {

const AccountId account {"acct"};
const BudgetId budget {"b"};
const MonoTime start {Seconds {1000}};

std::shared_ptr<Bundle> makeBundle(std::uint64_t version)
{
    auto bundle = std::make_shared<Bundle>();
    bundle->version_ = BundleVersion {version};
    ClientAccount client;
    client.id_ = account;
    bundle->accounts_[account] = client;
    bundle->budgets_[budget] = Budget {budget, account, Tokens {100}};
    return bundle;
}

Now at(Millis time)
{
    return Now {start + time, WallTime {Seconds {1000}}};
}

std::vector<std::string> logged(const Commands &commands)
{
    std::vector<std::string> names;
    for (const Command &command : commands) {
        if (const auto *line = std::get_if<WriteLog>(&command))
            names.push_back(line->event_.name_);
    }
    return names;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::optional<Refusal> refusal(const Commands &commands)
{
    for (const Command &command : commands) {
        const auto *reply = std::get_if<ReplyTo>(&command);
        if (reply && std::holds_alternative<Refusal>(reply->decision_))
            return std::get<Refusal>(reply->decision_);
    }
    return std::nullopt;
}

AdmissionRequested makeRequest(const std::string &id, Millis deadline)
{
    AdmissionRequested event;
    event.waiter_ = WaiterId {1};
    event.request_ = RequestId {id};
    event.account_ = account;
    event.budget_ = budget;
    event.model_ = ModelId {"m"};
    event.worstCase_ = Tokens {10};
    event.deadline_ = start + deadline;
    return event;
}

} // namespace

TEST_CASE("a bundle of a lower or equal version is ignored")
{
    ControlState state;
    handle(state, BundleLoaded {makeBundle(5)}, at(Millis {0}));
    for (const std::uint64_t version : {4U, 5U}) {
        CHECK(logged(handle(state, BundleLoaded {makeBundle(version)}, at(Millis {1}))).empty());
        CHECK(state.bundle_->version_ == BundleVersion {5});
    }
    handle(state, BundleLoaded {makeBundle(6)}, at(Millis {2}));
    CHECK(state.bundle_->version_ == BundleVersion {6});
}

TEST_CASE("the policy for an unconfirmed bundle")
{
    for (const UnconfirmedPolicy policy : {UnconfirmedPolicy::Serve, UnconfirmedPolicy::Refuse}) {
        ControlState state;
        auto bundle = makeBundle(1);
        bundle->policies_.whenUnconfirmed_ = policy;
        bundle->policies_.unconfirmedLimit_ = Millis {1000};
        handle(state, BundleLoaded {bundle}, at(Millis {0}));
        handle(state, BundleConfirmed {BundleVersion {1}}, at(Millis {500}));
        CHECK(nextWake(state) == start + Millis {1500});
        CHECK(!contains(logged(handle(state, Tick {}, at(Millis {1499}))), "bundle.unconfirmed"));
        CHECK(contains(logged(handle(state, Tick {}, at(Millis {1500}))), "bundle.unconfirmed"));
        CHECK(!contains(logged(handle(state, Tick {}, at(Millis {1600}))), "bundle.unconfirmed"));
        const auto refused
            = refusal(handle(state, makeRequest("r1", Millis {9000}), at(Millis {1700})));
        if (policy == UnconfirmedPolicy::Refuse) {
            REQUIRE(refused);
            CHECK(refused->reason_ == RefusalReason::BundleUnconfirmed);
            CHECK(refused->execution_ == Execution::NotRun);
            CHECK(refusalCode(refused->reason_) == "bundle_unconfirmed");
        } else {
            CHECK(!refused);
        }
        // A confirmation of another version does not confirm the current one.
        handle(state, BundleConfirmed {BundleVersion {2}}, at(Millis {1800}));
        CHECK(state.unconfirmed_);
        CHECK(
            contains(logged(handle(state, BundleConfirmed {BundleVersion {1}}, at(Millis {1900}))),
                     "bundle.confirmed"));
        CHECK(!refusal(handle(state, makeRequest("r2", Millis {9000}), at(Millis {2000}))));
    }
}

TEST_CASE("a request that waits for a removed budget is refused")
{
    ControlState state;
    handle(state, BundleLoaded {makeBundle(1)}, at(Millis {0}));
    CHECK(!refusal(handle(state, makeRequest("r", Millis {9000}), at(Millis {1}))));
    auto next = makeBundle(2);
    next->budgets_ = BudgetTable {};
    const auto refused = refusal(handle(state, BundleLoaded {next}, at(Millis {2})));
    REQUIRE(refused);
    CHECK(refused->reason_ == RefusalReason::BudgetNotOwned);
    CHECK(state.active_.empty());
    CHECK(checkInvariants(state));
}

TEST_CASE("a forced shutdown logs each request that it aborts")
{
    ControlState state;
    handle(state, BundleLoaded {makeBundle(1)}, at(Millis {0}));
    handle(state, makeRequest("r1", Millis {9000}), at(Millis {1}));
    handle(state, makeRequest("r2", Millis {9000}), at(Millis {1}));
    CHECK(contains(logged(handle(state, StopRequested {}, at(Millis {2}))), "daemon.stopping"));
    CHECK(refusal(handle(state, makeRequest("r3", Millis {9000}), at(Millis {3})))->reason_
          == RefusalReason::Stopping);
    const Commands commands = handle(state, StopForced {"second signal"}, at(Millis {4}));
    const std::vector<std::string> names = logged(commands);
    CHECK(std::count(names.begin(), names.end(), "request.cut") == 2);
    CHECK(contains(names, "daemon.stop_forced"));
    CHECK(std::any_of(commands.begin(), commands.end(), [](const Command &command) {
        return std::holds_alternative<StopCompleted>(command);
    }));
    CHECK(!contains(logged(handle(state, StopForced {"limit"}, at(Millis {5}))), "request.cut"));
}

} // namespace tamarack
