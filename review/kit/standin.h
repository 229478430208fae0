// Stand-ins for the review's cases: the platform's store, runners, clients and the platform itself,
// which starts the daemons with the commands of the deploy file. They speak what PROTOCOL.md and
// DEPLOY.md say, on loopback addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace standin {

/// Seconds since the program started.
double now();
void sleepUntil(double time);
void sleepFor(double seconds);

/// True unless the case runs with TROUBLE=0.
bool withTrouble();

/// The record of a case: one line for everything that was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Address
{
    std::string ip_ = "127.0.0.1";
    int port_ = 0;
    std::string text() const { return ip_ + ':' + std::to_string(port_); }
};

/// A blocking TCP connection with the bytes that were received and not read yet.
class Connection
{
public:
    explicit Connection(int fd = -1)
        : fd_(fd)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Options for a link with small windows: the receive buffer and the segment size.
    struct Options
    {
        int receiveBuffer_ = 0;
        int segmentSize_ = 0;
    };
    bool connectTo(const Address &address, double timeout, Options options);
    bool connectTo(const Address &address, double timeout)
    {
        return connectTo(address, timeout, Options {});
    }
    /// Sends everything, or returns false.
    bool send(const std::string &bytes);
    /// Waits for more bytes, at most @a maxBytes.
    /// @return 1 if there are some, 0 at the end of the connection, -1 after a reset, -2 after the
    /// time limit
    int receive(double until, std::size_t maxBytes = 65536);
    /// Takes a line that ends with CRLF, without the CRLF.
    std::optional<std::string> takeLine(double until);
    bool need(std::size_t bytes, double until);
    void close();
    void reset();
    int fd() const { return fd_; }
    bool peerClosed();

    std::string input_;

private:
    std::atomic<int> fd_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string header(const Headers &headers, const std::string &name);

struct Request
{
    std::string method_;
    std::string target_;
    Headers headers_;
    std::string body_;
};

std::optional<Request> readRequest(Connection &connection, double until);

/// Accepts connections and handles each in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const std::string &ip, Handler handler);
    ~Listener();
    Address address() const { return address_; }
    /// Closes all connections; while closed, new ones are reset.
    void setClosed(bool closed);

private:
    void accept();
    Address address_;
    Handler handler_;
    int fd_ = -1;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> closed_ = false;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<std::shared_ptr<Connection>> open_;
    std::thread thread_;
};

/// The platform's store (PROTOCOL.md, "The platform's metadata store").
class Store
{
public:
    struct Item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };
    struct Event
    {
        std::string key_;
        Item item_;
        bool removed_ = false;
    };
    struct Lease
    {
        double time_ = 0;
        double ends_ = 0;
    };
    struct Data
    {
        std::map<std::string, Item> items_;
        std::vector<Event> history_;
        std::map<std::uint64_t, Lease> leases_;
        std::uint64_t revision_ = 100;
        std::uint64_t lastLease_ = 0;
    };

    Store();
    /// Opens one more address of the store, so that machines can be turned away one by one.
    Address open();
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    Data copy();
    /// The store is away: it resets all connections.
    void setAway(bool away);
    /// Replaces the contents by a copy, in a new era.
    void restore(const Data &copy);
    /// One address resets all connections.
    void setTurnedAway(std::size_t address, bool away) { listeners_[address]->setClosed(away); }
    void stop();
    std::string describe(const std::string &prefix);

private:
    void serve(Connection &connection);
    std::pair<int, std::string> execute(const Request &request);
    std::pair<int, std::string> watch(std::map<std::string, std::string> query);
    void write(const std::string &key, const std::string &base64, std::uint64_t lease);
    void erase(const std::string &key);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    Data data_;
    std::uint64_t era_ = 1;
    bool stopping_ = false;
    std::vector<std::unique_ptr<Listener>> listeners_;
};

/// A runner of a service. It registers itself in the store and checks in there.
class Runner
{
public:
    /// Writes the answer. Returns false if the connection must be closed.
    using Work = std::function<bool(Connection &, const Request &)>;
    Runner(Store &store, Record &record, std::string id, std::string service, std::string zone,
           int slots, Work work);
    ~Runner();
    const std::string &id() const { return id_; }
    Address address() const { return listener_->address(); }
    int runs(const std::string &request);
    int running() const { return running_; }

private:
    void serve(Connection &connection);
    void checkIn();
    Store &store_;
    Record &record_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    Work work_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> running_ = 0;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::unique_ptr<Listener> listener_;
    std::thread thread_;
};

/// The signature that a runner gives for a body.
std::string sign(const std::string &body);
std::string answerHead(int status, const std::string &reason, const std::string &request,
                       const std::string &signature, const Headers &more);

struct Answer
{
    /// 0 if no answer began.
    int status_ = 0;
    Headers headers_;
    std::string body_;
    bool complete_ = false;
    /// The channel was closed or reset before the end of the answer.
    bool cut_ = false;
    /// The client's time limit ended first.
    bool timedOut_ = false;
    double sentAt_ = 0;
    double endedAt_ = 0;
};

/// Called after each received piece of a body, with the bytes of the body so far.
using Pace = std::function<void(std::size_t)>;

/// Reads an answer. A 1xx answer is skipped.
Answer readAnswer(Connection &connection, const std::string &method, double until,
                  const Pace &pace = {});
Answer call(Connection &connection, const std::string &request, const std::string &method,
            double timeout, const Pace &pace = {});
std::string newId();
std::string describe(const Answer &answer);

/// A machine of the system, with the process that the deploy file names.
class Machine
{
public:
    struct Settings
    {
        std::string name_;
        std::string zone_;
        std::string ip_;
        Address store_;
        std::vector<std::string> seeds_;
        int memoryMb_ = 260;
        int linkMbps_ = 1000;
    };
    Machine(Record &record, Settings settings);
    ~Machine();
    void start();
    /// Sends a signal to the process.
    void signal(int number);
    /// Waits for the end of the process.
    bool waitEnd(double timeout);
    bool running();
    bool ready();
    bool waitReady(double timeout);
    double memoryMb();
    Address front() const { return {settings_.ip_, ports_[0]}; }
    Address control() const { return {settings_.ip_, ports_[2]}; }
    const std::string &name() const { return settings_.name_; }
    std::string log();
    /// Ports of all machines: front end, readiness, control plane.
    static std::vector<int> choosePorts();

private:
    Record &record_;
    Settings settings_;
    std::vector<int> ports_;
    std::string folder_;
    pid_t pid_ = -1;
};

/// Ends the case: removes the temporary folder and exits with @a code without running destructors.
[[noreturn]] void finish(Record &record, int code, const std::string &why);

} // namespace standin
