#include "scheduling/lengthmodel.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    // Bucket edges grow by a constant ratio, so that lengths from a few to tens of
    // thousands of tokens have the same relative precision.
    constexpr double firstEdgeTokens = 4;
    constexpr double edgeRatio = 1.25;
    // Without observations, half of the outputs are assumed to exceed this length, and the
    // tail halves at each doubling. The prior is deliberately long because the estimates
    // for many requests of one unknown service are wrong at the same time.
    constexpr double priorMedianTokens = 2048;
    constexpr double priorPseudoObservations = 4;
    constexpr double servicePseudoObservations = 24;
    constexpr double decayThresholdObservations = 4000;
    constexpr std::size_t maxOrganisationTables = 20000;

    double bucketEdge(int bucket)
    {
        return bucket == 0 ? 1 : firstEdgeTokens * std::pow(edgeRatio, bucket - 1);
    }

    const std::array<double, LengthModel::bucketCount + 1>& bucketEdges()
    {
        static const auto table = [] {
            std::array<double, LengthModel::bucketCount + 1> values {};
            for (int i = 0; i <= LengthModel::bucketCount; ++i)
                values[i] = bucketEdge(i);
            return values;
        }();
        return table;
    }

    double priorHazard(int bucket)
    {
        return 1 - (priorMedianTokens + bucketEdges()[bucket]) / (priorMedianTokens + bucketEdges()[bucket + 1]);
    }

}

int LengthModel::bucketOf(int length)
{
    if (length < firstEdgeTokens)
        return 0;
    static const double logRatio = std::log(edgeRatio);
    int bucket = 1 + static_cast<int>(std::log(length / firstEdgeTokens) / logRatio);
    return std::min(bucket, bucketCount - 1);
}

LengthModel::Key LengthModel::organisationKey(const std::string& service, const std::string& organisation)
{
    return stableHash(organisation, stableHash(service));
}

LengthModel::HazardTable& LengthModel::serviceTable(const std::string& service)
{
    return m_services[service];
}

LengthModel::HazardTable& LengthModel::organisationTable(const std::string& service, const std::string& organisation)
{
    // Bounds memory; later observations rebuild the tables.
    if (m_organisations.size() >= maxOrganisationTables)
        m_organisations.clear();
    return m_organisations[organisationKey(service, organisation)];
}

void LengthModel::decay(HazardTable& table)
{
    if (table.exposed[0] < decayThresholdObservations)
        return;
    for (auto& value : table.exposed)
        value /= 2;
    for (auto& value : table.ended)
        value /= 2;
}

void LengthModel::observeGrowth(const std::string& service, const std::string& organisation, int fromLength, int toLength)
{
    int firstBucket = fromLength == 0 ? 0 : bucketOf(fromLength) + 1;
    int lastBucket = bucketOf(toLength);
    if (firstBucket > lastBucket)
        return;
    for (auto* table : { &serviceTable(service), &organisationTable(service, organisation) }) {
        for (int bucket = firstBucket; bucket <= lastBucket; ++bucket)
            table->exposed[bucket] += 1;
        table->stale = true;
        decay(*table);
    }
}

void LengthModel::observeEnd(const std::string& service, const std::string& organisation, int length)
{
    for (auto* table : { &serviceTable(service), &organisationTable(service, organisation) }) {
        table->ended[bucketOf(std::max(length, 1))] += 1;
        table->stale = true;
    }
}

const LengthModel::HazardTable* LengthModel::findTable(const std::string& service, const std::string& organisation) const
{
    const HazardTable* parent = nullptr;
    auto foundService = m_services.find(service);
    if (foundService != m_services.end()) {
        parent = &foundService->second;
        if (parent->stale)
            updateSurvival(*parent, nullptr);
    }
    auto found = m_organisations.find(organisationKey(service, organisation));
    if (found != m_organisations.end()) {
        if (found->second.stale)
            updateSurvival(found->second, parent);
        return &found->second;
    }
    if (parent)
        return parent;
    if (m_prior.stale)
        updateSurvival(m_prior, nullptr);
    return &m_prior;
}

/// Estimates for each length bucket the hazard that a generation ends there, so that running generations
/// are counted up to their current length. A table with few observations is weighted towards its
/// service's table, and that table towards the prior.
void LengthModel::updateSurvival(const HazardTable& table, const HazardTable* parent) const
{
    double cumulativeLogSurvival = 0;
    table.logSurvival[0] = 0;
    for (int bucket = 0; bucket < bucketCount; ++bucket) {
        double hazard = priorHazard(bucket);
        if (parent)
            hazard = (parent->ended[bucket] + priorPseudoObservations * hazard) / (std::max(parent->exposed[bucket], parent->ended[bucket]) + priorPseudoObservations);
        double pseudoObservations = parent ? servicePseudoObservations : priorPseudoObservations;
        double exposed = std::max(table.exposed[bucket], table.ended[bucket]);
        hazard = (table.ended[bucket] + pseudoObservations * hazard) / (exposed + pseudoObservations);
        cumulativeLogSurvival += std::log(std::max(1e-6, 1 - hazard));
        table.logSurvival[bucket + 1] = cumulativeLogSurvival;
    }
    table.stale = false;
}

double LengthModel::logSurvivalAt(const HazardTable& table, double length) const
{
    if (length <= 1)
        return 0;
    int bucket = bucketOf(static_cast<int>(length));
    double lowerEdge = bucketEdges()[bucket];
    double upperEdge = bucketEdges()[bucket + 1];
    double fraction = std::clamp((length - lowerEdge) / (upperEdge - lowerEdge), 0.0, 1.0);
    return table.logSurvival[bucket] + fraction * (table.logSurvival[bucket + 1] - table.logSurvival[bucket]);
}

void LengthModel::survivalProbabilities(const std::string& service, const std::string& organisation, int producedTokens, std::span<const int> tokensAhead, std::span<double> probabilities) const
{
    const auto* table = findTable(service, organisation);
    double logSurvivalNow = logSurvivalAt(*table, producedTokens);
    for (std::size_t i = 0; i < tokensAhead.size(); ++i)
        probabilities[i] = std::exp(logSurvivalAt(*table, producedTokens + tokensAhead[i]) - logSurvivalNow);
}

double LengthModel::expectedRemaining(const std::string& service, const std::string& organisation, int producedTokens, int horizon) const
{
    const auto* table = findTable(service, organisation);
    double logSurvivalNow = logSurvivalAt(*table, producedTokens);
    constexpr int intervals = 8;
    double intervalTokens = static_cast<double>(horizon) / intervals;
    double sum = 0;
    for (int i = 0; i < intervals; ++i)
        sum += std::exp(logSurvivalAt(*table, producedTokens + (i + 0.5) * intervalTokens) - logSurvivalNow) * intervalTokens;
    return sum;
}

}
