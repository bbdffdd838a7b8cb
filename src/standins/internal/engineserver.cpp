#include "standins/engineserver.h"

#include "common/log.h"
#include "scheduling/prefixblocks.h"

#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

    constexpr auto keepEnded = Seconds(60);
    constexpr std::size_t cacheEventsKept = 5000;
    // Heavy-tailed lengths: a few tokens to tens of thousands.
    constexpr double lengthLogMean = 5.0;
    constexpr double lengthLogDeviation = 1.2;
    constexpr int longestOutput = 30000;
    const std::string lengthMarker = "[[tokens=";
    const std::string crashMarker = "[[crash]]";

    std::string promptOf(const json& body, bool chat)
    {
        if (!chat)
            return body.value("prompt", "");
        std::string prompt;
        for (const auto& message : body.value("messages", json::array()))
            prompt += message.value("role", "") + ":" + message.value("content", "") + "\n";
        return prompt;
    }

    /// Text that tells a checker its generation and place.
    std::string tokenText(std::uint64_t generation, int offset)
    {
        return fmt::format("{}-{} ", generation, offset);
    }

    std::string eventOf(const std::string& id, const std::string& name, const std::string& data)
    {
        if (name.empty())
            return fmt::format("id: {}\ndata: {}\n\n", id, data);
        return fmt::format("event: {}\nid: {}\ndata: {}\n\n", name, id, data);
    }

    Reply refusal(unsigned status, const std::string& outcome)
    {
        return Reply { .status = status, .body = json { { "outcome", outcome } }.dump() };
    }

}

EngineServer::EngineServer(asio::io_context& context, EngineServerOptions options)
    : m_context(context)
    , m_options(options)
    , m_model(options.profile)
    , m_random(options.seed)
    , m_server(context, HttpLimits { .maxBodyBytes = 8 << 20 }, [this](HttpExchange& exchange) { return handle(exchange); })
    , m_wake(context)
{
    auto fresh = randomFromSystem();
    m_incarnation = randomId(fresh);
    m_lastGeneration = (fresh() % 900000 + 100000) * 1000;
}

Result<Endpoint> EngineServer::listen(const Endpoint& endpoint)
{
    auto bound = m_server.listen(endpoint);
    if (bound)
        asio::co_spawn(m_context, stepLoop(), asio::detached);
    return bound;
}

Awaitable<> EngineServer::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await startGeneration(exchange, path.find("chat") != std::string::npos);
        co_return;
    }
    if (path.starts_with("/v1/generations/")) {
        co_await handleGeneration(exchange);
        co_return;
    }
    Reply reply { .status = 404, .body = "{}" };
    if (path == "/load")
        reply = loadReply();
    else if (path == "/cache-events")
        reply = cacheReply(std::strtoull(exchange.query("after").c_str(), nullptr, 10));
    else if (path == "/faults")
        reply = setFaults(exchange.request().body());
    co_await exchange.send(std::move(reply));
}

int EngineServer::drawLength(const std::string& prompt, int maxTokens)
{
    std::lognormal_distribution<double> lengths(lengthLogMean, lengthLogDeviation);
    int length = std::clamp(static_cast<int>(lengths(m_random)), 1, longestOutput);
    auto marker = prompt.find(lengthMarker);
    if (marker != std::string::npos)
        length = std::max(1, std::atoi(prompt.c_str() + marker + lengthMarker.size()));
    return std::min(length, maxTokens);
}

Awaitable<> EngineServer::startGeneration(HttpExchange& exchange, bool chat)
{
    auto body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || m_faults.refuseNew) {
        auto refused = refusal(body.is_object() ? 503 : 400, "not_run");
        co_await exchange.send(std::move(refused));
        co_return;
    }
    auto prompt = promptOf(body, chat);
    if (prompt.find(crashMarker) != std::string::npos) {
        logEvent(LogLevel::Error, "engine_crashed", { { "cause", std::string("request") } });
        std::_Exit(134);
    }
    auto generation = std::make_shared<Generation>();
    generation->id = ++m_lastGeneration;
    generation->chat = chat;
    generation->promptTokens = estimatePromptTokens(prompt);
    generation->total = drawLength(prompt, body.value("max_tokens", longestOutput));
    generation->news = std::make_unique<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    m_generations[generation->id] = generation;
    ++m_started;
    m_model.submit({ .id = generation->id, .promptTokens = generation->promptTokens, .outputTokens = generation->total, .priority = body.value("priority", 0), .prefixBlocks = prefixBlockHashes(prompt, 4096) });
    m_wake.cancel();
    co_await relay(exchange, generation, 0);
}

Awaitable<> EngineServer::handleGeneration(HttpExchange& exchange)
{
    auto id = std::strtoull(exchange.path().substr(std::string("/v1/generations/").size()).c_str(), nullptr, 10);
    auto found = m_generations.find(id);
    bool known = found != m_generations.end() && exchange.header("X-Engine-Incarnation") == m_incarnation;
    if (!known || (found->second->cancelled && exchange.request().method() == http::verb::get)) {
        auto missing = refusal(404, "unknown");
        co_await exchange.send(std::move(missing));
        co_return;
    }
    auto generation = found->second;
    if (exchange.request().method() == http::verb::get) {
        co_await relay(exchange, generation, std::atoi(exchange.query("from").c_str()));
        co_return;
    }
    if (exchange.request().method() == http::verb::delete_) {
        m_model.cancel(id);
        generation->cancelled = true;
        generation->news->cancel();
    } else {
        auto body = json::parse(exchange.request().body(), nullptr, false);
        m_model.setPriority(id, body.is_object() ? body.value("priority", 0) : 0);
    }
    Reply done { .body = "{}" };
    co_await exchange.send(std::move(done));
}

std::string EngineServer::eventsFrom(const Generation& generation, int& offset, int& seenPreemptions) const
{
    std::string text;
    auto idAt = [&](int at) { return fmt::format("{}/{}/{}", m_incarnation, generation.id, at); };
    if (seenPreemptions < generation.preemptions) {
        seenPreemptions = generation.preemptions;
        text += eventOf(idAt(offset), "preempted", "{}");
    }
    for (; offset < generation.produced; ++offset) {
        auto token = tokenText(generation.id, offset);
        auto data = generation.chat ? fmt::format(R"({{"choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})", token)
                                    : fmt::format(R"({{"choices":[{{"index":0,"text":"{}","finish_reason":null}}]}})", token);
        text += eventOf(idAt(offset), "", data);
    }
    if (generation.ended && offset == generation.total) {
        text += eventOf(idAt(offset), "", R"({"choices":[{"index":0,"text":"","delta":{},"finish_reason":"stop"}]})");
        text += "data: [DONE]\n\n";
    }
    return text;
}

Awaitable<> EngineServer::relay(HttpExchange& exchange, std::shared_ptr<Generation> generation, int from)
{
    HttpHeaders headers { { "X-Engine-Incarnation", m_incarnation }, { "X-Generation-Id", std::to_string(generation->id) } };
    ++generation->readers;
    auto begun = co_await exchange.beginEvents(std::move(headers));
    int offset = from;
    int events = 0;
    int seenPreemptions = 0;
    bool open = begun.has_value();
    bool finished = false;
    exchange.onCallerDisconnect([generation] { generation->news->cancel(); });
    while (open && !finished && !generation->cancelled && !exchange.callerDisconnected()) {
        int before = offset;
        std::string text = m_faults.stalled ? std::string() : eventsFrom(*generation, offset, seenPreemptions);
        if (text.empty()) {
            co_await generation->news->async_wait(asTuple);
            continue;
        }
        events += offset - before;
        finished = generation->ended && offset == generation->total;
        auto written = co_await exchange.writeEvents(std::move(text));
        open = written.has_value();
        if (m_faults.cutAfterEvents > 0 && events >= m_faults.cutAfterEvents && !finished) {
            exchange.abort();
            open = false;
        }
    }
    if (open && finished)
        co_await exchange.endEvents();
    else
        exchange.abort();
    --generation->readers;
    generation->readerLeftAt = Clock::now();
}

void EngineServer::apply(const StepResult& result)
{
    for (auto id : result.preempted) {
        auto found = m_generations.find(id);
        if (found == m_generations.end())
            continue;
        ++found->second->preemptions;
        found->second->news->cancel();
    }
    for (const auto& token : result.tokens) {
        auto found = m_generations.find(token.generation);
        if (found == m_generations.end())
            continue;
        found->second->produced = token.offset + 1;
        found->second->ended = token.last;
        found->second->news->cancel();
    }
    for (const auto& event : result.cacheEvents) {
        m_cacheEvents.emplace_back(++m_cacheSequence, event);
        if (m_faults.loseCacheEvents && m_cacheSequence % 3 == 0)
            m_cacheEvents.pop_back();
        if (m_cacheEvents.size() > cacheEventsKept)
            m_cacheEvents.pop_front();
    }
}

void EngineServer::removeOld(TimePoint now)
{
    for (auto entry = m_generations.begin(); entry != m_generations.end();) {
        auto& generation = *entry->second;
        bool abandoned = generation.readers == 0 && generation.readerLeftAt != TimePoint {} && generation.readerLeftAt + m_options.orphanLimit < now;
        if (abandoned && !generation.ended && !generation.cancelled) {
            m_model.cancel(generation.id);
            generation.cancelled = true;
        }
        bool over = generation.ended || generation.cancelled;
        bool old = generation.readers == 0 && generation.readerLeftAt != TimePoint {} && generation.readerLeftAt + keepEnded < now;
        entry = over && old ? m_generations.erase(entry) : std::next(entry);
    }
}

Awaitable<> EngineServer::stepLoop()
{
    auto next = Clock::now();
    TimePoint lastCleaning;
    while (true) {
        auto now = Clock::now();
        if (now - lastCleaning > Seconds(1)) {
            removeOld(now);
            lastCleaning = now;
        }
        if (!m_model.hasWork()) {
            m_wake.expires_after(Seconds(1));
            co_await m_wake.async_wait(asTuple);
            next = Clock::now();
            if (!m_model.hasWork())
                m_loadHistory.push_back({ .time = next, .load = m_model.load() });
        } else {
            auto result = m_model.step();
            next = std::max(next, now - Milliseconds(100)) + fromSeconds(result.seconds * m_faults.slowFactor);
            asio::steady_timer timer(m_context, next);
            co_await timer.async_wait(asTuple);
            apply(result);
            m_loadHistory.push_back({ .time = Clock::now(), .load = m_model.load() });
        }
        while (m_loadHistory.size() > 1 && m_loadHistory[1].time + m_options.loadReportDelay <= Clock::now())
            m_loadHistory.pop_front();
    }
}

Reply EngineServer::loadReply() const
{
    LoadSample sample { .time = Clock::now() - m_options.loadReportDelay, .load = { .blocksTotal = m_options.profile.memoryBlocks } };
    if (!m_loadHistory.empty())
        sample = m_loadHistory.front();
    auto age = secondsBetween(sample.time, Clock::now());
    json body {
        { "age_seconds", age },
        { "tokens_capacity", sample.load.blocksTotal * m_options.profile.blockTokens },
        { "tokens_used", sample.load.blocksUsed * m_options.profile.blockTokens },
        { "running", sample.load.running },
        { "waiting", sample.load.waiting },
        { "step_seconds", sample.load.stepSeconds * m_faults.slowFactor },
        { "preemptions", sample.load.preemptions },
        { "started", m_started },
        { "incarnation", m_incarnation },
    };
    return Reply { .body = body.dump() };
}

Reply EngineServer::cacheReply(std::uint64_t after) const
{
    json events = json::array();
    for (const auto& [sequence, event] : m_cacheEvents) {
        if (sequence > after)
            events.push_back({ { "sequence", sequence }, { "block", event.block }, { "stored", event.stored } });
    }
    return Reply { .body = json { { "events", events } }.dump() };
}

Reply EngineServer::setFaults(const std::string& body)
{
    auto faults = json::parse(body, nullptr, false);
    if (!faults.is_object())
        return Reply { .status = 400, .body = "{}" };
    m_faults.stalled = faults.value("stalled", m_faults.stalled);
    m_faults.slowFactor = faults.value("slow_factor", m_faults.slowFactor);
    m_faults.cutAfterEvents = faults.value("cut_after_events", m_faults.cutAfterEvents);
    m_faults.loseCacheEvents = faults.value("lose_cache_events", m_faults.loseCacheEvents);
    m_faults.refuseNew = faults.value("refuse_new", m_faults.refuseNew);
    for (auto& [id, generation] : m_generations)
        generation->news->cancel();
    return Reply { .body = "{}" };
}

}
