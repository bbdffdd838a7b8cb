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

/// Splits a byte stream into server-sent events, whatever the chunk borders are.
class EventStreamSplitter {
public:
    void feed(std::string_view bytes);
    std::optional<ServerSentEvent> next();

private:
    void processLine(std::string_view line);

    std::string m_partialLine;
    ServerSentEvent m_current;
    bool m_hasData = false;
    std::deque<ServerSentEvent> m_ready;
};

/// A reply whose body is read as events while it arrives.
class EventStreamReader {
public:
    explicit EventStreamReader(asio::any_io_executor);

    /// Sends the call and reads the reply's header. A status other than 200 is
    /// read whole and kept in refusal().
    Awaitable<Result<unsigned>> open(HttpCall);
    const std::string& errorBody() const { return m_errorBody; }
    std::string header(std::string_view name) const;

    /// The next event; nothing at the regular end of the body.
    Awaitable<Result<std::optional<ServerSentEvent>>> next(Clock::duration silenceLimit);

    /// An event that has already arrived, without waiting.
    std::optional<ServerSentEvent> buffered() { return m_splitter.next(); }

    /// Ends a pending read from outside the coroutine.
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
