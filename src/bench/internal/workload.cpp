#include "bench/workload.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace guavaspan::bench {

namespace {

    constexpr int maxOutputTokens = 16384;
    constexpr double lookupMedianTokens = 24;
    constexpr double lookupLogDeviation = 0.6;
    constexpr double promptMedianTokens = 160;
    constexpr double promptLogDeviation = 0.8;
    constexpr int maxPromptTokens = 4000;
    constexpr int sharedPrefixBlocks = 24;
    constexpr int blockTokens = 16;

    int drawLognormal(Random& random, double median, double logDeviation, int maximum)
    {
        std::lognormal_distribution<double> distribution(std::log(median), logDeviation);
        return std::clamp(static_cast<int>(distribution(random)), 1, maximum);
    }

    PermitRequest makeRequest(Random& random, const OrganisationLoad& organisation, bool lookup, std::uint64_t sequence)
    {
        PermitRequest request;
        request.id = { .instance = 1, .sequence = sequence };
        request.organisation = organisation.name;
        request.service = lookup ? "lookups" : "drafts";
        request.weight = organisation.weight;
        request.serviceClass = lookup ? ServiceClass::Interactive : ServiceClass::Batch;
        request.maxTokens = maxOutputTokens;
        request.maxWait = Seconds(600);
        // Prompts of one service of an organisation start with the same template, so they share prefix blocks.
        auto prefixSeed = stableHash(request.organisation, lookup ? 1 : 2);
        for (int i = 0; i < sharedPrefixBlocks; ++i)
            request.prefixBlocks.push_back(prefixSeed + static_cast<std::uint64_t>(i));
        request.promptTokens = sharedPrefixBlocks * blockTokens + drawLognormal(random, promptMedianTokens, promptLogDeviation, maxPromptTokens);
        return request;
    }

    double burstFactor(const WorkloadOptions& options, double second, bool lookup)
    {
        double factor = 1;
        for (const auto& burst : options.bursts) {
            bool inWindow = second >= burst.fromSecond && second < burst.toSecond;
            if (inWindow && (lookup || !burst.lookupsOnly))
                factor = std::max(factor, burst.factor);
        }
        return factor;
    }

}

std::vector<Arrival> makeArrivals(const WorkloadOptions& options)
{
    std::vector<Arrival> arrivals;
    std::uint64_t sequence = 0;
    for (const auto& organisation : options.organisations) {
        Random random(stableHash(organisation.name, options.seed));
        for (bool lookup : { false, true }) {
            double baseRate = organisation.requestsPerSecond * (lookup ? organisation.lookupShare : 1 - organisation.lookupShare);
            double peakRate = baseRate;
            for (const auto& burst : options.bursts)
                peakRate = std::max(peakRate, baseRate * burst.factor);
            if (peakRate <= 0)
                continue;
            std::exponential_distribution<double> interarrivalSeconds(peakRate);
            std::uniform_real_distribution<double> uniform(0, 1);
            for (double second = interarrivalSeconds(random); second < options.seconds; second += interarrivalSeconds(random)) {
                if (uniform(random) * peakRate > baseRate * burstFactor(options, second, lookup))
                    continue;
                Arrival arrival { .at = TimePoint {} + fromSeconds(second), .request = makeRequest(random, organisation, lookup, ++sequence) };
                arrival.outputTokens = lookup ? drawLognormal(random, lookupMedianTokens, lookupLogDeviation, maxOutputTokens)
                                              : drawLognormal(random, organisation.draftMedianTokens, organisation.draftLogDeviation, maxOutputTokens);
                arrivals.push_back(std::move(arrival));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return arrivals;
}

std::vector<OrganisationLoad> tenOrganisations(double totalRequestsPerSecond)
{
    constexpr int largeCount = 3;
    constexpr int smallCount = 7;
    constexpr double largeWeight = 3;
    double ratePerWeight = totalRequestsPerSecond / (largeCount * largeWeight + smallCount);
    std::vector<OrganisationLoad> organisations;
    for (int i = 0; i < largeCount + smallCount; ++i) {
        double weight = i < largeCount ? largeWeight : 1;
        organisations.push_back({ .name = "organisation-" + std::to_string(i), .weight = weight, .requestsPerSecond = weight * ratePerWeight });
    }
    return organisations;
}

}
