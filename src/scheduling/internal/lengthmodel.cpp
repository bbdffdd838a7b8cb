#include "scheduling/lengthmodel.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    // Bucket edges grow by a constant ratio, so that a few tokens and tens of
    // thousands are told apart with the same relative precision.
    constexpr double firstEdgeTokens = 4;
    constexpr double edgeRatio = 1.25;
    // Without observations half of the outputs pass this length, and the tail halves at each
    // doubling. Long on purpose: many requests of one unknown kind err together.
    constexpr double priorMedianTokens = 2048;
    constexpr double priorObservations = 4;
    constexpr double serviceObservations = 24;
    constexpr double windowObservations = 4000;
    constexpr std::size_t maxOrganisationTables = 20000;

    double edgeOf(int bucket)
    {
        return bucket == 0 ? 1 : firstEdgeTokens * std::pow(edgeRatio, bucket - 1);
    }

    const std::array<double, LengthModel::bucketCount + 1>& edges()
    {
        static const auto table = [] {
            std::array<double, LengthModel::bucketCount + 1> values {};
            for (int i = 0; i <= LengthModel::bucketCount; ++i)
                values[i] = edgeOf(i);
            return values;
        }();
        return table;
    }

    double priorHazard(int bucket)
    {
        return 1 - (priorMedianTokens + edges()[bucket]) / (priorMedianTokens + edges()[bucket + 1]);
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

LengthModel::Key LengthModel::keyOf(const std::string& service, const std::string& organisation)
{
    return stableHash(organisation, stableHash(service));
}

LengthModel::Table& LengthModel::serviceTable(const std::string& service)
{
    return m_services[service];
}

LengthModel::Table& LengthModel::organisationTable(const std::string& service, const std::string& organisation)
{
    // What is forgotten is learnt again; the bound keeps memory flat.
    if (m_organisations.size() >= maxOrganisationTables)
        m_organisations.clear();
    return m_organisations[keyOf(service, organisation)];
}

void LengthModel::decay(Table& table)
{
    if (table.exposed[0] < windowObservations)
        return;
    for (auto& value : table.exposed)
        value /= 2;
    for (auto& value : table.ended)
        value /= 2;
}

void LengthModel::observeGrowth(const std::string& service, const std::string& organisation, int from, int to)
{
    int first = from == 0 ? 0 : bucketOf(from) + 1;
    int last = bucketOf(to);
    if (first > last)
        return;
    for (auto* table : { &serviceTable(service), &organisationTable(service, organisation) }) {
        for (int bucket = first; bucket <= last; ++bucket)
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

const LengthModel::Table* LengthModel::find(const std::string& service, const std::string& organisation) const
{
    const Table* parent = nullptr;
    auto foundService = m_services.find(service);
    if (foundService != m_services.end()) {
        parent = &foundService->second;
        if (parent->stale)
            refresh(*parent, nullptr);
    }
    auto found = m_organisations.find(keyOf(service, organisation));
    if (found != m_organisations.end()) {
        if (found->second.stale)
            refresh(found->second, parent);
        return &found->second;
    }
    if (parent)
        return parent;
    if (m_prior.stale)
        refresh(m_prior, nullptr);
    return &m_prior;
}

/// Hazards per bucket, so that generations still running count for what they
/// have survived; a thin table leans on its service, and that on the prior.
void LengthModel::refresh(const Table& own, const Table* parent) const
{
    double sum = 0;
    own.logSurvival[0] = 0;
    for (int bucket = 0; bucket < bucketCount; ++bucket) {
        double hazard = priorHazard(bucket);
        if (parent)
            hazard = (parent->ended[bucket] + priorObservations * hazard) / (std::max(parent->exposed[bucket], parent->ended[bucket]) + priorObservations);
        double strength = parent ? serviceObservations : priorObservations;
        double exposed = std::max(own.exposed[bucket], own.ended[bucket]);
        hazard = (own.ended[bucket] + strength * hazard) / (exposed + strength);
        sum += std::log(std::max(1e-6, 1 - hazard));
        own.logSurvival[bucket + 1] = sum;
    }
    own.stale = false;
}

double LengthModel::logSurvivalAt(const Table& table, double length) const
{
    if (length <= 1)
        return 0;
    int bucket = bucketOf(static_cast<int>(length));
    double low = edges()[bucket];
    double high = edges()[bucket + 1];
    double share = std::clamp((length - low) / (high - low), 0.0, 1.0);
    return table.logSurvival[bucket] + share * (table.logSurvival[bucket + 1] - table.logSurvival[bucket]);
}

void LengthModel::survivalAhead(const std::string& service, const std::string& organisation, int produced, std::span<const int> more, std::span<double> chances) const
{
    const auto* table = find(service, organisation);
    double base = logSurvivalAt(*table, produced);
    for (std::size_t i = 0; i < more.size(); ++i)
        chances[i] = std::exp(logSurvivalAt(*table, produced + more[i]) - base);
}

double LengthModel::expectedRemaining(const std::string& service, const std::string& organisation, int produced, int horizon) const
{
    const auto* table = find(service, organisation);
    double base = logSurvivalAt(*table, produced);
    constexpr int pieces = 8;
    double width = static_cast<double>(horizon) / pieces;
    double sum = 0;
    for (int i = 0; i < pieces; ++i)
        sum += std::exp(logSurvivalAt(*table, produced + (i + 0.5) * width) - base) * width;
    return sum;
}

}
