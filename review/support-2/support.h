#pragma once

// Small stand-ins for the scripts of the second review: the platform's store, the start of entry processes, callers and records.
// They use blocking sockets and threads; engines are programs of their own, so that a case can end them by a signal.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <condition_variable>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds of the steady clock, which all processes of the machine share.
inline std::int64_t now()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(std::int64_t milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(Milliseconds(milliseconds));
}

inline void sleepUntil(std::int64_t time) { sleepFor(time - now()); }

/// Appends lines to the record that all processes of a case share; one write a line.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
        , m_start(std::getenv("REVIEW_START") ? std::atoll(std::getenv("REVIEW_START")) : now())
    {
    }

    std::int64_t start() const { return m_start; }

    void line(const std::string& text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now() - m_start) / 1000);
        auto bytes = time + text + "\n";
        [[maybe_unused]] auto written = ::write(m_file, bytes.data(), bytes.size());
    }

private:
    int m_file;
    std::int64_t m_start;
};

// Sockets

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

struct Endpoint {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline Endpoint endpointFrom(const std::string& text)
{
    auto colon = text.rfind(':');
    return { text.substr(0, colon), std::atoi(text.c_str() + colon + 1) };
}

/// A loopback address of this run's own, so that runs beside each other share no ports.
inline std::string ownAddress()
{
    static const std::string address = [] {
        auto number = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(1 + (number >> 16) % 250) + "." + std::to_string((number >> 8) % 256) + "." + std::to_string(1 + number % 254);
    }();
    return address;
}

inline int listenAt(const Endpoint& endpoint)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(endpoint.host, endpoint.port);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(socket, 256) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// A port that is free for TCP and UDP and that this run has not given out before.
inline int freePort(const std::string& host)
{
    static std::set<int> given;
    while (true) {
        int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf(host, 0);
        socklen_t size = sizeof address;
        ::bind(tcp, reinterpret_cast<sockaddr*>(&address), size);
        ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
        int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        bool free = ::bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
        ::close(udp);
        ::close(tcp);
        int port = ntohs(address.sin_port);
        if (free && given.insert(port).second)
            return port;
    }
}

inline int connectTo(const Endpoint& endpoint, int timeoutMs = 1000)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = addressOf(endpoint.host, endpoint.port);
    ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    pollfd waits { socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    bool connected = ::poll(&waits, 1, timeoutMs) == 1 && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!connected) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool sendAll(int socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// True if the peer has closed or reset the connection.
inline bool isClosed(int socket)
{
    char byte;
    auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// HTTP

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string query(const std::string& name) const
    {
        auto at = target.find('?');
        if (at == std::string::npos)
            return {};
        std::stringstream parts(target.substr(at + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.rfind(name + "=", 0) != 0)
                continue;
            std::string text;
            auto raw = part.substr(name.size() + 1);
            for (std::size_t i = 0; i < raw.size(); ++i) {
                if (raw[i] == '%' && i + 2 < raw.size()) {
                    text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    text += raw[i];
                }
            }
            return text;
        }
        return {};
    }
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

inline void parseHeaders(const std::string& head, std::string& firstLine, std::map<std::string, std::string>& headers)
{
    std::stringstream lines(head);
    std::getline(lines, firstLine);
    if (!firstLine.empty() && firstLine.back() == '\r')
        firstLine.pop_back();
    for (std::string text; std::getline(lines, text);) {
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        auto colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(text.substr(0, colon))] = value;
    }
}

/// Reads bytes from a socket and hands them out in pieces.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    bool fill(std::int64_t until)
    {
        auto left = until - now();
        pollfd waits { m_socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&waits, 1, static_cast<int>(left)) != 1) {
            m_timedOut = true;
            return false;
        }
        char chunk[8192];
        auto count = ::recv(m_socket, chunk, sizeof chunk, 0);
        if (count < 0)
            m_reset = true;
        if (count <= 0)
            return false;
        m_bytes.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<std::string> until(const std::string& mark, std::int64_t latest)
    {
        while (true) {
            auto at = m_bytes.find(mark);
            if (at != std::string::npos) {
                auto text = m_bytes.substr(0, at);
                m_bytes.erase(0, at + mark.size());
                return text;
            }
            if (!fill(latest))
                return std::nullopt;
        }
    }

    std::optional<std::string> exactly(std::size_t count, std::int64_t latest)
    {
        while (m_bytes.size() < count) {
            if (!fill(latest))
                return std::nullopt;
        }
        auto text = m_bytes.substr(0, count);
        m_bytes.erase(0, count);
        return text;
    }

    std::string& bytes() { return m_bytes; }
    bool wasReset() const { return m_reset; }
    bool timedOut() const { return m_timedOut; }

private:
    int m_socket;
    std::string m_bytes;
    bool m_reset = false;
    bool m_timedOut = false;
};

inline std::optional<Request> readRequest(Reader& reader, std::int64_t latest)
{
    auto head = reader.until("\r\n\r\n", latest);
    if (!head)
        return std::nullopt;
    Request request;
    std::string first;
    parseHeaders(*head, first, request.headers);
    std::stringstream words(first);
    words >> request.method >> request.target;
    auto length = request.header("content-length");
    if (!length.empty()) {
        auto body = reader.exactly(static_cast<std::size_t>(std::stoul(length)), latest);
        if (!body)
            return std::nullopt;
        request.body = *body;
    }
    return request;
}

/// An answer as a caller received it.
struct Answer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The answer is complete by the framing of its message.
    bool complete = false;
    bool timedOut = false;

    bool sealed() const { return headers.contains("x-response-seal"); }
    std::string text() const { return std::to_string(status) + (sealed() ? " sealed" : "") + (complete ? " complete" : (timedOut ? " no end in time" : " cut")); }
};

inline Answer readAnswer(Reader& reader, std::int64_t latest)
{
    Answer answer;
    auto end = [&](bool complete) {
        answer.complete = complete;
        answer.timedOut = !complete && reader.timedOut();
        return answer;
    };
    auto head = reader.until("\r\n\r\n", latest);
    if (!head)
        return end(false);
    std::string first;
    parseHeaders(*head, first, answer.headers);
    answer.status = first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
    if (lower(answer.headers["transfer-encoding"]) == "chunked") {
        while (true) {
            auto size = reader.until("\r\n", latest);
            if (!size)
                return end(false);
            auto count = std::stoul(*size, nullptr, 16);
            if (count == 0)
                return end(reader.until("\r\n", latest).has_value());
            auto chunk = reader.exactly(count, latest);
            if (!chunk) {
                answer.body += reader.bytes();
                return end(false);
            }
            answer.body += *chunk;
            if (!reader.exactly(2, latest))
                return end(false);
        }
    }
    if (answer.headers.contains("content-length")) {
        auto body = reader.exactly(std::stoul(answer.headers["content-length"]), latest);
        if (body)
            answer.body = *body;
        return end(body.has_value());
    }
    while (reader.fill(latest)) { }
    answer.body = reader.bytes();
    reader.bytes().clear();
    return end(!reader.wasReset() && !reader.timedOut());
}

inline std::string message(const std::string& first, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, bool withLength = true)
{
    auto text = first + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (withLength)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// One call on a new connection.
inline Answer call(const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body = {}, int timeoutMs = 2000)
{
    int socket = connectTo(endpoint, timeoutMs);
    if (socket < 0)
        return {};
    Answer answer;
    if (sendAll(socket, message(method + " " + target + " HTTP/1.1", { { "Host", endpoint.text() }, { "Connection", "close" } }, body))) {
        Reader reader(socket);
        answer = readAnswer(reader, now() + timeoutMs);
    }
    ::close(socket);
    return answer;
}

inline std::string jsonAnswer(int status, const json& body, const std::string& extra = {})
{
    auto text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + extra + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

// Base64, as the store's values are encoded

inline std::string toBase64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : letters[value >> (18 - 6 * k) & 63];
    }
    return text;
}

// The platform's store

/// Serves the calls of the store that PROTOCOL.md names. What the operator and the engines write comes by put() and remove().
class Store {
public:
    bool listen(const Endpoint& endpoint)
    {
        m_listener = listenAt(endpoint);
        if (m_listener < 0)
            return false;
        std::thread([this] {
            while (true) {
                int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket >= 0)
                    std::thread([this, socket] { serve(socket); }).detach();
            }
        }).detach();
        std::thread([this] {
            while (true) {
                sleepFor(50);
                std::lock_guard lock(m_mutex);
                expire();
            }
        }).detach();
        return true;
    }

    std::int64_t put(const std::string& key, const std::string& value, std::int64_t lifetimeMs = 0)
    {
        std::lock_guard lock(m_mutex);
        return write(key, toBase64(value), 0, lifetimeMs);
    }

    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        erase(key);
    }

    bool has(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        return m_items.contains(key);
    }

    std::size_t count(const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        std::size_t found = 0;
        for (const auto& [key, item] : m_items)
            found += key.rfind(prefix, 0) == 0 ? 1 : 0;
        return found;
    }

    /// The next entry that is written under the key gets no answer and is executed after this time. Returns when the call arrived;
    /// 0 if none did.
    std::int64_t loseNextEntry(const std::string& key, std::int64_t lateMs)
    {
        {
            std::lock_guard lock(m_mutex);
            m_lateBy[key] = lateMs;
            m_lostAt.erase(key);
        }
        for (auto latest = now() + 5000; now() < latest; sleepFor(5)) {
            std::lock_guard lock(m_mutex);
            if (m_lostAt.contains(key))
                return m_lostAt[key];
        }
        return 0;
    }

    /// Called with key and entry when an entry is executed.
    std::function<void(const std::string&, const json&, bool late)> onEntry = [](const std::string&, const json&, bool) {};

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
        std::int64_t expiresAt = 0;
    };
    struct Lease {
        std::int64_t ttl = 0;
        std::int64_t expiresAt = 0;
    };
    struct Change {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
    };

    std::int64_t write(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t lifetimeMs = 0)
    {
        auto& item = m_items[key];
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.value = value;
        item.lease = lease;
        item.expiresAt = lifetimeMs > 0 ? now() + lifetimeMs : 0;
        m_changes.push_back({ key, m_revision, false });
        m_changed.notify_all();
        return m_revision;
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_changes.push_back({ key, ++m_revision, true });
        m_changed.notify_all();
    }

    void expire()
    {
        std::vector<std::string> gone;
        for (const auto& [key, item] : m_items) {
            auto lease = m_leases.find(item.lease);
            bool leaseEnded = item.lease != 0 && (lease == m_leases.end() || lease->second.expiresAt <= now());
            if (leaseEnded || (item.expiresAt != 0 && item.expiresAt <= now()))
                gone.push_back(key);
        }
        for (const auto& key : gone)
            erase(key);
    }

    json itemOf(const std::string& key, const Item& item) const
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease }, { "at", m_revision } };
    }

    json eventsAfter(std::int64_t revision, const std::string& prefix) const
    {
        json events = json::array();
        for (const auto& change : m_changes) {
            if (change.revision <= revision || change.key.rfind(prefix, 0) != 0)
                continue;
            auto item = m_items.find(change.key);
            if (change.deleted)
                events.push_back({ { "key", change.key }, { "revision", change.revision }, { "deleted", true } });
            else if (item != m_items.end() && item->second.revision == change.revision)
                events.push_back(itemOf(change.key, item->second));
        }
        return events;
    }

    void writeEntry(const std::string& key, const json& body, bool late)
    {
        write(key, toBase64(body.at("value").dump()), 0, body.at("lifetime_ms"));
        onEntry(key, body.at("value"), late);
    }

    std::string watch(const Request& request)
    {
        auto prefix = request.query("path_prefix");
        auto after = std::atoll(request.query("after").c_str());
        auto latest = now() + std::atoll(request.query("wait_ms").c_str());
        std::unique_lock lock(m_mutex);
        while (true) {
            if (after > m_revision)
                return jsonAnswer(410, json::object());
            auto events = eventsAfter(after, prefix);
            if (!events.empty() || now() >= latest)
                return jsonAnswer(200, { { "events", events }, { "at", m_revision } });
            m_changed.wait_for(lock, Milliseconds(std::max<std::int64_t>(1, latest - now())));
        }
    }

    std::string range(const Request& request)
    {
        auto prefix = request.query("path_prefix");
        auto after = request.query("after");
        std::lock_guard lock(m_mutex);
        json entries = json::array();
        bool hasMore = false;
        for (const auto& [key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
                continue;
            if (entries.size() == 500) {
                hasMore = true;
                break;
            }
            entries.push_back(itemOf(key, item));
        }
        return jsonAnswer(200, { { "entries", entries }, { "has_more", hasMore }, { "at", m_revision } });
    }

    std::string transact(const Request& request)
    {
        auto body = json::parse(request.body);
        std::lock_guard lock(m_mutex);
        json current = json::array();
        bool holds = true;
        for (const auto& row : body.at("expected")) {
            auto found = m_items.find(row.at("key").get<std::string>());
            holds = holds && (found == m_items.end() ? 0 : found->second.revision) == row.at("revision").get<std::int64_t>();
            if (found != m_items.end())
                current.push_back(itemOf(found->first, found->second));
        }
        if (!holds)
            return jsonAnswer(412, { { "entries", current } });
        for (const auto& put : body.at("puts")) {
            auto lease = put.value("lease", std::int64_t(0));
            if (lease != 0 && !m_leases.contains(lease))
                return jsonAnswer(404, json::object());
        }
        for (const auto& put : body.at("puts"))
            write(put.at("key"), put.at("value"), put.value("lease", std::int64_t(0)));
        for (const auto& key : body.at("delete"))
            erase(key.get<std::string>());
        return jsonAnswer(200, { { "revision", m_revision } });
    }

    std::string answer(const Request& request)
    {
        auto path = request.path();
        if (path == "/kv-watch")
            return watch(request);
        if (path == "/kv-range")
            return range(request);
        if (path == "/kv-txn")
            return transact(request);
        std::lock_guard lock(m_mutex);
        // What an engine writes about itself; the store drops it after three heartbeats of silence.
        if (path == "/engine-entry") {
            auto body = json::parse(request.body);
            std::string key = body.at("key");
            auto late = m_lateBy.find(key);
            if (late != m_lateBy.end()) {
                auto lateMs = late->second;
                m_lateBy.erase(late);
                m_lostAt[key] = now();
                std::thread([this, body, key, lateMs] {
                    sleepFor(lateMs);
                    std::lock_guard lock(m_mutex);
                    writeEntry(key, body, true);
                }).detach();
                return {};
            }
            writeEntry(key, body, false);
            return jsonAnswer(200, { { "revision", m_revision } });
        }
        if (path == "/kv-key") {
            auto found = m_items.find(request.query("key"));
            return found == m_items.end() ? jsonAnswer(404, { { "at", m_revision } }) : jsonAnswer(200, itemOf(found->first, found->second));
        }
        if (path == "/kv-lease") {
            auto ttl = json::parse(request.body).at("ttl_ms").get<std::int64_t>();
            m_leases[++m_lastLease] = { ttl, now() + ttl };
            return jsonAnswer(200, { { "lease", m_lastLease }, { "ttl_ms", ttl } });
        }
        if (path.rfind("/kv-keep/", 0) == 0) {
            auto lease = m_leases.find(std::atoll(path.c_str() + 9));
            if (lease == m_leases.end() || lease->second.expiresAt <= now())
                return jsonAnswer(404, json::object());
            lease->second.expiresAt = now() + lease->second.ttl;
            return jsonAnswer(200, { { "ttl_ms", lease->second.ttl } });
        }
        return jsonAnswer(404, json::object());
    }

    void serve(int socket)
    {
        Reader reader(socket);
        while (auto request = readRequest(reader, now() + 60000)) {
            auto text = answer(*request);
            if (text.empty() || !sendAll(socket, text))
                break;
        }
        ::close(socket);
    }

    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Change> m_changes;
    std::map<std::int64_t, Lease> m_leases;
    std::map<std::string, std::int64_t> m_lateBy;
    std::map<std::string, std::int64_t> m_lostAt;
    std::int64_t m_lastLease = 0;
    std::int64_t m_revision = 0;
};

// Processes

/// Processes that the case started; all of them end with it.
class Processes {
public:
    ~Processes() { endAll(); }

    pid_t start(const std::vector<std::string>& command, const std::vector<std::pair<std::string, std::string>>& environment, const std::string& logPath)
    {
        auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::signal(SIGTERM, SIG_DFL);
            int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            for (const auto& [name, value] : environment)
                ::setenv(name.c_str(), value.c_str(), 1);
            std::vector<char*> arguments;
            for (const auto& word : command)
                arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        if (pid > 0)
            m_running.insert(pid);
        return pid;
    }

    void signal(pid_t pid, int number)
    {
        if (m_running.contains(pid))
            ::kill(pid, number);
    }

    /// Exit status in the way of waitpid(), or nothing while it runs.
    std::optional<int> ended(pid_t pid)
    {
        int status = 0;
        if (!m_running.contains(pid) || ::waitpid(pid, &status, WNOHANG) != pid)
            return std::nullopt;
        m_running.erase(pid);
        return status;
    }

    void endAll()
    {
        for (auto pid : m_running) {
            ::kill(pid, SIGKILL);
            ::kill(pid, SIGCONT);
            ::waitpid(pid, nullptr, 0);
        }
        m_running.clear();
    }

private:
    std::set<pid_t> m_running;
};

/// An entry process as the deploy file runs it.
struct Entry {
    std::string name;
    std::string zone;
    Endpoint callers;
    Endpoint readiness;
    Endpoint peers;
    pid_t pid = 0;
};

class Deployment {
public:
    Deployment(std::string folder, std::string program, std::string recordPath)
        : folder(std::move(folder))
        , program(std::move(program))
        , recordPath(recordPath)
        , record(recordPath)
    {
        ::setenv("REVIEW_START", std::to_string(record.start()).c_str(), 1);
    }

    bool startStore()
    {
        storeEndpoint = { ownAddress(), freePort(ownAddress()) };
        return store.listen(storeEndpoint);
    }

    /// Settings with the figures of the small deployments.
    bool startEntry(Entry& entry, const Endpoint& storeOfEntry)
    {
        json settings { { "node_name", entry.name }, { "role", "entry" }, { "machine_class", "frontend" }, { "serves", { "frontend" } }, { "ip", entry.peers.host }, { "zone", entry.zone }, { "region", "r" },
            { "listen", { { "frontend", entry.callers.text() }, { "ready", entry.readiness.text() } } }, { "port_range", { entry.peers.port, entry.peers.port } }, { "seed_nodes", json::array() }, { "bootstrap", true },
            { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 }, { "bandwidth_mbps", 1000.0 }, { "disk_mb", 0 } } }, { "data_path", nullptr }, { "discovery", "platform" }, { "ingress", "vip" }, { "heartbeat_ms", 1200 },
            { "bounds", { { "seed_lag_s", 3 }, { "reuse_after_s", 2 }, { "contact_ms", 3000 }, { "ack_timeout_ms", 4000 }, { "catch_up_s", 4 }, { "drain_ms", 2000 }, { "grace_s", 8 }, { "loss_slack_ms", 200 }, { "config_apply_ms", 2000 }, { "rollback_slack_ms", 250 }, { "outer_bound_ms", 5000 }, { "strict_revocation", true }, { "revoke_ms", 5000 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "retry_slack", 56 }, { "recovery_s", 12 }, { "iteration_ms", 120 }, { "reuse_window_s", 5.8 } } },
            { "platform", { { "address", storeOfEntry.text() }, { "form", "kv" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 }, { "history_s", 20 }, { "value_bytes", 1048576 }, { "min_ttl_ms", 1000 } } } };
        auto path = folder + "/" + entry.name + ".json";
        std::ofstream(path) << settings.dump();
        entry.pid = processes.start({ program, "entry" }, { { "GUAVASPAN_BOOT", path } }, folder + "/" + entry.name + ".log");
        record.line("platform: starts " + entry.name + " (zone " + entry.zone + ")");
        return entry.pid > 0;
    }

    Entry newEntry(const std::string& name, const std::string& zone)
    {
        auto host = ownAddress();
        return { .name = name, .zone = zone, .callers = { host, freePort(host) }, .readiness = { host, freePort(host) }, .peers = { host, freePort(host) } };
    }

    bool isReady(const Entry& entry) { return call(entry.readiness, "GET", "/readyz", {}, 500).status == 200; }

    bool waitUntilReady(const Entry& entry, std::int64_t timeoutMs)
    {
        for (auto latest = now() + timeoutMs; now() < latest; sleepFor(50)) {
            if (isReady(entry))
                return true;
        }
        return false;
    }

    std::string folder;
    std::string program;
    std::string recordPath;
    Record record;
    Store store;
    Endpoint storeEndpoint;
    Processes processes;
};

/// Ends the processes of the case, and then the program without its threads.
[[noreturn]] inline void finish(Deployment& deployment, int status)
{
    deployment.processes.endAll();
    std::_Exit(status);
}

/// The configuration that the operator writes: the kinds of request of the small deployments, routes without keys.
inline json configuration(std::int64_t version)
{
    auto route = [](const char* name, const char* path, const char* type, const char* service, int timeout, int goal, int attempts, int priority) {
        return json { { "name", name }, { "hostname", "shop.example" }, { "path_prefix", path }, { "type", type }, { "timeout_ms", timeout }, { "goal_ms", goal }, { "priority", priority }, { "service", service }, { "max_attempts", attempts }, { "public", true } };
    };
    auto draft = route("draft", "/draft/", "streaming", "modelero", 39000, 1800, 1, 1);
    draft["sticky"] = true;
    draft["gap_target_ms"] = 180;
    json engine { { "slots", 24 }, { "kv_capacity", 34256 }, { "kv_bytes", 262144 }, { "bandwidth_mbps", 38000.0 }, { "migrations", true }, { "backups", true }, { "stride", 4 }, { "most", 12 }, { "pin_ms", 4000.0 }, { "hold_ms", 2000.0 }, { "session_ttl_s", 5.0 }, { "models", { { { "name", "m" } } } } };
    return { { "version", version }, { "routes", { draft, route("release", "/release/", "unsafe", "taller", 800, 100, 1, 2), route("lookup", "/lookup/", "safe", "taller", 800, 100, 2, 2) } },
        { "services", { { { "name", "modelero" }, { "health_path", "/healthz" }, { "max_connections", 252 }, { "engine", engine } }, { { "name", "taller" }, { "health_path", "/healthz" }, { "max_connections", 110 } } } },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

/// A caller's request with an id of its own.
inline std::string callerRequest(const std::string& method, const std::string& path, const std::string& id, int deadlineMs, int outputTokens, const std::string& body)
{
    std::vector<std::pair<std::string, std::string>> headers { { "Host", "shop.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", std::to_string(deadlineMs) } };
    if (outputTokens > 0) {
        headers.push_back({ "X-Model", "m" });
        headers.push_back({ "X-Token-Count", "300," + std::to_string(outputTokens) });
        // The prompts share their first part with some others.
        headers.push_back({ "X-Prompt-Prefix", "5c1e07a" + std::to_string(std::hash<std::string> {}(id) % 10) + ":79," + std::to_string(std::hash<std::string> {}(id) % 100000000) + ":221" });
    }
    return message(method + " " + path + " HTTP/1.1", headers, body, method != "GET" || !body.empty());
}

inline std::string argument(int count, char** arguments, const std::string& name, const std::string& fallback = {})
{
    for (int i = 1; i + 1 < count; ++i) {
        if (arguments[i] == "--" + name)
            return arguments[i + 1];
    }
    return fallback;
}

}
