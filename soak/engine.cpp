#include "soak/engine.h"

#include "common/log.h"
#include "net/httpclient.h"
#include "soak/constants.h"
#include "soak/crashtrigger.h"

#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace guavaspan::soak {

namespace {

    using nlohmann::json;

    constexpr int slots = 16;
    /// Plain requests that a brittle engine runs or lets wait.
    constexpr std::size_t roomOfBrittleEngine = 6;
    constexpr auto eventInterval = Milliseconds(12);
    constexpr auto publishInterval = Milliseconds(500);
    /// Longer than maxDrainDelay, within which a draining engine may still receive new requests.
    constexpr auto drainTime = Milliseconds(3500);
    /// Time without a heartbeat after which the store drops an engine's entry.
    constexpr auto entryLifetime = 3 * publishInterval;
    /// Time from a silent crash to the end of the process.
    constexpr auto silentTime = Milliseconds(5000);
    constexpr auto copyDuration = Milliseconds(20);
    /// One plain request in 20 fails, and one in 40 loses its response after it was executed.
    constexpr std::uint64_t requestsPerFailure = 20;
    constexpr std::uint64_t requestsPerLostResponse = 40;
    constexpr std::uint64_t minFailurePercentage = 30;

    std::size_t paddingBytes(const std::string& path)
    {
        auto marker = path.find(paddingMarker);
        return marker == std::string::npos ? 0 : std::stoul(path.substr(marker + std::string_view(paddingMarker).size()));
    }

}

Engine::Engine(asio::io_context& io, EngineOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_server(io, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    , m_recordOutput(m_options.recordPath, std::ios::app)
    , m_drainSignal(io, SIGUSR1)
    , m_limitSignal(io, SIGUSR2)
    , m_failureSignal(io, SIGHUP)
    , m_startedAt(unixMilliseconds())
{
}

bool Engine::start()
{
    if (!m_server.listen(m_options.listenEndpoint))
        return false;
    asio::co_spawn(m_io, publishEntryPeriodically(), asio::detached);
    asio::co_spawn(m_io, drainOnSignal(), asio::detached);
    asio::co_spawn(m_io, toggleLimitOnSignal(), asio::detached);
    asio::co_spawn(m_io, toggleFailuresOnSignal(), asio::detached);
    return true;
}

void Engine::recordEvent(EngineRecord::Event event, const HttpExchange& exchange)
{
    auto deadline = exchange.header(deadlineHeader);
    m_recordOutput << encodeEngineRecord({ .event = event, .attemptId = exchange.header(attemptIdHeader), .engineId = m_options.id, .organisation = exchange.header(organisationHeader), .recordedAt = soakNow(), .deadlineMs = deadline.empty() ? EngineRecord::noDeadline : std::stoll(deadline) }) << std::flush;
}

void Engine::breakOff(HttpExchange& exchange)
{
    recordEvent(EngineRecord::Event::BreakOff, exchange);
    exchange.abort();
}

Awaitable<> Engine::publishEntry()
{
    json entry { { "service", m_options.service }, { "address", toString(m_options.advertisedEndpoint) }, { "zone", m_options.failureDomain }, { "version", 1 }, { "slots", m_options.brittle ? static_cast<int>(roomOfBrittleEngine) : slots }, { "state", m_draining ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "born", m_startedAt }, { "sequence", ++m_entrySequence } };
    json put { { "key", "servers/" + m_options.id }, { "value", entry.dump() } };
    HttpCall call { .endpoint = m_options.storeEndpoint, .method = "POST", .target = "/standin/put", .body = put.dump(), .timeout = Seconds(1) };
    co_await callHttp(std::move(call));
}

Awaitable<> Engine::publishEntryPeriodically()
{
    while (!m_silent) {
        co_await publishEntry();
        co_await sleepFor(publishInterval);
    }
}

Awaitable<> Engine::drainOnSignal()
{
    co_await m_drainSignal.async_wait(asTuple);
    m_draining = true;
    co_await publishEntry();
    co_await sleepFor(drainTime);
    for (const auto& [attemptId, exchange] : m_activeExchanges)
        recordEvent(EngineRecord::Event::BreakOff, *exchange);
    m_io.stop();
}

Awaitable<> Engine::toggleLimitOnSignal()
{
    while (true) {
        co_await m_limitSignal.async_wait(asTuple);
        m_statesLimit = !m_statesLimit;
    }
}

Awaitable<> Engine::toggleFailuresOnSignal()
{
    while (true) {
        co_await m_failureSignal.async_wait(asTuple);
        m_failurePercentage = m_failurePercentage > 0 ? 0 : minFailurePercentage + m_random() % (100 - minFailurePercentage);
    }
}

/// Headers in which the engine tells its state in every answer to a caller's request.
std::map<std::string, std::string> Engine::stateHeaders() const
{
    std::map<std::string, std::string> headers;
    if (m_draining)
        headers[shutdownHeader] = "1";
    if (m_statesLimit)
        headers[requestLimitHeader] = fmt::format("{:.1f}", m_options.requestLimit);
    if (m_options.brittle)
        headers[brittleHeader] = std::to_string(survivedRejections);
    return headers;
}

/// Ends the process as a crash would, or leaves all connections open and silent until then.
Awaitable<> Engine::crash(const HttpExchange& exchange, bool silently)
{
    logEvent(LogLevel::Warning, "engine_crash", { { "request", exchange.header(attemptIdHeader) }, { "prompt_parts", exchange.header(promptPartsHeader) }, { "silent", silently } });
    if (!silently)
        ::_exit(EXIT_FAILURE);
    m_silent = true;
    co_await sleepFor(entryLifetime);
    HttpCall call { .endpoint = m_options.storeEndpoint, .method = "POST", .target = "/standin/remove", .body = json { { "key", "servers/" + m_options.id } }.dump(), .timeout = Seconds(1) };
    co_await callHttp(std::move(call));
    co_await sleepFor(silentTime - entryLifetime);
    ::_exit(EXIT_FAILURE);
}

Awaitable<> Engine::sendEmptyReply(HttpExchange& exchange, unsigned status, bool notExecuted)
{
    Reply reply { .status = status, .body = "{}", .headers = { { attemptIdHeader, exchange.header(attemptIdHeader) } } };
    if (notExecuted)
        reply.headers[notRunHeader] = "1";
    reply.headers.merge(stateHeaders());
    co_await exchange.send(std::move(reply));
}

std::string Engine::reportJson() const
{
    return json { { "state", m_draining ? "draining" : "ready" }, { "born", m_startedAt }, { "active", m_generations.size() } }.dump();
}

Awaitable<> Engine::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (m_silent) {
        co_await sleepFor(silentTime);
        co_return;
    }
    if (path == "/report") {
        Reply report { .body = reportJson() };
        co_await exchange.send(std::move(report));
        co_return;
    }
    if (path == "/kv-move") {
        co_await handleMove(exchange);
        co_return;
    }
    if (path.starts_with("/kv-handle/")) {
        m_copies.erase(path.substr(std::string("/kv-handle/").size()));
        co_await sendEmptyReply(exchange, 200, false);
        co_return;
    }
    if (path == "/soak-copy") {
        auto copy = json::parse(exchange.request().body());
        m_copies[copy.at("handle")] = { .organisation = copy.at("organisation"), .producedEvents = copy.at("made"), .totalEvents = copy.at("total") };
        co_await sendEmptyReply(exchange, 200, false);
        co_return;
    }
    if (exchange.header(expectedTargetHeader) != m_options.id) {
        co_await sendEmptyReply(exchange, 421, true);
        co_return;
    }
    recordEvent(EngineRecord::Event::Arrival, exchange);
    auto trigger = parseCrashTrigger(path);
    if (trigger && soakNow() >= trigger->from) {
        recordEvent(EngineRecord::Event::Run, exchange);
        co_await sleepFor(trigger->delay);
        co_await crash(exchange, trigger->silent);
        co_return;
    }
    auto attemptId = exchange.header(attemptIdHeader);
    m_activeExchanges[attemptId] = &exchange;
    if (m_options.generates)
        co_await runStream(exchange);
    else
        co_await runPlainRequest(exchange);
    recordEvent(EngineRecord::Event::End, exchange);
    if (m_activeExchanges[attemptId] == &exchange)
        m_activeExchanges.erase(attemptId);
}

/// Refuses, fails or breaks off the given percentage of plain requests. Returns whether it did.
Awaitable<bool> Engine::failRequest(HttpExchange& exchange)
{
    if (m_random() % 100 >= m_failurePercentage)
        co_return false;
    switch (m_random() % 4) {
    case 0:
        breakOff(exchange);
        break;
    case 1:
        recordEvent(EngineRecord::Event::Run, exchange);
        breakOff(exchange);
        break;
    case 2: {
        recordEvent(EngineRecord::Event::Run, exchange);
        Reply reply { .status = 500, .body = "{}", .headers = { { attemptIdHeader, exchange.header(attemptIdHeader) }, { sealHeader, m_options.id } } };
        co_await exchange.send(std::move(reply));
        break;
    }
    default:
        co_await sendEmptyReply(exchange, 503, true);
    }
    co_return true;
}

Awaitable<> Engine::reject(HttpExchange& exchange)
{
    auto now = Clock::now();
    std::erase_if(m_rejections, [&](TimePoint rejectedAt) { return rejectedAt + Seconds(1) < now; });
    m_rejections.push_back(now);
    if (m_rejections.size() > survivedRejections) {
        recordEvent(EngineRecord::Event::Overwhelmed, exchange);
        co_await crash(exchange, false);
    }
    co_await sendEmptyReply(exchange, 503, true);
}

Awaitable<> Engine::runPlainRequest(HttpExchange& exchange)
{
    if (m_options.brittle && m_activeExchanges.size() > roomOfBrittleEngine) {
        co_await reject(exchange);
        co_return;
    }
    if (m_failurePercentage > 0 && co_await failRequest(exchange))
        co_return;
    auto attemptId = exchange.header(attemptIdHeader);
    recordEvent(EngineRecord::Event::Run, exchange);
    co_await sleepFor(Milliseconds(5 + static_cast<int>(m_random() % 20)));
    if (m_random() % requestsPerLostResponse == 0) {
        breakOff(exchange);
        co_return;
    }
    bool fails = m_random() % requestsPerFailure == 0;
    auto body = attemptId + std::string(paddingBytes(exchange.path()), paddingCharacter);
    Reply reply { .status = fails ? 500U : 200U, .body = body, .headers = { { attemptIdHeader, attemptId }, { sealHeader, m_options.id } } };
    reply.headers.merge(stateHeaders());
    co_await exchange.send(std::move(reply));
}

Awaitable<> Engine::runStream(HttpExchange& exchange)
{
    auto attemptId = exchange.header(attemptIdHeader);
    auto copySource = exchange.header("Kv-From");
    auto generation = std::make_shared<Generation>();
    generation->organisation = exchange.header(organisationHeader);
    int lastEventId = 0;
    if (!copySource.empty()) {
        auto copy = m_copies.find(copySource.substr(copySource.find('/') + 1));
        if (copy == m_copies.end()) {
            co_await sendEmptyReply(exchange, 503, true);
            co_return;
        }
        *generation = copy->second;
        m_copies.erase(copy);
        lastEventId = std::stoi(exchange.header("Last-Event-Id"));
    } else if (m_generations.size() >= slots) {
        co_await sendEmptyReply(exchange, 503, true);
        co_return;
    } else {
        generation->totalEvents = std::stoi(exchange.request().body());
    }
    recordEvent(copySource.empty() ? EngineRecord::Event::Run : EngineRecord::Event::Resume, exchange);
    m_generations[attemptId] = generation;
    co_await sendEvents(exchange, attemptId, lastEventId);
    if (m_generations[attemptId] == generation)
        m_generations.erase(attemptId);
}

Awaitable<> Engine::sendEvents(HttpExchange& exchange, std::string attemptId, int lastEventId)
{
    auto generation = m_generations[attemptId];
    http::response<http::empty_body> responseHead { http::status::ok, 11 };
    responseHead.set(http::field::content_type, "text/event-stream");
    responseHead.set(attemptIdHeader, attemptId);
    responseHead.set(sealHeader, m_options.id);
    for (const auto& [name, value] : stateHeaders())
        responseHead.set(name, value);
    if (!co_await exchange.beginResponse(std::move(responseHead)))
        co_return;
    if (hasCrashingPart(exchange.header(promptPartsHeader))) {
        co_await sleepFor(eventInterval);
        co_await crash(exchange, false);
    }
    for (int eventId = lastEventId + 1; eventId <= generation->totalEvents; ++eventId) {
        if (eventId > generation->producedEvents)
            co_await sleepFor(eventInterval);
        if (m_silent)
            co_await sleepFor(silentTime);
        if (generation->stopped) {
            exchange.abort();
            co_return;
        }
        generation->producedEvents = std::max(generation->producedEvents, eventId);
        auto event = fmt::format("id: {}\ndata: {} {} {}\n\n", eventId, attemptId, eventId, generation->totalEvents);
        if (!co_await exchange.writeEvents(std::move(event)))
            co_return;
    }
    co_await exchange.endEvents();
}

Awaitable<> Engine::handleMove(HttpExchange& exchange)
{
    auto moveRequest = json::parse(exchange.request().body());
    auto attemptId = moveRequest.at("id").get<std::string>();
    auto found = m_generations.find(attemptId);
    if (found == m_generations.end()) {
        co_await sendEmptyReply(exchange, 404, false);
        co_return;
    }
    auto generation = found->second;
    generation->stopped = generation->stopped || moveRequest.at("last").get<bool>();
    co_await sleepFor(copyDuration);
    json copy { { "handle", attemptId }, { "organisation", generation->organisation }, { "made", generation->producedEvents }, { "total", generation->totalEvents } };
    HttpCall transferCall { .endpoint = *parseEndpoint(moveRequest.at("target").get<std::string>()), .method = "POST", .target = "/soak-copy", .body = copy.dump(), .timeout = Milliseconds(500) };
    auto transferResponse = co_await callHttp(std::move(transferCall));
    bool copied = transferResponse && transferResponse->result_int() == 200;
    if (generation->stopped)
        m_copies[attemptId] = *generation;
    if (generation->stopped)
        m_copies[attemptId].stopped = false;
    json response { { "created", generation->producedEvents } };
    if (copied || generation->stopped)
        response["session"] = attemptId;
    Reply reply { .status = copied ? 200U : 503U, .body = response.dump() };
    co_await exchange.send(std::move(reply));
}

}
