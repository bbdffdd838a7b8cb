#pragma once

#include "net/nettypes.h"

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <unistd.h>

namespace guavaspan {

/// A loopback address of this process's own.
inline std::string ownAddress()
{
    auto number = ::getpid();
    return "127.77." + std::to_string((number >> 8) % 256) + "." + std::to_string(1 + number % 250);
}

inline Endpoint freeEndpoint(asio::io_context& io)
{
    auto address = asio::ip::make_address(ownAddress());
    asio::ip::udp::socket socket(io, { address, 0 });
    return { .address = ownAddress(), .port = socket.local_endpoint().port() };
}

}
