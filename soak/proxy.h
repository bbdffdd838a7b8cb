#pragma once

#include "net/nettypes.h"

#include <list>

namespace guavaspan::soak {

enum class LinkFault {
    None,
    Delayed,
    /// Open connections are reset, and new ones at once.
    Reset,
    /// Nothing goes from the accepting side back to the connecting one.
    OneWay,
    /// Nothing goes either way, and connections stay open.
    Silent,
};

/// A loopback proxy in front of one address, whose link can be harmed.
class Proxy {
public:
    Proxy(asio::io_context&, Endpoint target);

    /// Gives the address that stands for the target.
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
