// Memory of the front end: reservations for request bodies, and what each connection buffers.
#include "adapters/relayhttp/internal.h"

#include <sys/epoll.h>

#include <algorithm>

namespace tamarack::frontend {

namespace {

constexpr int statusServiceUnavailable = 503;

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
    client.awaitedBytes_ = needed;
    state.awaitingMemory_.push_back(client.channel_.id_);
    updateInterest(state, client.channel_, client.channel_.interest_ & ~std::uint32_t {EPOLLIN});
    setDeadline(state, client.channel_,
                std::chrono::steady_clock::now() + state.settings_.memoryWaitTimeout_);
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
        const auto it = state.clients_.find(state.awaitingMemory_.front());
        const bool waits = it != state.clients_.end() && it->second.awaitedBytes_ > 0;
        if (waits && !extendReservation(state.buffers_, it->second.body_, it->second.awaitedBytes_))
            return;
        state.awaitingMemory_.pop_front();
        if (!waits)
            continue;
        ClientConnection &client = it->second;
        client.awaitedBytes_ = 0;
        updateInterest(state, client.channel_, client.channel_.interest_ | std::uint32_t {EPOLLIN});
        setDeadline(state, client.channel_, *client.requestStart_ + state.limits_.readTimeout_);
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
    if (const auto it = state.clients_.find(related.client_); it != state.clients_.end()) {
        const ClientConnection &client = it->second;
        const std::size_t input = bufferedBytes(client.reader_);
        setShare(state.buffers_, it->second.channel_.buffered_,
                 client.channel_.out_.bytes_.size() + input - std::min(input, client.body_.bytes_));
    }
    if (const auto it = state.upstreams_.find(related.upstream_); it != state.upstreams_.end())
        setShare(state.buffers_, it->second.channel_.buffered_,
                 it->second.channel_.out_.bytes_.size() + it->second.input_.size());
    if (const auto it = state.exchanges_.find(related.exchange_); it != state.exchanges_.end()) {
        const ClientExchange &exchange = it->second;
        const std::size_t body = exchange.request_.body_.size();
        setShare(state.buffers_, it->second.buffered_,
                 exchange.bufferedBody_.size() + exchange.events_.partial_.size() + body
                     - std::min(body, exchange.body_.bytes_));
    }
}

} // namespace tamarack::frontend
