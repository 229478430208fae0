// A server that responds to each request with the same bytes, whether they are valid HTTP or not.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

namespace tamarack {

/// What the server does with the connection after each response.
enum class ServerEnding {
    KeepOpen,
    Close,
    Reset,
    /// Resets the connection without reading more of the request than its head.
    ResetUnread,
};

/// @brief Serves one connection after the other on a thread of its own.
struct ScriptedServer
{
    std::string response_;
    ServerEnding ending_ = ServerEnding::KeepOpen;
    Poco::Net::ServerSocket listener_ {Poco::Net::SocketAddress("127.0.0.1:0")};
    std::atomic<int> connections_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;

    ScriptedServer(std::string response, ServerEnding ending);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;
};

inline std::string addressOf(const ScriptedServer &server)
{
    return server.listener_.address().toString();
}

/// Reads the head of a request, and its body unless @a headOnly is set.
/// @return false if the client has closed the connection
inline bool readRequest(Poco::Net::StreamSocket &socket, bool headOnly)
{
    std::string text;
    std::size_t wanted = std::string::npos;
    std::array<char, 4096> buffer {};
    while (text.size() < wanted) {
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
            return false;
        text.append(buffer.data(), static_cast<std::size_t>(count));
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos || wanted != std::string::npos)
            continue;
        const std::string field = "Content-Length: ";
        const std::size_t length = text.find(field);
        wanted = end + 4;
        if (length < end && !headOnly)
            wanted += std::stoul(text.substr(length + field.size()));
    }
    return true;
}

inline void serveConnection(const ScriptedServer &server, Poco::Net::StreamSocket &socket)
{
    const bool unread = server.ending_ == ServerEnding::ResetUnread;
    while (readRequest(socket, unread)) {
        socket.sendBytes(server.response_.data(), static_cast<int>(server.response_.size()));
        if (server.ending_ == ServerEnding::KeepOpen)
            continue;
        if (server.ending_ != ServerEnding::Close)
            socket.setLinger(true, 0);
        return;
    }
}

inline ScriptedServer::ScriptedServer(std::string response, ServerEnding ending)
    : response_(std::move(response))
    , ending_(ending)
    , thread_([this] {
        // An upload that isn't read has to block.
        if (ending_ == ServerEnding::ResetUnread)
            listener_.setReceiveBufferSize(4096);
        while (true) {
            Poco::Net::StreamSocket socket = listener_.acceptConnection();
            if (stopping_)
                return;
            ++connections_;
            try {
                serveConnection(*this, socket);
            } catch (const Poco::Exception &) {
                // The client has reset the connection.
            }
        }
    })
{ }

inline ScriptedServer::~ScriptedServer()
{
    stopping_ = true;
    const Poco::Net::StreamSocket wakeUp(listener_.address());
    thread_.join();
}

} // namespace tamarack
