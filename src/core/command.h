// Commands: outputs of the control state machine. The daemon executes them through ports.
#pragma once

#include "core/bundle.h"
#include "core/event.h"
#include "core/ids.h"
#include "core/peermessage.h"
#include "core/refusal.h"
#include "core/store.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Permission for one exchange with one upstream.
struct Dispatch
{
    AdmissionId admission_;
    AttemptId attempt_;
    UpstreamId upstream_;
    std::string address_;
    /// The attempt times out after this long without a byte from the upstream.
    Millis silenceLimit_ {};
};

using Decision = std::variant<Dispatch, Refusal>;

/// @brief Sends the decision to a waiting traffic thread.
struct ReplyTo
{
    WaiterId waiter_;
    Decision decision_;
};

/// @brief Sends a call to the store; the reply arrives as StoreReplied.
struct SubmitStoreCall
{
    CallId id_;
    StoreCall call_;
};

/// @brief State that traffic threads read without involving the control thread.
struct Snapshot
{
    std::shared_ptr<const Bundle> bundle_;
    /// Key owners, by the SHA-256 hash of the key.
    std::unordered_map<std::string, KeyOwner> keys_;
    bool stopping_ = false;
};

/// @brief Sends a message to another daemon. Delivery is not guaranteed.
struct SendPeer
{
    HostId host_;
    /// "IP:port" of the peer's listener.
    std::string address_;
    PeerMessage message_;
};

/// @brief Requests that a holder release unspent tokens; handle() replaces it with a SendPeer.
struct RequestRelease
{
    HolderId holder_;
    BudgetId budget_;
};

/// @brief Fetches a newer bundle version that a peer announced.
struct RefreshBundle
{
    BundleVersion version_;
};

/// @brief Reads the registrations again, because a peer's member list differs.
struct RefreshMembers
{ };

/// @brief Replaces the snapshot that traffic threads read.
struct PublishSnapshot
{
    std::shared_ptr<const Snapshot> snapshot_;
};

/// @brief One field of a log event.
struct LogField
{
    std::string key_;
    std::string value_;
};

enum class LogLevel {
    Info,
    Warning,
    Error,
};

/// @brief One log event.
struct LogEvent
{
    LogLevel level_ = LogLevel::Info;
    /// Stable event name such as "request.dispatch".
    std::string name_;
    std::vector<LogField> fields_;
};

/// @brief Writes one event to the log.
struct WriteLog
{
    LogEvent event_;
};

/// @brief All requests are finished and all grants are released; the daemon may exit.
struct StopCompleted
{ };

using Command = std::variant<ReplyTo, SubmitStoreCall, SendPeer, RequestRelease, RefreshBundle,
                             RefreshMembers, PublishSnapshot, WriteLog, StopCompleted>;

} // namespace tamarack
