// Stand-ins for the cases of this review: the platform's store, engines and clients, on loopback.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
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
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const char* loopback = "127.0.0.1";

inline void sleepMs(int duration) { std::this_thread::sleep_for(milliseconds(duration)); }

/// Milliseconds of a clock that all processes of the machine share.
inline std::int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(SteadyClock::now().time_since_epoch()).count(); }

inline std::int64_t unixMs() { return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

/// Appends whole lines to a file that several processes write.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }
    void line(const std::string& text)
    {
        auto whole = std::to_string(nowMs()) + " " + text + "\n";
        [[maybe_unused]] auto written = ::write(m_file, whole.data(), whole.size());
    }

private:
    int m_file;
};

inline sockaddr_in addressOf(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, loopback, &address.sin_addr);
    return address;
}

inline int listenOn(int port)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 256) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

/// A port that is free for TCP and UDP.
inline int freePort()
{
    static std::vector<int> given;
    while (true) {
        int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = addressOf(0);
        ::bind(tcp, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
        int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        bool isFree = ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(tcp);
        ::close(udp);
        int port = ntohs(address.sin_port);
        if (isFree && std::find(given.begin(), given.end(), port) == given.end()) {
            given.push_back(port);
            return port;
        }
    }
}

inline int connectTo(int port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
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

/// A message with lower-case header names.
struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body has arrived to the end that the protocol marks.
    bool complete = false;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

/// Reads messages from a socket.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    /// Nothing if the connection ended, or the time was over, before a whole header.
    std::optional<Message> read(int timeoutMs, bool isResponse, bool hasNoBody = false)
    {
        m_deadline = nowMs() + timeoutMs;
        Message message;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive())
                return std::nullopt;
        }
        std::istringstream header(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        while (std::getline(header, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (auto& letter : name)
                letter = static_cast<char>(std::tolower(letter));
            auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            message.headers.emplace(name, value);
        }
        if (hasNoBody)
            message.complete = true;
        else if (message.header("transfer-encoding") == "chunked")
            message.complete = readChunks(message.body);
        else if (!message.header("content-length").empty())
            message.complete = take(std::stoul(message.header("content-length")), message.body);
        else if (isResponse)
            message.complete = readToEnd(message.body);
        else
            message.complete = true;
        return message;
    }

    /// Bytes that have arrived and belong to no message that was read.
    std::string unread(int waitMs)
    {
        m_deadline = nowMs() + waitMs;
        while (receive()) { }
        return m_buffer;
    }

private:
    bool receive()
    {
        pollfd readable { .fd = m_socket, .events = POLLIN, .revents = 0 };
        auto left = m_deadline - nowMs();
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        auto count = ::recv(m_socket, bytes, sizeof bytes, 0);
        m_endedInOrder = count == 0;
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool take(std::size_t size, std::string& body)
    {
        while (m_buffer.size() < size) {
            if (!receive()) {
                body += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        body += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool readChunks(std::string& body)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!receive())
                    return false;
            }
            auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string lineEnd;
            if (!take(size, body) || !take(2, lineEnd))
                return false;
            if (size == 0)
                return true;
        }
    }
    bool readToEnd(std::string& body)
    {
        while (receive()) { }
        body += m_buffer;
        m_buffer.clear();
        return m_endedInOrder;
    }

    int m_socket;
    std::string m_buffer;
    std::int64_t m_deadline = 0;
    bool m_endedInOrder = false;
};

inline std::string responseText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread.
inline void serve(int listener, std::function<void(int)> serveConnection)
{
    std::thread([=] {
        while (true) {
            int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([=] {
                serveConnection(socket);
                ::close(socket);
            }).detach();
        }
    }).detach();
}

inline std::string toBase64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? letters[group >> (18 - 6 * k) & 63] : '=';
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

/// The platform's store, without limits of its rates. Values are kept in base64, as on the wire.
class Store {
public:
    explicit Store(int port)
    {
        serve(listenOn(port), [this](int socket) { serveConnection(socket); });
        std::thread([this] { expireLeases(); }).detach();
    }

    /// While true, the system's calls get no answer; the operator's and the engines' do.
    std::atomic<bool> silentToSystem = false;

    std::int64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0)
    {
        std::lock_guard lock(m_mutex);
        return putLocked(key, toBase64(value), lease);
    }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        std::int64_t ttl = 0;
        std::int64_t endsAt = 0;
    };

    std::int64_t putLocked(const std::string& key, const std::string& encoded, std::int64_t lease)
    {
        auto& item = m_items[key];
        item = { .value = encoded, .revision = ++m_revision, .created = item.created ? item.created : m_revision, .lease = lease };
        m_events.push_back({ { "key", key }, { "value", encoded }, { "revision", m_revision }, { "created", item.created }, { "lease", lease } });
        return m_revision;
    }
    void removeLocked(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "deleted", true } });
    }
    static json itemJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }
    void expireLeases()
    {
        while (true) {
            sleepMs(20);
            std::lock_guard lock(m_mutex);
            for (auto entry = m_writtenAt.begin(); entry != m_writtenAt.end();) {
                if (entry->second + entryLifetimeMs > nowMs()) {
                    ++entry;
                    continue;
                }
                removeLocked(entry->first);
                entry = m_writtenAt.erase(entry);
            }
            for (auto lease = m_leases.begin(); lease != m_leases.end();) {
                if (lease->second.endsAt > nowMs()) {
                    ++lease;
                    continue;
                }
                endLeaseLocked(lease->first);
                lease = m_leases.erase(lease);
            }
        }
    }
    void endLeaseLocked(std::int64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            removeLocked(key);
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto start = target.find('?');
        std::istringstream text(start == std::string::npos ? "" : target.substr(start + 1));
        std::string part;
        while (std::getline(text, part, '&'))
            query[part.substr(0, part.find('='))] = percentDecoded(part.substr(std::min(part.size(), part.find('=') + 1)));
        return query;
    }

    void serveConnection(int socket)
    {
        Reader reader(socket);
        while (auto request = reader.read(600000, false)) {
            int status = 200;
            auto body = answer(*request, status);
            // A call that waits when the cut begins gets no answer either.
            while (silentToSystem && !request->target().starts_with("/engine-put"))
                sleepMs(20);
            if (!sendAll(socket, responseText(status, "Content-Type: application/json\r\n", body.dump())))
                return;
        }
    }

    json answer(const Message& request, int& status)
    {
        auto target = request.target();
        auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        if (path == "/kv-watch")
            return watch(query);
        std::lock_guard lock(m_mutex);
        if (path == "/kv-key") {
            auto found = m_items.find(query["key"]);
            status = found == m_items.end() ? 404 : 200;
            auto result = found == m_items.end() ? json::object() : itemJson(found->first, found->second);
            result["at"] = m_revision;
            return result;
        }
        if (path == "/kv-range") {
            json entries = json::array();
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(query["path_prefix"]) && key > query["after"])
                    entries.push_back(itemJson(key, item));
            }
            return { { "entries", entries }, { "has_more", false }, { "at", m_revision } };
        }
        if (path == "/kv-lease") {
            auto ttl = json::parse(request.body).at("ttl_ms").get<std::int64_t>();
            m_leases[++m_lastLease] = { .ttl = ttl, .endsAt = nowMs() + ttl };
            return { { "lease", m_lastLease }, { "ttl_ms", ttl } };
        }
        if (path.starts_with("/kv-keep/")) {
            auto lease = m_leases.find(std::stoll(path.substr(9)));
            if (lease == m_leases.end()) {
                status = 404;
                return json::object();
            }
            lease->second.endsAt = nowMs() + lease->second.ttl;
            return { { "ttl_ms", lease->second.ttl } };
        }
        if (path.starts_with("/kv-lease-end/")) {
            auto lease = std::stoll(path.substr(14));
            endLeaseLocked(lease);
            m_leases.erase(lease);
            return json::object();
        }
        if (path == "/kv-txn")
            return transaction(json::parse(request.body), status);
        // The engines' own way of writing; not part of the system's protocol.
        if (path == "/engine-put") {
            m_writtenAt[query["key"]] = nowMs();
            return { { "revision", putLocked(query["key"], toBase64(request.body), 0) } };
        }
        status = 404;
        return json::object();
    }

    json transaction(const json& body, int& status)
    {
        json current = json::array();
        bool holds = true;
        for (const auto& row : body.value("expected", json::array())) {
            auto found = m_items.find(row.at("key"));
            auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").get<std::int64_t>();
            if (found != m_items.end())
                current.push_back(itemJson(found->first, found->second));
        }
        if (!holds) {
            status = 412;
            return { { "entries", current } };
        }
        for (const auto& put : body.value("puts", json::array())) {
            auto lease = put.value("lease", std::int64_t(0));
            if (lease != 0 && !m_leases.contains(lease)) {
                status = 404;
                return json::object();
            }
            putLocked(put.at("key"), put.at("value"), lease);
        }
        for (const auto& key : body.value("delete", json::array()))
            removeLocked(key);
        return { { "revision", m_revision } };
    }

    json watch(std::map<std::string, std::string>& query)
    {
        auto after = std::stoll(query["after"]);
        auto endsAt = nowMs() + std::stoll(query["wait_ms"]);
        while (true) {
            {
                std::lock_guard lock(m_mutex);
                json events = json::array();
                for (const auto& event : m_events) {
                    if (event.at("revision").get<std::int64_t>() > after && event.at("key").get<std::string>().starts_with(query["path_prefix"]))
                        events.push_back(event);
                }
                if (!events.empty() || nowMs() >= endsAt)
                    return { { "events", events }, { "at", m_revision } };
            }
            sleepMs(5);
        }
    }

    /// Three intervals of the engines' heartbeats.
    static constexpr std::int64_t entryLifetimeMs = 3600;

    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_writtenAt;
    std::int64_t m_revision = 100;
    std::int64_t m_lastLease = 70000;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<json> m_events;
};

/// Starts a program in a process of its own; its output goes to a file.
inline pid_t startProcess(const std::vector<std::string>& command, const std::string& outputPath, const std::string& bootPath = {})
{
    auto pid = ::fork();
    if (pid != 0)
        return pid;
    int output = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    if (!bootPath.empty())
        ::setenv("GUAVASPAN_BOOT", bootPath.c_str(), 1);
    std::vector<char*> arguments;
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

/// Options of the form --name value.
class Options {
public:
    Options(int count, char** arguments)
    {
        for (int i = 2; i + 1 < count; i += 2)
            m_values[arguments[i] + 2] = arguments[i + 1];
    }
    std::string text(const std::string& name, const std::string& fallback = {}) const
    {
        auto found = m_values.find(name);
        return found == m_values.end() ? fallback : found->second;
    }
    int number(const std::string& name, int fallback = 0) const { return std::atoi(text(name, std::to_string(fallback)).c_str()); }

private:
    std::map<std::string, std::string> m_values;
};

}
