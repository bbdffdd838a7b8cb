#pragma once

#include "scheduling/fairqueue.h"
#include "scheduling/lengthmodel.h"
#include "scheduling/poolengine.h"

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
    struct EngineChoice {
        PoolEngine* engine = nullptr;
        double risk = 0;
        int cachedTokens = 0;
        GrantReason reason = GrantReason::LeastLoaded;
    };

    void scheduleWaiting(TimePoint now);
    std::optional<EngineChoice> chooseEngine(const PermitRequest&, TimePoint now, const std::set<const PoolEngine*>& reservedEngines);
    const PoolEngine* engineToReserve(const PermitRequest&, TimePoint now, const std::set<const PoolEngine*>& reservedEngines) const;
    bool isBelowShare(const std::string& organisation) const;
    bool canAccept(const PoolEngine&, const PermitRequest&, TimePoint now) const;
    void grant(const WaitingPermitRequest&, const EngineChoice&, TimePoint now);
    void refuse(const WaitingPermitRequest&, ErrorCode);
    Footprint footprintOf(const GrantedGeneration&, int sharedBlocks) const;
    void addRunning(PoolEngine&, GrantedGeneration);
    void rebuildProfile(PoolEngine&);
    void extrapolateProgress(PoolEngine&, TimePoint now);
    void updateExpectedTokens();
    void choosePreemptionCandidate(PoolEngine&);
    double poolMedianStepSeconds() const;
    double usableCapacityTokens(const PoolEngine&, bool belowShare) const;
    void chargeGrowth(GrantedGeneration&, int producedTokens);
    PoolEngine* findEngine(const PermitId&);

    PoolSchedulerOptions m_options;
    LengthModel m_lengthModel;
    FairQueue m_queue;
    std::map<std::string, PoolEngine> m_engines;
    std::unordered_map<PermitId, std::string> m_engineNameByPermit;
    std::vector<SchedulingAction> m_actions;
    double m_grantsPerSecond = 0;
    TimePoint m_lastTick;
    int m_grantsSinceTick = 0;
};

}
