#include "net/internal/httpconnect.h"

#include "net/httprequest.h"

#include <array>
#include <boost/asio/write.hpp>

namespace guavaspan {

Error linkError(const boost::system::error_code& error, Step step, const Endpoint& endpoint)
{
    auto code = error == beast::error::timeout ? ErrorCode::LinkStalled : (isMalformedMessage(error) ? ErrorCode::BadReply : ErrorCode::LinkBroken);
    return Error { .code = code, .step = step, .peer = toString(endpoint), .detail = error.message(), .outcome = Outcome::Unknown };
}

Awaitable<Result<void>> connectTo(beast::tcp_stream& stream, const Endpoint& endpoint, Clock::duration timeout)
{
    boost::system::error_code error;
    asio::ip::tcp::endpoint remote { asio::ip::make_address(endpoint.address, error), endpoint.port };
    if (!error) {
        stream.expires_after(timeout);
        auto [connectError] = co_await stream.async_connect(remote, asTuple);
        error = connectError;
    }
    if (error)
        co_return Error { .code = ErrorCode::ConnectFailed, .step = Step::Connect, .peer = toString(endpoint), .detail = error.message(), .outcome = Outcome::NotRun };
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return Result<void> {};
}

Awaitable<Result<void>> sendRequest(beast::tcp_stream& stream, const HttpCall& call, TimePoint deadline)
{
    HttpRequest request { http::string_to_verb(call.method), call.target, 11 };
    request.set(http::field::host, toString(call.endpoint));
    for (const auto& [name, value] : call.headers)
        request.addField(name, value);
    if (!call.body.empty() && call.headers.count("Content-Type") == 0)
        request.set(http::field::content_type, "application/json");
    request.body() = call.body;
    request.prepare_payload();
    stream.expires_at(deadline);
    auto header = serializeHeader(request);
    std::array buffers { asio::buffer(header), asio::buffer(request.body()) };
    auto [error, bytes] = co_await asio::async_write(stream, buffers, asTuple);
    if (error)
        co_return linkError(error, Step::SendRequest, call.endpoint);
    co_return Result<void> {};
}

}
