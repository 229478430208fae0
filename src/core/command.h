// Commands: what the control state machine wants done. The daemon carries them out through ports.
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

/// @brief Permission to make one exchange with one upstream.
struct Dispatch
{
    AdmissionId admission_;
    AttemptId attempt_;
    UpstreamId upstream_;
    std::string address_;
    /// The attempt is given up when the upstream stays silent for this long.
    Millis silenceLimit_ {};
};

using Decision = std::variant<Dispatch, Refusal>;

/// @brief Answers a waiting traffic thread.
struct ReplyTo
{
    WaiterId waiter_;
    Decision decision_;
};

/// @brief Sends a call to the store; its reply arrives as StoreReplied.
struct SubmitStoreCall
{
    CallId id_;
    StoreCall call_;
};

/// @brief What traffic threads may read without asking the control thread.
struct Snapshot
{
    std::shared_ptr<const Bundle> bundle_;
    /// Key owners by the SHA-256 of the key.
    std::unordered_map<std::string, KeyOwner> keys_;
    bool stopping_ = false;
};

/// @brief Sends a message to another daemon. It may be lost.
struct SendPeer
{
    HostId host_;
    /// "IP:port" of the peer's listener.
    std::string address_;
    PeerMessage message_;
};

/// @brief Asks a holder to hand back unspent tokens; handle() turns it into a SendPeer.
struct RequestRelease
{
    HolderId holder_;
    BudgetId budget_;
};

/// @brief A peer holds a newer bundle than this daemon.
struct RefreshBundle
{
    BundleVersion version_;
};

/// @brief A peer knows other members than this daemon; the registrations are to be read again.
struct RefreshMembers
{ };

/// @brief Replaces the snapshot that traffic threads read.
struct PublishSnapshot
{
    std::shared_ptr<const Snapshot> snapshot_;
};

/// @brief One field of a log line.
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

/// @brief One line of the log.
struct LogEvent
{
    LogLevel level_ = LogLevel::Info;
    /// Stable event name such as "request.dispatch".
    std::string name_;
    std::vector<LogField> fields_;
};

/// @brief Writes one line to the log.
struct WriteLog
{
    LogEvent event_;
};

/// @brief All requests are finished and all grants are handed back; the daemon may exit.
struct StopCompleted
{ };

using Command = std::variant<ReplyTo, SubmitStoreCall, SendPeer, RequestRelease, RefreshBundle,
                             RefreshMembers, PublishSnapshot, WriteLog, StopCompleted>;

} // namespace tamarack
