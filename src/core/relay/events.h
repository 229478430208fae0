// Events of a relay daemon, as plain values. Traffic threads and adapters post them; the control
// thread handles them and returns commands.
#pragma once

#include "core/command.h"
#include "core/event.h"
#include "core/ids.h"
#include "core/permitmessage.h"
#include "core/quarantinereport.h"
#include "core/relay/config.h"
#include "core/relay/documentsync.h"
#include "core/relay/evacuation.h"
#include "core/relay/fleet.h"
#include "core/relay/instanceload.h"
#include "core/relay/instancenotice.h"
#include "core/relay/instances.h"
#include "core/relay/prepaid.h"
#include "core/relay/request.h"
#include "core/store.h"
#include "core/streamorigin.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief How an attempt at an upstream ended.
enum class AttemptEnd {
    /// The whole response was sent to the client.
    Delivered,
    /// No byte of the request was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotExecuted,
    /// Another instance responded at the address and did not run the request.
    WrongInstance,
    /// The upstream responded with a failure. The response is held back until the control thread
    /// decides whether to retry.
    Failed,
    /// The response is not acceptable: it belongs to another request, is unsigned, has a content
    /// encoding or is malformed.
    Malformed,
    /// The connection ended before the response did.
    ConnectionLost,
    /// No byte of the request was sent, because an earlier attempt had begun the stream at another
    /// software version.
    Superseded,
    /// The client closed its connection.
    ClientDisconnected,
};

/// @brief Returns the stable code of an AttemptEnd, such as "not_sent".
std::string_view attemptEndCode(AttemptEnd end);

/// @brief A request was read completely.
struct RequestRead
{
    RelayRequest request_;
};

/// @brief The first event of a stream, or the head of any other response, arrived.
struct OutputStarted
{
    ExchangeId id_;
    std::uint32_t attempt_ = 0;
    MonoTime at_ {};
    /// The attempt has opened a connection to the instance.
    bool connected_ = false;
};

/// @brief An attempt ended without a command from the control thread.
struct RelayAttemptEnded
{
    ExchangeId id_;
    std::uint32_t attempt_ = 0;
    AttemptEnd end_ = AttemptEnd::Delivered;
    /// Status code of the upstream's response; 0 if there is none.
    int status_ = 0;
    /// Number of events that all attempts have sent to the client so far.
    std::uint64_t events_ = 0;
    /// Part of the response was sent to the client.
    bool partiallyDelivered_ = false;
    /// The attempt that brought the first event of a stream; 0 if there was no event.
    std::uint32_t begunBy_ = 0;
    /// No connection was tried, because this daemon has as many to the upstream as it may.
    bool connectionsUsed_ = false;
    /// The attempt has opened a connection to the instance.
    bool connected_ = false;
    /// The daemon that the request was handed to can serve no request now.
    bool peerUnable_ = false;
    /// Error description for the log.
    std::string detail_;
};

/// @brief The head of a response stated something about its instance, or the first one after such a
/// head stated nothing.
struct InstanceNoticeReceived
{
    UpstreamId instance_;
    InstanceNotice notice_;
};

/// @brief The client closed its connection before its response ended.
struct ClientDisconnected
{
    ExchangeId id_;
    std::uint64_t events_ = 0;
};

/// @brief Where a change was received from.
enum class ChangeSource {
    Store,
    Peer,
};

struct ConfigReceived
{
    std::shared_ptr<const RelayConfig> config_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief A full listing of the instances at a position of the store.
struct InstancesListed
{
    std::vector<ListedInstance> instances_;
    StorePosition position_;
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
    StorePosition position_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief All evacuations of availability zones at a position of the store.
struct EvacuationsListed
{
    std::vector<ListedEvacuation> evacuations_;
    StorePosition position_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief An operator requested the evacuation of an availability zone.
struct EvacuationChanged
{
    ListedEvacuation listed_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief An operator ended the evacuation of an availability zone.
struct EvacuationRemoved
{
    ListedEvacuation listed_;
    ChangeSource source_ = ChangeSource::Store;
};

/// @brief A reply of the store, or of a peer, showed a new era of the store: it has returned from a
/// copy since the last one. The first event of a daemon tells the era in which it started.
struct StoreEraNoticed
{
    StoreEra era_;
};

/// @brief Another daemon requests a loan or reports the use of one.
struct LoanRequestReceived
{
    HostId from_;
    LoanRequest request_;
};

/// @brief A lender replied to a loan request.
struct LoanReplyReceived
{
    HostId from_;
    LoanReply lent_;
};

/// @brief Another daemon reported its committed grants.
struct GrantReportReceived
{
    GrantReport report_;
};

/// @brief Another daemon reported crashes of instances.
struct QuarantineReportReceived
{
    HostId from_;
    QuarantineReport report_;
};

/// @brief Another daemon requests a permit for an instance with a request limit.
struct PermitRequestReceived
{
    HostId from_;
    PermitRequest request_;
};

/// @brief A coordinator replied to a permit request.
struct PermitReplyReceived
{
    HostId from_;
    PermitReply reply_;
};

/// @brief Another daemon asks whether this one runs.
struct PresenceRequestReceived
{
    HostId from_;
    PresenceRequest request_;
};

/// @brief Another daemon replied that it runs.
struct PresenceReplyReceived
{
    HostId from_;
    PresenceReply reply_;
};

/// @brief Another daemon requested documents from this one.
struct DocumentsRequestReceived
{
    HostId from_ {};
    /// Load that the daemon causes; nullptr if it does not share it.
    LoadList loads_ {};
};

/// @brief A peer replied to a request for documents. The documents are separate events.
struct DocumentsReplyReceived
{
    HostId from_;
    /// Time since the peer's last contact to the store; std::nullopt if it has none.
    std::optional<Millis> contactAge_;
    /// Load that other daemons cause, and the number of these daemons; 0 if it is not known.
    std::vector<InstanceLoad> loads_ {};
    std::uint32_t loadReporters_ = 0;
    /// Software versions that the store has confirmed to the peer.
    ConfirmedVersions versions_ {};
    /// Size of the large documents that the peer announces and this daemon lacks, and the address
    /// at which the peer can be asked for them.
    std::uint64_t announcedBytes_ = 0;
    std::string address_ {};
    /// The reply ends a transfer of large documents.
    bool isTransfer_ = false;
};

/// @brief Another daemon tells where a stream began.
struct StreamBeganReceived
{
    HostId from_;
    StreamBegan began_;
};

/// @brief Another daemon asks where a stream began.
struct StreamOriginRequestReceived
{
    HostId from_;
    StreamOriginRequest request_;
};

/// @brief Another daemon replied where a stream began.
struct StreamOriginReplyReceived
{
    HostId from_;
    StreamOriginReply reply_;
};

/// @brief Outcome of ProbeInstance.
struct InstanceProbed
{
    UpstreamId instance_;
    bool connected_ = false;
};

/// @brief This machine was suspended for some time, which its steady clock has not counted.
struct MachineResumed
{ };

/// @brief A feed of documents became available or unavailable.
struct FeedAvailabilityChanged
{
    std::string name_;
    bool available_ = false;
    std::string detail_;
};

/// @brief The store replied to the watch of the configuration.
struct ConfigFeedReplied
{
    /// All changes up to this time are known; nothing if that is now.
    std::optional<MonoTime> knownAt_ {};
};

/// @brief The daemon was requested to stop.
struct RelayStopRequested
{
    /// When the process must have exited.
    MonoTime deadline_ {};
};

/// @brief The front end has closed all client connections after CloseClients.
struct ClientsClosed
{ };

/// @brief The front end has begun or ceased to accept client connections, because its limit on
/// them or on memory is reached.
struct AcceptingChanged
{
    bool accepts_ = true;
};

using RelayEvent = std::variant<
    RequestRead, OutputStarted, RelayAttemptEnded, InstanceNoticeReceived, ClientDisconnected,
    ConfigReceived, InstancesListed, InstanceChanged, InstanceRemoved, EvacuationsListed,
    EvacuationChanged, EvacuationRemoved, FleetView, LoanRequestReceived, LoanReplyReceived,
    GrantReportReceived, QuarantineReportReceived, PermitRequestReceived, PermitReplyReceived,
    PresenceRequestReceived, PresenceReplyReceived, DocumentsRequestReceived,
    DocumentsReplyReceived, FeedAvailabilityChanged, ConfigFeedReplied, StoreEraNoticed,
    StoreReplied, RelayStopRequested, ClientsClosed, AcceptingChanged, StreamBeganReceived,
    StreamOriginRequestReceived, StreamOriginReplyReceived, InstanceProbed, MachineResumed>;

} // namespace tamarack
