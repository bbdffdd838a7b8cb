#pragma once

#include "net/nettypes.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace guavaspan {

/// Sends a request on a connection of its own and reads until the server closes it.
inline Awaitable<> askServer(asio::io_context& context, Endpoint server, std::string request, std::string& answer)
{
    asio::ip::tcp::socket caller(context);
    asio::ip::tcp::endpoint endpoint { asio::ip::make_address(server.address), server.port };
    co_await caller.async_connect(endpoint, asTuple);
    co_await asio::async_write(caller, asio::buffer(request), asTuple);
    co_await asio::async_read(caller, asio::dynamic_buffer(answer), asTuple);
}

}
