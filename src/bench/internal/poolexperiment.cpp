#include "bench/poolexperiment.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace guavaspan::bench {

namespace {

    constexpr double tickSeconds = 0.05;
    constexpr double shareWindowSeconds = 10;
    constexpr std::size_t tokensPerGapSample = 4;

    std::string engineName(int index)
    {
        return fmt::format("engine-{:02}", index);
    }

    double quantile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        auto position = std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
        return values[position];
    }

    LoadReport toLoadReport(const standins::EngineLoad& load, int blockTokens, TimePoint at)
    {
        return { .measuredAt = at, .tokensCapacity = load.blocksTotal * blockTokens, .tokensUsed = load.blocksUsed * blockTokens, .running = load.running, .waiting = load.waiting, .stepSeconds = load.stepSeconds };
    }

}

PoolExperiment::PoolExperiment(ExperimentOptions options, const PolicyChoice& choice)
    : m_options(options)
    , m_policyName(choice.name)
{
    std::vector<EngineInfo> engineInfos;
    std::vector<std::string> engineNames;
    for (int i = 0; i < options.engines; ++i) {
        m_engines.push_back(Engine { .model = standins::EngineModel(options.profile) });
        engineNames.push_back(engineName(i));
        engineInfos.push_back({ .name = engineName(i) });
    }
    if (const auto* schedulerOptions = std::get_if<PoolSchedulerOptions>(&choice.policy)) {
        m_scheduler.emplace(*schedulerOptions);
        m_scheduler->setEngines(engineInfos);
    } else {
        m_baseline.emplace(std::get<BaselineRouter::Policy>(choice.policy));
        m_baseline->setEngines(engineNames);
    }
}

void PoolExperiment::schedule(TimePoint at, EventType type, std::uint64_t itemIndex)
{
    m_events.push({ .at = at, .insertionOrder = ++m_lastInsertionOrder, .type = type, .itemIndex = itemIndex });
}

ExperimentResult PoolExperiment::run(const std::vector<Arrival>& arrivals)
{
    m_arrivals = &arrivals;
    m_generations.resize(arrivals.size());
    m_priorities.resize(arrivals.size());
    TimePoint begin {};
    TimePoint end = begin + fromSeconds(m_options.seconds);
    m_windowStart = begin + fromSeconds(m_options.warmupSeconds);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        schedule(arrivals[i].at, EventType::RequestArrival, i);
        m_weights[arrivals[i].request.organisation] = arrivals[i].request.weight;
    }
    schedule(begin, EventType::Tick);
    schedule(begin, EventType::LoadReports);
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        switch (event.type) {
        case EventType::RequestArrival:
            onArrival(event.itemIndex, event.at);
            break;
        case EventType::EngineSubmission:
            submitToEngine(event.itemIndex, event.at);
            break;
        case EventType::StepEnd:
            endStep(static_cast<int>(event.itemIndex), event.at);
            break;
        case EventType::LoadReports:
            reportLoads(event.at);
            schedule(event.at + fromSeconds(m_options.reportIntervalSeconds), EventType::LoadReports);
            break;
        case EventType::Tick:
            if (m_scheduler)
                m_scheduler->onTick(event.at);
            applyActions(event.at);
            recordShareErrors(event.at);
            schedule(event.at + fromSeconds(tickSeconds), EventType::Tick);
            break;
        }
    }
    return summarise(end);
}

void PoolExperiment::onArrival(std::size_t index, TimePoint now)
{
    const auto& arrival = (*m_arrivals)[index];
    auto& generation = m_generations[index];
    generation.arrival = &arrival;
    generation.lastTokenAt = now;
    generation.progressReportedAt = now;
    generation.arrivedAfterWarmup = secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
    ++m_waitingRequests[arrival.request.organisation];
    if (m_scheduler) {
        auto request = arrival.request;
        request.id.sequence = index;
        m_scheduler->onRequest(std::move(request), now);
        applyActions(now);
        return;
    }
    auto chosenEngine = m_baseline->choose();
    generation.engine = std::stoi(chosenEngine.substr(chosenEngine.size() - 2));
    schedule(now + fromSeconds(m_options.messageLatencySeconds), EventType::EngineSubmission, index);
}

void PoolExperiment::applyActions(TimePoint now)
{
    if (!m_scheduler)
        return;
    for (const auto& action : m_scheduler->takeActions()) {
        if (const auto* grant = std::get_if<Grant>(&action)) {
            auto& generation = m_generations[grant->id.sequence];
            generation.engine = std::stoi(grant->engine.substr(grant->engine.size() - 2));
            m_priorities[grant->id.sequence] = grant->priority;
            // The permit request, the grant and the request to the engine each cross the network once.
            schedule(now + fromSeconds(3 * m_options.messageLatencySeconds), EventType::EngineSubmission, grant->id.sequence);
        } else if (const auto* priorityChange = std::get_if<SetPriority>(&action)) {
            auto engine = m_generations[priorityChange->id.sequence].engine;
            m_engines[static_cast<std::size_t>(engine)].model.setPriority(priorityChange->id.sequence, priorityChange->priority);
        }
    }
}

void PoolExperiment::submitToEngine(std::uint64_t index, TimePoint now)
{
    auto& generation = m_generations[index];
    const auto& request = generation.arrival->request;
    auto engine = generation.engine;
    m_engines[static_cast<std::size_t>(engine)].model.submit({ .id = index, .promptTokens = request.promptTokens, .outputTokens = generation.arrival->outputTokens, .priority = m_priorities[index], .prefixBlocks = request.prefixBlocks });
    if (!m_engines[static_cast<std::size_t>(engine)].stepping)
        startStep(engine, now);
}

void PoolExperiment::startStep(int index, TimePoint now)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    engine.stepping = engine.model.hasWork();
    if (!engine.stepping)
        return;
    engine.currentStep = engine.model.step();
    engine.stepEndsAt = now + fromSeconds(engine.currentStep.seconds);
    schedule(engine.stepEndsAt, EventType::StepEnd, static_cast<std::uint64_t>(index));
}

void PoolExperiment::endStep(int index, TimePoint now)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    for (auto id : engine.currentStep.preempted) {
        auto& generation = m_generations[id];
        ++generation.preemptions;
        generation.awaitingResume = true;
        m_preemptions += secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
        if (m_scheduler)
            m_scheduler->onProgress(PermitId { .instance = 1, .sequence = id }, generation.producedTokens, true, now);
    }
    for (const auto& token : engine.currentStep.tokens)
        onToken(token, now);
    for (const auto& event : engine.currentStep.cacheEvents)
        engine.cacheEvents.push_back(event);
    engine.loadHistory.emplace_back(now, engine.model.load());
    applyActions(now);
    startStep(index, now);
}

void PoolExperiment::onToken(const standins::TokenEvent& token, TimePoint now)
{
    auto& generation = m_generations[token.generation];
    const auto& organisation = generation.arrival->request.organisation;
    bool pastWarmup = secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
    double gap = secondsBetween(generation.lastTokenAt, now);
    if (generation.producedTokens == 0) {
        generation.firstTokenSeconds = secondsBetween(generation.arrival->at, now);
        --m_waitingRequests[organisation];
    } else {
        generation.longestGapSeconds = std::max(generation.longestGapSeconds, gap);
        if (pastWarmup && m_measuredTokens % tokensPerGapSample == 0)
            m_tokenGaps.push_back(gap);
    }
    ++generation.producedTokens;
    generation.lastTokenAt = now;
    m_measuredTokens += pastWarmup;
    if (pastWarmup)
        ++m_windowTokens[organisation];
    if (!m_scheduler)
        return;
    PermitId id { .instance = 1, .sequence = token.generation };
    if (token.last) {
        m_scheduler->onFinished(id, generation.producedTokens, GenerationOutcome::Completed, now);
    } else if (generation.awaitingResume || secondsBetween(generation.progressReportedAt, now) > m_options.progressIntervalSeconds) {
        generation.awaitingResume = false;
        generation.progressReportedAt = now;
        m_scheduler->onProgress(id, generation.producedTokens, false, now);
    }
}

void PoolExperiment::reportLoads(TimePoint now)
{
    auto visibleUntil = now - fromSeconds(m_options.reportLagSeconds);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        auto& engine = m_engines[i];
        while (engine.loadHistory.size() > 1 && engine.loadHistory[1].first <= visibleUntil)
            engine.loadHistory.pop_front();
        if (engine.loadHistory.empty() || engine.loadHistory.front().first > visibleUntil)
            continue;
        auto load = toLoadReport(engine.loadHistory.front().second, m_options.profile.blockTokens, engine.loadHistory.front().first);
        if (m_baseline) {
            m_baseline->onLoadReport(engineName(static_cast<int>(i)), load);
            continue;
        }
        m_scheduler->onLoadReport(engineName(static_cast<int>(i)), load, now);
        for (const auto& event : engine.cacheEvents)
            m_scheduler->onCacheEvent(engineName(static_cast<int>(i)), event.block, event.stored);
        engine.cacheEvents.clear();
    }
}

void PoolExperiment::recordShareErrors(TimePoint now)
{
    if (secondsBetween(TimePoint {}, now) < m_options.warmupSeconds)
        return;
    for (const auto& [organisation, weight] : m_weights) {
        bool backlogged = m_waitingRequests[organisation] > 0;
        auto [entry, created] = m_windowBacklogged.emplace(organisation, backlogged);
        entry->second = entry->second && backlogged;
    }
    if (secondsBetween(m_windowStart, now) < shareWindowSeconds)
        return;
    double backloggedTokens = 0;
    double backloggedWeight = 0;
    int backloggedCount = 0;
    for (const auto& [organisation, backloggedThroughout] : m_windowBacklogged) {
        if (!backloggedThroughout)
            continue;
        ++backloggedCount;
        backloggedTokens += static_cast<double>(m_windowTokens[organisation]);
        backloggedWeight += m_weights[organisation];
    }
    for (const auto& [organisation, backloggedThroughout] : m_windowBacklogged) {
        if (backloggedThroughout && backloggedCount > 1 && backloggedTokens > 0) {
            double dueShare = m_weights[organisation] / backloggedWeight;
            m_shareErrors.push_back(std::abs(static_cast<double>(m_windowTokens[organisation]) / backloggedTokens / dueShare - 1));
        }
    }
    m_windowBacklogged.clear();
    m_windowTokens.clear();
    m_windowStart = now;
}

ExperimentResult PoolExperiment::summarise(TimePoint end) const
{
    ExperimentResult result { .policy = m_policyName };
    std::vector<double> stallSeconds;
    std::vector<double> firstTokens;
    std::map<std::string, std::vector<double>> firstTokensByOrganisation;
    for (const auto& generation : m_generations) {
        if (!generation.arrival || !generation.arrivedAfterWarmup)
            continue;
        result.preemptedTwice += generation.preemptions > 1;
        // A request without a first token counts with its waiting time so far.
        double untilFirstToken = generation.firstTokenSeconds >= 0 ? generation.firstTokenSeconds : secondsBetween(generation.arrival->at, end);
        firstTokens.push_back(untilFirstToken);
        firstTokensByOrganisation[generation.arrival->request.organisation].push_back(untilFirstToken);
        if (generation.producedTokens == 0)
            continue;
        ++result.started;
        bool done = generation.producedTokens >= generation.arrival->outputTokens;
        result.finished += done;
        double openGapSeconds = done ? 0 : secondsBetween(generation.lastTokenAt, end);
        stallSeconds.push_back(std::max(generation.longestGapSeconds, openGapSeconds));
    }
    double measuredSeconds = m_options.seconds - m_options.warmupSeconds;
    result.tokensPerSecond = static_cast<double>(m_measuredTokens) / measuredSeconds;
    result.preemptionsPerThousand = result.started > 0 ? 1000.0 * static_cast<double>(m_preemptions) / result.started : 0;
    result.stallP50 = quantile(stallSeconds, 0.5);
    result.stallP99 = quantile(stallSeconds, 0.99);
    result.stallWorst = quantile(stallSeconds, 1);
    result.gapP99 = quantile(m_tokenGaps, 0.99);
    result.firstTokenP50 = quantile(firstTokens, 0.5);
    result.firstTokenP95 = quantile(firstTokens, 0.95);
    for (const auto& [organisation, values] : firstTokensByOrganisation)
        result.firstTokenP95ByOrganisation[organisation] = quantile(values, 0.95);
    result.worstShareError = quantile(m_shareErrors, 1);
    double sum = 0;
    for (double error : m_shareErrors)
        sum += error;
    result.meanShareError = m_shareErrors.empty() ? 0 : sum / static_cast<double>(m_shareErrors.size());
    return result;
}

}
