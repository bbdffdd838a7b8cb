#pragma once

#include "net/nettypes.h"

#include <array>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace guavaspan {

/// A loopback address of this process's own, so that no other test takes a port between its choice and its use.
inline std::string ownAddress()
{
    auto number = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + (number >> 16) % 200, (number >> 8) % 256, number % 256);
}

/// A port that nobody listens on, and another one at each call: the kernel may choose a port again that was closed, but is not used yet.
inline std::uint16_t freePort(asio::io_context& context)
{
    static std::set<std::uint16_t> chosenPorts;
    while (true) {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address(ownAddress()), 0 });
        auto port = acceptor.local_endpoint().port();
        if (chosenPorts.insert(port).second)
            return port;
    }
}

/// A connection that blocks for at most two seconds.
struct CallerConnection {
    CallerConnection(asio::io_context& context, std::uint16_t port)
        : socket(context)
    {
        socket.connect({ asio::ip::make_address(ownAddress()), port }, error);
        timeval timeout { .tv_sec = 2, .tv_usec = 0 };
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }

    void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes), error); }

    /// Empty if the connection ended or nothing arrived.
    std::string receive()
    {
        std::array<char, 4096> chunk {};
        auto count = ::recv(socket.native_handle(), chunk.data(), chunk.size(), 0);
        return count > 0 ? std::string(chunk.data(), static_cast<std::size_t>(count)) : std::string();
    }

    bool closedByServer()
    {
        char byte = 0;
        return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    asio::ip::tcp::socket socket;
    boost::system::error_code error;
};

}
