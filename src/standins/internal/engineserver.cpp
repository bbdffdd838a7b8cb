#include "standins/engineserver.h"

#include "common/log.h"
#include "scheduling/prefixblocks.h"

#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

    constexpr auto endedGenerationRetention = Seconds(60);
    constexpr std::size_t maxCacheEvents = 5000;
    // Log-normal output lengths are heavy-tailed: from a few tokens to tens of thousands.
    constexpr double lengthLogMean = 5.0;
    constexpr double lengthLogDeviation = 1.2;
    constexpr int maxOutputTokens = 30000;
    const std::string outputLengthMarker = "[[tokens=";
    const std::string crashMarker = "[[crash]]";

    std::string promptText(const json& body, bool chat)
    {
        if (!chat)
            return body.value("prompt", "");
        std::string prompt;
        for (const auto& message : body.value("messages", json::array()))
            prompt += message.value("role", "") + ":" + message.value("content", "") + "\n";
        return prompt;
    }

    /// Text from which a test can verify the generation and offset of the token.
    std::string tokenText(std::uint64_t generation, int offset)
    {
        return fmt::format("{}-{} ", generation, offset);
    }

    std::string formatEvent(const std::string& id, const std::string& name, const std::string& data)
    {
        if (name.empty())
            return fmt::format("id: {}\ndata: {}\n\n", id, data);
        return fmt::format("event: {}\nid: {}\ndata: {}\n\n", name, id, data);
    }

    Reply outcomeReply(unsigned status, const std::string& outcome)
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
    , m_workSubmitted(context)
{
    auto systemRandom = randomFromSystem();
    m_incarnation = randomId(systemRandom);
    m_lastGenerationId = (systemRandom() % 900000 + 100000) * 1000;
}

Result<Endpoint> EngineServer::listen(const Endpoint& endpoint)
{
    auto bound = m_server.listen(endpoint);
    if (bound)
        asio::co_spawn(m_context, runStepLoop(), asio::detached);
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
        reply = cacheEventsReply(std::strtoull(exchange.query("after").c_str(), nullptr, 10));
    else if (path == "/faults")
        reply = setFaults(exchange.request().body());
    co_await exchange.send(std::move(reply));
}

int EngineServer::sampleOutputLength(const std::string& prompt, int maxTokens)
{
    std::lognormal_distribution<double> outputLengths(lengthLogMean, lengthLogDeviation);
    int outputTokens = std::clamp(static_cast<int>(outputLengths(m_random)), 1, maxOutputTokens);
    auto marker = prompt.find(outputLengthMarker);
    if (marker != std::string::npos)
        outputTokens = std::max(1, std::atoi(prompt.c_str() + marker + outputLengthMarker.size()));
    return std::min(outputTokens, maxTokens);
}

Awaitable<> EngineServer::startGeneration(HttpExchange& exchange, bool chat)
{
    auto body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || m_faults.rejectNewGenerations) {
        auto rejection = outcomeReply(body.is_object() ? 503 : 400, "not_run");
        co_await exchange.send(std::move(rejection));
        co_return;
    }
    auto prompt = promptText(body, chat);
    if (prompt.find(crashMarker) != std::string::npos) {
        logEvent(LogLevel::Error, "engine_crashed", { { "cause", std::string("request") } });
        std::_Exit(134);
    }
    auto generation = std::make_shared<Generation>();
    generation->id = ++m_lastGenerationId;
    generation->isChat = chat;
    generation->promptTokens = estimatePromptTokens(prompt);
    generation->totalTokens = sampleOutputLength(prompt, body.value("max_tokens", maxOutputTokens));
    generation->stateChangeTimer = std::make_unique<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    m_generations[generation->id] = generation;
    ++m_startedGenerations;
    m_model.submit({ .id = generation->id, .promptTokens = generation->promptTokens, .outputTokens = generation->totalTokens, .priority = body.value("priority", 0), .prefixBlocks = prefixBlockHashes(prompt, 4096) });
    m_workSubmitted.cancel();
    co_await streamEvents(exchange, generation, 0);
}

Awaitable<> EngineServer::handleGeneration(HttpExchange& exchange)
{
    auto id = std::strtoull(exchange.path().substr(std::string("/v1/generations/").size()).c_str(), nullptr, 10);
    auto found = m_generations.find(id);
    bool exists = found != m_generations.end() && exchange.header("X-Engine-Incarnation") == m_incarnation;
    if (!exists || (found->second->cancelled && exchange.request().method() == http::verb::get)) {
        auto notFound = outcomeReply(404, "unknown");
        co_await exchange.send(std::move(notFound));
        co_return;
    }
    auto generation = found->second;
    if (exchange.request().method() == http::verb::get) {
        co_await streamEvents(exchange, generation, std::atoi(exchange.query("from").c_str()));
        co_return;
    }
    if (exchange.request().method() == http::verb::delete_) {
        m_model.cancel(id);
        generation->cancelled = true;
        generation->stateChangeTimer->cancel();
    } else {
        auto body = json::parse(exchange.request().body(), nullptr, false);
        m_model.setPriority(id, body.is_object() ? body.value("priority", 0) : 0);
    }
    Reply emptyReply { .body = "{}" };
    co_await exchange.send(std::move(emptyReply));
}

std::string EngineServer::formatEvents(const Generation& generation, int& offset, int& reportedPreemptions) const
{
    std::string text;
    auto eventIdAt = [&](int position) { return fmt::format("{}/{}/{}", m_incarnation, generation.id, position); };
    if (reportedPreemptions < generation.preemptions) {
        reportedPreemptions = generation.preemptions;
        text += formatEvent(eventIdAt(offset), "preempted", "{}");
    }
    for (; offset < generation.producedTokens; ++offset) {
        auto token = tokenText(generation.id, offset);
        auto data = generation.isChat ? fmt::format(R"({{"choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})", token)
                                      : fmt::format(R"({{"choices":[{{"index":0,"text":"{}","finish_reason":null}}]}})", token);
        text += formatEvent(eventIdAt(offset), "", data);
    }
    if (generation.ended && offset == generation.totalTokens) {
        text += formatEvent(eventIdAt(offset), "", R"({"choices":[{"index":0,"text":"","delta":{},"finish_reason":"stop"}]})");
        text += "data: [DONE]\n\n";
    }
    return text;
}

Awaitable<> EngineServer::streamEvents(HttpExchange& exchange, std::shared_ptr<Generation> generation, int firstOffset)
{
    HttpHeaders headers { { "X-Engine-Incarnation", m_incarnation }, { "X-Generation-Id", std::to_string(generation->id) } };
    ++generation->readers;
    auto beginResult = co_await exchange.beginEvents(std::move(headers));
    int offset = firstOffset;
    int sentTokens = 0;
    int reportedPreemptions = 0;
    bool connected = beginResult.has_value();
    bool finished = false;
    exchange.onCallerDisconnect([generation] { generation->stateChangeTimer->cancel(); });
    while (connected && !finished && !generation->cancelled && !exchange.callerDisconnected()) {
        int previousOffset = offset;
        std::string text = m_faults.stalled ? std::string() : formatEvents(*generation, offset, reportedPreemptions);
        if (text.empty()) {
            co_await generation->stateChangeTimer->async_wait(asTuple);
            continue;
        }
        sentTokens += offset - previousOffset;
        finished = generation->ended && offset == generation->totalTokens;
        auto writeResult = co_await exchange.writeEvents(std::move(text));
        connected = writeResult.has_value();
        if (m_faults.cutAfterEvents > 0 && sentTokens >= m_faults.cutAfterEvents && !finished) {
            exchange.abort();
            connected = false;
        }
    }
    if (connected && finished)
        co_await exchange.endEvents();
    else
        exchange.abort();
    --generation->readers;
    generation->lastReaderLeftAt = Clock::now();
}

void EngineServer::applyStep(const StepResult& result)
{
    for (auto id : result.preempted) {
        auto found = m_generations.find(id);
        if (found == m_generations.end())
            continue;
        ++found->second->preemptions;
        found->second->stateChangeTimer->cancel();
    }
    for (const auto& token : result.tokens) {
        auto found = m_generations.find(token.generation);
        if (found == m_generations.end())
            continue;
        found->second->producedTokens = token.offset + 1;
        found->second->ended = token.last;
        found->second->stateChangeTimer->cancel();
    }
    for (const auto& event : result.cacheEvents) {
        m_cacheEvents.emplace_back(++m_lastCacheSequence, event);
        if (m_faults.loseCacheEvents && m_lastCacheSequence % 3 == 0)
            m_cacheEvents.pop_back();
        if (m_cacheEvents.size() > maxCacheEvents)
            m_cacheEvents.pop_front();
    }
}

void EngineServer::removeExpired(TimePoint now)
{
    for (auto entry = m_generations.begin(); entry != m_generations.end();) {
        auto& generation = *entry->second;
        bool abandoned = generation.readers == 0 && generation.lastReaderLeftAt != TimePoint {} && generation.lastReaderLeftAt + m_options.orphanTimeout < now;
        if (abandoned && !generation.ended && !generation.cancelled) {
            m_model.cancel(generation.id);
            generation.cancelled = true;
        }
        bool inactive = generation.ended || generation.cancelled;
        bool retentionExpired = generation.readers == 0 && generation.lastReaderLeftAt != TimePoint {} && generation.lastReaderLeftAt + endedGenerationRetention < now;
        entry = inactive && retentionExpired ? m_generations.erase(entry) : std::next(entry);
    }
}

Awaitable<> EngineServer::runStepLoop()
{
    auto nextStepAt = Clock::now();
    TimePoint lastCleanup;
    while (true) {
        auto now = Clock::now();
        if (now - lastCleanup > Seconds(1)) {
            removeExpired(now);
            lastCleanup = now;
        }
        if (!m_model.hasWork()) {
            m_workSubmitted.expires_after(Seconds(1));
            co_await m_workSubmitted.async_wait(asTuple);
            nextStepAt = Clock::now();
            if (!m_model.hasWork())
                m_loadHistory.push_back({ .time = nextStepAt, .load = m_model.load() });
        } else {
            auto result = m_model.step();
            nextStepAt = std::max(nextStepAt, now - Milliseconds(100)) + fromSeconds(result.seconds * m_faults.slowFactor);
            asio::steady_timer timer(m_context, nextStepAt);
            co_await timer.async_wait(asTuple);
            applyStep(result);
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
        { "started", m_startedGenerations },
        { "incarnation", m_incarnation },
    };
    return Reply { .body = body.dump() };
}

Reply EngineServer::cacheEventsReply(std::uint64_t after) const
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
    m_faults.rejectNewGenerations = faults.value("refuse_new", m_faults.rejectNewGenerations);
    for (auto& [id, generation] : m_generations)
        generation->stateChangeTimer->cancel();
    return Reply { .body = "{}" };
}

}
