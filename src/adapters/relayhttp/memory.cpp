// Memory of the front end: reservations for request bodies, and what each connection buffers.
#include "adapters/relayhttp/internal.h"

#include "core/relay/requestmemory.h"

#include <sys/epoll.h>

#include <algorithm>

namespace tamarack::frontend {

namespace {

constexpr int statusServiceUnavailable = 503;

/// Memory of a connection without what it buffers: its state, the parser, and its entries in maps.
constexpr std::size_t clientConnectionBytes = 2048;
constexpr std::size_t upstreamConnectionBytes = 2048;

/// Share of the budget that events may take while they wait for the control thread.
constexpr double queuedEventsFraction = 0.1;

/// Returns how much memory must be reserved to receive the rest of a request; 0 if none.
std::size_t neededReservation(const FrontendSettings &settings, const RequestProgress &progress)
{
    const std::size_t unreserved = settings.unreservedBodyBytes_;
    if (progress.bodyBytes_ <= unreserved)
        return 0;
    // A buffer of unknown size grows by doubling.
    return progress.bodySizeKnown_ ? progress.bodyBytes_
                                   : (progress.bodyBytes_ / unreserved + 1) * unreserved * 2;
}

} // namespace

void reserveMemory(FrontendState &state, ClientConnection &client, const RequestProgress &progress)
{
    const std::size_t needed = neededReservation(state.settings_, progress);
    if (extendReservation(state.buffers_, client.body_, needed))
        return;
    awaitMemory(state, client, needed);
}

void awaitMemory(FrontendState &state, ClientConnection &client, std::size_t needed)
{
    const MonoTime now = std::chrono::steady_clock::now();
    if (!client.requestStart_)
        client.requestStart_ = now;
    unmarkIdle(state, client);
    client.awaitedBytes_ = needed;
    state.awaitingMemory_.push_back(client.channel_.id_);
    updateInterest(state, client.channel_, client.channel_.interest_ & ~std::uint32_t {EPOLLIN});
    // A request that waits again and again must not outlast the time to receive it.
    setDeadline(state, client.channel_,
                std::min(now + state.settings_.memoryWaitTimeout_,
                         *client.requestStart_ + state.limits_.readTimeout_));
}

bool isMemoryFull(const FrontendState &state)
{
    const BufferBudget &budget = state.buffers_;
    if (usesMoreThan(budget, fullFraction))
        return true;
    return budget.limit_ > 0 && state.events_.queuedBytes_
        && static_cast<double>(state.events_.queuedBytes_())
        > static_cast<double>(budget.limit_) * queuedEventsFraction;
}

void discardRequest(ClientConnection &client)
{
    client.closeAfterResponse_ = true;
    client.awaitedBytes_ = 0;
    client.reader_ = RequestReader();
    client.body_ = BufferShare();
}

void refuseForMemory(FrontendState &state, ClientConnection &client)
{
    discardRequest(client);
    ++state.buffers_.refusals_;
    LocalResponse response;
    response.contentType_ = "application/json";
    response.body_ = R"({"error":{"code":"no_memory","message":"too many large requests are being )"
                     R"(received; send the request again later","execution":"not_run"}})";
    sendLocalResponse(state, client, statusServiceUnavailable, response,
                      state.settings_.memoryRetryAfter_);
}

void resumeAwaitingMemory(FrontendState &state)
{
    while (!state.awaitingMemory_.empty()) {
        const ConnectionId id = state.awaitingMemory_.front();
        const auto it = state.clients_.find(id);
        const bool waits = it != state.clients_.end() && it->second.awaitedBytes_ > 0;
        if (waits && isMemoryFull(state))
            return;
        if (waits && !extendReservation(state.buffers_, it->second.body_, it->second.awaitedBytes_))
            return;
        state.awaitingMemory_.pop_front();
        if (!waits)
            continue;
        it->second.awaitedBytes_ = 0;
        resumeRequest(state, it->second);
        countBuffers(state, relatedIds(state, id));
    }
}

RelatedIds relatedIds(const FrontendState &state, ExchangeId id)
{
    RelatedIds related;
    related.exchange_ = id;
    const auto exchange = state.exchanges_.find(id);
    if (exchange == state.exchanges_.end())
        return related;
    related.client_ = exchange->second.client_;
    related.upstream_ = exchange->second.upstream_.value_or(ConnectionId {});
    return related;
}

RelatedIds relatedIds(const FrontendState &state, ConnectionId id)
{
    RelatedIds related;
    if (const auto client = state.clients_.find(id); client != state.clients_.end()) {
        related = relatedIds(state, client->second.exchange_);
        related.client_ = id;
    } else if (const auto upstream = state.upstreams_.find(id);
               upstream != state.upstreams_.end()) {
        related = relatedIds(state, upstream->second.exchange_);
        related.upstream_ = id;
    }
    return related;
}

void countBuffers(FrontendState &state, const RelatedIds &related)
{
    BufferBudget &budget = state.buffers_;
    if (const auto it = state.clients_.find(related.client_); it != state.clients_.end()) {
        ClientConnection &client = it->second;
        const std::size_t input = bufferedBytes(client.reader_);
        setShare(budget, client.channel_.self_, MemoryKind::Connections, clientConnectionBytes);
        setShare(budget, client.channel_.input_, MemoryKind::Requests,
                 input - std::min(input, client.body_.bytes_));
        setShare(budget, client.channel_.output_, MemoryKind::Responses,
                 memoryOf(client.channel_.out_.bytes_));
    }
    if (const auto it = state.upstreams_.find(related.upstream_); it != state.upstreams_.end()) {
        UpstreamConnection &upstream = it->second;
        setShare(budget, upstream.channel_.self_, MemoryKind::Connections, upstreamConnectionBytes);
        setShare(budget, upstream.channel_.input_, MemoryKind::Responses,
                 memoryOf(upstream.input_) + upstream.headBytes_);
        setShare(budget, upstream.channel_.output_, MemoryKind::Requests,
                 memoryOf(upstream.channel_.out_.bytes_));
    }
    if (const auto it = state.exchanges_.find(related.exchange_); it != state.exchanges_.end()) {
        ClientExchange &exchange = it->second;
        const std::size_t body = memoryOf(exchange.request_.body_);
        setShare(budget, exchange.headMemory_, MemoryKind::Requests,
                 exchange.headBytes_ + body - std::min(body, exchange.body_.bytes_));
        setShare(budget, exchange.buffered_, MemoryKind::Responses,
                 memoryOf(exchange.bufferedBody_) + memoryOf(exchange.events_.partial_));
    }
}

} // namespace tamarack::frontend
