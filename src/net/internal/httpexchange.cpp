#include "net/httpexchange.h"

#include "net/eventloop.h"

#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace guavaspan {

/// Shared with the coroutine that waits for a disconnect, which can resume once after the exchange is destroyed.
struct HttpExchange::DisconnectWatch {
    std::function<void()> callback;
    bool disconnected = false;
    bool active = true;
};

namespace {

    bool callerHasClosed(asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received > 0)
            return false;
        return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

}

HttpExchange::HttpExchange(beast::tcp_stream& stream, HttpRequest request, Endpoint remote, Clock::duration writeTimeout)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_remote(std::move(remote))
    , m_writeTimeout(writeTimeout)
    , m_keepAlive(m_request.keep_alive())
{
}

HttpExchange::~HttpExchange()
{
    if (!m_watch)
        return;
    m_watch->active = false;
    m_watch->callback = nullptr;
    m_stream.socket().cancel();
}

std::string HttpExchange::path() const
{
    std::string target = m_request.target();
    return target.substr(0, target.find('?'));
}

std::string HttpExchange::query(std::string_view name) const
{
    std::string target = m_request.target();
    auto queryStart = target.find('?');
    if (queryStart == std::string::npos)
        return {};
    std::string queryString = target.substr(queryStart + 1);
    std::string namePrefix = std::string(name) + "=";
    for (std::size_t start = 0; start < queryString.size();) {
        auto end = queryString.find('&', start);
        auto parameter = queryString.substr(start, end == std::string::npos ? end : end - start);
        if (parameter.starts_with(namePrefix))
            return parameter.substr(namePrefix.size());
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    return {};
}

std::string HttpExchange::header(std::string_view name) const
{
    return std::string(m_request.field(beast::string_view(name.data(), name.size())));
}

Awaitable<> HttpExchange::send(Reply reply)
{
    HttpResponse response { static_cast<http::status>(reply.status), 11 };
    response.set(http::field::content_type, reply.contentType);
    for (const auto& [name, value] : reply.headers)
        response.set(name, value);
    response.body() = std::move(reply.body);
    co_await sendResponse(std::move(response));
}

Awaitable<> HttpExchange::sendResponse(HttpResponse response)
{
    response.keep_alive(m_keepAlive);
    response.prepare_payload();
    m_responseStarted = true;
    m_stream.expires_after(m_writeTimeout);
    auto [error, written] = co_await http::async_write(m_stream, response, asTuple);
    if (error)
        m_keepAlive = false;
}

Awaitable<Result<void>> HttpExchange::beginEvents(HttpHeaders headers)
{
    http::response<http::empty_body> response { http::status::ok, 11 };
    response.set(http::field::content_type, "text/event-stream");
    response.set(http::field::cache_control, "no-cache");
    for (const auto& [name, value] : headers)
        response.set(name, value);
    co_return co_await beginResponse(std::move(response));
}

Awaitable<Result<void>> HttpExchange::beginResponse(http::response<http::empty_body> response)
{
    response.chunked(true);
    response.keep_alive(m_keepAlive);
    m_responseStarted = true;
    http::response_serializer<http::empty_body> serializer { response };
    m_stream.expires_after(m_writeTimeout);
    auto [error, written] = co_await http::async_write_header(m_stream, serializer, asTuple);
    if (error)
        co_return Error { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = "caller", .detail = error.message() };
    co_return Result<void> {};
}

Awaitable<Result<void>> HttpExchange::writeEvents(std::string text)
{
    m_stream.expires_after(m_writeTimeout);
    auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, written] = co_await asio::async_write(m_stream, chunk, asTuple);
    if (error) {
        m_keepAlive = false;
        co_return Error { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = "caller", .detail = error.message() };
    }
    co_return Result<void> {};
}

Awaitable<> HttpExchange::endEvents()
{
    m_stream.expires_after(m_writeTimeout);
    auto last = http::make_chunk_last();
    auto [error, written] = co_await asio::async_write(m_stream, last, asTuple);
    if (error)
        m_keepAlive = false;
}

void HttpExchange::abort()
{
    m_keepAlive = false;
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

void HttpExchange::onCallerDisconnect(std::function<void()> callback)
{
    m_watch = std::make_shared<DisconnectWatch>();
    m_watch->callback = std::move(callback);
    auto watch = m_watch;
    auto& socket = m_stream.socket();
    asio::co_spawn(
        m_stream.get_executor(), [watch, &socket]() -> Awaitable<> {
            auto [error] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
            if (!watch->active)
                co_return;
            if (error || !callerHasClosed(socket))
                co_return;
            watch->disconnected = true;
            if (watch->callback)
                watch->callback(); }, reportFailedHandler);
}

bool HttpExchange::callerDisconnected() const
{
    return m_watch && m_watch->disconnected;
}

}
