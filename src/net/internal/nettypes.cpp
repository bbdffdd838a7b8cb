#include "net/nettypes.h"

#include <charconv>
#include <fmt/format.h>

namespace guavaspan {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, parseError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (parseError != std::errc {} || end != portText.data() + portText.size())
        return std::nullopt;
    boost::system::error_code error;
    asio::ip::make_address(std::string(host), error);
    if (error)
        return std::nullopt;
    return Endpoint { .address = std::string(host), .port = port };
}

bool isConnectable(const Endpoint& endpoint)
{
    boost::system::error_code error;
    auto address = asio::ip::make_address(endpoint.address, error);
    return !error && !address.is_unspecified() && !address.is_multicast() && endpoint.port != 0;
}

bool isMalformedMessage(const boost::system::error_code& error)
{
    return error.category() == http::make_error_code(http::error::bad_field).category() && error != http::error::end_of_stream && error != http::error::partial_message;
}

bool isFinalStatus(unsigned status)
{
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned lastStatus = 599;
    return status >= firstFinalStatus && status <= lastStatus;
}

/// The response to the request would follow an informational one, so nothing in this one tells whether the request ran.
Error statusError(unsigned status, std::string peer)
{
    return { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = std::move(peer), .detail = fmt::format("status {:03} ends no request", status), .outcome = Outcome::Unknown };
}

Awaitable<> sleepFor(Clock::duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

}
