#include "standin.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {

const auto programStart = std::chrono::steady_clock::now();

int millisUntil(double until)
{
    return std::max(0, static_cast<int>((until - now()) * 1000.0 + 0.999));
}

bool sameName(const std::string &a, const std::string &b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port_));
    inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
    return result;
}

std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
    }
    return text;
}

std::string quote(const std::string &text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result + '"';
}

/// Just enough of JSON for the bodies of the store's calls.
struct Json
{
    std::map<std::string, Json> members_;
    std::vector<Json> elements_;
    std::string text_;

    std::string text(const std::string &name) const
    {
        const auto it = members_.find(name);
        return it == members_.end() ? std::string() : it->second.text_;
    }
    std::uint64_t number(const std::string &name) const
    {
        return std::strtoull(text(name).c_str(), nullptr, 10);
    }
    std::vector<Json> list(const std::string &name) const
    {
        const auto it = members_.find(name);
        return it == members_.end() ? std::vector<Json>() : it->second.elements_;
    }
};

void skipSpace(const std::string &text, std::size_t &at)
{
    while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at])))
        ++at;
}

std::string parseString(const std::string &text, std::size_t &at)
{
    std::string result;
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\')
            ++at;
        result += text[at];
    }
    ++at;
    return result;
}

Json parseJson(const std::string &text, std::size_t &at)
{
    Json value;
    skipSpace(text, at);
    if (at >= text.size())
        return value;
    const char open = text[at];
    if (open == '"') {
        value.text_ = parseString(text, at);
        return value;
    }
    if (open != '{' && open != '[') {
        while (at < text.size() && !std::strchr(",]} \r\n\t", text[at]))
            value.text_ += text[at++];
        return value;
    }
    ++at;
    while (true) {
        skipSpace(text, at);
        if (at >= text.size() || text[at] == '}' || text[at] == ']')
            break;
        if (open == '{') {
            const std::string name = parseString(text, at);
            skipSpace(text, at);
            ++at;
            value.members_[name] = parseJson(text, at);
        } else {
            value.elements_.push_back(parseJson(text, at));
        }
        skipSpace(text, at);
        if (at < text.size() && text[at] == ',')
            ++at;
    }
    ++at;
    return value;
}

Json parseJson(const std::string &text)
{
    std::size_t at = 0;
    return parseJson(text, at);
}

std::string decodeQuery(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t begin = target.find('?');
    std::stringstream stream(begin == std::string::npos ? "" : target.substr(begin + 1));
    std::string part;
    while (std::getline(stream, part, '&')) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)]
            = equals == std::string::npos ? "" : decodeQuery(part.substr(equals + 1));
    }
    return query;
}

std::string itemJson(const std::string &key, const Store::Item &item)
{
    std::ostringstream out;
    out << "{\"Key\":" << quote(key) << ",\"Value\":" << quote(item.value_)
        << ",\"Revision\":" << item.revision_ << ",\"Created\":" << item.created_
        << ",\"Lease\":" << item.lease_ << '}';
    return out.str();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the value of a line NAME = "VALUE" of the deploy file.
std::string deployValue(const std::string &name)
{
    std::stringstream file(readFile("deploy/system.toml"));
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind(name + " = \"", 0) == 0)
            return line.substr(name.size() + 4, line.rfind('"') - name.size() - 4);
    }
    return {};
}

std::string &temporaryFolder()
{
    static std::string folder = [] {
        const char *base = std::getenv("TMPDIR");
        std::string path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
        return std::string(mkdtemp(path.data()) ? path : "");
    }();
    return folder;
}

std::mutex processesMutex;
std::set<pid_t> processes;

void endProcesses()
{
    const std::lock_guard lock(processesMutex);
    for (const pid_t pid : processes) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    processes.clear();
}

void onTermination(int)
{
    // Only async-signal-safe calls. The processes also end when this one does.
    _exit(2);
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - programStart).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleepUntil(double time)
{
    sleepFor(time - now());
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : file_(path)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onTermination);
    std::signal(SIGINT, onTermination);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    file_ << time << text << std::endl;
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    const int fd = fd_.exchange(-1);
    if (fd >= 0)
        ::close(fd);
}

void Connection::reset()
{
    const linger immediately {1, 0};
    if (fd_ >= 0)
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
}

bool Connection::connectTo(const Address &address, double timeout, Options options)
{
    close();
    input_.clear();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (options.receiveBuffer_ > 0)
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer_,
                     sizeof options.receiveBuffer_);
    if (options.segmentSize_ > 0)
        ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &options.segmentSize_,
                     sizeof options.segmentSize_);
    const sockaddr_in target = socketAddress(address);
    const int result = ::connect(fd_, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (result != 0 && errno != EINPROGRESS)
        return false;
    pollfd event {fd_, POLLOUT, 0};
    if (::poll(&event, 1, static_cast<int>(timeout * 1000)) <= 0)
        return false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    ::fcntl(fd_, F_SETFL, ::fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    return error == 0;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

int Connection::receive(double until, std::size_t maxBytes)
{
    const int fd = fd_;
    if (fd < 0)
        return -1;
    pollfd event {fd, POLLIN, 0};
    if (::poll(&event, 1, millisUntil(until)) <= 0)
        return -2;
    std::string buffer(maxBytes, '\0');
    const ssize_t count = ::recv(fd, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return count == 0 ? 0 : -1;
    input_.append(buffer, 0, static_cast<std::size_t>(count));
    return 1;
}

std::optional<std::string> Connection::takeLine(double until)
{
    while (true) {
        const std::size_t end = input_.find("\r\n");
        if (end != std::string::npos) {
            std::string line = input_.substr(0, end);
            input_.erase(0, end + 2);
            return line;
        }
        if (receive(until) != 1)
            return std::nullopt;
    }
}

bool Connection::need(std::size_t bytes, double until)
{
    while (input_.size() < bytes) {
        if (receive(until) != 1)
            return false;
    }
    return true;
}

bool Connection::peerClosed()
{
    char byte = 0;
    const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string header(const Headers &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (sameName(field, name))
            return value;
    }
    return {};
}

namespace {

bool readHeaders(Connection &connection, Headers &headers, double until)
{
    while (true) {
        const auto line = connection.takeLine(until);
        if (!line)
            return false;
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t begin = line->find_first_not_of(' ', colon + 1);
        headers.emplace_back(line->substr(0, colon),
                             begin == std::string::npos ? "" : line->substr(begin));
    }
}

/// Reads the chunks of a body up to the last one.
/// @return 1 if it is complete, otherwise what Connection::receive() returned
int readChunks(Connection &connection, std::string &body, double until, const Pace &pace)
{
    const auto more = [&] {
        return connection.receive(until);
    };
    while (true) {
        std::size_t end = 0;
        while ((end = connection.input_.find("\r\n")) == std::string::npos) {
            if (const int result = more(); result != 1)
                return result;
        }
        const std::size_t size = std::strtoull(connection.input_.c_str(), nullptr, 16);
        connection.input_.erase(0, end + 2);
        while (connection.input_.size() < size + 2) {
            if (const int result = more(); result != 1)
                return result;
        }
        body += connection.input_.substr(0, size);
        connection.input_.erase(0, size + 2);
        if (size == 0)
            return 1;
        if (pace)
            pace(body.size());
    }
}

} // namespace

std::optional<Request> readRequest(Connection &connection, double until)
{
    const auto line = connection.takeLine(until);
    if (!line)
        return std::nullopt;
    Request request;
    std::istringstream(*line) >> request.method_ >> request.target_;
    if (!readHeaders(connection, request.headers_, until))
        return std::nullopt;
    const std::string length = header(request.headers_, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    if (!connection.need(size, until))
        return std::nullopt;
    request.body_ = connection.input_.substr(0, size);
    connection.input_.erase(0, size);
    return request;
}

Listener::Listener(const std::string &ip, Handler handler)
    : handler_(std::move(handler))
{
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local = socketAddress(Address {ip, 0});
    if (::bind(fd_, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0
        || ::listen(fd_, 512) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    socklen_t size = sizeof local;
    ::getsockname(fd_, reinterpret_cast<sockaddr *>(&local), &size);
    address_ = Address {ip, ntohs(local.sin_port)};
    thread_ = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    stopping_ = true;
    thread_.join();
    setClosed(true);
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return open_.empty(); });
    ::close(fd_);
}

void Listener::setClosed(bool closed)
{
    closed_ = closed;
    if (!closed)
        return;
    const std::lock_guard lock(mutex_);
    for (const auto &connection : open_)
        ::shutdown(connection->fd(), SHUT_RDWR);
}

void Listener::accept()
{
    while (!stopping_) {
        pollfd event {fd_, POLLIN, 0};
        if (::poll(&event, 1, 50) <= 0)
            continue;
        const auto connection
            = std::make_shared<Connection>(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
        if (connection->fd() < 0)
            continue;
        if (closed_) {
            connection->reset();
            continue;
        }
        const int one = 1;
        ::setsockopt(connection->fd(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
            const std::lock_guard lock(mutex_);
            open_.insert(connection);
        }
        std::thread([this, connection] {
            handler_(*connection);
            const std::lock_guard lock(mutex_);
            connection->close();
            open_.erase(connection);
            ended_.notify_all();
        }).detach();
    }
}

Store::Store() = default;

Address Store::open()
{
    listeners_.push_back(std::make_unique<Listener>(
        "127.0.0.1", [this](Connection &connection) { serve(connection); }));
    return listeners_.back()->address();
}

void Store::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    listeners_.clear();
}

void Store::write(const std::string &key, const std::string &base64, std::uint64_t lease)
{
    Item &item = data_.items_[key];
    item.value_ = base64;
    item.revision_ = data_.revision_;
    item.lease_ = lease;
    if (item.created_ == 0)
        item.created_ = data_.revision_;
    data_.history_.push_back(Event {key, item, false});
}

void Store::erase(const std::string &key)
{
    if (data_.items_.erase(key) > 0) {
        Item item;
        item.revision_ = data_.revision_;
        data_.history_.push_back(Event {key, item, true});
    }
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++data_.revision_;
    write(key, encodeBase64(value), 0);
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++data_.revision_;
    erase(key);
    changed_.notify_all();
}

Store::Data Store::copy()
{
    const std::lock_guard lock(mutex_);
    return data_;
}

void Store::setAway(bool away)
{
    for (const auto &listener : listeners_)
        listener->setClosed(away);
}

void Store::restore(const Data &copy)
{
    const std::lock_guard lock(mutex_);
    data_ = copy;
    for (auto &[id, lease] : data_.leases_)
        lease.ends_ = now() + lease.time_;
    ++era_;
    changed_.notify_all();
}

std::string Store::describe(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto &[key, item] : data_.items_) {
        if (key.rfind(prefix, 0) == 0)
            text += ' ' + key + '@' + std::to_string(item.revision_);
    }
    return text;
}

void Store::expire()
{
    std::set<std::uint64_t> ended;
    for (const auto &[id, lease] : data_.leases_) {
        if (lease.ends_ <= now())
            ended.insert(id);
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : data_.items_) {
        if (ended.count(item.lease_) > 0)
            keys.push_back(key);
    }
    for (const std::string &key : keys) {
        ++data_.revision_;
        erase(key);
    }
    for (const std::uint64_t id : ended)
        data_.leases_.erase(id);
}

std::pair<int, std::string> Store::watch(std::map<std::string, std::string> query)
{
    const std::string prefix = query["PathPrefix"];
    const std::uint64_t after = std::strtoull(query["After"].c_str(), nullptr, 10);
    const double end = now() + std::strtod(query["WaitMs"].c_str(), nullptr) / 1000.0;
    std::unique_lock lock(mutex_);
    const std::uint64_t era = era_;
    while (true) {
        expire();
        if (after > data_.revision_ || era != era_)
            return {410, "{}"};
        std::string events;
        for (const Event &event : data_.history_) {
            if (event.item_.revision_ <= after || event.key_.rfind(prefix, 0) != 0)
                continue;
            events += events.empty() ? "" : ",";
            if (event.removed_)
                events += "{\"Key\":" + quote(event.key_) + ",\"Revision\":"
                    + std::to_string(event.item_.revision_) + ",\"Deleted\":true}";
            else
                events += itemJson(event.key_, event.item_);
        }
        if (!events.empty() || now() >= end || stopping_)
            return {200,
                    "{\"events\":[" + events + "],\"At\":" + std::to_string(data_.revision_) + '}'};
        changed_.wait_for(lock, std::chrono::milliseconds(millisUntil(std::min(end, now() + 0.2))));
    }
}

std::pair<int, std::string> Store::execute(const Request &request)
{
    const std::string path = request.target_.substr(0, request.target_.find('?'));
    const std::string base = "/tamarackyard/";
    std::map<std::string, std::string> query = parseQuery(request.target_);
    if (path == base + "kv-watch")
        return watch(query);
    const std::lock_guard lock(mutex_);
    expire();
    const std::string at = ",\"At\":" + std::to_string(data_.revision_) + '}';
    if (path == base + "kv-key") {
        const auto it = data_.items_.find(query["Key"]);
        if (it == data_.items_.end())
            return {404, "{}"};
        std::string item = itemJson(it->first, it->second);
        item.pop_back();
        return {200, item + at};
    }
    if (path == base + "kv-range") {
        std::string entries;
        int count = 0;
        bool more = false;
        for (const auto &[key, item] : data_.items_) {
            if (key.rfind(query["PathPrefix"], 0) != 0 || key <= query["After"])
                continue;
            if (++count > 500) {
                more = true;
                break;
            }
            entries += (entries.empty() ? "" : ",") + itemJson(key, item);
        }
        return {200,
                "{\"Entries\":[" + entries + "],\"HasMore\":" + (more ? "true" : "false") + at};
    }
    const Json body = parseJson(request.body_);
    if (path == base + "kv-txn") {
        bool holds = true;
        std::string current;
        for (const Json &row : body.list("Expect")) {
            const auto it = data_.items_.find(row.text("Key"));
            const bool exists = it != data_.items_.end();
            holds = holds && row.number("Revision") == (exists ? it->second.revision_ : 0);
            if (exists)
                current += (current.empty() ? "" : ",") + itemJson(it->first, it->second);
        }
        if (!holds)
            return {412, "{\"Entries\":[" + current + "]}"};
        for (const Json &row : body.list("Writes")) {
            if (row.number("Lease") != 0 && data_.leases_.count(row.number("Lease")) == 0)
                return {404, "{}"};
        }
        ++data_.revision_;
        for (const Json &row : body.list("Writes"))
            write(row.text("Key"), row.text("Value"), row.number("Lease"));
        for (const Json &key : body.list("Remove"))
            erase(key.text_);
        changed_.notify_all();
        return {200, "{\"Revision\":" + std::to_string(data_.revision_) + '}'};
    }
    if (path == base + "kv-lease") {
        const double time = static_cast<double>(body.number("TtlMs")) / 1000.0;
        const std::uint64_t id = ++data_.lastLease_;
        data_.leases_[id] = Lease {time, now() + time};
        return {200, "{\"Lease\":" + std::to_string(id) + ",\"TtlMs\":" + body.text("TtlMs") + '}'};
    }
    const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = data_.leases_.find(id);
    if (lease == data_.leases_.end())
        return {404, "{}"};
    if (path.rfind(base + "kv-keep/", 0) == 0)
        lease->second.ends_ = now() + lease->second.time_;
    else
        lease->second.ends_ = 0;
    expire();
    changed_.notify_all();
    return {200,
            "{\"TtlMs\":"
                + std::to_string(static_cast<std::uint64_t>(
                    lease == data_.leases_.end() ? 0 : lease->second.time_ * 1000))
                + '}'};
}

void Store::serve(Connection &connection)
{
    while (const auto request = readRequest(connection, now() + 3600)) {
        const auto [status, body] = execute(*request);
        // An answer takes 4 ms.
        sleepFor(0.004);
        std::ostringstream out;
        {
            const std::lock_guard lock(mutex_);
            out << "HTTP/1.1 " << status << " Status\r\nContent-Type: application/json\r\n"
                << "Store-Era: " << era_ << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
                << body;
        }
        if (!connection.send(out.str()))
            return;
    }
}

std::string sign(const std::string &body)
{
    std::ostringstream text;
    text << std::hex << std::hash<std::string> {}(body) << ".standin";
    return text.str();
}

std::string answerHead(int status, const std::string &reason, const std::string &request,
                       const std::string &signature, const Headers &more)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
    text += "Attempt-Id: " + request + "\r\n";
    if (!signature.empty())
        text += "Response-Signature: " + signature + "\r\n";
    for (const auto &[name, value] : more)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

Runner::Runner(Store &store, Record &record, std::string id, std::string service, std::string zone,
               int slots, Work work)
    : store_(store)
    , record_(record)
    , id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , slots_(slots)
    , work_(std::move(work))
{
    listener_ = std::make_unique<Listener>("127.0.0.1",
                                           [this](Connection &connection) { serve(connection); });
    thread_ = std::thread([this] { checkIn(); });
}

Runner::~Runner()
{
    stopping_ = true;
    thread_.join();
}

int Runner::runs(const std::string &request)
{
    const std::lock_guard lock(mutex_);
    return runs_[request];
}

void Runner::checkIn()
{
    for (int sequence = 1; !stopping_; ++sequence) {
        std::ostringstream entry;
        entry << "{\"Service\":" << quote(service_) << ",\"Address\":" << quote(address().text())
              << ",\"Zone\":" << quote(zone_) << R"(,"Version":"v1","Slots":)" << slots_
              << R"(,"State":"ready","ColdRemainingMs":0,"born":1790000000000,"Sequence":)"
              << sequence << '}';
        store_.put("servers/" + id_, entry.str());
        for (int i = 0; i < 12 && !stopping_; ++i)
            sleepFor(0.1);
    }
}

void Runner::serve(Connection &connection)
{
    while (const auto request = readRequest(connection, now() + 3600)) {
        const std::string attempt = header(request->headers_, "Attempt-Id");
        const std::string expected = header(request->headers_, "Expect-Instance");
        if (request->target_ == "/healthz") {
            if (!connection.send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_
                                 + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (!expected.empty() && expected != id_) {
            record_.line("runner " + id_ + " answers 421 to " + attempt);
            if (!connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                                 + "\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[attempt];
        }
        record_.line("runner " + id_ + " runs " + attempt);
        ++running_;
        const bool keep = work_(connection, *request);
        --running_;
        record_.line("runner " + id_ + " ended " + attempt + (keep ? "" : ", channel closed"));
        if (!keep)
            return;
    }
}

Answer readAnswer(Connection &connection, const std::string &method, double until, const Pace &pace)
{
    Answer answer;
    // Distinguishes the end of the channel from the client's own time limit.
    const auto stop = [&](int result) {
        answer.timedOut_ = result == -2;
        answer.cut_ = result != -2;
        answer.endedAt_ = now();
        return answer;
    };
    while (true) {
        while (connection.input_.find("\r\n\r\n") == std::string::npos) {
            if (const int result = connection.receive(until); result != 1)
                return stop(result);
        }
        std::string version;
        std::istringstream(*connection.takeLine(until)) >> version >> answer.status_;
        answer.headers_.clear();
        readHeaders(connection, answer.headers_, until);
        if (answer.status_ / 100 != 1)
            break;
    }
    const std::string length = header(answer.headers_, "Content-Length");
    if (method == "HEAD" || answer.status_ == 204 || answer.status_ == 304) {
        answer.complete_ = true;
    } else if (sameName(header(answer.headers_, "Transfer-Encoding"), "chunked")) {
        const int result = readChunks(connection, answer.body_, until, pace);
        if (result != 1)
            return stop(result);
        answer.complete_ = true;
    } else if (!length.empty()) {
        const std::size_t size = std::stoull(length);
        while (connection.input_.size() < size) {
            if (const int result = connection.receive(until); result != 1) {
                answer.body_ = connection.input_;
                return stop(result);
            }
            if (pace)
                pace(connection.input_.size());
        }
        answer.body_ = connection.input_.substr(0, size);
        connection.input_.erase(0, size);
        answer.complete_ = true;
    } else {
        int result = 1;
        while ((result = connection.receive(until)) == 1) { }
        answer.body_ = std::exchange(connection.input_, {});
        if (result != 0)
            return stop(result);
        answer.complete_ = true;
    }
    answer.endedAt_ = now();
    return answer;
}

Answer call(Connection &connection, const std::string &request, const std::string &method,
            double timeout, const Pace &pace)
{
    const double sentAt = now();
    Answer answer;
    if (connection.send(request))
        answer = readAnswer(connection, method, sentAt + timeout, pace);
    else
        answer.cut_ = true;
    answer.sentAt_ = sentAt;
    if (answer.endedAt_ == 0)
        answer.endedAt_ = now();
    return answer;
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 generator(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()));
    return text;
}

std::string describe(const Answer &answer)
{
    std::ostringstream text;
    text << "status " << answer.status_ << ", " << answer.body_.size() << " bytes, "
         << (answer.complete_       ? "complete"
                 : answer.timedOut_ ? "client's time limit"
                                    : "channel ended before the end of the answer")
         << ", after " << static_cast<int>((answer.endedAt_ - answer.sentAt_) * 1000) << " ms";
    return text.str();
}

std::vector<int> Machine::choosePorts()
{
    static const std::vector<int> ports = [] {
        std::vector<int> found;
        std::vector<int> sockets;
        for (int i = 0; i < 3; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in local = socketAddress(Address {"127.0.0.1", 0});
            ::bind(fd, reinterpret_cast<sockaddr *>(&local), sizeof local);
            socklen_t size = sizeof local;
            ::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
            found.push_back(ntohs(local.sin_port));
            sockets.push_back(fd);
        }
        for (const int fd : sockets)
            ::close(fd);
        return found;
    }();
    return ports;
}

Machine::Machine(Record &record, Settings settings)
    : record_(record)
    , settings_(std::move(settings))
    , ports_(choosePorts())
{
    std::map<std::string, std::string> fields {
        {"NodeName", quote(settings_.name_)},
        {"Zone", quote(settings_.zone_)},
        {"Listen.Frontend", quote(Address {settings_.ip_, ports_[0]}.text())},
        {"Listen.Readiness", quote(Address {settings_.ip_, ports_[1]}.text())},
        {"Listen.ControlPlane", quote(Address {settings_.ip_, ports_[2]}.text())},
        {"Platform.Address", quote(settings_.store_.text())},
        {"Bounds.StabilityMs", "3000"},
        {"Bounds.ConfigApplyMs", "2000"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.RetryExtra", "56"},
        {"Bounds.RetryWindowS", "10"},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.GraceS", "8"},
        {"Limits.FileDescriptors", "4100"},
        {"Limits.CpuShare", "0.25"},
        {"Limits.LinkMbps", std::to_string(settings_.linkMbps_)},
        {"Limits.MemoryMb", std::to_string(settings_.memoryMb_)}};
    std::string seeds;
    for (const std::string &seed : settings_.seeds_)
        seeds += (seeds.empty() ? "" : ",") + quote(seed);
    fields["Seeds"] = '[' + seeds + ']';
    std::string text = readFile(deployValue("template"));
    std::size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos) {
        const std::size_t end = text.find("|json}}", at);
        const auto field = end == std::string::npos
            ? fields.end()
            : fields.find(text.substr(at + 2, end - at - 2));
        if (field == fields.end()) {
            std::fprintf(stderr, "the template has a field that this stand-in doesn't know\n");
            std::_Exit(2);
        }
        text.replace(at, end + 7 - at, field->second);
        at += field->second.size();
    }
    folder_ = temporaryFolder() + '/' + settings_.name_;
    ::mkdir(folder_.c_str(), 0700);
    std::ofstream(folder_ + "/node.settings") << text;
}

Machine::~Machine()
{
    if (pid_ > 0)
        signal(SIGKILL);
    waitEnd(5);
}

void Machine::start()
{
    const std::string program = deployValue("run");
    const std::string settings = "TAMARACKYARD_NODE_FILE=" + folder_ + "/node.settings";
    const std::string log = folder_ + "/log";
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(2);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        std::vector<std::string> words;
        std::stringstream stream(program);
        for (std::string word; stream >> word;)
            words.push_back(word);
        std::vector<char *> arguments;
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        char *environment[] = {const_cast<char *>(settings.c_str()), nullptr};
        ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
    const std::lock_guard lock(processesMutex);
    processes.insert(pid_);
    record_.line("machine " + settings_.name_ + " (" + settings_.zone_ + ") starts its process");
}

void Machine::signal(int number)
{
    if (pid_ <= 0)
        return;
    record_.line("machine " + settings_.name_ + ": signal " + strsignal(number));
    ::kill(pid_, number);
}

bool Machine::waitEnd(double timeout)
{
    const double end = now() + timeout;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            const std::lock_guard lock(processesMutex);
            processes.erase(pid_);
            pid_ = -1;
            record_.line("machine " + settings_.name_ + ": the process ended"
                         + (WIFSIGNALED(status)
                                ? std::string(" by signal ") + strsignal(WTERMSIG(status))
                                : " with code " + std::to_string(WEXITSTATUS(status))));
            return true;
        }
        if (now() >= end)
            return false;
        sleepFor(0.005);
    }
    return true;
}

bool Machine::running()
{
    waitEnd(0);
    return pid_ > 0;
}

bool Machine::ready()
{
    Connection connection;
    if (!connection.connectTo(Address {settings_.ip_, ports_[1]}, 0.5))
        return false;
    const Answer answer
        = call(connection, "GET /tamarackyard/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", "GET", 1.0);
    return answer.status_ == 200;
}

bool Machine::waitReady(double timeout)
{
    const double end = now() + timeout;
    while (now() < end) {
        if (ready())
            return true;
        if (!running())
            return false;
        sleepFor(0.05);
    }
    return false;
}

double Machine::memoryMb()
{
    if (pid_ <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string Machine::log()
{
    return readFile(folder_ + "/log");
}

void finish(Record &record, int code, const std::string &why)
{
    record.line("result " + std::to_string(code) + ": " + why);
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    endProcesses();
    if (std::getenv("KEEP_LOGS"))
        std::printf("logs: %s\n", temporaryFolder().c_str());
    else if (!temporaryFolder().empty())
        (void)!std::system(("rm -rf -- '" + temporaryFolder() + "'").c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace standin
