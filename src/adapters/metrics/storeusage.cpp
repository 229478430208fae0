// Counts the calls to the store by purpose and outcome.
#include "adapters/metrics/storeusage.h"

#include <fmt/format.h>

namespace tamarack {

namespace {

constexpr std::array<const char *, StoreUsage::purposes> purposeNames {
    "list_feed",   "watch_feed",         "read_ledger", "write_ledger",
    "renew_lease", "write_registration", "read_members"};

void count(const StoreUsage &usage, StorePurpose purpose, bool succeeded)
{
    const auto index = static_cast<std::size_t>(purpose);
    (succeeded ? usage.succeeded_ : usage.failed_).at(index)->Increment();
}

bool isAnswered(StoreStatus status)
{
    return status == StoreStatus::Ok || status == StoreStatus::Conflict;
}

StorePurpose purposeOf(const StoreCall &call)
{
    const auto *swap = std::get_if<CompareAndSwapCall>(&call);
    if (!swap)
        return StorePurpose::ReadLedger;
    return std::holds_alternative<Registration>(swap->value_) ? StorePurpose::WriteRegistration
                                                              : StorePurpose::WriteLedger;
}

} // namespace

StoreUsage makeStoreUsage(prometheus::Registry &registry)
{
    auto &calls = prometheus::BuildCounter()
                      .Name("tamarack_relay_store_calls_total")
                      .Help("Calls to the store by purpose and outcome")
                      .Register(registry);
    StoreUsage usage;
    for (std::size_t i = 0; i < StoreUsage::purposes; ++i) {
        usage.succeeded_[i] = &calls.Add({{"purpose", purposeNames[i]}, {"outcome", "ok"}});
        usage.failed_[i] = &calls.Add({{"purpose", purposeNames[i]}, {"outcome", "failed"}});
    }
    return usage;
}

StorePort countStoreCalls(const StorePort &store, const StoreUsage &usage)
{
    StorePort counted = store;
    counted.call_ = [call = store.call_, usage](const StoreCall &request) {
        StoreReply reply = call(request);
        count(usage, purposeOf(request), isAnswered(reply.status_));
        return reply;
    };
    counted.grantLease_ = [grant = store.grantLease_, usage](Seconds timeToLive) {
        const LeaseId lease = grant(timeToLive);
        count(usage, StorePurpose::WriteRegistration, lease != LeaseId {});
        return lease;
    };
    counted.renewLease_ = [renew = store.renewLease_, usage](LeaseId lease) {
        const LeaseRenewal renewal = renew(lease);
        count(usage, StorePurpose::RenewLease, renewal != LeaseRenewal::Unconfirmed);
        return renewal;
    };
    counted.readPrefixStale_
        = [read = store.readPrefixStale_, usage](const StoreKey &prefix, StoredKind kind) {
              PrefixReply reply = read(prefix, kind);
              count(usage, StorePurpose::ReadMembers, isAnswered(reply.status_));
              return reply;
          };
    return counted;
}

FeedPort countFeedCalls(const FeedPort &feed, const StoreUsage &usage)
{
    FeedPort counted = feed;
    counted.list_ = [list = feed.list_, usage](const std::string &prefix) {
        FeedReply reply = list(prefix);
        count(usage, StorePurpose::ListFeed, reply.status_ == FeedStatus::Ok);
        return reply;
    };
    counted.watch_
        = [watch = feed.watch_, usage](const std::string &prefix, Revision after, Millis limit) {
              FeedReply reply = watch(prefix, after, limit);
              count(usage, StorePurpose::WatchFeed, reply.status_ == FeedStatus::Ok);
              return reply;
          };
    return counted;
}

std::vector<LogField> usageFields(const StoreUsage &usage)
{
    std::vector<LogField> fields;
    for (std::size_t i = 0; i < StoreUsage::purposes; ++i)
        fields.push_back(LogField {
            purposeNames[i],
            fmt::format("{:.0f}/{:.0f}", usage.succeeded_[i]->Value(), usage.failed_[i]->Value())});
    return fields;
}

} // namespace tamarack
