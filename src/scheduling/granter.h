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
struct GranterOptions {
    /// Highest accepted chance that admitting a request overflows an engine's memory.
    double maxOverflowRisk = 0.5;
    /// The same for a request of an organisation below its share.
    double maxOverflowRiskBelowShare = 0.45;
    /// Part of an engine's memory kept free for organisations below their share.
    double reservedForBelowShare = 0.01;
    /// Generations per engine beyond which steps grow too slow.
    int maxRunningPerEngine = 256;
    /// Step time above which an engine gets no further generation.
    double maxStepSeconds = 0.060;
    std::size_t maxWaiting = 4000;
    /// A request that waits longer than this for memory holds back those behind it.
    Clock::duration backfillLimit = Milliseconds(500);
    int blockTokens = 16;
    double promptTokenWeight = 0.2;
    int foreseenTokens = 256;
};

/// Options for operators who weigh stalls most.
GranterOptions stallsFirstOptions();

/// Options for operators who weigh preemptions most.
GranterOptions preemptionsFirstOptions();

/// A generation that was granted, as far as its progress is known.
struct GrantedGeneration {
    PermitRequest request;
    int produced = 0;
    double estimated = 0;
    TimePoint grantedAt;
    TimePoint reportedAt;
    /// When the holder last named it.
    TimePoint heldAt;
    /// The decision, for a holder that missed it.
    Grant grant;
    int expectedCachedTokens = 0;
    int preemptions = 0;
};

/// Decides, for one pool of engines, which request starts where and when.
class Granter {
public:
    explicit Granter(GranterOptions);

    void setEngines(const std::vector<EngineInfo>&);

    void onRequest(PermitRequest, TimePoint now);
    void onWithdrawn(const PermitId&, TimePoint now);
    void onProgress(const PermitId&, int produced, bool preempted, TimePoint now);
    void onFinished(const PermitId&, int produced, FinishKind, TimePoint now);

    /// A generation that an earlier owner granted and that its instance reports again.
    void adopt(PermitRequest, const std::string& engine, int produced, TimePoint now);

    void onLoadReport(const std::string& engine, const LoadReport&, TimePoint now);
    void onCacheEvent(const std::string& engine, std::uint64_t block, bool stored);
    void onCacheGap(const std::string& engine);
    /// The holder named this permit again; false if it is not known here.
    bool onHeld(const PermitId&, int produced, TimePoint now);

    /// Ends what no holder has named since the given time.
    void expireUnheld(TimePoint namedSince, TimePoint now);
    void onTick(TimePoint now);

    /// Decisions since the last call, in order.
    std::vector<SchedulingAction> takeActions();

    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_engineOf.size(); }
    const FairQueue& queue() const { return m_queue; }

private:
    struct Engine {
        EngineInfo info;
        MemoryProfile profile;
        EngineHealth health;
        PrefixIndex cache;
        SharedPrefixes shared;
        std::optional<LoadReport> report;
        std::map<PermitId, GrantedGeneration> running;
        std::deque<std::pair<TimePoint, double>> occupancyHistory;
        double unexplainedTokens = 0;
        bool jammed = false;
        /// Generations pushed out of memory that have not gone on yet.
        std::set<PermitId> displaced;
        /// The generation that an overflow would displace.
        std::optional<PermitId> designated;
        bool present = true;
    };
    struct Choice {
        Engine* engine = nullptr;
        double risk = 0;
        int cachedTokens = 0;
        GrantReason reason = GrantReason::LeastLoaded;
    };

    void decide(TimePoint now);
    std::optional<Choice> choose(const PermitRequest&, TimePoint now, const std::set<const Engine*>& reserved);
    const Engine* engineToReserve(const PermitRequest&, TimePoint now, const std::set<const Engine*>& reserved) const;
    bool isBelowShare(const std::string& organisation) const;
    bool mayRun(const Engine&, const PermitRequest&, TimePoint now) const;
    double score(const Engine&, const PermitRequest&, int cachedTokens) const;
    void grant(const WaitingRequest&, const Choice&, TimePoint now);
    void refuse(const WaitingRequest&, ErrorCode);
    Footprint footprintOf(const GrantedGeneration&, int sharedBlocks) const;
    void start(Engine&, GrantedGeneration);
    void rebuild(Engine&);
    void advance(Engine&, TimePoint now);
    void recordOccupancy(Engine&, TimePoint now);
    void updateForeseen();
    void designate(Engine&);
    double poolMedianStepSeconds() const;
    double capacityFor(const Engine&, bool belowShare) const;
    void chargeGrowth(GrantedGeneration&, int produced);
    Engine* engineOf(const PermitId&);

    GranterOptions m_options;
    LengthModel m_lengths;
    FairQueue m_queue;
    std::map<std::string, Engine> m_engines;
    std::unordered_map<PermitId, std::string> m_engineOf;
    std::vector<SchedulingAction> m_actions;
    double m_grantsPerSecond = 0;
    TimePoint m_lastTick;
    int m_grantsSinceTick = 0;
};

}
