#pragma once

#include "dispatch/targetselector.h"
#include "dispatch/waitingqueue.h"
#include "handover/movescheduler.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <memory>
#include <vector>

namespace guavaspan {

/// Arrivals per second.
struct ArrivalRates {
    double longRequests = 0;
    double shortRequests = 0;
};

/// What became of the requests of one kind.
struct KindCounts {
    int arrived = 0;
    int served = 0;
    int refused = 0;
    std::vector<double> waits;

    double waitQuantile(double share) const
    {
        auto sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }
    double refusedShare() const { return static_cast<double>(refused) / std::max(1, arrived); }
};

/// A pool of engines in virtual time, placed by the cores of the pool's owner. Engines produce a token per
/// generation every 10 ms, process prompts at 7 tokens per ms beside them, and displace the newest of the least
/// urgent generations when their memory runs out.
class ModelledPool {
public:
    static constexpr auto step = Milliseconds(10);
    static constexpr int stepsPerReport = 25;
    static constexpr int promptTokensPerStep = 70;
    static constexpr int copiedTokensPerStep = 180;
    static constexpr int tokensPerEvent = 4;
    static constexpr auto notice = Milliseconds(1500);

    ModelledPool(int engines, std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < engines; ++i)
            addEngine();
    }

    void run(Clock::duration duration, ArrivalRates rates)
    {
        for (auto end = m_now + duration; m_now < end; m_now += step)
            advance(rates);
    }

    /// Replaces the oldest engines; their generations move, and break if they cannot within the notice.
    void replaceEngines(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto oldest = std::find_if(m_engines.begin(), m_engines.end(), [](const Engine& engine) { return !engine.shutdownAt; });
            oldest->shutdownAt = m_now + notice;
            addEngine();
        }
    }

    /// Another instance places from now on; it knows the running generations from the peers' reports only.
    void changeOwner()
    {
        m_queue = {};
        m_reserve = {};
        m_ledger = {};
        m_ledger.setPeerLoads("instance", m_instanceLedger.localLoads());
        for (const auto& [id, waiting] : std::map(m_waiting)) {
            if (!m_queue.enqueue(waiting, m_now).accepted)
                refuse(id);
        }
    }

    KindCounts longs;
    KindCounts shorts;
    int preemptions = 0;
    int destinationsFull = 0;
    int broken = 0;
    int moved = 0;
    double servedTokens = 0;

private:
    struct Run {
        WorkId id = 0;
        WorkEstimate estimate;
        int length = 0;
        int priority = 0;
        int pendingTokens = 0;
        int produced = 0;
        int held() const { return estimate.promptTokens + produced; }
    };
    struct Engine {
        TargetEntry entry;
        std::list<Run> runs;
        std::list<Run> displaced;
        std::optional<TimePoint> shutdownAt;
        int heldTokens() const
        {
            int tokens = 0;
            for (const auto& run : runs)
                tokens += run.held();
            return tokens;
        }
    };
    struct ActiveCopy {
        ScheduledMove move;
        TimePoint arrivesAt;
        WorkId reservation = 0;
    };

    void addEngine()
    {
        auto number = std::to_string(m_engineCount++);
        m_engines.push_back({ .entry = { .id = "engine-" + number, .service = "writer", .endpoint = { .address = "10.0.0." + number, .port = 80 }, .failureDomain = "d0", .slots = 24 } });
    }

    double logNormal(double median, double spread)
    {
        return median * std::exp(std::normal_distribution<double>(0, spread)(m_random));
    }

    int uniform(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

    void arrive(bool isShort)
    {
        auto id = ++m_lastId;
        // The length is spread around an estimate that is right at the median, with a long tail.
        double median = isShort ? 8 : logNormal(500, 0.5);
        int length = std::clamp(static_cast<int>(isShort ? uniform(4, 12) : logNormal(median, 0.65)), 1, 4000);
        Run run { .id = id, .estimate = { .promptTokens = uniform(2200, 3000), .outputTokens = static_cast<int>(1.25 * median) }, .length = length, .priority = isShort ? 0 : 1 };
        run.pendingTokens = run.estimate.promptTokens;
        auto& counts = isShort ? shorts : longs;
        ++counts.arrived;
        m_arriving.insert_or_assign(id, run);
        WaitingRequest waiting { .id = id, .service = "writer", .organisation = "a", .rank = { .priority = run.priority }, .estimate = run.estimate, .arrivedAt = m_now, .latestStart = m_now + (isShort ? Milliseconds(800) : Milliseconds(1500)) };
        if (isShort)
            m_reserve.onUrgentRequest("writer", run.estimate, m_now);
        if (m_queue.size() == 0 && start(waiting))
            return;
        if (m_queue.enqueue(waiting, m_now).accepted)
            m_waiting.insert_or_assign(id, waiting);
        else
            refuse(id);
    }

    void refuse(WorkId id)
    {
        ++(m_arriving.at(id).priority == 0 ? shorts : longs).refused;
        m_arriving.erase(id);
        m_waiting.erase(id);
    }

    std::optional<TargetChoice> choose(const WorkEstimate& estimate, MemoryAdmission admission, const std::set<std::string>& excluded)
    {
        std::vector<const TargetEntry*> candidates;
        for (const auto& engine : m_engines) {
            if (!engine.shutdownAt)
                candidates.push_back(&engine.entry);
        }
        admission.reservedTokens = m_reserve.tokensPerEngine("writer", { .usableEngines = candidates.size(), .memoryTokens = m_traits->memoryTokens, .movingTokens = m_moves.queuedTokens([](const PendingMove&) { return true; }, m_now) }, m_now);
        admission.reserve = &m_reserve;
        return selectTarget({ .candidates = candidates, .ledger = m_ledger, .outcomes = m_outcomes, .engine = m_traits, .preferredDomain = "d0", .excluded = excluded, .estimate = estimate, .now = m_now, .admission = admission }, m_random);
    }

    bool start(const WaitingRequest& waiting)
    {
        auto choice = choose(waiting.estimate, { .rule = waiting.estimate.isShort() ? shortAdmission : ordinaryAdmission }, {});
        if (!choice)
            return false;
        m_instanceLedger.begin(waiting.id, choice->target, waiting.estimate);
        report();
        m_queue.onStarted("writer", "a", waiting.rank, waiting.estimate, m_now);
        auto run = m_arriving.at(waiting.id);
        (waiting.estimate.isShort() ? shorts : longs).waits.push_back(std::chrono::duration<double>(m_now - waiting.arrivedAt).count());
        find(choice->target)->displaced.push_back(run);
        m_arriving.erase(waiting.id);
        m_waiting.erase(waiting.id);
        return true;
    }

    Engine* find(const std::string& id)
    {
        auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) { return engine.entry.id == id; });
        return found == m_engines.end() ? nullptr : &*found;
    }

    void advance(ArrivalRates rates)
    {
        double seconds = std::chrono::duration<double>(step).count();
        for (int i = std::poisson_distribution<int>(rates.shortRequests * seconds)(m_random); i > 0; --i)
            arrive(true);
        for (int i = std::poisson_distribution<int>(rates.longRequests * seconds)(m_random); i > 0; --i)
            arrive(false);
        for (auto& engine : m_engines)
            advance(engine);
        moveGenerations();
        if (++m_steps % stepsPerReport == 0)
            report();
        while (m_queue.takeNext([&](const WaitingRequest& waiting) { return start(waiting); })) { }
        for (const auto& expired : m_queue.takeExpired(m_now))
            refuse(expired.id);
    }

    void advance(Engine& engine)
    {
        // The engine's own queue: requests enter when their prompts fit.
        while (!engine.displaced.empty() && engine.heldTokens() + engine.displaced.front().held() <= m_traits->memoryTokens) {
            engine.runs.push_back(engine.displaced.front());
            engine.displaced.pop_front();
        }
        int promptTokens = promptTokensPerStep;
        for (auto run = engine.runs.begin(); run != engine.runs.end();) {
            if (run->pendingTokens > 0) {
                int processed = std::min(promptTokens, run->pendingTokens);
                run->pendingTokens -= processed;
                promptTokens -= processed;
                ++run;
                continue;
            }
            if (++run->produced % tokensPerEvent == 0)
                m_instanceLedger.setOutputTokens(run->id, run->produced);
            if (run->produced < run->length) {
                ++run;
                continue;
            }
            servedTokens += run->produced;
            ++(run->priority == 0 ? shorts : longs).served;
            end(run->id);
            run = engine.runs.erase(run);
        }
        while (engine.heldTokens() > m_traits->memoryTokens && engine.runs.size() > 1) {
            auto victim = engine.runs.begin();
            for (auto run = engine.runs.begin(); run != engine.runs.end(); ++run) {
                if (run->priority >= victim->priority)
                    victim = run;
            }
            ++preemptions;
            victim->pendingTokens = victim->held();
            engine.displaced.push_back(*victim);
            engine.runs.erase(victim);
        }
    }

    void end(WorkId id)
    {
        m_instanceLedger.end(id);
        report();
    }

    /// The owner knows the sums only that the instance reports: at once when work starts or ends, else now and then.
    void report()
    {
        TargetLoads changed;
        for (const auto& target : m_instanceLedger.takeChangedTargets())
            changed.emplace(target, m_instanceLedger.localLoad(target));
        m_ledger.updatePeerLoads("instance", changed);
    }

    void moveGenerations()
    {
        for (auto& engine : m_engines) {
            if (!engine.shutdownAt)
                continue;
            for (const auto& run : engine.runs) {
                auto key = std::to_string(run.id);
                bool isActive = m_moves.activeMove(key) != nullptr;
                if (!isActive && run.produced > 0 && run.length - run.produced > 24)
                    m_moves.add({ .key = key, .source = engine.entry.id, .tokensHeld = run.held(), .expectedRemainingTokens = std::max(100, run.estimate.outputTokens - run.produced), .copyTime = copyTime(run.held()), .shutdownAt = engine.shutdownAt, .excludedDestinations = m_excluded[key] }, m_now);
                else if (!isActive)
                    m_moves.remove(key);
            }
        }
        auto chooseDestination = [&](const PendingMove& move, const std::set<std::string>& excluded) -> std::optional<std::string> {
            auto choice = choose({ .copiedTokens = move.tokensHeld, .outputTokens = move.expectedRemainingTokens }, { .rule = movedAdmission }, excluded);
            return choice ? std::optional(choice->target) : std::nullopt;
        };
        for (const auto& move : m_moves.schedule(chooseDestination, m_now))
            startCopy(move);
        for (auto copy = m_copies.begin(); copy != m_copies.end();) {
            auto current = copy++;
            if (current->arrivesAt > m_now)
                continue;
            finishCopy(*current);
            m_copies.erase(current);
        }
        for (auto engine = m_engines.begin(); engine != m_engines.end();) {
            auto current = engine++;
            if (!current->shutdownAt || *current->shutdownAt > m_now)
                continue;
            auto breakRun = [&](const Run& run) {
                m_moves.remove(std::to_string(run.id));
                end(run.id);
                ++broken;
            };
            std::for_each(current->runs.begin(), current->runs.end(), breakRun);
            std::for_each(current->displaced.begin(), current->displaced.end(), breakRun);
            m_engines.erase(current);
        }
    }

    static Clock::duration copyTime(int tokens) { return step * std::max(1, tokens / copiedTokensPerStep); }

    static std::list<Run>::iterator findRun(Engine& engine, const std::string& key)
    {
        return std::find_if(engine.runs.begin(), engine.runs.end(), [&](const Run& run) { return std::to_string(run.id) == key; });
    }

    void startCopy(const ScheduledMove& move)
    {
        auto run = findRun(*find(move.source), move.key);
        auto& destination = *find(move.destination);
        if (destination.heldTokens() + run->held() > m_traits->memoryTokens) {
            ++destinationsFull;
            m_reserve.onDestinationFull(move.destination, run->held(), m_traits->memoryTokens - m_ledger.totalLoad(move.destination).heldTokens, m_now);
            m_excluded[move.key].insert(move.destination);
            m_moves.remove(move.key);
            return;
        }
        auto reservation = ++m_lastId;
        m_ledger.beginForPeer(reservation, move.destination, { .copiedTokens = run->held(), .outputTokens = std::max(1, run->estimate.outputTokens - run->produced) });
        m_copies.push_back({ .move = move, .arrivesAt = m_now + copyTime(run->held()), .reservation = reservation });
    }

    void finishCopy(const ActiveCopy& copy)
    {
        m_ledger.end(copy.reservation);
        m_moves.remove(copy.move.key);
        auto* source = find(copy.move.source);
        auto* destination = find(copy.move.destination);
        if (!source || !destination)
            return;
        auto run = findRun(*source, copy.move.key);
        if (run == source->runs.end())
            return;
        ++moved;
        m_instanceLedger.setTarget(run->id, copy.move.destination);
        report();
        destination->runs.push_back(*run);
        source->runs.erase(run);
    }

    Random m_random;
    TimePoint m_now { Seconds(100) };
    std::optional<EngineTraits> m_traits = EngineTraits { .slots = 24, .memoryTokens = 26800, .canMove = true };
    std::list<Engine> m_engines;
    int m_engineCount = 0;
    LoadLedger m_instanceLedger;
    LoadLedger m_ledger;
    OutcomeTracker m_outcomes;
    WaitingQueue m_queue;
    MemoryReserve m_reserve;
    MoveScheduler m_moves;
    std::list<ActiveCopy> m_copies;
    std::map<std::string, std::set<std::string>> m_excluded;
    std::map<WorkId, Run> m_arriving;
    std::map<WorkId, WaitingRequest> m_waiting;
    WorkId m_lastId = 0;
    int m_steps = 0;
};

}
