#include "soak/caller.h"

#include "relay/eventframeparser.h"
#include "soak/constants.h"

#include <array>
#include <fmt/format.h>

namespace guavaspan::soak {

namespace {

    constexpr auto streamPatience = Seconds(12);
    constexpr auto shortPatience = Milliseconds(1500);
    constexpr auto connectPatience = Milliseconds(500);
    constexpr auto pause = Milliseconds(40);

    /// Holds the pieces of one stream against what was asked for.
    class StreamCheck {
    public:
        explicit StreamCheck(std::string attempt)
            : m_attempt(std::move(attempt))
        {
        }

        std::string feed(std::string_view bytes)
        {
            m_frames.feed(bytes);
            while (auto frame = m_frames.next()) {
                ++m_pieces;
                auto due = fmt::format("id: {}\ndata: {} {} ", m_pieces, m_attempt, m_pieces);
                if (!frame->bytes.starts_with(due))
                    return fmt::format("piece \"{}\" where number {} was due", frame->bytes.substr(0, due.size() + 8), m_pieces);
                m_total = std::stoi(frame->bytes.substr(due.size()));
            }
            return {};
        }

        std::string atEnd() const
        {
            return m_pieces == m_total && !m_frames.hasPartialFrame() ? "" : fmt::format("ends as complete after {} of {} pieces", m_pieces, m_total);
        }

    private:
        std::string m_attempt;
        EventFrameParser m_frames;
        int m_pieces = 0;
        int m_total = -1;
    };

}

Caller::Caller(asio::io_context& io, CallerOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_stream(io)
{
}

Awaitable<> Caller::run()
{
    while (m_options.goesOn()) {
        if (!m_connected && !co_await connect()) {
            co_await sleepFor(pause);
            continue;
        }
        auto wish = m_options.wish(m_random);
        co_await perform(wish);
        co_await sleepFor(pause);
    }
}

Awaitable<bool> Caller::connect()
{
    m_entrance = m_options.entrance(m_random);
    m_buffer.clear();
    m_stream.close();
    m_stream.expires_after(connectPatience);
    auto [error] = co_await m_stream.async_connect({ asio::ip::make_address(m_entrance.endpoint.address), m_entrance.endpoint.port }, asTuple);
    m_connected = !error;
    co_return m_connected;
}

Awaitable<> Caller::perform(const Wish& wish)
{
    Attempt attempt { .id = fmt::format("{}-{}", m_options.name, ++m_count), .kind = wish.kind, .path = wish.path, .key = wish.key, .instance = m_entrance.instance, .life = m_entrance.life, .sentAt = soakNow() };
    auto patience = wish.kind == RequestKind::Stream ? Clock::duration(streamPatience) : Clock::duration(shortPatience);
    HttpRequest request { wish.kind == RequestKind::Lookup ? http::verb::get : http::verb::post, wish.path + "x", 11 };
    request.set(http::field::host, host);
    request.set(attemptHeader, attempt.id);
    request.set(keyHeader, wish.key);
    request.set("X-Deadline-Ms", std::to_string(std::chrono::duration_cast<Milliseconds>(patience).count()));
    if (wish.kind == RequestKind::Stream) {
        request.set("X-Token-Count", fmt::format("500,{}", 4 * wish.pieces));
        request.body() = std::to_string(wish.pieces);
    }
    request.prepare_payload();
    m_stream.expires_after(patience);
    auto [error, bytes] = co_await http::async_write(m_stream, request, asTuple);
    attempt.sent = !error;
    m_connected = !error;
    if (!error)
        co_await readAnswer(attempt);
    attempt.endedAt = soakNow();
    m_options.attempts.push_back(std::move(attempt));
}

Awaitable<> Caller::readAnswer(Attempt& attempt)
{
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    m_connected = false;
    auto [headError, headBytes] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    if (headError)
        co_return;
    auto& message = parser.get();
    attempt.status = message.result_int();
    attempt.sealed = message.find(sealHeader) != message.end();
    bool isStream = attempt.kind == RequestKind::Stream && attempt.status == 200;
    StreamCheck stream(attempt.id);
    std::string whole;
    std::array<char, 4096> chunk {};
    while (!parser.is_done()) {
        message.body().data = chunk.data();
        message.body().size = chunk.size();
        auto [error, bytes] = co_await http::async_read_some(m_stream, m_buffer, parser, asTuple);
        std::string_view part(chunk.data(), chunk.size() - message.body().size);
        if (isStream && attempt.fault.empty())
            attempt.fault = stream.feed(part);
        whole += part;
        if (error && error != http::error::need_buffer)
            co_return;
    }
    attempt.complete = true;
    if (isStream && attempt.fault.empty())
        attempt.fault = stream.atEnd();
    if (!isStream && attempt.status == 200 && whole != attempt.id)
        attempt.fault = "the answer of " + whole.substr(0, 40);
    m_connected = message.keep_alive();
}

}
