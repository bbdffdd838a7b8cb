// Stand-ins for the cases of the review: the platform's store, engines, clients, and the start of entry processes.
// Everything runs on loopback addresses; the entry processes are real ones, started with the deploy file's command.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const Clock::time_point startOfRun = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startOfRun).count();
}

inline void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Lines of record.txt, with the seconds since the start of the run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f  ", now());
        m_file << stamp << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Stops the started processes; set by the deployment.
inline std::function<void()> stopProcesses;

/// Ends the run. Threads of stand-ins may still run, so no destructors are called.
[[noreturn]] inline void finish(int exitCode)
{
    if (stopProcesses)
        stopProcesses();
    std::cerr << std::flush;
    std::_Exit(exitCode);
}

/// Ends the run if the case cannot be played.
[[noreturn]] inline void giveUp(const std::string& why)
{
    std::cerr << "the case could not run: " << why << "\n";
    finish(exitNotRun);
}

// Sockets

inline sockaddr_in socketAddress(const std::string& address, int port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

/// Binds to a free port if the port is 0. Returns the listening socket.
inline int listenOn(const std::string& address, int& port)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto bindAddress = socketAddress(address, port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&bindAddress), sizeof(bindAddress)) != 0 || ::listen(listener, 512) != 0)
        giveUp("no port to listen on");
    socklen_t length = sizeof(bindAddress);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&bindAddress), &length);
    port = ntohs(bindAddress.sin_port);
    return listener;
}

/// A port that is free for TCP and UDP.
inline int freePort(const std::string& address)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        int port = 0;
        int listener = listenOn(address, port);
        int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto bindAddress = socketAddress(address, port);
        bool free = ::bind(datagrams, reinterpret_cast<sockaddr*>(&bindAddress), sizeof(bindAddress)) == 0;
        ::close(listener);
        ::close(datagrams);
        if (free)
            return port;
    }
    giveUp("no free port");
}

/// Returns -1 if the connection could not be established.
inline int connectTo(const std::string& address, int port)
{
    int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto remote = socketAddress(address, port);
    if (::connect(connection, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) != 0) {
        ::close(connection);
        return -1;
    }
    int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

inline bool sendAll(int connection, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Closes with a reset instead of an orderly end.
inline void resetConnection(int connection)
{
    linger option { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::close(connection);
}

// HTTP

struct Head {
    /// Request line or status line.
    std::string firstLine;
    std::map<std::string, std::string> headers;

    std::string header(std::string name) const
    {
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        auto start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }
    int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.substr(9, 3).c_str()) : 0; }
};

/// How a message ended.
enum class BodyEnd {
    Complete,
    /// The connection ended or the time was over before the body was complete.
    Broken,
};

/// Reads messages from one connection.
class Reader {
public:
    explicit Reader(int connection)
        : m_connection(connection)
    {
    }

    std::optional<Head> readHead(double timeout = 30)
    {
        std::size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeout))
                return std::nullopt;
        }
        Head head;
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, head.firstLine);
        if (!head.firstLine.empty() && head.firstLine.back() == '\r')
            head.firstLine.pop_back();
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            auto valueStart = line.find_first_not_of(' ', colon + 1);
            head.headers[name] = valueStart == std::string::npos ? "" : line.substr(valueStart);
        }
        return head;
    }

    /// Reads a body that has a length, comes in chunks, or (answers only) ends with the connection.
    BodyEnd readBody(const Head& head, std::string& body, bool isAnswer, double timeout = 30)
    {
        if (head.header("Transfer-Encoding").find("chunked") != std::string::npos)
            return readChunks(body, timeout);
        auto length = head.header("Content-Length");
        if (!length.empty())
            return take(body, std::stoul(length), timeout) ? BodyEnd::Complete : BodyEnd::Broken;
        if (!isAnswer)
            return BodyEnd::Complete;
        while (fill(timeout)) { }
        body += std::exchange(m_buffer, {});
        return m_ended ? BodyEnd::Complete : BodyEnd::Broken;
    }

private:
    bool fill(double timeout)
    {
        pollfd readable { .fd = m_connection, .events = POLLIN, .revents = 0 };
        if (::poll(&readable, 1, static_cast<int>(timeout * 1000)) <= 0)
            return false;
        char chunk[65536];
        auto count = ::recv(m_connection, chunk, sizeof(chunk), 0);
        m_ended = count == 0;
        if (count <= 0)
            return false;
        m_buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    bool take(std::string& body, std::size_t bytes, double timeout)
    {
        while (m_buffer.size() < bytes) {
            if (!fill(timeout)) {
                body += std::exchange(m_buffer, {});
                return false;
            }
        }
        body += m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return true;
    }

    BodyEnd readChunks(std::string& body, double timeout)
    {
        while (true) {
            std::size_t end;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(timeout))
                    return BodyEnd::Broken;
            }
            auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string lineEnd;
            if (size > 0 && !take(body, size, timeout))
                return BodyEnd::Broken;
            if (!take(lineEnd, 2, timeout))
                return BodyEnd::Broken;
            if (size == 0)
                return BodyEnd::Complete;
        }
    }

    int m_connection;
    bool m_ended = false;
    std::string m_buffer;
};

/// Runs a handler in a thread of its own for each connection. The handler closes the connection.
class Server {
public:
    using Handler = std::function<void(int connection)>;

    /// A receive buffer of 0 bytes leaves the kernel's default.
    Server(const std::string& address, Handler handler, int receiveBufferBytes = 0)
        : m_handler(std::move(handler))
    {
        m_listener = listenOn(address, m_port);
        // Accepted connections inherit it.
        if (receiveBufferBytes > 0)
            ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        std::thread([this] {
            while (true) {
                int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection >= 0)
                    std::thread(m_handler, connection).detach();
            }
        }).detach();
    }

    int port() const { return m_port; }

private:
    Handler m_handler;
    int m_port = 0;
    int m_listener = -1;
};

// The platform's store

inline std::string toBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

inline std::string percentDecoded(const std::string& text)
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

inline std::string queryValue(const std::string& target, const std::string& name)
{
    auto query = target.find('?');
    while (query != std::string::npos) {
        auto end = target.find('&', query + 1);
        auto parameter = target.substr(query + 1, end == std::string::npos ? end : end - query - 1);
        if (parameter.rfind(name + "=", 0) == 0)
            return percentDecoded(parameter.substr(name.size() + 1));
        query = end;
    }
    return {};
}

/// The key-value store of PROTOCOL.md: items, watches, conditional writes and leases.
class Store {
public:
    explicit Store(const std::string& address)
        : m_server(address, [this](int connection) { serve(connection); })
    {
        std::thread([this] {
            while (true) {
                sleepSeconds(0.05);
                expireLeases();
            }
        }).detach();
    }

    int port() const { return m_server.port(); }

    /// A write of the operator or of an engine.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }

    bool hasPrefix(const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        auto found = m_items.lower_bound(prefix);
        return found != m_items.end() && found->first.rfind(prefix, 0) == 0;
    }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        Clock::time_point expiresAt;
        std::chrono::milliseconds ttl {};
    };

    void write(const std::string& key, const std::string& value, std::int64_t lease)
    {
        auto& item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        if (item.created == 0)
            item.created = m_revision;
        item.lease = lease;
        m_events.push_back({ { "key", key }, { "value", value }, { "revision", m_revision }, { "created", item.created }, { "lease", lease } });
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "deleted", true } });
    }

    void expireLeases()
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.expiresAt < Clock::now())
                ended.push_back(id);
        }
        for (auto id : ended)
            endLease(id);
    }

    void endLease(std::int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
        m_leases.erase(id);
        m_changed.notify_all();
    }

    json itemOf(const std::string& key, const Item& item) const
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    void serve(int connection)
    {
        Reader reader(connection);
        while (auto head = reader.readHead()) {
            std::string body;
            if (reader.readBody(*head, body, false) != BodyEnd::Complete)
                break;
            auto [status, answer] = handle(*head, body);
            auto text = answer.dump();
            if (!sendAll(connection, "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
                break;
        }
        ::close(connection);
    }

    std::pair<int, json> handle(const Head& head, const std::string& body)
    {
        auto target = head.target();
        auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/kv-key") {
            auto found = m_items.find(queryValue(target, "key"));
            if (found == m_items.end())
                return { 404, json::object() };
            auto answer = itemOf(found->first, found->second);
            answer["at"] = m_revision;
            return { 200, answer };
        }
        if (path == "/kv-range")
            return { 200, range(queryValue(target, "path_prefix"), queryValue(target, "after")) };
        if (path == "/kv-watch")
            return { 200, watch(lock, target) };
        if (path == "/kv-txn")
            return transact(json::parse(body));
        if (path == "/kv-lease") {
            auto ttl = std::chrono::milliseconds(json::parse(body).at("ttl_ms").get<int>());
            m_leases[++m_lastLease] = { .expiresAt = Clock::now() + ttl, .ttl = ttl };
            return { 200, { { "lease", m_lastLease }, { "ttl_ms", ttl.count() } } };
        }
        auto number = [&](const std::string& prefix) { return std::stoll(path.substr(prefix.size())); };
        if (path.rfind("/kv-keep/", 0) == 0) {
            auto found = m_leases.find(number("/kv-keep/"));
            if (found == m_leases.end())
                return { 404, json::object() };
            found->second.expiresAt = Clock::now() + found->second.ttl;
            return { 200, { { "ttl_ms", found->second.ttl.count() } } };
        }
        if (path.rfind("/kv-lease-end/", 0) == 0) {
            endLease(number("/kv-lease-end/"));
            return { 200, json::object() };
        }
        return { 404, json::object() };
    }

    json range(const std::string& prefix, const std::string& after) const
    {
        constexpr std::size_t pageSize = 400;
        json entries = json::array();
        bool more = false;
        for (const auto& [key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || key <= after)
                continue;
            if (entries.size() == pageSize) {
                more = true;
                break;
            }
            entries.push_back(itemOf(key, item));
        }
        return { { "entries", entries }, { "has_more", more }, { "at", m_revision } };
    }

    json watch(std::unique_lock<std::mutex>& lock, const std::string& target)
    {
        auto prefix = queryValue(target, "path_prefix");
        auto after = std::stoll(queryValue(target, "after"));
        auto until = Clock::now() + std::chrono::milliseconds(std::stoll(queryValue(target, "wait_ms")));
        while (true) {
            json events = json::array();
            for (const auto& event : m_events) {
                if (event.at("revision").get<std::int64_t>() > after && event.at("key").get<std::string>().rfind(prefix, 0) == 0)
                    events.push_back(event);
            }
            if (!events.empty() || Clock::now() >= until)
                return { { "events", events }, { "at", m_revision } };
            m_changed.wait_until(lock, until);
        }
    }

    std::pair<int, json> transact(const json& call)
    {
        json conflicts = json::array();
        bool holds = true;
        for (const auto& row : call.value("expected", json::array())) {
            auto found = m_items.find(row.at("key").get<std::string>());
            auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").get<std::int64_t>();
            if (found != m_items.end())
                conflicts.push_back(itemOf(found->first, found->second));
        }
        if (!holds)
            return { 412, { { "entries", conflicts } } };
        for (const auto& put : call.value("puts", json::array())) {
            auto lease = put.value("lease", std::int64_t(0));
            if (lease != 0 && !m_leases.contains(lease))
                return { 404, json::object() };
            write(put.at("key"), put.at("value"), lease);
        }
        for (const auto& key : call.value("delete", json::array()))
            erase(key);
        m_changed.notify_all();
        return { 200, { { "revision", m_revision } } };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<json> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 100;
    Server m_server;
};

// Engines and configurations

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The answer of a model engine to GET /report.
inline std::string reportAnswer(std::int64_t born, const std::string& state)
{
    auto report = json { { "phase", "both" }, { "models", { { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } } }, { "busy", false }, { "sequence", 0 }, { "queued", 0 }, { "active", 1 }, { "kv_in_use", 1000 }, { "kv_capacity_total", 34256 }, { "sessions", 0 }, { "state", state }, { "next_token", 0 }, { "runs", json::array() }, { "born", born } }.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report;
}

/// Writes an engine's entry every heartbeat until the run ends.
inline void keepRegistered(Store& store, const std::string& id, const std::string& service, const std::string& address, int slots, std::int64_t born = unixMilliseconds())
{
    auto entry = [=](int sequence) {
        return json { { "service", service }, { "address", address }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "born", born }, { "sequence", sequence } }.dump();
    };
    store.put("servers/" + id, entry(1));
    std::thread([&store, id, entry] {
        for (int sequence = 2;; ++sequence) {
            sleepSeconds(1.2);
            store.put("servers/" + id, entry(sequence));
        }
    }).detach();
}

inline json plainRoute(const std::string& name, const std::string& prefix, const std::string& type, const std::string& service, int timeoutMs)
{
    return { { "name", name }, { "hostname", "shop.example" }, { "path_prefix", prefix }, { "type", type }, { "timeout_ms", timeoutMs }, { "goal_ms", 100 }, { "priority", 2 }, { "service", service }, { "max_attempts", type == "safe" ? 2 : 1 }, { "public", false }, { "sticky", false }, { "resumable", false } };
}

inline json plainService(const std::string& name)
{
    return { { "name", name }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" }, { "tls", false } };
}

inline json modelService(const std::string& name)
{
    auto service = plainService(name);
    service["engine"] = { { "slots", 24 }, { "kv_capacity", 34256 }, { "kv_bytes", 262144 }, { "bandwidth_mbps", 38000.0 }, { "migrations", true }, { "backups", true }, { "stride", 4 }, { "most", 12 }, { "pin_ms", 4000.0 }, { "hold_ms", 2000.0 }, { "session_ttl_s", 5.0 }, { "models", { { { "name", "m" } } } } };
    return service;
}

inline json defaultLimits()
{
    return { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
}

// Entry processes

struct Instance {
    std::string name;
    std::string address;
    std::string zone;
    int callerPort = 0;
    int readyPort = 0;
    int peerPort = 0;
    int storePort = 0;
    pid_t process = -1;
};

class Deployment {
public:
    Deployment(std::string program, std::string address)
        : m_program(std::filesystem::absolute(program))
        , m_address(std::move(address))
    {
        if (!std::filesystem::exists(m_program))
            giveUp("the program of the deploy file is not built");
        char folder[] = "/tmp/guavaspan-review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        stopProcesses = [this] { stopAll(); };
    }

    const std::string& address() const { return m_address; }
    const std::string& folder() const { return m_folder; }

    Instance& add(const std::string& name, const std::string& zone, int storePort)
    {
        m_instances.push_back(std::make_unique<Instance>(Instance { .name = name, .address = m_address, .zone = zone, .callerPort = freePort(m_address), .readyPort = freePort(m_address), .peerPort = freePort(m_address), .storePort = storePort }));
        return *m_instances.back();
    }

    /// Starts "guavaspan entry" with settings like those of a machine of the small site.
    void start(Instance& instance)
    {
        auto at = [&](int port) { return m_address + ":" + std::to_string(port); };
        json settings {
            { "node_name", instance.name }, { "role", "entry" }, { "machine_class", "frontend" }, { "serves", { "frontend" } }, { "ip", m_address }, { "zone", instance.zone }, { "region", "region" },
            { "zones", { { "zone-a", "region" }, { "zone-b", "region" }, { "zone-c", "region" } } },
            { "listen", { { "frontend", at(instance.callerPort) }, { "ready", at(instance.readyPort) } } },
            { "port_range", { instance.peerPort, instance.peerPort } }, { "seed_nodes", json::array() }, { "bootstrap", true }, { "counts_as_loss", false },
            { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 }, { "bandwidth_mbps", 1000.0 }, { "disk_mb", 0 } } }, { "data_path", nullptr }, { "discovery", "platform" }, { "ingress", "vip" }, { "heartbeat_ms", 1200 },
            { "bounds", { { "seed_lag_s", 3 }, { "reuse_after_s", 2 }, { "contact_ms", 3000 }, { "ack_timeout_ms", 4000 }, { "catch_up_s", 4 }, { "drain_ms", 2000 }, { "grace_s", 8 }, { "loss_slack_ms", 200 }, { "config_apply_ms", 2000 }, { "rollback_slack_ms", 250 }, { "outer_bound_ms", 5000 }, { "strict_revocation", true }, { "revoke_ms", 5000 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "retry_slack", 56 }, { "recovery_s", 12 }, { "iteration_ms", 120 }, { "reuse_window_s", 5.8 } } },
            { "platform", { { "address", at(instance.storePort) }, { "form", "kv" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 }, { "history_s", 20 }, { "value_bytes", 1048576 }, { "min_ttl_ms", 1000 } } },
        };
        auto path = m_folder + "/" + instance.name + ".json";
        std::ofstream(path) << settings.dump();
        auto logPath = m_folder + "/" + instance.name + ".log";
        instance.process = ::fork();
        if (instance.process == 0) {
            int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::setenv("GUAVASPAN_BOOT", path.c_str(), 1);
            ::execl(m_program.c_str(), m_program.c_str(), "entry", nullptr);
            ::_exit(127);
        }
    }

    bool isReady(const Instance& instance) const
    {
        int connection = connectTo(m_address, instance.readyPort);
        if (connection < 0)
            return false;
        sendAll(connection, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        auto head = Reader(connection).readHead(2);
        ::close(connection);
        return head && head->status() == 200;
    }

    void awaitReady(const Instance& instance, double timeout = 20)
    {
        auto deadline = now() + timeout;
        while (!isReady(instance)) {
            if (now() > deadline)
                giveUp(instance.name + " did not become ready");
            sleepSeconds(0.1);
        }
    }

    /// Ends the processes by their ids and removes the temporary folder.
    void stopAll()
    {
        for (auto& instance : m_instances) {
            if (instance->process <= 0)
                continue;
            ::kill(instance->process, SIGKILL);
            ::waitpid(instance->process, nullptr, 0);
            instance->process = -1;
        }
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_folder);
    }

private:
    std::string m_program;
    std::string m_address;
    std::string m_folder;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

/// A loopback address of this run alone.
inline std::string ownLoopbackAddress()
{
    auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (pid >> 16) % 128) + "." + std::to_string((pid >> 8) % 256) + "." + std::to_string(1 + pid % 250);
}

inline bool withTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
