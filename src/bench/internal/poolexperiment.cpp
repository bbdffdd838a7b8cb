#include "bench/poolexperiment.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace guavaspan::bench {

namespace {

    constexpr double tickSeconds = 0.05;
    constexpr double shareWindowSeconds = 10;
    constexpr std::size_t gapSampleEvery = 4;

    std::string engineName(int index)
    {
        return fmt::format("engine-{:02}", index);
    }

    double quantile(std::vector<double> values, double part)
    {
        if (values.empty())
            return 0;
        auto position = std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
        return values[position];
    }

    LoadReport reportOf(const standins::EngineLoad& load, int blockTokens, TimePoint at)
    {
        return { .measuredAt = at, .tokensCapacity = load.blocksTotal * blockTokens, .tokensUsed = load.blocksUsed * blockTokens, .running = load.running, .waiting = load.waiting, .stepSeconds = load.stepSeconds };
    }

}

PoolExperiment::PoolExperiment(ExperimentOptions options, const PolicyChoice& choice)
    : m_options(options)
    , m_name(choice.name)
{
    std::vector<EngineInfo> infos;
    std::vector<std::string> names;
    for (int i = 0; i < options.engines; ++i) {
        m_engines.push_back(Engine { .model = standins::EngineModel(options.profile) });
        names.push_back(engineName(i));
        infos.push_back({ .name = engineName(i) });
    }
    if (const auto* granterOptions = std::get_if<PoolSchedulerOptions>(&choice.policy)) {
        m_granter.emplace(*granterOptions);
        m_granter->setEngines(infos);
    } else {
        m_baseline.emplace(std::get<BaselineRouter::Policy>(choice.policy));
        m_baseline->setEngines(names);
    }
}

void PoolExperiment::schedule(TimePoint at, Kind kind, std::uint64_t subject)
{
    m_events.push({ .at = at, .order = ++m_order, .kind = kind, .subject = subject });
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
        schedule(arrivals[i].at, Kind::Arrive, i);
        m_weights[arrivals[i].request.organisation] = arrivals[i].request.weight;
    }
    schedule(begin, Kind::Tick);
    schedule(begin, Kind::Report);
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        switch (event.kind) {
        case Kind::Arrive:
            arrive(event.subject, event.at);
            break;
        case Kind::Place:
            place(event.subject, event.at);
            break;
        case Kind::StepEnd:
            endStep(static_cast<int>(event.subject), event.at);
            break;
        case Kind::Report:
            report(event.at);
            schedule(event.at + fromSeconds(m_options.reportIntervalSeconds), Kind::Report);
            break;
        case Kind::Tick:
            if (m_granter)
                m_granter->onTick(event.at);
            drain(event.at);
            recordShares(event.at);
            schedule(event.at + fromSeconds(tickSeconds), Kind::Tick);
            break;
        }
    }
    return summarise(end);
}

void PoolExperiment::arrive(std::size_t index, TimePoint now)
{
    const auto& arrival = (*m_arrivals)[index];
    auto& generation = m_generations[index];
    generation.arrival = &arrival;
    generation.lastToken = now;
    generation.reportedAt = now;
    generation.measured = secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
    ++m_waiting[arrival.request.organisation];
    if (m_granter) {
        auto request = arrival.request;
        request.id.sequence = index;
        m_granter->onRequest(std::move(request), now);
        drain(now);
        return;
    }
    auto chosen = m_baseline->choose();
    generation.engine = std::stoi(chosen.substr(chosen.size() - 2));
    schedule(now + fromSeconds(m_options.messageSeconds), Kind::Place, index);
}

void PoolExperiment::drain(TimePoint now)
{
    if (!m_granter)
        return;
    for (const auto& action : m_granter->takeActions()) {
        if (const auto* grant = std::get_if<Grant>(&action)) {
            auto& generation = m_generations[grant->id.sequence];
            generation.engine = std::stoi(grant->engine.substr(grant->engine.size() - 2));
            m_priorities[grant->id.sequence] = grant->priority;
            // Ask, grant and order each cross the network once.
            schedule(now + fromSeconds(3 * m_options.messageSeconds), Kind::Place, grant->id.sequence);
        } else if (const auto* protect = std::get_if<SetPriority>(&action)) {
            auto engine = m_generations[protect->id.sequence].engine;
            m_engines[static_cast<std::size_t>(engine)].model.setPriority(protect->id.sequence, protect->priority);
        }
    }
}

void PoolExperiment::place(std::uint64_t index, TimePoint now)
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
    engine.pending = engine.model.step();
    engine.stepEnds = now + fromSeconds(engine.pending.seconds);
    schedule(engine.stepEnds, Kind::StepEnd, static_cast<std::uint64_t>(index));
}

void PoolExperiment::endStep(int index, TimePoint now)
{
    auto& engine = m_engines[static_cast<std::size_t>(index)];
    for (auto id : engine.pending.preempted) {
        auto& generation = m_generations[id];
        ++generation.preemptions;
        generation.displaced = true;
        m_preemptions += secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
        if (m_granter)
            m_granter->onProgress(PermitId { .instance = 1, .sequence = id }, generation.produced, true, now);
    }
    for (const auto& token : engine.pending.tokens)
        onToken(token, now);
    for (const auto& event : engine.pending.cacheEvents)
        engine.cacheEvents.push_back(event);
    engine.history.emplace_back(now, engine.model.load());
    drain(now);
    startStep(index, now);
}

void PoolExperiment::onToken(const standins::TokenEvent& token, TimePoint now)
{
    auto& generation = m_generations[token.generation];
    const auto& organisation = generation.arrival->request.organisation;
    bool measuring = secondsBetween(TimePoint {}, now) >= m_options.warmupSeconds;
    double gap = secondsBetween(generation.lastToken, now);
    if (generation.produced == 0) {
        generation.firstToken = secondsBetween(generation.arrival->at, now);
        --m_waiting[organisation];
    } else {
        generation.longestGap = std::max(generation.longestGap, gap);
        if (measuring && m_tokens % gapSampleEvery == 0)
            m_gaps.push_back(gap);
    }
    ++generation.produced;
    generation.lastToken = now;
    m_tokens += measuring;
    if (measuring)
        ++m_windowTokens[organisation];
    if (!m_granter)
        return;
    PermitId id { .instance = 1, .sequence = token.generation };
    if (token.last) {
        m_granter->onFinished(id, generation.produced, GenerationOutcome::Completed, now);
    } else if (generation.displaced || secondsBetween(generation.reportedAt, now) > m_options.progressIntervalSeconds) {
        generation.displaced = false;
        generation.reportedAt = now;
        m_granter->onProgress(id, generation.produced, false, now);
    }
}

void PoolExperiment::report(TimePoint now)
{
    auto wanted = now - fromSeconds(m_options.reportLagSeconds);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        auto& engine = m_engines[i];
        while (engine.history.size() > 1 && engine.history[1].first <= wanted)
            engine.history.pop_front();
        if (engine.history.empty() || engine.history.front().first > wanted)
            continue;
        auto load = reportOf(engine.history.front().second, m_options.profile.blockTokens, engine.history.front().first);
        if (m_baseline) {
            m_baseline->onLoadReport(engineName(static_cast<int>(i)), load);
            continue;
        }
        m_granter->onLoadReport(engineName(static_cast<int>(i)), load, now);
        for (const auto& event : engine.cacheEvents)
            m_granter->onCacheEvent(engineName(static_cast<int>(i)), event.block, event.stored);
        engine.cacheEvents.clear();
    }
}

void PoolExperiment::recordShares(TimePoint now)
{
    if (secondsBetween(TimePoint {}, now) < m_options.warmupSeconds)
        return;
    for (const auto& [organisation, weight] : m_weights) {
        bool backlogged = m_waiting[organisation] > 0;
        auto [entry, created] = m_windowBacklog.emplace(organisation, backlogged);
        entry->second = entry->second && backlogged;
    }
    if (secondsBetween(m_windowStart, now) < shareWindowSeconds)
        return;
    double tokens = 0;
    double weights = 0;
    int backlogged = 0;
    for (const auto& [organisation, always] : m_windowBacklog) {
        if (!always)
            continue;
        ++backlogged;
        tokens += static_cast<double>(m_windowTokens[organisation]);
        weights += m_weights[organisation];
    }
    for (const auto& [organisation, always] : m_windowBacklog) {
        if (always && backlogged > 1 && tokens > 0) {
            double due = m_weights[organisation] / weights;
            m_shareErrors.push_back(std::abs(static_cast<double>(m_windowTokens[organisation]) / tokens / due - 1));
        }
    }
    m_windowBacklog.clear();
    m_windowTokens.clear();
    m_windowStart = now;
}

ExperimentResult PoolExperiment::summarise(TimePoint end) const
{
    ExperimentResult result { .policy = m_name };
    std::vector<double> stalls;
    std::vector<double> firstTokens;
    std::map<std::string, std::vector<double>> firstByOrganisation;
    for (const auto& generation : m_generations) {
        if (!generation.arrival || !generation.measured)
            continue;
        result.preemptedTwice += generation.preemptions > 1;
        // A request still waiting counts with the time it has waited so far.
        double first = generation.firstToken >= 0 ? generation.firstToken : secondsBetween(generation.arrival->at, end);
        firstTokens.push_back(first);
        firstByOrganisation[generation.arrival->request.organisation].push_back(first);
        if (generation.produced == 0)
            continue;
        ++result.started;
        bool done = generation.produced >= generation.arrival->outputTokens;
        result.finished += done;
        double open = done ? 0 : secondsBetween(generation.lastToken, end);
        stalls.push_back(std::max(generation.longestGap, open));
    }
    double measuredSeconds = m_options.seconds - m_options.warmupSeconds;
    result.tokensPerSecond = static_cast<double>(m_tokens) / measuredSeconds;
    result.preemptionsPerThousand = result.started > 0 ? 1000.0 * static_cast<double>(m_preemptions) / result.started : 0;
    result.stallP50 = quantile(stalls, 0.5);
    result.stallP99 = quantile(stalls, 0.99);
    result.stallWorst = quantile(stalls, 1);
    result.gapP99 = quantile(m_gaps, 0.99);
    result.firstTokenP50 = quantile(firstTokens, 0.5);
    result.firstTokenP95 = quantile(firstTokens, 0.95);
    for (const auto& [organisation, values] : firstByOrganisation)
        result.firstTokenP95ByOrganisation[organisation] = quantile(values, 0.95);
    result.worstShareError = quantile(m_shareErrors, 1);
    double sum = 0;
    for (double error : m_shareErrors)
        sum += error;
    result.meanShareError = m_shareErrors.empty() ? 0 : sum / static_cast<double>(m_shareErrors.size());
    return result;
}

}
