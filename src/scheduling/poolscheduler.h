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

/// Weights that tell apart operators who fear stalls most from those who fear preemptions most.
struct PoolSchedulerOptions {
    /// Highest accepted chance that admitting a request overflows an engine's memory.
    double maxOverflowRisk = 0.5;
    /// The same for a request of an organisation below its share.
    double maxOverflowRiskBelowShare = 0.45;
    /// Part of an engine's memory kept free for organisations below their share.
    double reservedMemoryFraction = 0.01;
    /// Generations per engine beyond which steps grow too slow.
    int maxRunningPerEngine = 256;
    /// Step time above which an engine gets no further generation.
    double maxStepSeconds = 0.060;
    std::size_t maxWaiting = 4000;
    /// A request that waits longer than this for memory holds back those behind it.
    Clock::duration backfillLimit = Milliseconds(500);
    int tokensPerBlock = 16;
    double promptTokenWeight = 0.2;
    int expectedTokensHorizon = 256;
};

/// Options for operators who weigh stalls most.
PoolSchedulerOptions stallsFirstOptions();

/// Options for operators who weigh preemptions most.
PoolSchedulerOptions preemptionsFirstOptions();

/// A generation that was granted, as far as its progress is known.
struct GrantedGeneration {
    PermitRequest request;
    int producedTokens = 0;
    double estimatedTokens = 0;
    TimePoint grantedAt;
    TimePoint reportedAt;
    /// When the holder last named it.
    TimePoint renewedAt;
    /// The decision, for a holder that missed it.
    Grant grant;
    int expectedCachedTokens = 0;
    int preemptions = 0;
};

/// Decides, for one pool of engines, which request starts where and when.
class PoolScheduler {
public:
    explicit PoolScheduler(PoolSchedulerOptions);

    void setEngines(const std::vector<EngineInfo>&);

    void onRequest(PermitRequest, TimePoint now);
    void onWithdrawn(const PermitId&, TimePoint now);
    void onProgress(const PermitId&, int producedTokens, bool preempted, TimePoint now);
    void onFinished(const PermitId&, int producedTokens, GenerationOutcome, TimePoint now);

    /// A generation that an earlier owner granted and that its instance reports again.
    void adopt(PermitRequest, const std::string& engine, int producedTokens, TimePoint now);

    void onLoadReport(const std::string& engine, const LoadReport&, TimePoint now);
    void onCacheEvent(const std::string& engine, std::uint64_t block, bool stored);
    void onCacheEventsLost(const std::string& engine);
    /// The holder named this permit again; false if it is not known here.
    bool onRenewed(const PermitId&, int producedTokens, TimePoint now);

    /// Ends what no holder has named since the given time.
    void expireUnrenewed(TimePoint renewedSince, TimePoint now);
    void onTick(TimePoint now);

    /// Decisions since the last call, in order.
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
        double unexplainedTokens = 0;
        bool saturated = false;
        /// Generations pushed out of memory that have not gone on yet.
        std::set<PermitId> preemptedIds;
        /// The generation that an overflow would displace.
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
