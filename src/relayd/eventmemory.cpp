// The memory of the front end's events that wait for the control thread.
#include "relayd/eventmemory.h"

#include "core/relay/requestmemory.h"

#include <variant>

namespace tamarack {

namespace {

constexpr std::uint64_t eventBytes = sizeof(RelayEvent) + sizeof(MonoTime);

/// Returns the memory of an event that a client or an upstream can cause, otherwise 0.
std::uint64_t memoryOfEvent(const RelayEvent &event)
{
    if (const auto *read = std::get_if<RequestRead>(&event))
        return eventBytes + memoryOf(read->request_);
    if (const auto *ended = std::get_if<RelayAttemptEnded>(&event))
        return eventBytes + memoryOf(ended->detail_);
    const bool ofFrontend = std::holds_alternative<OutputStarted>(event)
        || std::holds_alternative<ClientDisconnected>(event)
        || std::holds_alternative<InstanceNoticeReceived>(event);
    return ofFrontend ? eventBytes : 0;
}

} // namespace

void countPosted(EventMemory &memory, const RelayEvent &event)
{
    memory.bytes_ += memoryOfEvent(event);
}

void countTaken(EventMemory &memory, const RelayEvent &event)
{
    memory.bytes_ -= memoryOfEvent(event);
}

} // namespace tamarack
