// What happens to a relay daemon and what it decides, as plain values. Traffic threads and adapters
// post events; the control thread answers with commands.
#pragma once

#include "core/command.h"
#include "core/event.h"
#include "core/ids.h"
#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/fleet.h"
#include "core/relay/instances.h"
#include "core/relay/prepaid.h"
#include "core/relay/request.h"
#include "core/store.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief How one exchange with an upstream ended.
enum class AttemptEnd {
    /// The whole answer went to the client.
    Delivered,
    /// No byte of the request left this daemon.
    NotSent,
    /// The upstream says that it did not run the request.
    NotExecuted,
    /// Another instance answered at the address and did not run the request.
    WrongInstance,
    /// The upstream answered with a failure. Its answer is held back for the verdict.
    Failed,
    /// The answer is not acceptable: foreign, unsigned, encoded or malformed.
    Malformed,
    /// The connection ended before the answer did.
    ConnectionLost,
    /// The client went away.
    ClientDisconnected,
};

/// @brief Returns the stable code of an end, such as "not_sent".
std::string_view attemptEndCode(AttemptEnd end);

/// @brief A request was read whole.
struct RequestRead
{
    RelayRequest request_;
};

/// @brief The first event of a stream, or the head of another answer, arrived.
struct OutputStarted
{
    ExchangeId id_;
    std::uint32_t attempt_ = 0;
    MonoTime at_ {};
};

/// @brief An exchange ended on its own.
struct RelayAttemptEnded
{
    ExchangeId id_;
    std::uint32_t attempt_ = 0;
    AttemptEnd end_ = AttemptEnd::Delivered;
    /// Status of the upstream's answer, 0 if there is none.
    int status_ = 0;
    /// Events that were passed to the client so far, by all attempts.
    std::uint64_t events_ = 0;
    /// Some of the answer went to the client.
    bool partiallyDelivered_ = false;
    /// What failed, for the log.
    std::string detail_;
};

/// @brief The client closed its connection before its answer ended.
struct ClientDisconnected
{
    ExchangeId id_;
    std::uint64_t events_ = 0;
};

/// @brief Where a change became known.
enum class ChangeSource {
    Store,
    Peer,
};

struct ConfigReceived
{
    std::shared_ptr<const RelayConfig> config_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief A whole listing of the instances, as of a revision of the store.
struct InstancesListed
{
    std::vector<ListedInstance> instances_;
    Revision revision_;
    ChangeSource source_ = ChangeSource::Store;
};

struct InstanceChanged
{
    ListedInstance listed_;
    ChangeSource source_ = ChangeSource::Store;
};

struct InstanceRemoved
{
    UpstreamId id_;
    Revision revision_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief Another daemon asks for a loan or reports on one.
struct LoanRequestReceived
{
    HostId from_;
    LoanRequest ask_;
};

/// @brief A lender answered.
struct LoanReplyReceived
{
    HostId from_;
    LoanReply lent_;
};

/// @brief The store stopped or began to answer a feed of documents.
struct FeedAvailabilityChanged
{
    std::string name_;
    bool available_ = false;
    std::string detail_;
};

/// @brief The daemon was asked to stop.
struct RelayStopRequested
{
    /// When it has to be gone.
    MonoTime limit_ {};
};

using RelayEvent = std::variant<RequestRead, OutputStarted, RelayAttemptEnded, ClientDisconnected,
                                ConfigReceived, InstancesListed, InstanceChanged, InstanceRemoved,
                                FleetCounted, LoanRequestReceived, LoanReplyReceived,
                                FeedAvailabilityChanged, StoreReplied, RelayStopRequested>;

/// @brief Sends a request to an instance, in place of the attempt before.
struct SendAttempt
{
    ExchangeId id_;
    /// 1 for the first attempt of a request.
    std::uint32_t attempt_ = 1;
    UpstreamId instance_;
    std::string address_;
    AccountId account_;
    /// When the client's time or the route's timeout ends.
    MonoTime deadline_ {};
    RetryPolicy retryPolicy_ = RetryPolicy::AtMostOnce;
    bool streaming_ = false;
    /// Keeps the connections of one instance below this number.
    std::uint32_t maxConnections_ = 1;
    Millis connectTimeout_ {};
};

/// @brief Answers the client in the daemon's own name.
struct RespondToClient
{
    ExchangeId id_;
    int status_ = 503;
    std::optional<Millis> retryAfter_;
    std::string reason_;
};

/// @brief Passes the held-back failure of the upstream to the client.
struct ForwardFailure
{
    ExchangeId id_;
};

/// @brief Ends an answer that has begun so that it looks cut.
struct AbortResponse
{
    ExchangeId id_;
};

/// @brief Makes limits known to the front end.
struct ApplyLimits
{
    ClientLimits limits_;
};

/// @brief Asks other daemons for newer documents.
struct RequestPeerDocuments
{
    std::vector<PeerAddress> peers_;
};

struct SetReady
{
    bool ready_ = false;
};

/// @brief From now on each answer closes its connection.
struct DisableKeepAlive
{ };

/// @brief Closes the connections without a request.
struct CloseIdleConnections
{ };

/// @brief All requests are answered; the daemon may exit.
struct RelayStopCompleted
{ };

using RelayCommand
    = std::variant<SendAttempt, RespondToClient, ForwardFailure, AbortResponse, ApplyLimits,
                   RequestPeerDocuments, SetReady, DisableKeepAlive, CloseIdleConnections, SendPeer,
                   SubmitStoreCall, WriteLog, RelayStopCompleted>;

} // namespace tamarack
