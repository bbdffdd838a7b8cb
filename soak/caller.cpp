#include "soak/caller.h"

#include "relay/eventframeparser.h"
#include "soak/constants.h"
#include "soak/crashtrigger.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <sstream>

namespace guavaspan::soak {

namespace {

    constexpr auto streamTimeout = Seconds(12);
    constexpr auto connectTimeout = Milliseconds(500);
    constexpr auto lateResponseTime = Milliseconds(500);
    /// Parts in which the body of a slowly sent request is written.
    constexpr std::size_t bodyParts = 10;

    /// Checks that a stream's events belong to the attempt, are consecutive and reach the announced count.
    class StreamVerifier {
    public:
        explicit StreamVerifier(std::string attemptId)
            : m_attemptId(std::move(attemptId))
        {
        }

        std::string feed(std::string_view bytes)
        {
            m_frames.feed(bytes);
            while (auto frame = m_frames.next()) {
                ++m_eventCount;
                auto expectedStart = fmt::format("id: {}\ndata: {} {} ", m_eventCount, m_attemptId, m_eventCount);
                if (!frame->bytes.starts_with(expectedStart))
                    return fmt::format("received event \"{}\", expected event {}", frame->bytes.substr(0, expectedStart.size() + 8), m_eventCount);
                m_announcedCount = std::stoi(frame->bytes.substr(expectedStart.size()));
            }
            return {};
        }

        std::string errorAtEnd() const
        {
            return m_eventCount == m_announcedCount && !m_frames.hasPartialFrame() ? "" : fmt::format("response ends without an error after {} of {} events", m_eventCount, m_announcedCount);
        }

    private:
        std::string m_attemptId;
        EventFrameParser m_frames;
        int m_eventCount = 0;
        int m_announcedCount = -1;
    };

}

Caller::Caller(asio::io_context& io, CallerOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_connection(io)
{
}

Awaitable<> Caller::run()
{
    while (m_options.shouldContinue()) {
        if (!m_connected && !co_await connect()) {
            co_await sleepFor(m_options.pauseBetweenRequests);
            continue;
        }
        auto spec = m_options.nextRequest(m_random);
        co_await sendRequest(spec);
        auto pause = nextPause();
        co_await sleepFor(pause);
    }
}

Milliseconds Caller::nextPause()
{
    auto shortest = m_options.pauseBetweenRequests;
    if (m_options.maxPauseBetweenRequests <= shortest)
        return shortest;
    return shortest + Milliseconds(m_random() % static_cast<std::uint64_t>((m_options.maxPauseBetweenRequests - shortest).count()));
}

Awaitable<bool> Caller::connect()
{
    m_instanceEndpoint = m_options.chooseEndpoint(m_random);
    m_buffer.clear();
    m_connection.close();
    m_connection.expires_after(connectTimeout);
    auto [error] = co_await m_connection.async_connect({ asio::ip::make_address(m_instanceEndpoint.endpoint.address), m_instanceEndpoint.endpoint.port }, asTuple);
    m_connected = !error;
    co_return m_connected;
}

Awaitable<> Caller::sendRequest(const RequestSpec& spec)
{
    Attempt attempt { .id = fmt::format("{}-{}", m_options.name, ++m_attemptCount), .type = spec.type, .path = spec.path, .apiKey = spec.apiKey, .promptPart = spec.promptPart, .instance = m_instanceEndpoint.instance, .incarnation = m_instanceEndpoint.incarnation, .sentAt = soakNow() };
    auto timeout = spec.type == RequestType::Stream ? Milliseconds(streamTimeout) : spec.timeout;
    attempt.deadlineMs = timeout.count();
    auto target = spec.path + (spec.paddingBytes > 0 ? paddingMarker + std::to_string(spec.paddingBytes) : "x");
    HttpRequest request { spec.type == RequestType::Lookup ? http::verb::get : http::verb::post, target, 11 };
    request.set(http::field::host, host);
    request.set(attemptIdHeader, attempt.id);
    request.set(apiKeyHeader, spec.apiKey);
    request.set(deadlineHeader, std::to_string(attempt.deadlineMs));
    if (spec.type == RequestType::Stream) {
        request.set("X-Token-Count", fmt::format("500,{}", spec.outputTokenLimit > 0 ? spec.outputTokenLimit : 4 * spec.eventCount));
        if (!spec.promptPart.empty())
            request.set(promptPartsHeader, listPromptParts(spec.promptPart, m_random));
        request.body() = std::to_string(spec.eventCount);
    } else {
        request.body() = std::string(spec.bodyBytes, 'b');
    }
    request.prepare_payload();
    // Reads a response that is sent when the deadline is reached.
    m_connection.expires_after(timeout + lateResponseTime);
    auto error = co_await writeRequest(request, spec.bodyDuration);
    attempt.lastByteSentAt = soakNow();
    attempt.requestSent = !error;
    m_connected = !error;
    if (!error)
        co_await readResponse(attempt, spec);
    attempt.endedAt = soakNow();
    m_options.attempts.push_back(std::move(attempt));
}

Awaitable<boost::system::error_code> Caller::writeRequest(const HttpRequest& request, Milliseconds bodyDuration)
{
    if (bodyDuration <= Milliseconds(0)) {
        auto [error, bytes] = co_await http::async_write(m_connection, request, asTuple);
        co_return error;
    }
    std::ostringstream head;
    head << request.base();
    auto text = head.str() + request.body();
    auto headBytes = text.size() - request.body().size();
    auto partBytes = std::max<std::size_t>(1, request.body().size() / bodyParts);
    for (std::size_t sent = 0; sent < text.size();) {
        auto partEnd = std::min(text.size(), sent == 0 ? headBytes : sent + partBytes);
        auto [error, bytes] = co_await asio::async_write(m_connection, asio::buffer(text.data() + sent, partEnd - sent), asTuple);
        if (error)
            co_return error;
        sent = partEnd;
        if (sent < text.size())
            co_await sleepFor(bodyDuration / bodyParts);
    }
    co_return boost::system::error_code {};
}

Awaitable<> Caller::readResponse(Attempt& attempt, const RequestSpec& spec)
{
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    m_connected = false;
    auto [headerError, headerBytes] = co_await http::async_read_header(m_connection, m_buffer, parser, asTuple);
    if (headerError)
        co_return;
    auto& message = parser.get();
    attempt.status = message.result_int();
    attempt.sealed = message.find(sealHeader) != message.end();
    bool isStream = attempt.type == RequestType::Stream && attempt.status == 200;
    StreamVerifier verifier(attempt.id);
    std::string body;
    std::array<char, 4096> chunk {};
    while (!parser.is_done()) {
        message.body().data = chunk.data();
        message.body().size = chunk.size();
        auto [error, bytes] = co_await http::async_read_some(m_connection, m_buffer, parser, asTuple);
        std::string_view received(chunk.data(), chunk.size() - message.body().size);
        if (isStream && attempt.contentError.empty())
            attempt.contentError = verifier.feed(received);
        body += received;
        if (error && error != http::error::need_buffer)
            co_return;
        if (spec.readPause > Milliseconds(0) && !parser.is_done())
            co_await sleepFor(spec.readPause);
    }
    attempt.responseComplete = true;
    attempt.refusedAsCrashing = attempt.status >= 500 && body.find(crashRefusalCode) != std::string::npos;
    if (isStream && attempt.contentError.empty())
        attempt.contentError = verifier.errorAtEnd();
    if (!isStream && attempt.status == 200 && body != attempt.id + std::string(spec.paddingBytes, paddingCharacter))
        attempt.contentError = "response body of attempt " + body.substr(0, 40);
    m_connected = !m_options.reconnects && (m_options.ignoresClose || message.keep_alive());
}

}
