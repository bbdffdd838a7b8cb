#pragma once

#include "bench/workload.h"
#include "scheduling/baselinerouters.h"
#include "scheduling/poolscheduler.h"
#include "standins/enginemodel.h"

#include <map>
#include <optional>
#include <queue>
#include <variant>

namespace guavaspan::bench {

/// The policy under measurement.
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
    double messageSeconds = 0.0015;
    double warmupSeconds = 60;
    double seconds = 180;
    std::uint64_t seed = 1;
};

/// Measures of one run, after the warm-up.
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
    /// Largest difference, over ten-second windows of backlog, from the due share.
    double worstShareError = 0;
    double meanShareError = 0;
};

/// Runs one pool of modelled engines in virtual time under one policy.
class PoolExperiment {
public:
    PoolExperiment(ExperimentOptions, const PolicyChoice&);
    ExperimentResult run(const std::vector<Arrival>&);

private:
    struct Generation {
        const Arrival* arrival = nullptr;
        int engine = -1;
        int produced = 0;
        int preemptions = 0;
        TimePoint lastToken;
        double firstToken = -1;
        double longestGap = 0;
        TimePoint reportedAt;
        bool measured = false;
        bool displaced = false;
    };
    struct Engine {
        standins::EngineModel model;
        bool stepping = false;
        TimePoint stepEnds;
        standins::StepResult pending;
        std::deque<std::pair<TimePoint, standins::EngineLoad>> history;
        std::vector<standins::CacheEvent> cacheEvents;
    };
    enum class Kind {
        Arrive,
        StepEnd,
        Tick,
        Report,
        Place,
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        Kind kind = Kind::Tick;
        std::uint64_t subject = 0;

        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(TimePoint, Kind, std::uint64_t subject = 0);
    void arrive(std::size_t index, TimePoint now);
    void place(std::uint64_t generation, TimePoint now);
    void startStep(int engine, TimePoint now);
    void endStep(int engine, TimePoint now);
    void onToken(const standins::TokenEvent&, TimePoint now);
    void report(TimePoint now);
    void drain(TimePoint now);
    void recordShares(TimePoint now);
    ExperimentResult summarise(TimePoint end) const;

    ExperimentOptions m_options;
    std::string m_name;
    std::optional<PoolScheduler> m_granter;
    std::optional<BaselineRouter> m_baseline;
    std::vector<Engine> m_engines;
    std::vector<Generation> m_generations;
    std::vector<int> m_priorities;
    const std::vector<Arrival>* m_arrivals = nullptr;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::vector<double> m_gaps;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_preemptions = 0;
    std::map<std::string, double> m_weights;
    std::map<std::string, std::uint64_t> m_windowTokens;
    std::map<std::string, bool> m_windowBacklog;
    std::map<std::string, int> m_waiting;
    TimePoint m_windowStart;
    std::vector<double> m_shareErrors;
};

}
