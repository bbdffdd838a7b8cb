#include "relay/targetconnection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace guavaspan {

namespace {

    constexpr std::size_t chunkBytes = 8 << 10;
    /// Larger answers of services that do not stream are treated as broken.
    constexpr std::size_t maxBodyBytes = 16 << 20;
    /// TCP keep-alive: a connection that became silent is closed after about 4 s.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 3;

    /// The target's clock may run faster than this one, and its timers have a resolution.
    constexpr auto maxTimerDeviation = Milliseconds(50);
    /// The deviation takes at most this part of the target's time.
    constexpr int maxDeviationDivisor = 20;

    void enableKeepAlive(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        auto handle = socket.native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
    }

}

/// Shared with pending sends, which may outlive the TargetConnection.
struct TargetConnection::State {
    explicit State(const asio::any_io_executor& executor)
        : socket(executor)
        , deadlineTimer(executor)
    {
        parser.header_limit(maxResponseHeaderBytes);
        parser.body_limit(boost::none);
        parser.eager(false);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        deadlineTimer.cancel();
    }

    /// The kernel reports a broken connection to one operation only; if that is the pending send, the next read gets an ordinary
    /// end of file. A broken pipe is no such report: it means that the target had ended its answer before.
    bool sendBroke() const
    {
        return sendError && sendError != asio::error::broken_pipe && sendError != asio::error::operation_aborted;
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer deadlineTimer;
    bool deadlineReached = false;
    /// When the target stops its work, at the earliest.
    TimePoint targetStopsAt = TimePoint::max();
    HttpRequest request;
    std::string requestHeader;
    boost::system::error_code sendError;
    beast::flat_buffer buffer { maxUnparsedBytes };
    http::response_parser<http::buffer_body> parser;
    std::array<char, chunkBytes> chunk {};
};

TargetConnection::TargetConnection(const asio::any_io_executor& executor)
    : m_state(std::make_shared<State>(executor))
{
}

TargetConnection::~TargetConnection()
{
    m_state->close();
}

void TargetConnection::cancel()
{
    m_state->close();
}

void TargetConnection::setDeadline(TimePoint deadline)
{
    m_state->deadlineTimer.expires_at(deadline);
    m_state->deadlineTimer.async_wait([state = m_state](boost::system::error_code error) {
        if (error)
            return;
        state->deadlineReached = true;
        boost::system::error_code ignored;
        state->socket.close(ignored);
    });
}

void TargetConnection::setTargetTime(Milliseconds targetTime)
{
    m_state->targetStopsAt = Clock::now() + targetTime - std::min<Clock::duration>(maxTimerDeviation, targetTime / maxDeviationDivisor);
}

Error TargetConnection::makeError(const boost::system::error_code& error, Step step) const
{
    auto code = m_state->deadlineReached ? ErrorCode::Timeout : (isMalformedMessage(error) ? ErrorCode::BadReply : ErrorCode::LinkBroken);
    return { .code = code, .step = step, .peer = toString(m_endpoint), .detail = error.message(), .outcome = Outcome::Unknown };
}

Awaitable<Result<void>> TargetConnection::open(Endpoint endpoint, HttpRequest request, Clock::duration connectTimeout)
{
    m_endpoint = std::move(endpoint);
    auto state = m_state;
    boost::system::error_code error;
    asio::ip::tcp::endpoint remote { asio::ip::make_address(m_endpoint.address, error), m_endpoint.port };
    if (!error) {
        setDeadline(Clock::now() + connectTimeout);
        auto [connectError] = co_await state->socket.async_connect(remote, asTuple);
        error = connectError;
        state->deadlineTimer.cancel();
    }
    if (error || state->deadlineReached)
        co_return Error { .code = ErrorCode::ConnectFailed, .step = Step::Connect, .peer = toString(m_endpoint), .detail = error.message(), .outcome = Outcome::NotRun };
    enableKeepAlive(state->socket);
    state->request = std::move(request);
    state->parser.skip(state->request.method() == http::verb::head);
    state->requestHeader = serializeHeader(state->request);
    std::array buffers { asio::buffer(state->requestHeader), asio::buffer(state->request.body()) };
    asio::async_write(state->socket, buffers, [state](boost::system::error_code sendError, std::size_t) {
        state->sendError = sendError;
        // What is sent is not held while the target works.
        std::string().swap(state->request.body());
    });
    co_return Result<void> {};
}

Awaitable<Result<void>> TargetConnection::readHeader()
{
    auto state = m_state;
    auto [error, bytes] = co_await http::async_read_header(state->socket, state->buffer, state->parser, asTuple);
    if (error)
        co_return makeError(error, Step::ReadReply);
    auto status = state->parser.get().result_int();
    if (!isFinalStatus(status))
        co_return statusError(status, toString(m_endpoint));
    co_return Result<void> {};
}

const http::response_header<>& TargetConnection::header() const
{
    return m_state->parser.get().base();
}

bool TargetConnection::bodyEndsAtClose() const
{
    return m_state->parser.need_eof();
}

Awaitable<Result<std::string>> TargetConnection::readSome()
{
    auto state = m_state;
    while (!state->parser.is_done()) {
        auto& body = state->parser.get().body();
        body.data = state->chunk.data();
        body.size = state->chunk.size();
        auto [error, bytes] = co_await http::async_read_some(state->socket, state->buffer, state->parser, asTuple);
        std::size_t bytesRead = state->chunk.size() - body.size;
        if (error && error != http::error::need_buffer && bytesRead == 0)
            co_return makeError(error, Step::Relay);
        if (bytesRead > 0)
            co_return std::string(state->chunk.data(), bytesRead);
    }
    if (bodyEndsAtClose() && state->sendBroke())
        co_return Error { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = toString(m_endpoint), .detail = state->sendError.message() + " while the request was being sent", .outcome = Outcome::Unknown };
    // A target that stops its work closes the connection in order, as it does after a complete answer.
    if (bodyEndsAtClose() && Clock::now() >= state->targetStopsAt)
        co_return Error { .code = ErrorCode::Timeout, .step = Step::Relay, .peer = toString(m_endpoint), .detail = "answer without a length ended when the target's time was over", .outcome = Outcome::Unknown };
    co_return std::string();
}

Awaitable<Result<std::string>> TargetConnection::readAll(std::function<bool(std::size_t)> hasRoom)
{
    std::string body;
    while (true) {
        auto chunk = co_await readSome();
        if (!chunk)
            co_return chunk.error();
        if (chunk->empty())
            co_return body;
        if (hasRoom && !hasRoom(body.size() + chunk->size()))
            co_return Error { .code = ErrorCode::Overloaded, .step = Step::ReadReply, .peer = toString(m_endpoint), .detail = "no room for the answer", .outcome = Outcome::Unknown };
        body += *chunk;
        if (body.size() > maxBodyBytes)
            co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = toString(m_endpoint), .detail = "answer too large", .outcome = Outcome::Unknown };
    }
}

}
