#pragma once

#include "net/nettypes.h"

#include <list>

namespace guavaspan::soak {

enum class LinkFault {
    None,
    Delayed,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// No data passes from the target to the client.
    OneWay,
    /// No data passes in either direction, and connections stay open.
    Silent,
};

/// A loopback TCP proxy in front of one target that can inject network faults.
class Proxy {
public:
    Proxy(asio::io_context&, Endpoint target);

    /// Starts accepting connections and returns the proxy's address.
    Endpoint listen();
    void setTarget(Endpoint target) { m_target = std::move(target); }
    void setFault(LinkFault);
    LinkFault fault() const { return m_fault; }

private:
    struct Connection;

    Awaitable<> acceptLoop();
    Awaitable<> connectToTarget(std::shared_ptr<Connection>);
    Awaitable<> forwardBytes(std::shared_ptr<Connection>, bool towardsTarget);

    asio::io_context& m_io;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_target;
    LinkFault m_fault = LinkFault::None;
    std::list<std::weak_ptr<Connection>> m_connections;
};

}
