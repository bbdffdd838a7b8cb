#include "standins/enginemodel.h"

#include <algorithm>

namespace guavaspan::standins {

EngineModel::EngineModel(EngineProfile profile)
    : m_profile(profile)
{
}

int EngineModel::blocksFor(int tokens) const
{
    return (tokens + m_profile.blockTokens - 1) / m_profile.blockTokens;
}

int EngineModel::freeBlocks() const
{
    return m_profile.memoryBlocks - m_privateBlocks - static_cast<int>(m_cache.size());
}

bool EngineModel::ranksBefore(const Sequence& a, const Sequence& b) const
{
    if (m_profile.honoursPriorities && a.spec.priority != b.spec.priority)
        return a.spec.priority > b.spec.priority;
    return a.arrival < b.arrival;
}

void EngineModel::insertWaiting(Sequence sequence)
{
    auto position = std::find_if(m_waiting.begin(), m_waiting.end(),
        [&](const Sequence& other) { return ranksBefore(sequence, other); });
    m_waiting.insert(position, std::move(sequence));
}

void EngineModel::submit(ModelledGeneration spec)
{
    Sequence sequence { .spec = std::move(spec), .arrival = ++m_arrivals };
    insertWaiting(std::move(sequence));
}

bool EngineModel::cancel(std::uint64_t generation)
{
    auto matches = [&](const Sequence& sequence) { return sequence.spec.id == generation; };
    auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), matches);
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return true;
    }
    auto running = std::find_if(m_running.begin(), m_running.end(), matches);
    if (running == m_running.end())
        return false;
    release(*running);
    m_running.erase(running);
    return true;
}

bool EngineModel::setPriority(std::uint64_t generation, int priority)
{
    for (auto& sequence : m_running) {
        if (sequence.spec.id == generation) {
            sequence.spec.priority = priority;
            return true;
        }
    }
    for (auto position = m_waiting.begin(); position != m_waiting.end(); ++position) {
        if (position->spec.id != generation)
            continue;
        auto sequence = std::move(*position);
        m_waiting.erase(position);
        sequence.spec.priority = priority;
        insertWaiting(std::move(sequence));
        return true;
    }
    return false;
}

void EngineModel::release(Sequence& sequence)
{
    m_privateBlocks -= sequence.privateBlocks;
    sequence.privateBlocks = 0;
    for (int i = 0; i < sequence.sharedBlocks; ++i) {
        auto found = m_cache.find(sequence.spec.prefixBlocks[i]);
        if (found == m_cache.end())
            continue;
        --found->second.references;
        found->second.lastUse = ++m_uses;
    }
    sequence.sharedBlocks = 0;
}

bool EngineModel::evictOne(StepResult& result)
{
    auto oldest = m_cache.end();
    for (auto entry = m_cache.begin(); entry != m_cache.end(); ++entry) {
        if (entry->second.references > 0)
            continue;
        if (oldest == m_cache.end() || entry->second.lastUse < oldest->second.lastUse)
            oldest = entry;
    }
    if (oldest == m_cache.end())
        return false;
    result.cacheEvents.push_back({ .block = oldest->first, .stored = false });
    m_cache.erase(oldest);
    return true;
}

bool EngineModel::makeRoom(int blocks, StepResult& result)
{
    while (freeBlocks() < blocks) {
        if (!evictOne(result))
            return false;
    }
    return true;
}

bool EngineModel::startSequence(Sequence& sequence, StepResult& result)
{
    int goal = sequence.spec.promptTokens + sequence.produced;
    int sharable = std::min<int>(static_cast<int>(sequence.spec.prefixBlocks.size()), goal / m_profile.blockTokens);
    int cached = 0;
    while (cached < sharable && m_cache.contains(sequence.spec.prefixBlocks[cached]))
        ++cached;
    // Blocks about to be used must not be evicted to make room for the rest.
    for (int i = 0; i < cached; ++i)
        ++m_cache[sequence.spec.prefixBlocks[i]].references;
    int fresh = blocksFor(goal + 1) - cached;
    if (!makeRoom(fresh, result)) {
        for (int i = 0; i < cached; ++i)
            --m_cache[sequence.spec.prefixBlocks[i]].references;
        return false;
    }
    for (int i = cached; i < sharable; ++i) {
        auto block = sequence.spec.prefixBlocks[i];
        m_cache[block].references = 1;
        result.cacheEvents.push_back({ .block = block, .stored = true });
    }
    sequence.sharedBlocks = sharable;
    sequence.privateBlocks = blocksFor(goal + 1) - sharable;
    m_privateBlocks += sequence.privateBlocks;
    sequence.prefillGoal = goal;
    sequence.prefillDone = std::min(cached * m_profile.blockTokens, goal - 1);
    return true;
}

void EngineModel::admitWaiting(StepResult& result)
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_profile.maxBatch) {
        if (!startSequence(m_waiting.front(), result))
            return;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

std::optional<std::size_t> EngineModel::victimFor(std::size_t grower) const
{
    std::size_t victim = grower;
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        if (ranksBefore(m_running[victim], m_running[i]))
            victim = i;
    }
    return victim;
}

void EngineModel::preempt(std::size_t index, StepResult& result)
{
    auto sequence = std::move(m_running[index]);
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    release(sequence);
    ++m_preemptions;
    result.preempted.push_back(sequence.spec.id);
    insertWaiting(std::move(sequence));
}

/// Gives the sequence memory for its next token; false if it was itself preempted.
bool EngineModel::growSequence(std::size_t index, StepResult& result)
{
    auto id = m_running[index].spec.id;
    while (true) {
        auto position = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        if (position == m_running.end())
            return false;
        int tokens = position->spec.promptTokens + position->produced + 1;
        int needed = blocksFor(tokens) - position->privateBlocks - position->sharedBlocks;
        if (needed <= 0)
            return true;
        if (makeRoom(needed, result)) {
            position->privateBlocks += needed;
            m_privateBlocks += needed;
            return true;
        }
        auto victim = victimFor(static_cast<std::size_t>(position - m_running.begin()));
        preempt(*victim, result);
    }
}

StepResult EngineModel::step()
{
    StepResult result;
    admitWaiting(result);

    int budget = m_profile.stepTokenBudget;
    int decoding = 0;
    int prefilled = 0;
    std::vector<std::uint64_t> order;
    order.reserve(m_running.size());
    for (const auto& sequence : m_running)
        order.push_back(sequence.spec.id);

    for (auto id : order) {
        auto position = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        if (position == m_running.end())
            continue;
        if (position->prefillDone < position->prefillGoal) {
            int chunk = std::min(budget, position->prefillGoal - position->prefillDone);
            if (chunk <= 0)
                continue;
            position->prefillDone += chunk;
            budget -= chunk;
            prefilled += chunk;
            if (position->prefillDone < position->prefillGoal)
                continue;
        } else {
            --budget;
            ++decoding;
        }
        if (!growSequence(static_cast<std::size_t>(position - m_running.begin()), result))
            continue;
        auto grown = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        int offset = grown->produced++;
        bool last = grown->produced >= grown->spec.outputTokens;
        result.tokens.push_back({ .generation = id, .offset = offset, .last = last });
        if (last) {
            release(*grown);
            m_running.erase(grown);
        }
    }

    result.seconds = m_profile.stepBaseSeconds + decoding * m_profile.perSequenceSeconds
        + prefilled * m_profile.perPrefillTokenSeconds;
    m_lastStepSeconds = result.seconds;
    return result;
}

EngineLoad EngineModel::load() const
{
    int idleCached = 0;
    for (const auto& [block, entry] : m_cache)
        idleCached += entry.references == 0;
    return EngineLoad {
        .blocksTotal = m_profile.memoryBlocks,
        .blocksUsed = m_privateBlocks + static_cast<int>(m_cache.size()) - idleCached,
        .running = static_cast<int>(m_running.size()),
        .waiting = static_cast<int>(m_waiting.size()),
        .stepSeconds = m_lastStepSeconds,
        .preemptions = m_preemptions,
    };
}

}
