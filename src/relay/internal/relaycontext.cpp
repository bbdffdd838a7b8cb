#include "relay/relaycontext.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace guavaspan {

namespace {

    constexpr std::array hopHeaders { "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "content-length", "upgrade" };

    Reply problem(unsigned status, const std::string& reason, const char* outcome)
    {
        auto body = fmt::format(R"({{"type":"about:blank","status":{},"code":"{}","outcome":"{}"}})", status, reason, outcome);
        return { .status = status, .contentType = "application/problem+json", .body = std::move(body) };
    }

}

CallerWatch::CallerWatch(HttpExchange& exchange)
    : m_state(std::make_shared<State>())
{
    exchange.onCallerGone([state = m_state] {
        state->gone = true;
        if (state->action)
            state->action();
    });
}

CallerWatch::~CallerWatch()
{
    m_state->action = nullptr;
}

Awaitable<> refuse(HttpExchange& exchange, unsigned status, const std::string& reason, Clock::duration retryAfter)
{
    auto reply = problem(status, reason, "not_run");
    reply.headers["Retry-After"] = fmt::format("{:.2f}", std::chrono::duration<double>(retryAfter).count());
    co_await exchange.send(std::move(reply));
}

Awaitable<> fail(HttpExchange& exchange, unsigned status, const std::string& reason)
{
    auto reply = problem(status, reason, status < 500 ? "not_run" : "unknown");
    co_await exchange.send(std::move(reply));
}

HttpResponse withoutHopHeaders(const http::response_header<>& header)
{
    HttpResponse response { header.result(), 11 };
    response.result(header.result_int());
    for (const auto& field : header) {
        bool hop = std::any_of(hopHeaders.begin(), hopHeaders.end(), [&](const char* name) { return beast::iequals(field.name_string(), name); });
        if (!hop)
            response.insert(field.name_string(), field.value());
    }
    return response;
}

Milliseconds timeLeft(const RelayRequest& request)
{
    auto left = std::chrono::duration_cast<Milliseconds>(request.limit - Clock::now());
    return std::max(Milliseconds(0), left);
}

}
