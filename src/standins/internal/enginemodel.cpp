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

void EngineModel::submit(GenerationSpec spec)
{
    Sequence sequence { .spec = std::move(spec), .arrival = ++m_arrivalCounter };
    insertWaiting(std::move(sequence));
}

bool EngineModel::cancel(std::uint64_t generation)
{
    auto hasId = [&](const Sequence& sequence) { return sequence.spec.id == generation; };
    auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), hasId);
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return true;
    }
    auto running = std::find_if(m_running.begin(), m_running.end(), hasId);
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
        found->second.lastUsed = ++m_useCounter;
    }
    sequence.sharedBlocks = 0;
}

bool EngineModel::evictLeastRecentlyUsed(StepResult& result)
{
    auto oldest = m_cache.end();
    for (auto entry = m_cache.begin(); entry != m_cache.end(); ++entry) {
        if (entry->second.references > 0)
            continue;
        if (oldest == m_cache.end() || entry->second.lastUsed < oldest->second.lastUsed)
            oldest = entry;
    }
    if (oldest == m_cache.end())
        return false;
    result.cacheEvents.push_back({ .block = oldest->first, .stored = false });
    m_cache.erase(oldest);
    return true;
}

bool EngineModel::ensureFreeBlocks(int blocks, StepResult& result)
{
    while (freeBlocks() < blocks) {
        if (!evictLeastRecentlyUsed(result))
            return false;
    }
    return true;
}

bool EngineModel::tryStart(Sequence& sequence, StepResult& result)
{
    int contextTokens = sequence.spec.promptTokens + sequence.producedTokens;
    int sharableBlocks = std::min<int>(static_cast<int>(sequence.spec.prefixBlocks.size()), contextTokens / m_profile.blockTokens);
    int cachedBlocks = 0;
    while (cachedBlocks < sharableBlocks && m_cache.contains(sequence.spec.prefixBlocks[cachedBlocks]))
        ++cachedBlocks;
    // Referenced blocks are not evicted, so allocating the remaining blocks cannot evict this prefix.
    for (int i = 0; i < cachedBlocks; ++i)
        ++m_cache[sequence.spec.prefixBlocks[i]].references;
    int newBlocks = blocksFor(contextTokens + 1) - cachedBlocks;
    if (!ensureFreeBlocks(newBlocks, result)) {
        for (int i = 0; i < cachedBlocks; ++i)
            --m_cache[sequence.spec.prefixBlocks[i]].references;
        return false;
    }
    for (int i = cachedBlocks; i < sharableBlocks; ++i) {
        auto block = sequence.spec.prefixBlocks[i];
        m_cache[block].references = 1;
        result.cacheEvents.push_back({ .block = block, .stored = true });
    }
    sequence.sharedBlocks = sharableBlocks;
    sequence.privateBlocks = blocksFor(contextTokens + 1) - sharableBlocks;
    m_privateBlocks += sequence.privateBlocks;
    sequence.tokensToPrefill = contextTokens;
    sequence.prefilledTokens = std::min(cachedBlocks * m_profile.blockTokens, contextTokens - 1);
    return true;
}

void EngineModel::admitWaiting(StepResult& result)
{
    while (!m_waiting.empty() && static_cast<int>(m_running.size()) < m_profile.maxBatch) {
        if (!tryStart(m_waiting.front(), result))
            return;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

std::optional<std::size_t> EngineModel::selectVictim(std::size_t growingIndex) const
{
    std::size_t victim = growingIndex;
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

/// Reserves memory for the sequence's next token, preempting the lowest-ranked sequences if
/// necessary. Returns false if the sequence itself was preempted.
bool EngineModel::reserveNextToken(std::size_t index, StepResult& result)
{
    auto id = m_running[index].spec.id;
    while (true) {
        auto position = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        if (position == m_running.end())
            return false;
        int contextTokens = position->spec.promptTokens + position->producedTokens + 1;
        int neededBlocks = blocksFor(contextTokens) - position->privateBlocks - position->sharedBlocks;
        if (neededBlocks <= 0)
            return true;
        if (ensureFreeBlocks(neededBlocks, result)) {
            position->privateBlocks += neededBlocks;
            m_privateBlocks += neededBlocks;
            return true;
        }
        auto victim = selectVictim(static_cast<std::size_t>(position - m_running.begin()));
        preempt(*victim, result);
    }
}

StepResult EngineModel::step()
{
    StepResult result;
    admitWaiting(result);

    int tokenBudget = m_profile.stepTokenBudget;
    int decodingSequences = 0;
    int stepPrefillTokens = 0;
    std::vector<std::uint64_t> runningIds;
    runningIds.reserve(m_running.size());
    for (const auto& sequence : m_running)
        runningIds.push_back(sequence.spec.id);

    for (auto id : runningIds) {
        auto position = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        if (position == m_running.end())
            continue;
        if (position->prefilledTokens < position->tokensToPrefill) {
            int chunkTokens = std::min(tokenBudget, position->tokensToPrefill - position->prefilledTokens);
            if (chunkTokens <= 0)
                continue;
            position->prefilledTokens += chunkTokens;
            tokenBudget -= chunkTokens;
            stepPrefillTokens += chunkTokens;
            if (position->prefilledTokens < position->tokensToPrefill)
                continue;
        } else {
            --tokenBudget;
            ++decodingSequences;
        }
        if (!reserveNextToken(static_cast<std::size_t>(position - m_running.begin()), result))
            continue;
        auto producer = std::find_if(m_running.begin(), m_running.end(),
            [&](const Sequence& sequence) { return sequence.spec.id == id; });
        int offset = producer->producedTokens++;
        bool last = producer->producedTokens >= producer->spec.outputTokens;
        result.tokens.push_back({ .generation = id, .offset = offset, .last = last });
        if (last) {
            release(*producer);
            m_running.erase(producer);
        }
    }

    result.seconds = m_profile.stepBaseSeconds + decodingSequences * m_profile.perSequenceSeconds
        + stepPrefillTokens * m_profile.perPrefillTokenSeconds;
    m_lastStepSeconds = result.seconds;
    return result;
}

EngineLoad EngineModel::load() const
{
    int unreferencedBlocks = 0;
    for (const auto& [block, entry] : m_cache)
        unreferencedBlocks += entry.references == 0;
    return EngineLoad {
        .blocksTotal = m_profile.memoryBlocks,
        .blocksUsed = m_privateBlocks + static_cast<int>(m_cache.size()) - unreferencedBlocks,
        .running = static_cast<int>(m_running.size()),
        .waiting = static_cast<int>(m_waiting.size()),
        .stepSeconds = m_lastStepSeconds,
        .preemptions = m_preemptions,
    };
}

}
