#include "net/eventstreamreader.h"

#include "net/internal/httpconnect.h"

#include <array>

namespace guavaspan {

void EventStreamSplitter::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_partialLine += bytes;
            return;
        }
        if (m_partialLine.empty()) {
            processLine(bytes.substr(0, end));
        } else {
            m_partialLine += bytes.substr(0, end);
            processLine(m_partialLine);
            m_partialLine.clear();
        }
        bytes.remove_prefix(end + 1);
    }
}

void EventStreamSplitter::processLine(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (m_hasData)
            m_completeEvents.push_back(std::move(m_partialEvent));
        m_partialEvent = {};
        m_hasData = false;
        return;
    }
    auto colon = line.find(':');
    auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "data") {
        if (m_hasData)
            m_partialEvent.data += '\n';
        m_partialEvent.data += value;
        m_hasData = true;
    } else if (field == "id") {
        m_partialEvent.id = value;
    } else if (field == "event") {
        m_partialEvent.event = value;
    }
}

std::optional<ServerSentEvent> EventStreamSplitter::next()
{
    if (m_completeEvents.empty())
        return std::nullopt;
    auto event = std::move(m_completeEvents.front());
    m_completeEvents.pop_front();
    return event;
}

EventStreamReader::EventStreamReader(asio::any_io_executor executor)
    : m_stream(executor)
    , m_buffer(maxUnparsedBytes)
    , m_chunk(std::make_unique<std::array<char, 4096>>())
{
}

Awaitable<Result<unsigned>> EventStreamReader::open(HttpCall call)
{
    m_endpoint = call.endpoint;
    auto connected = co_await connectTo(m_stream, call.endpoint, call.timeout);
    if (!connected)
        co_return connected.error();
    auto deadline = Clock::now() + call.timeout;
    auto sent = co_await sendRequest(m_stream, call, deadline);
    if (!sent)
        co_return sent.error();
    m_parser.emplace();
    m_parser->header_limit(maxResponseHeaderBytes);
    m_parser->body_limit(boost::none);
    auto [error, bytes] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, asTuple);
    if (error)
        co_return linkError(error, Step::ReadReply, m_endpoint);
    auto status = m_parser->get().result_int();
    if (!isFinalStatus(status))
        co_return statusError(status, toString(m_endpoint));
    if (status == 200)
        co_return status;

    constexpr std::size_t maxErrorBodyBytes = 64 << 10;
    while (!m_parser->is_done() && m_errorBody.size() < maxErrorBodyBytes && Clock::now() < deadline) {
        auto& body = m_parser->get().body();
        body.data = m_chunk->data();
        body.size = m_chunk->size();
        auto [readError, count] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
        if (readError && readError != http::error::need_buffer)
            break;
        m_errorBody.append(m_chunk->data(), m_chunk->size() - body.size);
    }
    co_return status;
}

std::string EventStreamReader::header(std::string_view name) const
{
    if (!m_parser)
        return {};
    const auto& response = m_parser->get();
    auto found = response.find(beast::string_view(name.data(), name.size()));
    return found == response.end() ? std::string() : std::string(found->value());
}

Awaitable<Result<std::optional<ServerSentEvent>>> EventStreamReader::next(Clock::duration silenceLimit)
{
    auto deadline = Clock::now() + silenceLimit;
    m_stream.expires_at(deadline);
    while (true) {
        if (auto event = m_splitter.next())
            co_return event;
        if (m_parser->is_done())
            co_return std::optional<ServerSentEvent> {};
        if (m_splitter.exceedsLimit())
            co_return Error { .code = ErrorCode::BadReply, .step = Step::Relay, .peer = toString(m_endpoint), .detail = "event too large", .outcome = Outcome::Unknown };
        // Comments and other bytes that complete no event do not extend the wait.
        if (Clock::now() >= deadline)
            co_return linkError(beast::error::timeout, Step::Relay, m_endpoint);
        auto& body = m_parser->get().body();
        body.data = m_chunk->data();
        body.size = m_chunk->size();
        auto [error, count] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
        if (error && error != http::error::need_buffer)
            co_return linkError(error, Step::Relay, m_endpoint);
        m_splitter.feed({ m_chunk->data(), m_chunk->size() - body.size });
    }
}

void EventStreamReader::cancel()
{
    m_stream.cancel();
}

}
