#pragma once

// This header must compile as C++17, since websocketpp does not compile as C++20.

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

/// Traffic and connections since the transport was created.
struct TransportCounters {
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsRefused = 0;
};

/// Exchanges binary messages with instances that use the same key.
class WebSocketTransport {
public:
    using Receiver = std::function<void(const std::string& from, const std::string& payload)>;

    WebSocketTransport(boost::asio::io_context&, WebSocketTransportOptions, Receiver);
    ~WebSocketTransport();

    /// Returns the bound port, or 0 if it cannot listen.
    std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Sends over the connection to this peer, or opens one first. False if there is neither a
    /// connection nor a port to connect to, if too much is queued, or if an error occurs.
    bool send(const std::string& to, const std::string& address, std::uint16_t port, const std::string& payload);

    void closeIdle();
    const TransportCounters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
