// State of the front end. The traffic thread owns all of it except the command queue, which a mutex
// guards. Connections and exchanges refer to each other by id, because either may end first.
// Internal to the front end.
#pragma once

#include "adapters/relayhttp/bufferbudget.h"
#include "adapters/relayhttp/descriptor.h"
#include "adapters/relayhttp/eventstream.h"
#include "adapters/relayhttp/frontend.h"
#include "adapters/relayhttp/message.h"

#include "core/relay/responseclass.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>

namespace tamarack {

using ConnectionId = NumericId<struct ConnectionTag>;

/// @brief Bytes queued for sending.
struct OutputBuffer
{
    std::string bytes_;
    std::size_t sent_ = 0;
};

/// @brief What a failed send shows of the connection.
enum class SendFailure {
    None,
    /// The peer had closed its side before.
    AfterClose,
    /// The connection was reset or lost while the peer could still send.
    Reset,
};

/// @brief A non-blocking socket with its send buffer, epoll interest set and deadline.
struct SocketChannel
{
    ConnectionId id_;
    Descriptor socket_;
    OutputBuffer out_;
    /// Set by the first send that fails. The kernel reports an error of a socket only once: a
    /// receive after it returns 0, as after an orderly close.
    SendFailure sendFailure_ = SendFailure::None;
    /// The socket is registered with epoll, which reports these events for it.
    bool registered_ = false;
    std::uint32_t interest_ = 0;
    std::optional<MonoTime> deadline_;
    /// Memory of the connection itself, of the bytes queued for sending, and of those that were
    /// received, without what is reserved for request bodies.
    BufferShare self_;
    BufferShare output_;
    BufferShare input_;
};

enum class ClientStage {
    /// Idle, or receiving a request.
    Reading,
    /// A request was read and its response has not been sent completely.
    Busy,
    /// The last response was sent; further input is discarded until the client closes.
    Lingering,
};

struct ClientConnection
{
    SocketChannel channel_;
    /// Accepted by the local listener: requests go to the local handler instead of an upstream.
    bool local_ = false;
    /// Accepted by the handover listener: another daemon hands requests over.
    bool fromPeer_ = false;
    ClientStage stage_ = ClientStage::Reading;
    RequestReader reader_;
    /// Time at which the first byte of the current request arrived.
    std::optional<MonoTime> requestStart_;
    /// Reserved for the body of the current request until it is submitted.
    BufferShare body_;
    /// Reading is paused until this reservation is possible; 0 if it is not paused.
    std::size_t awaitedBytes_ = 0;
    /// Set while the connection is idle; it is in FrontendState::idleClients_ then.
    std::optional<MonoTime> idleSince_;
    /// When the client last read, as far as known, while bytes wait for it, and what its host had
    /// acknowledged of them.
    MonoTime waitsForReaderSince_ {};
    std::size_t acknowledgedBefore_ = 0;
    ExchangeId exchange_;
    bool closeAfterResponse_ = false;
    /// The connection is closed at its deadline without a further response.
    bool closeScheduled_ = false;
    /// Close with a TCP reset: the response is delimited by the end of the connection, so an
    /// orderly close would make a truncated response look complete.
    bool resetOnClose_ = false;
};

struct UpstreamConnection
{
    SocketChannel channel_;
    UpstreamId instance_;
    /// Start time of the process that the connection was opened to, as far as it was known.
    WallTime startedAt_ {};
    std::string address_;
    bool connecting_ = false;
    /// Opened by ProbeInstance, which awaits its outcome.
    bool probes_ = false;
    /// At least one byte of the current request was passed to the kernel.
    bool sendStarted_ = false;
    /// Bytes of the request's body that have not been queued for sending.
    std::size_t unsentBodyBytes_ = 0;
    /// The connection has served an earlier request.
    bool reused_ = false;
    ResponseReader reader_;
    std::string input_;
    /// Memory of the head of the response being read.
    std::size_t headBytes_ = 0;
    bool headParsed_ = false;
    /// The response being read belongs to another request.
    bool otherRequest_ = false;
    /// Body bytes of responses to other requests since the request was sent.
    std::size_t skippedBytes_ = 0;
    /// The connection is closed after the response instead of pooled: the upstream closed its side,
    /// or sent a response to another request and may send more of them.
    bool closeAfterResponse_ = false;
    /// Reading is paused until the client has received enough of its queued bytes.
    bool readPaused_ = false;
    ExchangeId exchange_;
    std::optional<Seconds> keepAliveTimeout_;
    /// CLOCK_BOOTTIME, which also counts the time during which the machine was suspended.
    std::chrono::nanoseconds idleSince_ {};
};

/// @brief A client request and its response in progress, over all attempts.
struct ClientExchange
{
    ExchangeId id_;
    ConnectionId client_;
    std::optional<ConnectionId> upstream_;
    HttpRequest request_;
    /// Reserved for the body of the request.
    BufferShare body_;
    /// Memory of the request's head, also at the control thread, and of the body if it is not
    /// reserved.
    BufferShare headMemory_;
    /// Memory of the request's head, here and at the control thread.
    std::size_t headBytes_ = 0;
    /// The bytes of the response that are held back.
    BufferShare buffered_;
    RequestId requestId_;
    MonoTime arrivedAt_ {};
    std::optional<Millis> clientTimeout_;
    SendAttempt attempt_;
    /// The current attempt has a connection that was opened for it.
    bool newConnection_ = false;
    /// The daemon that the current attempt was handed to can serve no request.
    bool peerUnable_ = false;
    /// The client disconnected, but the attempt continues, because the request may run only once.
    bool abandoned_ = false;
    ResponseClass responseClass_ = ResponseClass::Deliver;
    HttpResponseHead head_;
    /// Response body that is buffered before anything is sent to the client.
    std::string bufferedBody_;
    /// OutputStarted was posted to the control thread for the current attempt.
    bool outputReported_ = false;
    /// A response head was queued for the client.
    bool headSent_ = false;
    bool chunked_ = false;
    EventSplitter events_;
    std::string lastEventId_;
    /// Number of events queued for the client, over all attempts.
    std::uint64_t eventCount_ = 0;
    /// The attempt that brought the first of them, and the software version that it was sent to.
    std::uint32_t begunBy_ = 0;
    SoftwareVersion begunAt_ {};
};

struct CommandQueue
{
    std::mutex mutex_;
    std::deque<RelayCommand> commands_;
    bool stopping_ = false;
};

struct FrontendState
{
    FrontendSettings settings_;
    RelayEventPort events_;
    LocalHandler localHandler_;
    CommandQueue commandQueue_;
    Descriptor epoll_;
    Descriptor wakeupEvent_;
    Descriptor clientListener_;
    Descriptor localListener_;
    /// Empty if there is no listener for other daemons.
    Descriptor handoverListener_;
    std::thread thread_;
    /// Bytes on client and upstream connections since the start; written by the traffic thread
    /// only.
    std::atomic<std::uint64_t> receivedBytes_ = 0;
    std::atomic<std::uint64_t> sentBytes_ = 0;
    /// Declared before the connections and exchanges, which return their shares on destruction.
    BufferBudget buffers_;
    /// Clients whose reading is paused until memory is available, in order of arrival.
    std::deque<ConnectionId> awaitingMemory_;

    ClientLimits limits_;
    std::uint64_t lastId_ = 0;
    std::map<ConnectionId, ClientConnection> clients_;
    std::map<ConnectionId, UpstreamConnection> upstreams_;
    std::map<ExchangeId, ClientExchange> exchanges_;
    /// Idle connections per upstream address, least recently used first.
    std::map<std::string, std::vector<ConnectionId>> idleConnections_;
    std::map<std::string, std::uint32_t> connectionCounts_;
    /// Instances whose last response stated a notice.
    std::set<UpstreamId> noticeStated_;
    std::set<std::pair<MonoTime, ConnectionId>> deadlines_;
    /// Idle connections of the client listener, the longest idle first.
    std::set<std::pair<MonoTime, ConnectionId>> idleClients_;
    std::size_t localClients_ = 0;
    bool accepting_ = true;
    /// Every response carries "Connection: close".
    bool keepAliveDisabled_ = false;
    /// Client connections are closed as soon as they become idle.
    bool closingIdleClients_ = false;
    /// No connections are accepted any more, and ClientsClosed is due when no client is left.
    bool closingAllClients_ = false;
    bool clientsClosedReported_ = false;
    /// CLOCK_BOOTTIME minus CLOCK_MONOTONIC: total time for which the machine was suspended.
    std::chrono::nanoseconds suspendedTime_ {};
};

} // namespace tamarack
