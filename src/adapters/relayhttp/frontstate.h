// State of the front end. It belongs to the traffic thread; only the inbox is shared. Connections
// and exchanges live in containers and refer to each other by numbers, because either may end
// first. Internal to the front end.
#pragma once

#include "adapters/relayhttp/descriptor.h"
#include "adapters/relayhttp/eventstream.h"
#include "adapters/relayhttp/front.h"
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

/// @brief Bytes that wait for a socket to take them.
struct OutputBuffer
{
    std::string bytes_;
    std::size_t sent_ = 0;
};

/// @brief What every connection has.
struct Endpoint
{
    ConnectionId id_;
    Descriptor socket_;
    OutputBuffer out_;
    /// Events that epoll reports for the socket.
    std::uint32_t interest_ = 0;
    std::optional<MonoTime> deadline_;
};

enum class ClientStage {
    /// Idle or in the middle of a request.
    Reading,
    /// A request is answered.
    Busy,
    /// The last answer is sent; what still arrives is discarded until the client closes.
    Lingering,
};

struct ClientConnection
{
    Endpoint endpoint_;
    /// Serves local pages in place of requests.
    bool local_ = false;
    ClientStage stage_ = ClientStage::Reading;
    RequestReader reader_;
    /// When the first byte of the request arrived.
    std::optional<MonoTime> requestStart_;
    ExchangeId exchange_;
    bool closeAfter_ = false;
    /// The connection is closed at its deadline, without a further answer.
    bool closing_ = false;
    /// The answer has no framing of its own, so only a reset shows that it is cut.
    bool reset_ = false;
};

struct UpstreamConnection
{
    Endpoint endpoint_;
    UpstreamId instance_;
    std::string address_;
    bool connecting_ = false;
    /// A byte of the current request was handed to the kernel.
    bool sentAny_ = false;
    /// Earlier requests used this connection.
    bool reused_ = false;
    AnswerReader reader_;
    std::string in_;
    bool headSeen_ = false;
    /// The answer that is being read belongs to another request.
    bool forOtherRequest_ = false;
    /// Nobody waits for more than one answer after a foreign one.
    bool closeAfter_ = false;
    /// Reading pauses until the client has taken what waits for it.
    bool paused_ = false;
    ExchangeId exchange_;
    std::optional<Seconds> keepAliveTime_;
    /// On the clock that goes on while the machine is suspended.
    std::chrono::nanoseconds idleSince_ {};
};

/// @brief One request on its way.
struct Exchange
{
    ExchangeId id_;
    ConnectionId client_;
    std::optional<ConnectionId> upstream_;
    HttpRequest request_;
    RequestId requestId_;
    MonoTime arrivedAt_ {};
    std::optional<Millis> clientTimeout_;
    SendAttempt attempt_;
    /// The client left, but the upstream finishes a request that runs once.
    bool abandoned_ = false;
    ResponseClass meaning_ = ResponseClass::Deliver;
    HttpAnswerHead head_;
    /// Body of an answer that is held back.
    std::string held_;
    bool outputPosted_ = false;
    /// The head of an answer went to the client.
    bool headSent_ = false;
    bool chunked_ = false;
    EventSplitter events_;
    std::string lastEventId_;
    /// Events passed to the client, by all attempts.
    std::uint64_t eventCount_ = 0;
};

struct Inbox
{
    std::mutex mutex_;
    std::deque<RelayCommand> commands_;
    bool stopping_ = false;
};

struct FrontState
{
    FrontendSettings settings_;
    RelayEventPort events_;
    LocalHandler pages_;
    Inbox inbox_;
    Descriptor epoll_;
    Descriptor wake_;
    Descriptor clientListener_;
    Descriptor localListener_;
    std::thread thread_;

    ClientLimits limits_;
    std::uint64_t lastId_ = 0;
    std::map<ConnectionId, ClientConnection> clients_;
    std::map<ConnectionId, UpstreamConnection> upstreams_;
    std::map<ExchangeId, Exchange> exchanges_;
    /// Idle connections of each address, the one used last at the end.
    std::map<std::string, std::vector<ConnectionId>> idle_;
    std::map<std::string, std::uint32_t> open_;
    std::set<std::pair<MonoTime, ConnectionId>> deadlines_;
    bool listening_ = true;
    /// Each answer closes its connection.
    bool closing_ = false;
    /// Idle clients are closed.
    bool closingIdle_ = false;
    /// Time on the clock that goes on during a suspension minus that on the steady clock.
    std::chrono::nanoseconds suspended_ {};
};

} // namespace tamarack
