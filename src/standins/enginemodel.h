#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan::standins {

/// Memory size, batch limits and step times of a modelled engine.
struct EngineProfile {
    int memoryBlocks = 3000;
    int blockTokens = 16;
    int stepTokenBudget = 2048;
    int maxBatch = 256;
    double stepBaseSeconds = 0.018;
    double perSequenceSeconds = 0.00008;
    double perPrefillTokenSeconds = 0.00002;
    bool honoursPriorities = true;
};

/// A generation submitted to the model; callers cannot see its output length in advance.
struct GenerationSpec {
    std::uint64_t id = 0;
    int promptTokens = 0;
    int outputTokens = 1;
    int priority = 0;
    std::vector<std::uint64_t> prefixBlocks;
};

struct TokenEvent {
    std::uint64_t generation = 0;
    int offset = 0;
    bool last = false;

    friend bool operator==(const TokenEvent&, const TokenEvent&) = default;
};

struct CacheEvent {
    std::uint64_t block = 0;
    bool stored = true;

    friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// The outcome and duration of one batching step.
struct StepResult {
    double seconds = 0;
    std::vector<TokenEvent> tokens;
    std::vector<std::uint64_t> preempted;
    std::vector<CacheEvent> cacheEvents;
};

/// The load that an engine reports.
struct EngineLoad {
    int blocksTotal = 0;
    int blocksUsed = 0;
    int running = 0;
    int waiting = 0;
    double stepSeconds = 0;
    std::uint64_t preemptions = 0;
};

/// A model engine with continuous batching, paged memory, a prefix cache and
/// preemption by recomputation. It uses neither sockets nor a clock; the caller runs each step.
class EngineModel {
public:
    explicit EngineModel(EngineProfile);

    void submit(GenerationSpec);
    bool cancel(std::uint64_t generation);
    bool setPriority(std::uint64_t generation, int priority);

    /// True if any generation is running or waiting.
    bool hasWork() const { return !m_running.empty() || !m_waiting.empty(); }
    StepResult step();
    EngineLoad load() const;
    const EngineProfile& profile() const { return m_profile; }

private:
    struct Sequence {
        GenerationSpec spec;
        std::uint64_t arrival = 0;
        int producedTokens = 0;
        int prefilledTokens = 0;
        int tokensToPrefill = 0;
        int privateBlocks = 0;
        int sharedBlocks = 0;
    };
    struct CachedBlock {
        int references = 0;
        std::uint64_t lastUsed = 0;
    };

    int blocksFor(int tokens) const;
    int freeBlocks() const;
    void admitWaiting(StepResult&);
    bool tryStart(Sequence&, StepResult&);
    bool ensureFreeBlocks(int blocks, StepResult&);
    bool evictLeastRecentlyUsed(StepResult&);
    bool reserveNextToken(std::size_t index, StepResult&);
    std::optional<std::size_t> selectVictim(std::size_t growingIndex) const;
    void preempt(std::size_t index, StepResult&);
    void release(Sequence&);
    void insertWaiting(Sequence);
    bool ranksBefore(const Sequence&, const Sequence&) const;

    EngineProfile m_profile;
    std::vector<Sequence> m_running;
    std::deque<Sequence> m_waiting;
    std::unordered_map<std::uint64_t, CachedBlock> m_cache;
    int m_privateBlocks = 0;
    std::uint64_t m_arrivalCounter = 0;
    std::uint64_t m_useCounter = 0;
    std::uint64_t m_preemptions = 0;
    double m_lastStepSeconds = 0;
};

}
