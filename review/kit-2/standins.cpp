// Stand-ins of the second independent review.
#include "standins.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

namespace review {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *const digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8U
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

/// Takes a line from the input. @return false if the connection ended before
bool readLine(Connection &connection, std::string &line)
{
    std::size_t end = 0;
    while ((end = connection.input_.find("\r\n")) == std::string::npos) {
        if (!connection.receive())
            return false;
    }
    line = connection.input_.substr(0, end);
    connection.input_.erase(0, end + 2);
    return true;
}

bool readFields(Connection &connection, Fields &fields)
{
    std::string line;
    while (readLine(connection, line)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ')
            ++begin;
        fields.emplace_back(line.substr(0, colon), line.substr(begin));
    }
    return false;
}

bool readChunks(Connection &connection, Message &message,
                const std::function<void(const std::string &)> &onBody)
{
    std::string line;
    while (readLine(connection, line)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size == 0) {
            Fields trailers;
            return readFields(connection, trailers);
        }
        while (connection.input_.size() < size + 2) {
            if (!connection.receive())
                return false;
        }
        message.body_ += connection.input_.substr(0, size);
        connection.input_.erase(0, size + 2);
        if (onBody)
            onBody(message.body_);
    }
    return false;
}

std::string serialize(const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Object itemObject(const std::string &key, const StoreItem &item)
{
    Object object;
    object.set("Key", key);
    object.set("Value", item.value_);
    object.set("Revision", item.revision_);
    object.set("Created", item.created_);
    object.set("Lease", item.lease_);
    return object;
}

void putValue(Store &store, const std::string &key, const std::string &value, std::uint64_t lease)
{
    StoreItem &item = store.items_[key];
    item.value_ = value;
    item.lease_ = lease;
    item.revision_ = store.revision_;
    if (item.created_ == 0)
        item.created_ = store.revision_;
    store.history_.push_back(StoreEvent {key, store.revision_, false, value});
}

void removeKey(Store &store, const std::string &key)
{
    if (store.items_.erase(key) > 0)
        store.history_.push_back(StoreEvent {key, store.revision_, true, {}});
}

void endLease(Store &store, std::uint64_t lease)
{
    if (store.leases_.erase(lease) == 0)
        return;
    ++store.revision_;
    std::vector<std::string> keys;
    for (const auto &[key, item] : store.items_) {
        if (item.lease_ == lease)
            keys.push_back(key);
    }
    for (const std::string &key : keys)
        removeKey(store, key);
    store.changed_.notify_all();
}

void expireLeases(Store &store)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : store.leases_) {
        if (lease.second <= Clock::now())
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        endLease(store, id);
}

struct Answer
{
    int status_ = 200;
    Object body_;
    /// The era in which the call was carried out.
    std::uint64_t era_ = 0;
};

Answer failure(int status, std::uint64_t era)
{
    Answer answer;
    answer.status_ = status;
    answer.era_ = era;
    return answer;
}

Answer readRange(const Store &store, std::map<std::string, std::string> &query)
{
    constexpr std::size_t pageSize = 500;
    const std::string prefix = query["PathPrefix"];
    const std::string after = query["After"];
    Answer answer;
    Array entries;
    bool more = false;
    for (const auto &[key, item] : store.items_) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
            continue;
        more = entries.size() == pageSize;
        if (more)
            break;
        entries.add(itemObject(key, item));
    }
    answer.body_.set("Entries", entries);
    answer.body_.set("HasMore", more);
    answer.body_.set("At", store.revision_);
    return answer;
}

Answer transact(Store &store, const Object::Ptr &body)
{
    const Array::Ptr conditions = body->getArray("Expect");
    Array current;
    bool holds = true;
    for (unsigned i = 0; conditions && i < conditions->size(); ++i) {
        const Object::Ptr condition = conditions->getObject(i);
        const auto key = condition->getValue<std::string>("Key");
        const auto found = store.items_.find(key);
        const std::uint64_t revision = found == store.items_.end() ? 0 : found->second.revision_;
        holds = holds && revision == condition->getValue<std::uint64_t>("Revision");
        if (found != store.items_.end())
            current.add(itemObject(key, found->second));
    }
    Answer answer;
    if (!holds) {
        answer.status_ = 412;
        answer.body_.set("Entries", current);
        return answer;
    }
    const Array::Ptr writes = body->getArray("Writes");
    for (unsigned i = 0; writes && i < writes->size(); ++i) {
        const auto lease = writes->getObject(i)->optValue<std::uint64_t>("Lease", 0);
        if (lease != 0 && !store.leases_.contains(lease)) {
            answer.status_ = 404;
            return answer;
        }
    }
    ++store.revision_;
    for (unsigned i = 0; writes && i < writes->size(); ++i) {
        const Object::Ptr write = writes->getObject(i);
        putValue(store, write->getValue<std::string>("Key"), write->getValue<std::string>("Value"),
                 write->optValue<std::uint64_t>("Lease", 0));
    }
    const Array::Ptr removed = body->getArray("Remove");
    for (unsigned i = 0; removed && i < removed->size(); ++i)
        removeKey(store, removed->getElement<std::string>(i));
    answer.body_.set("Revision", store.revision_);
    store.changed_.notify_all();
    return answer;
}

Answer grantLease(Store &store, const Object::Ptr &body)
{
    const Millis time {body->getValue<std::int64_t>("TtlMs")};
    const std::uint64_t id = ++store.lastLease_;
    store.leases_[id] = {time, Clock::now() + time};
    Answer answer;
    answer.body_.set("Lease", id);
    answer.body_.set("TtlMs", time.count());
    return answer;
}

Answer keepLease(Store &store, std::uint64_t id)
{
    Answer answer;
    const auto lease = store.leases_.find(id);
    if (lease == store.leases_.end()) {
        answer.status_ = 404;
        return answer;
    }
    lease->second.second = Clock::now() + lease->second.first;
    answer.body_.set("TtlMs", lease->second.first.count());
    return answer;
}

Answer watch(Store &store, std::map<std::string, std::string> &query)
{
    const Clock::time_point end = Clock::now() + Millis {std::stoll(query["WaitMs"])};
    const std::uint64_t after = std::stoull(query["After"]);
    const std::string prefix = query["PathPrefix"];
    std::unique_lock lock(store.mutex_);
    const std::uint64_t era = store.era_;
    while (true) {
        expireLeases(store);
        Array events;
        // A revision that this history doesn't have.
        if (after > store.revision_)
            return failure(410, store.era_);
        for (const StoreEvent &event : store.history_) {
            if (event.revision_ <= after || event.key_.rfind(prefix, 0) != 0)
                continue;
            Object object;
            object.set("Key", event.key_);
            object.set("Revision", event.revision_);
            if (event.removed_)
                object.set("Deleted", true);
            else
                object.set("Value", event.value_);
            events.add(object);
        }
        if (store.away_ || store.era_ != era)
            return failure(store.away_ ? 503 : 410, store.era_);
        if (store.stopping_ || events.size() > 0 || Clock::now() >= end) {
            Answer answer;
            answer.body_.set("events", events);
            answer.body_.set("At", store.revision_);
            answer.era_ = store.era_;
            return answer;
        }
        store.changed_.wait_until(lock, std::min(end, Clock::now() + Millis {50}));
    }
}

Answer executeLocked(Store &store, const std::string &path,
                     std::map<std::string, std::string> &query, const std::string &body)
{
    const std::string base = "/tamarackyard/";
    expireLeases(store);
    Object::Ptr object;
    if (!body.empty())
        object = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
    if (path == base + "kv-range")
        return readRange(store, query);
    if (path == base + "kv-txn")
        return transact(store, object);
    if (path == base + "kv-lease")
        return grantLease(store, object);
    Answer answer;
    const auto idAfter = [&path](const std::string &prefix) {
        return path.rfind(prefix, 0) == 0 ? std::stoull(path.substr(prefix.size())) : 0;
    };
    if (path == base + "kv-key") {
        const auto item = store.items_.find(query["Key"]);
        if (item == store.items_.end())
            answer.status_ = 404;
        else
            answer.body_ = itemObject(item->first, item->second);
        return answer;
    }
    if (const auto id = idAfter(base + "kv-keep/"))
        return keepLease(store, id);
    if (const auto id = idAfter(base + "kv-lease-end/")) {
        endLease(store, id);
        return answer;
    }
    answer.status_ = 404;
    return answer;
}

Answer execute(Store &store, const Poco::URI &uri, const std::string &body)
{
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters())
        query[name] = value;
    if (uri.getPath() == "/tamarackyard/kv-watch")
        return watch(store, query);
    const std::lock_guard lock(store.mutex_);
    if (store.away_)
        return failure(503, store.era_);
    Answer answer = executeLocked(store, uri.getPath(), query, body);
    answer.era_ = store.era_;
    return answer;
}

void serveStore(Store &store, Connection &connection)
{
    while (true) {
        const Message request = readMessage(connection, false);
        if (!request.complete_)
            return;
        std::istringstream line(request.first_);
        std::string method;
        std::string target;
        line >> method >> target;
        // The store takes some milliseconds for an answer.
        std::this_thread::sleep_for(Millis {2});
        const Answer answer = execute(store, Poco::URI(target), request.body_);
        const std::string body = serialize(answer.body_);
        if (!connection.send("HTTP/1.1 " + std::to_string(answer.status_)
                             + " Answer\r\nStore-Era: " + std::to_string(answer.era_)
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

} // namespace

std::string fieldOf(const Fields &fields, const std::string &name)
{
    const std::vector<std::string> all = fieldsOf(fields, name);
    return all.empty() ? std::string() : all.front();
}

std::vector<std::string> fieldsOf(const Fields &fields, const std::string &name)
{
    std::vector<std::string> values;
    for (const auto &[known, value] : fields) {
        if (lower(known) == lower(name))
            values.push_back(value);
    }
    return values;
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%9.3f ", now());
    file_ << time.data() << line << '\n' << std::flush;
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - start_).count();
}

Connection::~Connection()
{
    if (fd_ >= 0)
        ::close(fd_);
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::receive()
{
    std::array<char, 16384> buffer {};
    const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

void Connection::reset()
{
    const linger now {1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    // The thread that reads from the connection wakes up and closes it.
    ::shutdown(fd_, SHUT_RD);
}

std::unique_ptr<Connection> connectTo(const std::string &address, Millis timeout, int window)
{
    auto connection
        = std::make_unique<Connection>(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval time {timeout.count() / 1000, timeout.count() % 1000 * 1000};
    ::setsockopt(connection->fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(connection->fd_, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const int on = 1;
    ::setsockopt(connection->fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (window > 0)
        ::setsockopt(connection->fd_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    const sockaddr_in target = parseAddress(address);
    if (::connect(connection->fd_, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
        return nullptr;
    return connection;
}

Message readMessage(Connection &connection, bool isResponse,
                    const std::function<void(const std::string &)> &onBody)
{
    Message message;
    if (!readLine(connection, message.first_) || !readFields(connection, message.fields_))
        return message;
    message.hasHead_ = true;
    if (lower(fieldOf(message.fields_, "Transfer-Encoding")) == "chunked") {
        message.complete_ = readChunks(connection, message, onBody);
        return message;
    }
    const std::string length = fieldOf(message.fields_, "Content-Length");
    if (length.empty() && isResponse) {
        while (connection.receive()) { }
        message.body_ = std::exchange(connection.input_, {});
        message.complete_ = true;
        return message;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (connection.input_.size() < size) {
        if (!connection.receive())
            return message;
    }
    message.body_ = connection.input_.substr(0, size);
    connection.input_.erase(0, size);
    message.complete_ = true;
    return message;
}

int statusOf(const Message &message)
{
    const std::size_t space = message.first_.find(' ');
    return space == std::string::npos ? 0 : std::atoi(message.first_.c_str() + space);
}

bool Listener::open(const std::string &address, Handler handler)
{
    address_ = address;
    handler_ = std::move(handler);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = parseAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::listen(fd, 256) != 0) {
        ::close(fd);
        return false;
    }
    fd_ = fd;
    thread_ = std::thread([this, fd] {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int noDelay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            auto connection = std::make_shared<Connection>(accepted);
            {
                const std::lock_guard lock(mutex_);
                std::erase_if(connections_, [](const auto &known) { return known.expired(); });
                connections_.push_back(connection);
            }
            std::thread([handler = handler_, connection] { handler(connection); }).detach();
        }
    });
    return true;
}

void Listener::kill()
{
    if (fd_ < 0)
        return;
    ::shutdown(fd_, SHUT_RDWR);
    if (thread_.joinable())
        thread_.join();
    ::close(fd_);
    fd_ = -1;
    const std::lock_guard lock(mutex_);
    for (const auto &known : connections_) {
        if (const auto connection = known.lock())
            connection->reset();
    }
    connections_.clear();
}

std::vector<int> freePorts(std::size_t count)
{
    std::vector<int> ports;
    std::random_device device;
    int port = 18000 + static_cast<int>(device() % 12000);
    while (ports.size() < count) {
        port = port >= 32000 ? 18000 : port + 1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = parseAddress("127.0.0.1:" + std::to_string(port));
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0)
            ports.push_back(port);
        ::close(fd);
    }
    return ports;
}

bool Store::start(const std::string &address)
{
    return listener_.open(address, [this](const std::shared_ptr<Connection> &connection) {
        serveStore(*this, *connection);
    });
}

void Store::put(const std::string &key, const std::string &text)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    putValue(*this, key, base64(text), 0);
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    removeKey(*this, key);
    changed_.notify_all();
}

StoreCopy Store::copy()
{
    const std::lock_guard lock(mutex_);
    return StoreCopy {items_, leases_, history_, revision_, lastLease_};
}

void Store::restore(const StoreCopy &copy)
{
    const std::lock_guard lock(mutex_);
    items_ = copy.items_;
    leases_ = copy.leases_;
    history_ = copy.history_;
    revision_ = copy.revision_;
    lastLease_ = copy.lastLease_;
    ++era_;
    away_ = false;
    changed_.notify_all();
}

void Store::setAway(bool away)
{
    const std::lock_guard lock(mutex_);
    away_ = away;
    changed_.notify_all();
}

void Store::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    listener_.kill();
}

bool Program::start(const std::string &program, const std::string &settings, const std::string &log)
{
    const char *path = std::getenv("PATH");
    const char *home = std::getenv("HOME");
    std::vector<std::string> environment {std::string("PATH=") + (path ? path : ""),
                                          std::string("HOME=") + (home ? home : ""), "LANG=C",
                                          "TAMARACKYARD_NODE_FILE=" + settings};
    pid_ = ::fork();
    if (pid_ != 0)
        return pid_ > 0;
    // The program ends with the test, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::vector<char *> variables;
    for (std::string &entry : environment)
        variables.push_back(entry.data());
    variables.push_back(nullptr);
    std::string name = program;
    char *arguments[] = {name.data(), nullptr};
    ::execve(program.c_str(), arguments, variables.data());
    ::_exit(127);
}

void Program::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

int Program::end()
{
    if (pid_ <= 0)
        return -1;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &status, 0);
    }
    pid_ = -1;
    return status;
}

bool Program::hasEnded()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ < 0;
}

std::string Deployment::settingsOf(const Machine &machine) const
{
    return folder_ + "/" + machine.name_ + ".json";
}

namespace {

using Values = std::map<std::string, std::string>;

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

/// The fields that the platform fills in for a small deployment.
Values values(const Deployment &deployment, const Machine &machine, const std::string &seeds)
{
    return Values {{"NodeName", quoted(machine.name_)},
                   {"Zone", quoted(machine.zone_)},
                   {"Listen.Frontend", quoted(machine.clients_)},
                   {"Listen.Readiness", quoted(machine.local_)},
                   {"Listen.ControlPlane", quoted(machine.peers_)},
                   {"Seeds", '[' + seeds + ']'},
                   {"Platform.Address", quoted(deployment.storeAddress_)},
                   {"Zones", R"({"zone-a": "area", "zone-b": "area", "zone-c": "area"})"},
                   {"Bounds.StabilityMs", "3000"},
                   {"Bounds.ConfigApplyMs", "2000"},
                   {"Bounds.RetryBudgetRatio", "0.2"},
                   {"Bounds.RetryExtra", "56"},
                   {"Bounds.RetryWindowS", "10"},
                   {"Bounds.DrainMs", "2000"},
                   {"Bounds.GraceS", "8"},
                   {"Limits.FileDescriptors", "4100"},
                   {"Limits.CpuShare", "0.25"},
                   {"Limits.LinkMbps", "1000.0"},
                   {"Limits.MemoryMb", "260"}};
}

/// Fills in deploy/settings.json.in as the platform does.
std::string render(const Values &values)
{
    std::ifstream file("deploy/settings.json.in");
    std::ostringstream read;
    read << file.rdbuf();
    const std::string text = read.str();
    std::string filled;
    std::size_t at = 0;
    std::size_t open = 0;
    while ((open = text.find("{{", at)) != std::string::npos) {
        const std::size_t close = text.find("}}", open);
        filled += text.substr(at, open - at);
        const std::string name = text.substr(open + 2, close - open - 2);
        const auto value = values.find(name.substr(0, name.find('|')));
        filled += value == values.end() ? "null" : value->second;
        at = close + 2;
    }
    return filled + text.substr(at);
}

} // namespace

bool Deployment::start(const std::string &folder, const std::vector<std::string> &zones,
                       const std::string &config)
{
    folder_ = folder;
    program_ = "target/bin/tamarack-platformd";
    const std::vector<int> ports = freePorts(3 * zones.size() + 1);
    const auto address = [&ports](std::size_t i) {
        return "127.0.0.1:" + std::to_string(ports[i]);
    };
    storeAddress_ = address(3 * zones.size());
    if (!store_.start(storeAddress_))
        return false;
    store_.put("op/config", config);
    for (std::size_t i = 0; i < zones.size(); ++i)
        machines_.push_back(Machine {"edge-" + zones[i] + "-" + std::to_string(i),
                                     zones[i],
                                     address(3 * i),
                                     address(3 * i + 1),
                                     address(3 * i + 2),
                                     {}});
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, machines_.size()); ++i)
        seeds += (i > 0 ? "," : "") + ('"' + machines_[i].peers_ + '"');
    for (Machine &machine : machines_) {
        std::ofstream(settingsOf(machine)) << render(values(*this, machine, seeds));
        startMachine(machine);
    }
    return true;
}

void Deployment::startMachine(Machine &machine) const
{
    machine.program_.start(program_, settingsOf(machine), folder_ + "/" + machine.name_ + ".log");
}

void Deployment::killAll()
{
    for (const Machine &machine : machines_)
        machine.program_.signal(SIGKILL);
    for (Machine &machine : machines_)
        machine.program_.end();
}

bool Deployment::awaitReady(Millis limit) const
{
    const Clock::time_point end = Clock::now() + limit;
    const auto isReady = [](const Machine &machine) {
        const auto connection = connectTo(machine.local_, Millis {1000});
        if (!connection)
            return false;
        connection->send("GET /tamarackyard/readyz HTTP/1.1\r\nHost: machine\r\n\r\n");
        return statusOf(readMessage(*connection, true)) == 200;
    };
    while (Clock::now() < end) {
        if (std::all_of(machines_.begin(), machines_.end(), isReady))
            return true;
        std::this_thread::sleep_for(Millis {100});
    }
    return false;
}

void Deployment::stop()
{
    for (Machine &machine : machines_)
        machine.program_.end();
    store_.stop();
}

std::string randomId(std::size_t digits)
{
    static std::mutex mutex;
    static std::mt19937_64 generator {std::random_device {}()};
    const std::lock_guard lock(mutex);
    std::string id;
    while (id.size() < digits)
        id += "0123456789abcdef"[generator() % 16];
    return id;
}

} // namespace review
