// Commands of a relay daemon, as plain values. The control thread returns them; traffic threads and
// adapters execute them.
#pragma once

#include "core/command.h"
#include "core/ids.h"
#include "core/relay/config.h"
#include "core/relay/instanceload.h"
#include "core/relay/peerranking.h"
#include "core/relay/request.h"
#include "core/streamorigin.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief Sends a request to an instance. Replaces the previous attempt of the request.
struct SendAttempt
{
    ExchangeId id_;
    /// Counts from 1 for each request.
    std::uint32_t attempt_ = 1;
    UpstreamId instance_;
    std::string address_;
    AccountId account_;
    /// The earlier of the client's deadline and the end of the route's timeout.
    MonoTime deadline_ {};
    RetryPolicy retryPolicy_ = RetryPolicy::AtMostOnce;
    bool streaming_ = false;
    /// Maximum number of connections to this instance.
    std::uint32_t maxConnections_ = 1;
    Millis connectTimeout_ {};
    /// Urgency at the engine from 0 to 9, where 0 is the most urgent; not stated if there is none.
    std::optional<int> priority_ {};
    /// Start time of the expected process. A connection to an earlier one is not used.
    WallTime startedAt_ {};
    /// Software version of the expected process. A stream that another one began must not continue
    /// there.
    SoftwareVersion version_ {};
    /// The address is that of another daemon, which takes the request over. It gets what the client
    /// sent.
    bool toPeer_ = false;
    /// Attempts that may have run, for the other daemon.
    std::uint32_t attemptsUsed_ = 0;
};

/// @brief Opens a connection to an instance, which is kept for later requests.
struct ProbeInstance
{
    UpstreamId instance_;
    std::string address_;
    WallTime startedAt_ {};
    std::uint32_t maxConnections_ = 1;
    Millis connectTimeout_ {};
};

/// @brief Sends a response that this daemon generates.
struct RespondToClient
{
    ExchangeId id_;
    int status_ = 503;
    std::optional<Millis> retryAfter_;
    std::string reason_;
    /// Urgency of the request, for the metrics.
    int urgency_ = 0;
    /// This daemon can serve no request now. Told to a daemon that hands one over.
    bool unable_ = false;
};

/// @brief Forwards the upstream's failure response that was held back.
struct ForwardFailure
{
    ExchangeId id_;
};

/// @brief Closes the connection in the middle of a response, so that the client detects the
/// truncation.
struct AbortResponse
{
    ExchangeId id_;
};

/// @brief Applies new client limits to the front end.
struct ApplyLimits
{
    ClientLimits limits_;
};

/// @brief Queries other daemons for newer documents.
struct RequestPeerDocuments
{
    std::vector<PeerAddress> peers_;
    /// Load that this daemon causes, if it shares it.
    std::optional<std::vector<InstanceLoad>> loads_ {};
    LargeDocuments largeDocuments_ = LargeDocuments::Announce;
};

/// @brief Replaces the load that replies to other daemons tell; nothing is told without an offer.
struct PublishLoads
{
    std::shared_ptr<const LoadOffer> offer_;
};

/// @brief Replaces the confirmed software versions that replies to other daemons tell.
struct PublishVersions
{
    std::shared_ptr<const ConfirmedVersions> versions_;
};

/// @brief Starts or stops following the documents of the store.
struct SetFollowsStore
{
    bool follows_ = true;
};

/// @brief The last contact to the store is older than it seems, so other daemons are told of none
/// until the next.
struct ForgetStoreContact
{ };

/// @brief The store became available or unavailable to this daemon and the peers that it queries.
struct SetStoreContact
{
    bool contact_ = true;
};

struct SetReady
{
    bool ready_ = false;
};

/// @brief Enables or disables keep-alive. Without it, each later response closes its connection.
struct SetKeepAlive
{
    bool enabled_ = true;
};

/// @brief Closes the client connections that have no request in progress.
struct CloseIdleConnections
{ };

/// @brief Stops accepting connections, and closes each client connection once its response was
/// received. ClientsClosed follows when none is left; no request is read after it.
struct CloseClients
{ };

/// @brief All responses were delivered, or the time for the stop is over; the daemon may exit.
struct RelayStopCompleted
{ };

using RelayCommand
    = std::variant<SendAttempt, ProbeInstance, RespondToClient, ForwardFailure, AbortResponse,
                   ApplyLimits, RequestPeerDocuments, PublishLoads, PublishVersions,
                   SetFollowsStore, ForgetStoreContact, SetStoreContact, SetReady, SetKeepAlive,
                   CloseIdleConnections, CloseClients, SendPeer, SubmitStoreCall, WriteLog,
                   RelayStopCompleted>;

} // namespace tamarack
