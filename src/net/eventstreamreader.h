#pragma once

#include "net/httpclient.h"

#include <deque>

namespace guavaspan {

/// One server-sent event.
struct ServerSentEvent {
    std::string id;
    std::string event;
    std::string data;

    friend bool operator==(const ServerSentEvent&, const ServerSentEvent&) = default;
};

/// Splits a byte stream into server-sent events, independent of chunk boundaries.
class EventStreamSplitter {
public:
    /// Size limit of an event that is not complete.
    static constexpr std::size_t maxEventBytes = 1 << 20;

    void feed(std::string_view bytes);
    std::optional<ServerSentEvent> next();

    /// True if the current event has become too large.
    bool exceedsLimit() const { return m_partialLine.size() + m_partialEvent.data.size() > maxEventBytes; }

private:
    void processLine(std::string_view line);

    std::string m_partialLine;
    ServerSentEvent m_partialEvent;
    bool m_hasData = false;
    std::deque<ServerSentEvent> m_completeEvents;
};

/// Reads the body of a response as events while it arrives.
class EventStreamReader {
public:
    explicit EventStreamReader(asio::any_io_executor);

    /// Sends the request and reads the response header within the call's timeout after connecting. If the status
    /// is not 200, the body is read too, as far as it arrives in that time, and stored in errorBody().
    Awaitable<Result<unsigned>> open(HttpCall);
    const std::string& errorBody() const { return m_errorBody; }
    std::string header(std::string_view name) const;

    /// Returns the next event, or nothing at the regular end of the body. Fails if no event is complete within the limit.
    Awaitable<Result<std::optional<ServerSentEvent>>> next(Clock::duration silenceLimit);

    /// Returns an event that has already arrived, or nothing; does not wait.
    std::optional<ServerSentEvent> buffered() { return m_splitter.next(); }

    /// Cancels a pending read from outside the coroutine that awaits it.
    void cancel();

private:
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    EventStreamSplitter m_splitter;
    Endpoint m_endpoint;
    std::string m_errorBody;
    std::unique_ptr<std::array<char, 4096>> m_chunk;
};

}
