#include "soak/engine.h"

#include "net/httpclient.h"
#include "soak/constants.h"

#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    constexpr int slots = 16;
    constexpr auto eventPause = Milliseconds(12);
    constexpr auto announcePause = Milliseconds(500);
    /// A leaving engine serves on for a little longer than the bound.
    constexpr auto lingerTime = Milliseconds(3500);
    constexpr auto copyTime = Milliseconds(20);
    /// One order or lookup in so many fails, and in so many loses its answer after it ran.
    constexpr std::uint64_t failureRate = 20;
    constexpr std::uint64_t lostAnswerRate = 40;

}

Engine::Engine(asio::io_context& io, EngineOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_server(io, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    , m_records(m_options.recordFile, std::ios::app)
    , m_leaveSignal(io, SIGUSR1)
    , m_startedAt(unixMilliseconds())
{
}

bool Engine::start()
{
    if (!m_server.listen(m_options.listen))
        return false;
    asio::co_spawn(m_io, announceRegularly(), asio::detached);
    asio::co_spawn(m_io, leaveOnSignal(), asio::detached);
    return true;
}

void Engine::note(EngineRecord::Event event, const std::string& attempt, const std::string& organisation)
{
    m_records << encodeEngineRecord({ .event = event, .attempt = attempt, .engine = m_options.id, .organisation = organisation, .at = soakNow() }) << std::flush;
}

Awaitable<> Engine::announce()
{
    json entry { { "service", m_options.service }, { "address", toString(m_options.announced) }, { "zone", m_options.failureDomain }, { "version", 1 }, { "slots", slots }, { "state", m_leaving ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "born", m_startedAt }, { "sequence", 0 } };
    json put { { "key", "servers/" + m_options.id }, { "value", entry.dump() } };
    HttpCall call { .endpoint = m_options.store, .method = "POST", .target = "/standin/put", .body = put.dump(), .timeout = Seconds(1) };
    co_await callHttp(std::move(call));
}

Awaitable<> Engine::announceRegularly()
{
    while (true) {
        co_await announce();
        co_await sleepFor(announcePause);
    }
}

Awaitable<> Engine::leaveOnSignal()
{
    co_await m_leaveSignal.async_wait(asTuple);
    m_leaving = true;
    co_await announce();
    co_await sleepFor(lingerTime);
    m_io.stop();
}

Awaitable<> Engine::refuse(HttpExchange& exchange, unsigned status, bool notRun)
{
    Reply reply { .status = status, .body = "{}", .headers = { { attemptHeader, exchange.header(attemptHeader) } } };
    if (notRun)
        reply.headers[notRunHeader] = "1";
    co_await exchange.send(std::move(reply));
}

std::string Engine::reportJson() const
{
    return json { { "state", m_leaving ? "draining" : "ready" }, { "born", m_startedAt }, { "active", m_runs.size() } }.dump();
}

Awaitable<> Engine::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/report") {
        Reply report { .body = reportJson() };
        co_await exchange.send(std::move(report));
        co_return;
    }
    if (path == "/kv-move") {
        co_await move(exchange);
        co_return;
    }
    if (path.starts_with("/kv-handle/")) {
        m_copies.erase(path.substr(std::string("/kv-handle/").size()));
        co_await refuse(exchange, 200, false);
        co_return;
    }
    if (path == "/soak-copy") {
        auto copy = json::parse(exchange.request().body());
        m_copies[copy.at("handle")] = { .organisation = copy.at("organisation"), .made = copy.at("made"), .total = copy.at("total") };
        co_await refuse(exchange, 200, false);
        co_return;
    }
    if (exchange.header(expectedTargetHeader) != m_options.id) {
        co_await refuse(exchange, 421, true);
        co_return;
    }
    if (m_options.generates)
        co_await runStream(exchange);
    else
        co_await runPlain(exchange);
}

Awaitable<> Engine::runPlain(HttpExchange& exchange)
{
    auto attempt = exchange.header(attemptHeader);
    note(EngineRecord::Event::Run, attempt, exchange.header(organisationHeader));
    co_await sleepFor(Milliseconds(5 + static_cast<int>(m_random() % 20)));
    if (m_random() % lostAnswerRate == 0) {
        exchange.abort();
        co_return;
    }
    bool fails = m_random() % failureRate == 0;
    Reply reply { .status = fails ? 500U : 200U, .body = attempt, .headers = { { attemptHeader, attempt }, { sealHeader, m_options.id } } };
    co_await exchange.send(std::move(reply));
}

Awaitable<> Engine::runStream(HttpExchange& exchange)
{
    auto attempt = exchange.header(attemptHeader);
    auto source = exchange.header("Kv-From");
    auto run = std::make_shared<Run>();
    run->organisation = exchange.header(organisationHeader);
    int from = 0;
    if (!source.empty()) {
        auto copy = m_copies.find(source.substr(source.find('/') + 1));
        if (copy == m_copies.end()) {
            co_await refuse(exchange, 503, true);
            co_return;
        }
        *run = copy->second;
        m_copies.erase(copy);
        from = std::stoi(exchange.header("Last-Event-Id"));
    } else if (m_runs.size() >= slots) {
        co_await refuse(exchange, 503, true);
        co_return;
    } else {
        run->total = std::stoi(exchange.request().body());
    }
    note(source.empty() ? EngineRecord::Event::Run : EngineRecord::Event::Resume, attempt, exchange.header(organisationHeader));
    m_runs[attempt] = run;
    co_await sendEvents(exchange, attempt, from);
    if (m_runs[attempt] == run)
        m_runs.erase(attempt);
}

Awaitable<> Engine::sendEvents(HttpExchange& exchange, std::string attempt, int from)
{
    auto run = m_runs[attempt];
    http::response<http::empty_body> head { http::status::ok, 11 };
    head.set(http::field::content_type, "text/event-stream");
    head.set(attemptHeader, attempt);
    head.set(sealHeader, m_options.id);
    if (!co_await exchange.beginResponse(std::move(head)))
        co_return;
    for (int next = from + 1; next <= run->total; ++next) {
        if (next > run->made)
            co_await sleepFor(eventPause);
        if (run->stopped) {
            exchange.abort();
            co_return;
        }
        run->made = std::max(run->made, next);
        auto event = fmt::format("id: {}\ndata: {} {} {}\n\n", next, attempt, next, run->total);
        if (!co_await exchange.writeEvents(std::move(event)))
            co_return;
    }
    co_await exchange.endEvents();
}

Awaitable<> Engine::move(HttpExchange& exchange)
{
    auto call = json::parse(exchange.request().body());
    auto attempt = call.at("id").get<std::string>();
    auto found = m_runs.find(attempt);
    if (found == m_runs.end()) {
        co_await refuse(exchange, 404, false);
        co_return;
    }
    auto run = found->second;
    run->stopped = run->stopped || call.at("last").get<bool>();
    co_await sleepFor(copyTime);
    json copy { { "handle", attempt }, { "organisation", run->organisation }, { "made", run->made }, { "total", run->total } };
    HttpCall transfer { .endpoint = *parseEndpoint(call.at("target").get<std::string>()), .method = "POST", .target = "/soak-copy", .body = copy.dump(), .timeout = Milliseconds(500) };
    auto copied = co_await callHttp(std::move(transfer));
    bool done = copied && copied->result_int() == 200;
    if (run->stopped)
        m_copies[attempt] = *run;
    if (run->stopped)
        m_copies[attempt].stopped = false;
    json answer { { "created", run->made } };
    if (done || run->stopped)
        answer["session"] = attempt;
    Reply reply { .status = done ? 200U : 503U, .body = answer.dump() };
    co_await exchange.send(std::move(reply));
}

}
