// The state machine of a relay daemon: which request goes where, what is repeated, what is refused.
#pragma once

#include "core/error.h"
#include "core/relay/choice.h"
#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/events.h"
#include "core/relay/instances.h"
#include "core/relay/prepaid.h"
#include "core/relay/request.h"
#include "core/retrybudget.h"
#include "core/time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Limit on repeated sends that all daemons share, for each service.
struct SharedRetryLimit
{
    /// Repeats for each request.
    double share_ = 0.2;
    /// Repeats beyond that in one window, for all daemons together.
    double extra_ = 50.0;
    Millis window_ {Seconds {10}};
};

struct RelaySettings
{
    HostId host_;
    ZoneId zone_;
    ChoiceSettings choice_;
    PrepaidSettings prepaid_;
    DocumentSyncSettings sync_;
    SharedRetryLimit retries_;
    /// Part of the shared retry limit that the daemons use, because their counts of each other lag.
    double retryMargin_ = 0.7;
    /// An instance whose entry is missing is used as a last resort for this long.
    Millis missingRetention_ {1500};
    Millis connectTimeout_ {300};
    /// Share of the latency objective for which a request waits for tokens while the ledger
    /// answers.
    double tokenWaitShare_ = 0.5;
    /// Share of the latency objective for which a request waits for an instance.
    double instanceWaitShare_ = 0.125;
    /// A repeatable request without output is sent to another instance after this many latency
    /// objectives.
    double silenceObjectives_ = 2.0;
    /// No repeat is started with less time left.
    Millis minRepeatTime_ {100};
    /// Time to come back after a refusal, between it and its double.
    Millis retryAfter_ {250};
    /// The same when the ledger can't be reached, which lasts longer.
    Millis retryAfterOutage_ {4000};
    /// Clients come back after a part of the time they have left at most.
    double retryAfterShare_ = 0.3;
    /// Part of an upstream's connections that the daemons share out among themselves.
    double connectionShare_ = 0.8;
    /// A stopping daemon goes on accepting for this long, because new connections still reach it.
    Millis stopLinger_ {3000};
    /// A stopping daemon ends this long before its limit.
    Millis stopMargin_ {500};
};

enum class RelayStage {
    AwaitingTokens,
    AwaitingInstance,
    /// An attempt is at an instance.
    Sent,
};

/// @brief A request without final answer.
struct ActiveRelay
{
    RelayRequest request_;
    /// The route as of the version under which the request was admitted.
    std::shared_ptr<const RelayConfig> config_;
    const RelayRoute *route_ = nullptr;
    AccountId account_;
    RelayStage stage_ = RelayStage::AwaitingTokens;
    std::optional<Reservation> reserved_;
    std::uint32_t attempts_ = 0;
    std::set<UpstreamId> tried_;
    std::optional<Choice> choice_;
    ServiceId service_;
    MonoTime sentAt_ {};
    bool outputStarted_ = false;
    std::optional<MonoTime> firstOutputAt_;
    /// An upstream may have begun to work on the request.
    bool mayHaveRun_ = false;
    std::uint64_t events_ = 0;
    /// How much output went to the client is not known; the largest amount is charged.
    bool outputUnknown_ = false;
    MonoTime deadline_ {};
    /// When the stage's own wait ends, if it has one.
    std::optional<MonoTime> stageEnd_;
    std::optional<MonoTime> timer_;
};

/// @brief The whole control state of a relay daemon.
///
/// Invariants: timers_ holds exactly the timers of active_; the configuration's version never
/// decreases.
struct RelayState
{
    RelaySettings settings_;
    std::shared_ptr<const RelayConfig> config_;
    InstanceDirectory directory_;
    bool instancesKnown_ = false;
    ChoiceState choice_;
    PrepaidState prepaid_;
    std::map<ServiceId, RetryBudget> retries_;
    std::map<ExchangeId, ActiveRelay> active_;
    std::set<std::pair<MonoTime, ExchangeId>> timers_;
    FleetCounted fleet_;
    DocumentSync sync_;
    bool ready_ = false;
    std::optional<MonoTime> stopAsked_;
    MonoTime stopLimit_ {};
    bool idleClosed_ = false;
    bool stopCompleted_ = false;
};

using RelayCommands = std::vector<RelayCommand>;

/// @brief Handles one event.
/// @return the commands to carry out, in order
/// @note O(instances x prompt parts) for a request, O(instances) for a listing
RelayCommands handleRelayEvent(RelayState &state, const RelayEvent &event, MonoTime now);

/// @brief Does what is due at @a now.
RelayCommands runDueWork(RelayState &state, MonoTime now);

/// @brief Returns when runDueWork() has work to do next.
std::optional<MonoTime> nextDueTime(const RelayState &state);

/// @brief Checks the invariants of the state and its parts.
Result<void> checkInvariants(const RelayState &state);

} // namespace tamarack
