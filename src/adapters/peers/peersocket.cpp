// The thread that owns the ZeroMQ sockets between daemons.
#include "adapters/peers/peersocket.h"

#include "adapters/peers/messagecodec.h"

#include <zmq.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace tamarack {

namespace {

constexpr const char *wakeAddress = "inproc://peers-wake";
/// Maximum number of messages to receive before queued messages are sent.
constexpr int maxReceiveBatch = 256;

struct Connection
{
    zmq::socket_t socket_;
    /// Sequence number of the last message sent; used to find the least recently used connection.
    std::uint64_t lastUse_ = 0;
};

/// Numbers of messages dropped since the last log line, by reason.
struct DropCounts
{
    std::uint64_t queueFull_ = 0;
    std::uint64_t peerFull_ = 0;
    std::uint64_t malformed_ = 0;
    std::uint64_t tooLarge_ = 0;
};

} // namespace

/// State of a peer socket. The mutex guards outgoing_, wakePending_, wake_, stopping_ and
/// drops_.queueFull_; the socket thread owns all other members.
struct PeerSocketState
{
    PeerSettings settings_;
    EventPort events_;
    LogPort log_;
    zmq::context_t context_ {1};
    zmq::socket_t listener_;
    zmq::socket_t wakeReceiver_;
    std::map<std::string, Connection> connections_;
    std::uint64_t sent_ = 0;
    DropCounts drops_;
    std::optional<MonoTime> loggedAt_;
    std::string lastError_;

    std::mutex mutex_;
    std::deque<SendPeer> outgoing_;
    zmq::socket_t wake_;
    bool wakePending_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

namespace {

void wakeThread(PeerSocketState &state)
{
    if (state.wakePending_)
        return;
    state.wakePending_ = true;
    state.wake_.send(zmq::message_t {}, zmq::send_flags::dontwait);
}

void enqueue(PeerSocketState &state, SendPeer message)
{
    const std::lock_guard lock(state.mutex_);
    if (state.stopping_)
        return;
    if (state.outgoing_.size() >= state.settings_.maxQueuedMessages_)
        ++state.drops_.queueFull_;
    else
        state.outgoing_.push_back(std::move(message));
    wakeThread(state);
}

void closeLeastRecentlyUsed(PeerSocketState &state)
{
    auto oldest = state.connections_.begin();
    for (auto it = state.connections_.begin(); it != state.connections_.end(); ++it) {
        if (it->second.lastUse_ < oldest->second.lastUse_)
            oldest = it;
    }
    state.connections_.erase(oldest);
}

zmq::socket_t openConnection(PeerSocketState &state, const std::string &address)
{
    zmq::socket_t socket(state.context_, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, static_cast<int>(state.settings_.linger_.count()));
    socket.set(zmq::sockopt::sndhwm, static_cast<int>(state.settings_.maxQueuedMessages_));
    socket.set(zmq::sockopt::reconnect_ivl,
               static_cast<int>(state.settings_.reconnectMin_.count()));
    socket.set(zmq::sockopt::reconnect_ivl_max,
               static_cast<int>(state.settings_.reconnectMax_.count()));
    // Heartbeats detect dead connections, which are then replaced. Messages in transit are lost,
    // which is acceptable for any message between daemons.
    socket.set(zmq::sockopt::heartbeat_ivl,
               static_cast<int>(state.settings_.reconnectMax_.count()));
    socket.set(zmq::sockopt::heartbeat_timeout,
               static_cast<int>(2 * state.settings_.reconnectMax_.count()));
    socket.connect("tcp://" + address);
    return socket;
}

void transmit(PeerSocketState &state, const SendPeer &command)
{
    const std::string bytes
        = encodePeerMessage(PeerEnvelope {state.settings_.host_, command.message_});
    if (bytes.size() > state.settings_.maxMessageBytes_) {
        ++state.drops_.tooLarge_;
        return;
    }
    try {
        auto it = state.connections_.find(command.address_);
        if (it == state.connections_.end()) {
            if (state.connections_.size() >= state.settings_.maxConnections_)
                closeLeastRecentlyUsed(state);
            it = state.connections_
                     .emplace(command.address_,
                              Connection {openConnection(state, command.address_), 0})
                     .first;
        }
        it->second.lastUse_ = ++state.sent_;
        if (!it->second.socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            ++state.drops_.peerFull_;
    } catch (const zmq::error_t &error) {
        ++state.drops_.malformed_;
        state.lastError_ = "peer address " + command.address_ + ": " + error.what();
    }
}

void postReceived(PeerSocketState &state, const zmq::message_t &message)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(envelope, decodePeerMessage(message.to_string_view()));
            state.events_.post_(
                PeerMessageReceived {std::move(envelope.from_), std::move(envelope.message_)});
            return {};
        },
        [&state](const Error &error) {
            ++state.drops_.malformed_;
            state.lastError_ = error.id_ + ": " + error.message_;
        },
        [&state] { ++state.drops_.malformed_; });
}

/// Receives one message, which consists of a routing id and one part.
/// @return false if no message is pending
bool receiveOne(PeerSocketState &state)
{
    zmq::message_t identity;
    if (!state.listener_.recv(identity, zmq::recv_flags::dontwait))
        return false;
    zmq::message_t body;
    std::size_t parts = 0;
    while (state.listener_.get(zmq::sockopt::rcvmore)) {
        zmq::message_t part;
        if (!state.listener_.recv(part, zmq::recv_flags::dontwait))
            break;
        if (++parts == 1)
            body = std::move(part);
    }
    if (parts == 1) {
        postReceived(state, body);
    } else {
        ++state.drops_.malformed_;
        state.lastError_ = "a peer message has " + std::to_string(parts) + " parts; 1 is expected";
    }
    return true;
}

/// Logs the numbers of messages dropped since the last log line, at most once per log interval.
void logDrops(PeerSocketState &state, MonoTime now)
{
    if (state.loggedAt_ && now - *state.loggedAt_ < state.settings_.logInterval_)
        return;
    DropCounts drops;
    {
        const std::lock_guard lock(state.mutex_);
        drops = std::exchange(state.drops_, {});
    }
    if (drops.queueFull_ + drops.peerFull_ + drops.malformed_ + drops.tooLarge_ == 0)
        return;
    state.loggedAt_ = now;
    state.log_.write_(LogEvent {LogLevel::Warning,
                                "peers.dropped",
                                {{"queue_full", std::to_string(drops.queueFull_)},
                                 {"peer_full", std::to_string(drops.peerFull_)},
                                 {"malformed", std::to_string(drops.malformed_)},
                                 {"too_large", std::to_string(drops.tooLarge_)},
                                 {"last_fault", std::exchange(state.lastError_, {})}}});
}

/// Removes the queued messages and the wake-up signals that announced them.
std::deque<SendPeer> takeOutgoing(PeerSocketState &state, bool &stopping)
{
    zmq::message_t signal;
    while (state.wakeReceiver_.recv(signal, zmq::recv_flags::dontwait)) { }
    const std::lock_guard lock(state.mutex_);
    state.wakePending_ = false;
    stopping = state.stopping_;
    return std::exchange(state.outgoing_, {});
}

void runSocketThread(PeerSocketState &state)
{
    bool stopping = false;
    while (!stopping) {
        std::vector<zmq::pollitem_t> items {{state.listener_.handle(), 0, ZMQ_POLLIN, 0},
                                            {state.wakeReceiver_.handle(), 0, ZMQ_POLLIN, 0}};
        zmq::poll(items, std::chrono::milliseconds {-1});
        for (int i = 0; i < maxReceiveBatch && receiveOne(state); ++i) { }
        for (const SendPeer &message : takeOutgoing(state, stopping))
            transmit(state, message);
        logDrops(state, std::chrono::steady_clock::now());
    }
    state.connections_.clear();
    state.listener_.close();
    state.wakeReceiver_.close();
}

} // namespace

Result<PeerSocket> startPeerSocket(PeerSettings settings, EventPort events, LogPort log)
{
    PeerSocket socket {std::make_shared<PeerSocketState>()};
    PeerSocketState &state = *socket.state_;
    state.settings_ = std::move(settings);
    state.events_ = std::move(events);
    state.log_ = std::move(log);
    try {
        state.context_.set(zmq::ctxopt::max_sockets,
                           static_cast<int>(state.settings_.maxConnections_) + 8);
        state.wakeReceiver_ = zmq::socket_t(state.context_, zmq::socket_type::pair);
        state.wakeReceiver_.bind(wakeAddress);
        state.wake_ = zmq::socket_t(state.context_, zmq::socket_type::pair);
        state.wake_.connect(wakeAddress);
        state.listener_ = zmq::socket_t(state.context_, zmq::socket_type::router);
        state.listener_.set(zmq::sockopt::linger, 0);
        state.listener_.set(zmq::sockopt::maxmsgsize,
                            static_cast<std::int64_t>(state.settings_.maxMessageBytes_));
        state.listener_.set(zmq::sockopt::rcvhwm,
                            static_cast<int>(state.settings_.maxQueuedMessages_));
        state.listener_.bind("tcp://" + state.settings_.address_);
    } catch (const zmq::error_t &error) {
        if (error.num() == EADDRINUSE)
            return fail(ErrorKind::AddressInUse, "tamarack.peers.202",
                        "another process listens on " + state.settings_.address_
                            + "; stop it, or set peers.address to a free IP:port of this host");
        return fail(ErrorKind::ConnectionFailed, "tamarack.peers.201",
                    "cannot listen for peers on " + state.settings_.address_ + " (" + error.what()
                        + "); set peers.address to a free IP:port of this host");
    }
    state.thread_ = std::thread([shared = socket.state_] { runSocketThread(*shared); });
    return socket;
}

PeerPort peerPort(const PeerSocket &socket)
{
    return PeerPort {[state = socket.state_](SendPeer message) {
        enqueue(*state, std::move(message));
    }};
}

void stopPeerSocket(PeerSocket &socket)
{
    PeerSocketState &state = *socket.state_;
    {
        const std::lock_guard lock(state.mutex_);
        state.stopping_ = true;
        state.wakePending_ = false;
        wakeThread(state);
    }
    state.thread_.join();
    state.wake_.close();
    // ZeroMQ closes sockets asynchronously; the address of the listener is free only after the
    // context is closed.
    state.context_.close();
}

} // namespace tamarack
