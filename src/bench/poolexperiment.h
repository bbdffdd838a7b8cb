#pragma once

#include "bench/workload.h"
#include "scheduling/baselinerouter.h"
#include "scheduling/poolscheduler.h"
#include "standins/enginemodel.h"

#include <map>
#include <optional>
#include <queue>
#include <variant>

namespace guavaspan::bench {

/// A named policy: the pool scheduler with its options, or a baseline router.
struct PolicyChoice {
    std::string name;
    std::variant<PoolSchedulerOptions, BaselineRouter::Policy> policy;
};

struct ExperimentOptions {
    int engines = 12;
    standins::EngineProfile profile;
    double reportIntervalSeconds = 0.25;
    double reportLagSeconds = 0.25;
    double progressIntervalSeconds = 5;
    double messageLatencySeconds = 0.0015;
    double warmupSeconds = 60;
    double seconds = 180;
    std::uint64_t seed = 1;
};

/// Results of one run, without the warm-up.
struct ExperimentResult {
    std::string policy;
    int started = 0;
    int finished = 0;
    double tokensPerSecond = 0;
    double preemptionsPerThousand = 0;
    int preemptedTwice = 0;
    double stallP50 = 0;
    double stallP99 = 0;
    double stallWorst = 0;
    double gapP99 = 0;
    double firstTokenP50 = 0;
    double firstTokenP95 = 0;
    std::map<std::string, double> firstTokenP95ByOrganisation;
    /// Largest relative deviation of an organisation's token share from its share by weight,
    /// over ten-second windows in which it always had requests waiting.
    double worstShareError = 0;
    double meanShareError = 0;
};

/// Simulates one pool of engines in virtual time under one policy.
class PoolExperiment {
public:
    PoolExperiment(ExperimentOptions, const PolicyChoice&);
    ExperimentResult run(const std::vector<Arrival>&);

private:
    struct Generation {
        const Arrival* arrival = nullptr;
        int engine = -1;
        int producedTokens = 0;
        int preemptions = 0;
        TimePoint lastTokenAt;
        double firstTokenSeconds = -1;
        double longestGapSeconds = 0;
        TimePoint progressReportedAt;
        bool arrivedAfterWarmup = false;
        bool awaitingResume = false;
    };
    struct Engine {
        standins::EngineModel model;
        bool stepping = false;
        TimePoint stepEndsAt;
        standins::StepResult currentStep;
        std::deque<std::pair<TimePoint, standins::EngineLoad>> loadHistory;
        std::vector<standins::CacheEvent> cacheEvents;
    };
    enum class EventType {
        RequestArrival,
        StepEnd,
        Tick,
        LoadReports,
        EngineSubmission,
    };
    struct Event {
        TimePoint at;
        std::uint64_t insertionOrder = 0;
        EventType type = EventType::Tick;
        std::uint64_t itemIndex = 0;

        bool operator>(const Event& other) const { return std::tie(at, insertionOrder) > std::tie(other.at, other.insertionOrder); }
    };

    void schedule(TimePoint, EventType, std::uint64_t itemIndex = 0);
    void onArrival(std::size_t index, TimePoint now);
    void submitToEngine(std::uint64_t generation, TimePoint now);
    void startStep(int engine, TimePoint now);
    void endStep(int engine, TimePoint now);
    void onToken(const standins::TokenEvent&, TimePoint now);
    void reportLoads(TimePoint now);
    void applyActions(TimePoint now);
    void recordShareErrors(TimePoint now);
    ExperimentResult summarise(TimePoint end) const;

    ExperimentOptions m_options;
    std::string m_policyName;
    std::optional<PoolScheduler> m_scheduler;
    std::optional<BaselineRouter> m_baseline;
    std::vector<Engine> m_engines;
    std::vector<Generation> m_generations;
    std::vector<int> m_priorities;
    const std::vector<Arrival>* m_arrivals = nullptr;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_lastInsertionOrder = 0;
    std::vector<double> m_tokenGaps;
    std::uint64_t m_measuredTokens = 0;
    std::uint64_t m_preemptions = 0;
    std::map<std::string, double> m_weights;
    std::map<std::string, std::uint64_t> m_windowTokens;
    std::map<std::string, bool> m_windowBacklogged;
    std::map<std::string, int> m_waitingRequests;
    TimePoint m_windowStart;
    std::vector<double> m_shareErrors;
};

}
