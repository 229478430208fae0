// The callers' HTTP listener, which serves the chat-completions interface and requests to plain
// services.
#pragma once

#include "traffic/traffic.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

namespace tamarack {

/// @brief Settings of the callers' listener.
struct CallerServerSettings
{
    std::string address_;
    /// Maximum number of concurrent connections; each occupies a thread.
    std::uint32_t maxConnections_ = 256;
    std::size_t maxRequestBytes_ = 4U << 20U;
    Millis idleTimeout_ {Seconds {30}};
    /// A caller that accepts no bytes for this long counts as disconnected.
    Millis writeTimeout_ {Seconds {30}};
};

/// @brief A running listener. Members are destroyed in reverse order: the server before its
/// threads.
struct HttpListener
{
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// @brief Starts the listener.
/// @param context must outlive the listener
HttpListener startCallerServer(const CallerServerSettings &settings, TrafficContext &context);

/// @brief Stops accepting connections; responses in progress continue.
void stopAccepting(HttpListener &server);

} // namespace tamarack
