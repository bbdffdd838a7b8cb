#pragma once

#include "common/time.h"
#include "net/endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace guavaspan {

/// What an EndlessServer sends on each connection.
struct EndlessAnswer {
    std::string name;
    /// Sent once.
    std::string start;
    /// Sent again and again until the peer closes the connection.
    std::string repeated;
    /// Pause between two repetitions.
    Milliseconds pause { 0 };
};

/// Connections of an EndlessServer that have ended, and what it sent on them.
struct EndlessServerReport {
    int connections = 0;
    std::uint64_t bytesSent = 0;
    /// Connections that the server gave up, because the peer did not close them.
    int abandoned = 0;
};

/// Growth of the memory that this process uses, at its highest since the construction.
class PeakMemory {
public:
    PeakMemory()
    {
        std::ofstream("/proc/self/clear_refs") << "5";
        m_bytesAtStart = bytesOf("VmRSS:");
    }

    std::uint64_t growth() const
    {
        auto peak = bytesOf("VmHWM:");
        return peak > m_bytesAtStart ? peak - m_bytesAtStart : 0;
    }

private:
    static std::uint64_t bytesOf(std::string_view field)
    {
        std::ifstream status("/proc/self/status");
        std::string name;
        std::uint64_t kilobytes = 0;
        while (status >> name) {
            if (name == field && status >> kilobytes)
                return kilobytes << 10;
        }
        return 0;
    }

    std::uint64_t m_bytesAtStart = 0;
};

/// Upper bound of the growth if a reader keeps at most this many bytes: a string that doubles its capacity holds
/// its old and its new content for a moment.
constexpr std::uint64_t maxMemoryGrowth(std::uint64_t keptBytes)
{
    constexpr std::uint64_t margin = 8 << 20;
    return 3 * keptBytes + margin;
}

/// Added to a time limit for a machine that is busy.
inline constexpr auto endlessTimeMargin = Milliseconds(1500);

/// Server that answers any request without end. It runs on a thread of its own, so that it sends as fast as
/// a separate process would.
class EndlessServer {
public:
    /// The server gives up a connection at these bounds, so that a reader without bounds ends, too.
    static constexpr std::uint64_t maxBytes = std::uint64_t(1) << 30;
    static constexpr auto maxTime = Seconds(8);

    explicit EndlessServer(EndlessAnswer answer)
        : m_answer(std::move(answer))
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        while (m_answer.pause.count() == 0 && m_answer.repeated.size() < blockBytes)
            m_answer.repeated += m_answer.repeated;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(m_listener, 16);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_endpoint = { .address = "127.0.0.1", .port = ntohs(address.sin_port) };
        m_thread = std::thread([this] { acceptLoop(); });
    }

    ~EndlessServer()
    {
        m_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    const Endpoint& endpoint() const { return m_endpoint; }

    /// Waits until no connection is open.
    EndlessServerReport waitUntilClosed()
    {
        auto giveUpAt = Clock::now() + maxTime;
        while (m_open > 0 && Clock::now() < giveUpAt)
            std::this_thread::sleep_for(Milliseconds(5));
        std::lock_guard lock(m_mutex);
        return m_report;
    }

private:
    static constexpr std::size_t blockBytes = 32 << 10;
    static constexpr int sendTimeoutMicroseconds = 50'000;

    void acceptLoop()
    {
        std::vector<std::thread> connections;
        while (!m_stopping) {
            int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket < 0)
                continue;
            ++m_open;
            connections.emplace_back([this, socket] {
                serve(socket);
                --m_open;
            });
        }
        for (auto& connection : connections)
            connection.join();
    }

    void serve(int socket)
    {
        timeval timeout { .tv_sec = 0, .tv_usec = sendTimeoutMicroseconds };
        ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        std::array<char, 4096> request {};
        auto startedAt = Clock::now();
        while (::recv(socket, request.data(), request.size(), 0) < 0 && !mustGiveUp(0, startedAt)) { }
        std::uint64_t sent = 0;
        bool open = sendAll(socket, m_answer.start, sent, startedAt);
        while (open && !mustGiveUp(sent, startedAt)) {
            open = sendAll(socket, m_answer.repeated, sent, startedAt);
            if (m_answer.pause.count() > 0)
                std::this_thread::sleep_for(m_answer.pause);
        }
        ::close(socket);
        std::lock_guard lock(m_mutex);
        ++m_report.connections;
        m_report.bytesSent += sent;
        m_report.abandoned += open ? 1 : 0;
    }

    bool mustGiveUp(std::uint64_t sent, TimePoint startedAt) const
    {
        return m_stopping || sent >= maxBytes || Clock::now() - startedAt > maxTime;
    }

    /// False once the peer has closed the connection.
    bool sendAll(int socket, std::string_view bytes, std::uint64_t& sent, TimePoint startedAt) const
    {
        while (!bytes.empty() && !mustGiveUp(sent, startedAt)) {
            auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
                return false;
            if (count <= 0)
                continue;
            sent += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    EndlessAnswer m_answer;
    int m_listener;
    Endpoint m_endpoint;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_open = 0;
    std::mutex m_mutex;
    EndlessServerReport m_report;
    std::thread m_thread;
};

/// Answers whose header never ends, or is no header.
inline std::vector<EndlessAnswer> endlessHeaders()
{
    return {
        { .name = "status line", .start = "HTTP/1.1 200 ", .repeated = "a" },
        { .name = "bytes that are not HTTP", .repeated = "x" },
        { .name = "zero bytes", .repeated = std::string(1, '\0') },
        { .name = "empty lines", .repeated = "\r\n" },
        { .name = "header fields", .start = "HTTP/1.1 200 OK\r\n", .repeated = "X-Filler: 1\r\n" },
        { .name = "one header field", .start = "HTTP/1.1 200 OK\r\nX-Filler: ", .repeated = "a" },
        { .name = "informational responses", .repeated = "HTTP/1.1 100 Continue\r\n\r\n" },
        { .name = "status line, byte by byte", .start = "HTTP/1.1 200 ", .repeated = "a", .pause = Milliseconds(3) },
    };
}

/// Answers whose body never ends. Each starts with this header, which has no blank line yet.
inline std::vector<EndlessAnswer> endlessBodies(const std::string& header)
{
    const std::string chunked = header + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { .name = "body without length", .start = header + "\r\n", .repeated = "a" },
        { .name = "body with a length far too large", .start = header + "Content-Length: 999999999999\r\n\r\n", .repeated = "a" },
        { .name = "chunks", .start = chunked, .repeated = "5\r\nhello\r\n" },
        { .name = "chunk size", .start = chunked, .repeated = "0" },
        { .name = "chunk extension", .start = chunked + "5;", .repeated = "a" },
        { .name = "small chunks with long extensions", .start = chunked, .repeated = "1;" + std::string(4000, 'a') + "\r\nx\r\n" },
        { .name = "trailer fields", .start = chunked + "0\r\n", .repeated = "X-Filler: 1\r\n" },
        { .name = "one trailer field", .start = chunked + "0\r\nX-Filler: ", .repeated = "a" },
        { .name = "body without length, byte by byte", .start = header + "\r\n", .repeated = "a", .pause = Milliseconds(3) },
        { .name = "chunk size, byte by byte", .start = chunked, .repeated = "0", .pause = Milliseconds(3) },
    };
}

/// All of these answers. The header is that of the answers whose body never ends.
inline std::vector<EndlessAnswer> endlessAnswers(const std::string& header)
{
    auto answers = endlessHeaders();
    for (auto& answer : endlessBodies(header))
        answers.push_back(std::move(answer));
    return answers;
}

}
