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

/// Chunks that the caller has not taken yet. Shared with the coroutine that sends them, which can resume once after the exchange is
/// destroyed.
struct HttpExchange::Backlog {
    explicit Backlog(const asio::any_io_executor& executor)
        : sent(executor)
    {
    }

    std::string bytes;
    /// Bytes at the front that are sent.
    std::size_t taken = 0;
    boost::system::error_code error;
    /// Cancelled whenever the caller has taken some bytes.
    asio::steady_timer sent;
    bool sending = false;
    bool active = true;

    std::size_t size() const { return bytes.size() - taken; }
};

namespace {

    /// Answers are counted in steps; smaller ones are part of what a connection is counted for.
    constexpr std::size_t answerStepBytes = 16 << 10;
    /// A whole generation of some thousand tokens, so that an engine is not kept waiting by a caller that reads slowly.
    constexpr std::size_t maxBacklogBytes = 256 << 10;
    /// Bytes that are sent are removed from the front in steps, since the rest is moved each time.
    constexpr std::size_t maxTakenBytes = 64 << 10;

    bool callerHasClosed(asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received > 0)
            return false;
        return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

}

HttpExchange::HttpExchange(beast::tcp_stream& stream, HttpRequest request, Endpoint remote, Clock::duration writeTimeout, MemoryAccount* account)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_remote(std::move(remote))
    , m_writeTimeout(writeTimeout)
    , m_account(account)
    , m_keepAlive(m_request.keep_alive())
{
}

HttpExchange::~HttpExchange()
{
    if (m_backlog)
        m_backlog->active = false;
    if (m_watch) {
        m_watch->active = false;
        m_watch->callback = nullptr;
    }
    boost::system::error_code ignored;
    if (m_watch || m_backlog)
        m_stream.socket().cancel(ignored);
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

bool HttpExchange::holdAnswer(std::size_t bytes)
{
    if (!m_account || bytes < answerStepBytes)
        return true;
    auto held = bytes / answerStepBytes * answerStepBytes;
    if (held == m_heldAnswer)
        return !m_account->isShed();
    m_heldAnswer = held;
    return m_account->hold(MemoryUse::Answer, held, Clock::now());
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

/// A request that was read must be answered before its connection closes.
void HttpExchange::decideKeepAlive()
{
    if (!m_closesAfterResponse)
        return;
    bool followed = m_hasFollowingBytes && m_hasFollowingBytes();
    m_keepAlive = m_keepAlive && followed;
}

Awaitable<> HttpExchange::sendResponse(HttpResponse response)
{
    decideKeepAlive();
    response.keep_alive(m_keepAlive);
    // An answer to HEAD states the length of the body that it lacks.
    bool sendsBody = m_request.method() != http::verb::head;
    if (sendsBody || !response.has_content_length())
        response.prepare_payload();
    m_responseStarted = true;
    if (m_account) {
        // The answer is complete, so the request is not sent again.
        std::string().swap(m_request.body());
        m_account->hold(MemoryUse::Request, 0, Clock::now());
        m_account->setState(HolderState::Answering, Clock::now());
    }
    m_stream.expires_after(m_writeTimeout);
    http::response_serializer<http::string_body> serializer { response };
    serializer.split(!sendsBody);
    boost::system::error_code error;
    if (sendsBody) {
        auto [writeError, written] = co_await http::async_write(m_stream, serializer, asTuple);
        error = writeError;
    } else {
        auto [writeError, written] = co_await http::async_write_header(m_stream, serializer, asTuple);
        error = writeError;
    }
    if (error)
        m_keepAlive = false;
    if (m_account)
        m_account->setState(HolderState::Handling, Clock::now());
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
    // Events are no body of an answer to HEAD, and would be read as the start of the next answer.
    if (m_request.method() == http::verb::head)
        m_keepAlive = false;
    decideKeepAlive();
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
    if (m_account)
        co_return co_await writeOrKeep(std::move(text));
    m_stream.expires_after(m_writeTimeout);
    auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, written] = co_await asio::async_write(m_stream, chunk, asTuple);
    if (error)
        co_return callerError(error);
    co_return Result<void> {};
}

Error HttpExchange::callerError(const boost::system::error_code& error)
{
    m_keepAlive = false;
    return { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = "caller", .detail = error.message() };
}

/// Writes what the socket takes at once and leaves the rest to a coroutine.
Awaitable<Result<void>> HttpExchange::writeOrKeep(std::string text)
{
    if (!m_backlog)
        m_backlog = std::make_shared<Backlog>(m_stream.get_executor());
    auto& backlog = *m_backlog;
    auto chunk = http::make_chunk(asio::buffer(text));
    std::size_t written = 0;
    if (backlog.size() == 0 && !backlog.error) {
        boost::system::error_code error;
        written = m_stream.socket().write_some(chunk, error);
        if (error && error != asio::error::would_block)
            backlog.error = error;
    }
    if (backlog.error)
        co_return callerError(backlog.error);
    auto size = beast::buffer_bytes(chunk);
    if (written == size)
        co_return Result<void> {};
    auto start = backlog.bytes.size();
    backlog.bytes.resize(start + size - written);
    beast::buffers_suffix rest(chunk);
    rest.consume(written);
    asio::buffer_copy(asio::buffer(backlog.bytes) + start, rest);
    if (!m_account->hold(MemoryUse::Answer, backlog.bytes.size(), Clock::now())) {
        backlog.error = asio::error::no_memory;
        abort();
        co_return callerError(backlog.error);
    }
    if (!backlog.sending) {
        backlog.sending = true;
        m_account->setState(HolderState::Answering, Clock::now());
        // The exchange may be destroyed while the coroutine waits; it touches nothing else then.
        asio::co_spawn(
            m_stream.get_executor(), [this, kept = m_backlog]() -> Awaitable<> {
                while (kept->active && !kept->error && kept->size() > 0) {
                    m_stream.expires_after(m_writeTimeout);
                    // Bytes may be appended meanwhile, so a copy is sent.
                    std::string part = kept->bytes.substr(kept->taken, answerStepBytes);
                    auto [error, count] = co_await m_stream.async_write_some(asio::buffer(part), asTuple);
                    if (!kept->active)
                        co_return;
                    kept->error = error;
                    kept->taken += count;
                    if (kept->taken >= maxTakenBytes) {
                        kept->bytes.erase(0, kept->taken);
                        kept->taken = 0;
                    }
                    if (count > 0)
                        m_account->onProgress(Clock::now());
                    kept->sent.cancel();
                }
                kept->sending = false;
                if (kept->active) {
                    kept->bytes.clear();
                    kept->bytes.shrink_to_fit();
                    kept->taken = 0;
                    m_account->hold(MemoryUse::Answer, 0, Clock::now());
                    m_account->setState(HolderState::Handling, Clock::now());
                } }, reportFailedHandler);
    }
    co_await sendBacklog(maxBacklogBytes);
    if (backlog.error)
        co_return callerError(backlog.error);
    co_return Result<void> {};
}

/// Waits until the caller has taken all but so many bytes.
Awaitable<> HttpExchange::sendBacklog(std::size_t maxBytesLeft)
{
    auto backlog = m_backlog;
    while (backlog && backlog->sending && !backlog->error && backlog->size() > maxBytesLeft) {
        backlog->sent.expires_at(TimePoint::max());
        co_await backlog->sent.async_wait(asTuple);
    }
}

Awaitable<> HttpExchange::endEvents()
{
    co_await drain();
    if (m_backlog && m_backlog->error) {
        m_keepAlive = false;
        co_return;
    }
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
