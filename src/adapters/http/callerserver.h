// The callers' listener: HTTP with the chat-completions interface and calls to plain services.
#pragma once

#include "traffic/traffic.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

namespace tamarack {

/// @brief How the callers' listener is set up.
struct CallerServerSettings
{
    std::string address_;
    /// Connections served at a time; each has a thread.
    std::uint32_t connections_ = 256;
    std::size_t maxRequestBytes_ = 4U << 20U;
    Millis idleLimit_ {Seconds {30}};
    /// A caller that takes no bytes for this long counts as gone.
    Millis writeLimit_ {Seconds {30}};
};

/// @brief A running listener. Members are destroyed in reverse order, the server first.
struct HttpListener
{
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// @brief Starts the listener. @a context must outlive it.
HttpListener startCallerServer(const CallerServerSettings &settings, TrafficContext &context);

/// @brief Accepts no further connections; answers in progress go on.
void stopAccepting(HttpListener &server);

} // namespace tamarack
