#pragma once

#include "dispatch/dispatchtypes.h"
#include "scheduling/memoryprofile.h"

namespace guavaspan {

/// How much memory of an engine a class of work may plan with, and at which risk of an overflow.
struct AdmissionRule {
    /// Share of the memory that may be occupied at any time.
    double memoryShare = 1;
    /// Highest accepted probability that the engine's memory runs out.
    double maxOverflowRisk = 0;
    /// Further tokens of each generation up to which the memory must suffice.
    int horizonTokens = guavaspan::horizonTokens.back();
    /// Leaves the memory that is reserved for urgent short requests and for moves.
    bool leavesReserve = true;

    friend bool operator==(const AdmissionRule&, const AdmissionRule&) = default;
};

/// Risk at which ordinary generations are admitted.
inline constexpr AdmissionRule ordinaryAdmission { .maxOverflowRisk = 0.05 };
/// The most urgent generations displace others when memory runs out and are not displaced themselves.
inline constexpr AdmissionRule urgentAdmission { .maxOverflowRisk = 0.15, .leavesReserve = false };
/// Short requests have ended within about a second, before the later growth of the others matters.
inline constexpr AdmissionRule shortAdmission { .maxOverflowRisk = 0.05, .horizonTokens = 128, .leavesReserve = false };
/// Late requests take no capacity from requests that can be in time.
inline constexpr AdmissionRule lateAdmission { .memoryShare = 0.7, .maxOverflowRisk = 0.05 };
/// Generations that move from a draining engine. A destination without room at once refuses the move, and a later
/// overflow costs less than a broken stream.
inline constexpr AdmissionRule movedAdmission { .maxOverflowRisk = 0.1, .leavesReserve = false };

/// Further tokens expected of a generation that has produced some of its estimated output; the longer it runs beyond its
/// estimate, the more.
double expectedGrowth(int estimatedTokens, int producedTokens);

/// Predicts the memory of an engine from the sums of the load reports: what runs there now, and its growth and end.
class MemoryForecast {
public:
    explicit MemoryForecast(const TargetLoad&);

    /// Highest probability, up to the horizon, that the memory does not suffice if this work is added.
    double overflowRisk(const WorkEstimate&, double capacityTokens, int lastHorizonTokens) const;

private:
    MemoryProfile m_profile;
};

/// True if the rule admits the work to an engine with this load and memory.
bool fitsMemory(const TargetLoad&, const WorkEstimate&, double capacityTokens, const AdmissionRule&);

}
