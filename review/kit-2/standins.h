// Stand-ins of the second independent review: the platform's store, servers and clients, and the
// processes under test. Everything listens on loopback addresses.
#pragma once

#include <Poco/JSON/Object.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// @brief Header fields in order of arrival; names keep their case.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// @brief Returns the value of the first field with this name, or an empty string.
std::string fieldOf(const Fields &fields, const std::string &name);

/// @brief Returns the values of all fields with this name, in order.
std::vector<std::string> fieldsOf(const Fields &fields, const std::string &name);

/// @brief A line-buffered record of what was sent, answered and run, with the time since the start.
struct Record
{
    std::ofstream file_;
    std::mutex mutex_;
    Clock::time_point start_ = Clock::now();

    explicit Record(const std::string &path)
        : file_(path)
    { }
    void write(const std::string &line);
    double now() const;
};

/// @brief A blocking TCP connection.
struct Connection
{
    int fd_ = -1;
    std::string input_;

    explicit Connection(int fd)
        : fd_(fd)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    bool send(const std::string &bytes) const;
    /// Receives more bytes. @return false at the end of the connection, after an error or a timeout
    bool receive();
    /// Closes with a reset.
    void reset();
};

/// @brief Connects to a loopback address "IP:port".
/// @param window receive buffer in bytes; 0 for that of the system
/// @return nothing if that fails
std::unique_ptr<Connection> connectTo(const std::string &address, Millis timeout, int window = 0);

struct Message
{
    /// The request line or the status line.
    std::string first_;
    Fields fields_;
    std::string body_;
    /// The head was received.
    bool hasHead_ = false;
    /// The message has ended as its framing says.
    bool complete_ = false;
};

/// @brief Reads one message. @param onBody called with the body so far after each part
Message readMessage(Connection &connection, bool isResponse,
                    const std::function<void(const std::string &)> &onBody = {});

/// @brief Returns the status code in a status line, or 0.
int statusOf(const Message &message);

/// @brief A listener with one thread for each connection.
struct Listener
{
    using Handler = std::function<void(const std::shared_ptr<Connection> &)>;

    std::string address_;
    int fd_ = -1;
    Handler handler_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Connection>> connections_;

    /// Starts to listen. @return false if the address is in use
    bool open(const std::string &address, Handler handler);
    /// Stops to listen and resets all connections, as when the process has been killed.
    void kill();
    ~Listener() { kill(); }
};

/// @brief Returns free ports of 127.0.0.1 below the range of ephemeral ports.
std::vector<int> freePorts(std::size_t count);

struct StoreItem
{
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
};

struct StoreEvent
{
    std::string key_;
    std::uint64_t revision_ = 0;
    bool removed_ = false;
    std::string value_;
};

/// @brief The contents of the store at some time.
struct StoreCopy
{
    std::map<std::string, StoreItem> items_;
    std::map<std::uint64_t, std::pair<Millis, Clock::time_point>> leases_;
    std::vector<StoreEvent> history_;
    std::uint64_t revision_ = 0;
    std::uint64_t lastLease_ = 0;
};

/// @brief The platform's store. Values are kept as base64 text, as they travel.
struct Store
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoreItem> items_;
    std::map<std::uint64_t, std::pair<Millis, Clock::time_point>> leases_;
    std::vector<StoreEvent> history_;
    std::uint64_t revision_ = 10;
    std::uint64_t lastLease_ = 0;
    bool stopping_ = false;
    /// How often the store has come back from a copy.
    std::uint64_t era_ = 1;
    /// The store answers each call with 503 and does nothing.
    bool away_ = false;
    Listener listener_;

    bool start(const std::string &address);
    /// Writes a key as the operator or a server does. @param text the value without encoding
    void put(const std::string &key, const std::string &text);
    void remove(const std::string &key);
    StoreCopy copy();
    /// Ends a drill: what was written since the copy is gone, and its revisions are given out
    /// again.
    void restore(const StoreCopy &copy);
    void setAway(bool away);
    void stop();
};

/// @brief A program that a test started.
struct Program
{
    int pid_ = -1;

    /// Starts a program with its output in a file and only PATH, HOME, LANG and the path of its
    /// settings in its environment.
    bool start(const std::string &program, const std::string &settings, const std::string &log);
    void signal(int number) const;
    /// Kills the program and waits for its end. @return its wait status, or -1 if it wasn't running
    int end();
    /// @return true if the program has ended by itself
    bool hasEnded();
};

/// @brief One machine of the system: its addresses and its process.
struct Machine
{
    std::string name_;
    std::string zone_;
    std::string clients_;
    std::string local_;
    std::string peers_;
    Program program_;
};

/// @brief A small deployment: the store and the machines of the system.
struct Deployment
{
    std::string folder_;
    std::string program_;
    Store store_;
    std::string storeAddress_;
    std::vector<Machine> machines_;

    /// Starts the store and one machine in a zone for each entry of @a zones.
    bool start(const std::string &folder, const std::vector<std::string> &zones,
               const std::string &config);
    void startMachine(Machine &machine) const;
    /// Kills all processes at the same moment.
    void killAll();
    /// Waits until all machines say that they are ready.
    bool awaitReady(Millis limit) const;
    void stop();
    std::string settingsOf(const Machine &machine) const;
};

/// @brief Returns a random hexadecimal id.
std::string randomId(std::size_t digits = 16);

} // namespace review
