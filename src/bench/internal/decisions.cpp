#include "bench/decisions.h"

#include "bench/poolexperiment.h"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <future>

namespace guavaspan::bench {

namespace {

    struct Scenario {
        std::string name;
        WorkloadOptions workload;
    };

    /// The pool scheduler with a range of overflow risk limits, to choose the limits of its profiles.
    std::vector<PolicyChoice> riskSweepPolicies()
    {
        std::vector<PolicyChoice> choices;
        for (double risk : { 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7 }) {
            auto options = stallsFirstOptions();
            options.maxOverflowRisk = risk;
            options.maxOverflowRiskBelowShare = std::min(0.9, 1.5 * risk);
            choices.push_back({ .name = fmt::format("risk {:.2f}", risk), .policy = options });
        }
        return choices;
    }

    std::vector<PolicyChoice> policies()
    {
        return {
            { .name = "round_robin", .policy = BaselineRouter::Policy { RoundRobinPolicy {} } },
            { .name = "least_reported", .policy = BaselineRouter::Policy { LeastReportedPolicy {} } },
            { .name = "two_choices", .policy = BaselineRouter::Policy { TwoChoicesPolicy { .random = Random(7) } } },
            { .name = "granter/stalls", .policy = stallsFirstOptions() },
            { .name = "granter/preempt", .policy = preemptionsFirstOptions() },
        };
    }

    ExperimentOptions experimentOptions(const DecisionsOptions& options)
    {
        return { .seconds = options.seconds, .seed = options.seed };
    }

    /// The request rate that saturates the engines: the best throughput of any policy under heavy overload.
    double capacityRequestsPerSecond(const DecisionsOptions& options)
    {
        WorkloadOptions overload { .organisations = tenOrganisations(80), .seconds = options.seconds, .seed = options.seed };
        auto arrivals = makeArrivals(overload);
        double highestTokensPerSecond = 0;
        for (const auto& policy : policies()) {
            PoolExperiment experiment(experimentOptions(options), policy);
            highestTokensPerSecond = std::max(highestTokensPerSecond, experiment.run(arrivals).tokensPerSecond);
        }
        double totalOutputTokens = 0;
        for (const auto& arrival : arrivals)
            totalOutputTokens += arrival.outputTokens;
        return highestTokensPerSecond / (totalOutputTokens / static_cast<double>(arrivals.size()));
    }

    /// One organisation sends only short look-ups; with the flood, two others send drafts at ten times their fair share.
    WorkloadOptions floodWorkload(double capacity, bool withFlood)
    {
        WorkloadOptions workload;
        double fairShare = capacity / 3;
        if (withFlood) {
            for (const char* name : { "flood-1", "flood-2" })
                workload.organisations.push_back({ .name = name, .requestsPerSecond = 10 * fairShare, .lookupShare = 0, .draftMedianTokens = 800 });
        }
        workload.organisations.push_back({ .name = "modest", .requestsPerSecond = fairShare / 4, .lookupShare = 1 });
        return workload;
    }

    std::vector<Scenario> scenarios(double capacity)
    {
        std::vector<Scenario> scenarioList;
        for (int percent : { 50, 80, 95, 120 })
            scenarioList.push_back({ .name = fmt::format("steady-{}%", percent), .workload = { .organisations = tenOrganisations(capacity * percent / 100) } });
        scenarioList.push_back({ .name = "backlog", .workload = { .organisations = tenOrganisations(capacity * 3) } });
        scenarioList.push_back({ .name = "modest-alone", .workload = floodWorkload(capacity, false) });
        scenarioList.push_back({ .name = "modest-flooded", .workload = floodWorkload(capacity, true) });
        Scenario generalBurst { .name = "harvest-burst", .workload = { .organisations = tenOrganisations(capacity * 0.7), .bursts = { { .fromSecond = 80, .toSecond = 100, .factor = 3 } } } };
        Scenario lookupBurst { .name = "pour-window", .workload = { .organisations = tenOrganisations(capacity * 0.8), .bursts = { { .fromSecond = 80, .toSecond = 95, .factor = 12, .lookupsOnly = true } } } };
        scenarioList.push_back(std::move(generalBurst));
        scenarioList.push_back(std::move(lookupBurst));
        return scenarioList;
    }

    std::string csvRow(const std::string& scenario, const ExperimentResult& result)
    {
        return fmt::format("{},{},{},{},{:.1f},{:.3f},{},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f}\n", scenario, result.policy, result.started, result.finished, result.tokensPerSecond,
            result.preemptionsPerThousand, result.preemptedTwice, result.stallP50, result.stallP99, result.stallWorst, result.gapP99, result.firstTokenP50, result.firstTokenP95, result.meanShareError, result.worstShareError);
    }

    void printTable(const std::string& scenario, const std::vector<ExperimentResult>& results)
    {
        fmt::print("\n{}\n{:<16} {:>8} {:>9} {:>9} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7}\n", scenario, "policy", "finished", "tokens/s", "preempt‰", "twice",
            "stall50", "stall99", "worst", "gap99", "ttft50", "ttft95", "share~", "share^");
        for (const auto& result : results) {
            fmt::print("{:<16} {:>8} {:>9.0f} {:>9.2f} {:>6} {:>8.3f} {:>8.3f} {:>8.3f} {:>8.4f} {:>8.3f} {:>8.3f} {:>7.3f} {:>7.3f}\n", result.policy, result.finished, result.tokensPerSecond,
                result.preemptionsPerThousand, result.preemptedTwice, result.stallP50, result.stallP99, result.stallWorst, result.gapP99, result.firstTokenP50, result.firstTokenP95, result.meanShareError, result.worstShareError);
            auto modestFirstToken = result.firstTokenP95ByOrganisation.find("modest");
            if (modestFirstToken != result.firstTokenP95ByOrganisation.end())
                fmt::print("{:<16} modest organisation's first token p95 {:.3f} s\n", "", modestFirstToken->second);
        }
    }

}

int runDecisions(const DecisionsOptions& options)
{
    double capacity = capacityRequestsPerSecond(options);
    fmt::print("capacity: {:.1f} requests/s over 12 engines (seed {}); times in seconds\n", capacity, options.seed);
    std::string csv = "scenario,policy,started,finished,tokens_per_s,preemptions_per_1000,preempted_twice,stall_p50_s,stall_p99_s,stall_worst_s,gap_p99_s,ttft_p50_s,ttft_p95_s,share_error_mean,share_error_worst\n";
    for (auto& scenario : scenarios(capacity)) {
        if (!options.scenarioFilter.empty() && scenario.name.find(options.scenarioFilter) == std::string::npos)
            continue;
        scenario.workload.seconds = options.seconds;
        scenario.workload.seed = options.seed;
        auto arrivals = makeArrivals(scenario.workload);
        std::vector<std::future<ExperimentResult>> runs;
        for (const auto& policy : options.riskSweep ? riskSweepPolicies() : policies())
            runs.push_back(std::async(std::launch::async, [&, policy] { return PoolExperiment(experimentOptions(options), policy).run(arrivals); }));
        std::vector<ExperimentResult> results;
        results.reserve(runs.size());
        for (auto& run : runs)
            results.push_back(run.get());
        printTable(scenario.name, results);
        for (const auto& result : results)
            csv += csvRow(scenario.name, result);
    }
    if (!options.csvPath.empty())
        std::ofstream(options.csvPath) << csv;
    return 0;
}

}
