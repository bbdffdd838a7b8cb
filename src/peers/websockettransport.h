#pragma once

// Read by the one library that is compiled as C++17, hence plain.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace guavaspan {

struct WebSocketTransportOptions {
    std::string name;
    std::string key;
    std::size_t maxMessageBytes = 4 << 20;
    std::size_t maxBufferedBytes = 4 << 20;
    int idleTimeoutSeconds = 60;
};

/// Bytes and connections since the start.
struct TransportCounters {
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsRefused = 0;
};

/// Binary messages between instances that hold the same key.
class WebSocketTransport {
public:
    using Receiver = std::function<void(const std::string& from, const std::string& payload)>;

    WebSocketTransport(boost::asio::io_context&, WebSocketTransportOptions, Receiver);
    ~WebSocketTransport();

    /// Gives the bound port, or 0 if it cannot listen.
    std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Sends over an open connection, or opens one first. False if there is no
    /// address and no connection, or too much is waiting already.
    bool send(const std::string& to, const std::string& address, std::uint16_t port, const std::string& payload);

    void closeIdle();
    const TransportCounters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
