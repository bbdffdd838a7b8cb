#pragma once

#include "scheduling/enginehealth.h"
#include "scheduling/fairqueue.h"
#include "scheduling/lengthmodel.h"
#include "scheduling/memoryprofile.h"
#include "scheduling/prefixindex.h"
#include "scheduling/sharedprefixes.h"

#include <map>
#include <optional>
#include <set>

namespace guavaspan {

/// Limits for admission and weights for charged tokens. The profiles below trade stalls against preemptions.
struct PoolSchedulerOptions {
    /// Highest accepted probability that admitting a request overflows an engine's memory.
    double maxOverflowRisk = 0.5;
    /// Highest accepted overflow probability for an organisation below its share.
    double maxOverflowRiskBelowShare = 0.45;
    /// Fraction of an engine's memory reserved for organisations below their share.
    double reservedMemoryFraction = 0.01;
    /// Generations per engine beyond which decoding steps become too slow.
    int maxRunningPerEngine = 256;
    /// Step time above which an engine receives no further generation.
    double maxStepSeconds = 0.060;
    std::size_t maxWaiting = 4000;
    /// Waiting time after which a request reserves an engine, so that smaller requests no longer take its free memory.
    Clock::duration backfillLimit = Milliseconds(500);
    int tokensPerBlock = 16;
    double promptTokenWeight = 0.2;
    int expectedTokensHorizon = 256;
};

/// Options of the profile that weighs stalls more than preemptions.
PoolSchedulerOptions stallsFirstOptions();

/// Options of the profile that weighs preemptions more than stalls.
PoolSchedulerOptions preemptionsFirstOptions();

/// A granted generation with its last reported and estimated progress.
struct GrantedGeneration {
    PermitRequest request;
    int producedTokens = 0;
    double estimatedTokens = 0;
    TimePoint grantedAt;
    TimePoint reportedAt;
    /// When the permit holder last reported this generation.
    TimePoint renewedAt;
    /// The grant that was sent; it is sent again if the permit holder repeats its request.
    Grant grant;
    int expectedCachedTokens = 0;
    int preemptions = 0;
};

/// Queues the permit requests of one pool and decides when and on which engine each generation starts.
class PoolScheduler {
public:
    explicit PoolScheduler(PoolSchedulerOptions);

    void setEngines(const std::vector<EngineInfo>&);

    void onRequest(PermitRequest, TimePoint now);
    void onWithdrawn(const PermitId&, TimePoint now);
    void onProgress(const PermitId&, int producedTokens, bool preempted, TimePoint now);
    void onFinished(const PermitId&, int producedTokens, GenerationOutcome, TimePoint now);

    /// Takes over a running generation that a previous owner granted; the permit holder reports it.
    void adopt(PermitRequest, const std::string& engine, int producedTokens, TimePoint now);

    void onLoadReport(const std::string& engine, const LoadReport&, TimePoint now);
    void onCacheEvent(const std::string& engine, std::uint64_t block, bool stored);
    void onCacheEventsLost(const std::string& engine);
    /// Renews a permit that its holder still reports; returns false for an unknown permit.
    bool onRenewed(const PermitId&, int producedTokens, TimePoint now);

    /// Ends generations whose permits were last renewed before the given time.
    void expireUnrenewed(TimePoint renewedSince, TimePoint now);
    void onTick(TimePoint now);

    /// Returns the decisions since the last call, in order.
    std::vector<SchedulingAction> takeActions();

    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_engineNameByPermit.size(); }
    const FairQueue& queue() const { return m_queue; }

private:
    struct Engine {
        EngineInfo info;
        MemoryProfile profile;
        EngineHealth health;
        PrefixIndex prefixIndex;
        SharedPrefixes sharedPrefixes;
        std::optional<LoadReport> report;
        std::map<PermitId, GrantedGeneration> running;
        std::deque<std::pair<TimePoint, double>> occupancyHistory;
        /// Reported memory use that the generations granted by this owner do not account for.
        double unexplainedTokens = 0;
        bool saturated = false;
        /// Preempted generations that have not resumed yet.
        std::set<PermitId> preemptedIds;
        /// The generation that an overflow would preempt.
        std::optional<PermitId> preemptionCandidate;
        bool inPool = true;
    };
    struct EngineChoice {
        Engine* engine = nullptr;
        double risk = 0;
        int cachedTokens = 0;
        GrantReason reason = GrantReason::LeastLoaded;
    };

    void scheduleWaiting(TimePoint now);
    std::optional<EngineChoice> chooseEngine(const PermitRequest&, TimePoint now, const std::set<const Engine*>& reservedEngines);
    const Engine* engineToReserve(const PermitRequest&, TimePoint now, const std::set<const Engine*>& reservedEngines) const;
    bool isBelowShare(const std::string& organisation) const;
    bool canAccept(const Engine&, const PermitRequest&, TimePoint now) const;
    double placementCost(const Engine&, const PermitRequest&, int cachedTokens) const;
    void grant(const WaitingPermitRequest&, const EngineChoice&, TimePoint now);
    void refuse(const WaitingPermitRequest&, ErrorCode);
    Footprint footprintOf(const GrantedGeneration&, int sharedBlocks) const;
    void addRunning(Engine&, GrantedGeneration);
    void rebuildProfile(Engine&);
    void extrapolateProgress(Engine&, TimePoint now);
    void recordOccupancy(Engine&, TimePoint now);
    void updateExpectedTokens();
    void choosePreemptionCandidate(Engine&);
    double poolMedianStepSeconds() const;
    double usableCapacityTokens(const Engine&, bool belowShare) const;
    void chargeGrowth(GrantedGeneration&, int producedTokens);
    Engine* findEngine(const PermitId&);

    PoolSchedulerOptions m_options;
    LengthModel m_lengthModel;
    FairQueue m_queue;
    std::map<std::string, Engine> m_engines;
    std::unordered_map<PermitId, std::string> m_engineNameByPermit;
    std::vector<SchedulingAction> m_actions;
    double m_grantsPerSecond = 0;
    TimePoint m_lastTick;
    int m_grantsSinceTick = 0;
};

}
