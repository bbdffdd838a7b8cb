#include "placement/placementmessages.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    json fieldsOf(const TargetLoads& loads)
    {
        json fields = json::array();
        for (const auto& [target, load] : loads)
            fields.push_back({ target, load.requests, static_cast<std::int64_t>(load.tokens), static_cast<std::int64_t>(load.pendingPromptTokens), static_cast<std::int64_t>(load.heldTokens), static_cast<std::int64_t>(load.growthTokens) });
        return fields;
    }

    json fieldsOf(const std::map<std::string, OutcomeCount>& outcomes)
    {
        json fields = json::array();
        for (const auto& [address, count] : outcomes)
            fields.push_back({ address, count.requests, count.failures });
        return fields;
    }

    json fieldsOf(const LengthSumsByRoute& lengths)
    {
        json fields = json::array();
        for (const auto& [route, sums] : lengths)
            fields.push_back({ route, sums.generationCount, sums.lengthSum, sums.guessCount, sums.guessSum, sums.guessedLengthSum, sums.guessSquaredSum, sums.guessLengthProductSum });
        return fields;
    }

    json fieldsOf(const StatedLimits& limits)
    {
        json fields = json::array();
        for (const auto& [target, limit] : limits)
            fields.push_back({ target, limit.targetStartedAt, limit.requestsPerSecond ? json(*limit.requestsPerSecond) : json(), limit.age.count() });
        return fields;
    }

    /// Most targets are among those whose loads the message has, so their places there stand for their names.
    json fieldsOf(const ReportedPaces& paces, const TargetLoads& loads)
    {
        json fields = json::array();
        for (const auto& [target, pace] : paces) {
            auto load = loads.find(target);
            auto name = load == loads.end() ? json(target) : json(std::distance(loads.begin(), load));
            fields.push_back({ std::move(name), pace.incarnation, pace.halfMsPerEvent, pace.promptTokensPer10Ms });
        }
        return fields;
    }

    json fieldsOf(const InstanceLoadReport& report)
    {
        return json::array({ report.instance, report.sequence, report.complete, fieldsOf(report.loads), report.lastAcceptedGrants, fieldsOf(report.outcomes), fieldsOf(report.lengths), fieldsOf(report.limits), report.relaysForPeers, report.unreachableServices, report.storeEra, report.configurationVersion, report.aggregators, fieldsOf(report.paces, report.loads) });
    }

    json fieldsOf(const FleetSummary& summary)
    {
        return json::array({ summary.aggregator, summary.sequence, summary.silentInstances, summary.instancesNotRelaying, summary.unreachableServices, fieldsOf(summary.loads), fieldsOf(summary.outcomes), fieldsOf(summary.lengths), fieldsOf(summary.limits), summary.configurationVersion, summary.configurationHolder, fieldsOf(summary.paces, summary.loads) });
    }

    json fieldsOf(const BroadcastBatch& batch)
    {
        json items = json::array();
        for (const auto& item : batch.items)
            items.push_back(json::array({ item.origin, item.number, json::binary({ item.message.begin(), item.message.end() }) }));
        return json::array({ batch.toAggregator, std::move(items) });
    }

    json fieldsOf(const std::vector<LeadingPart>& parts)
    {
        json fields = json::array();
        for (const auto& part : parts) {
            fields.push_back(part.chain);
            fields.push_back(part.tokens);
        }
        return fields;
    }

    json fieldsOf(const PlacementQuery& query)
    {
        return json::array({ query.requester, query.requesterIncarnation, query.id, query.service, query.organisation, query.rank.priority, query.rank.late, query.estimate.promptTokens, query.estimate.outputTokens, query.excluded, query.contentHash, query.maxWait.count(), query.eventGapObjective.count(), fieldsOf(query.promptParts) });
    }

    json fieldsOf(const PlacementResponse& response)
    {
        return json::array({ response.owner, response.id, static_cast<int>(response.status), response.target, response.grantNumber, response.targetRequests, static_cast<std::int64_t>(response.targetTokens), response.late, response.retryAfter.count(), response.expectedFirstEvent.count(), response.expectedEnd.count() });
    }

    json fieldsOf(const PlacementRelease& release)
    {
        return json::array({ release.requester, release.requesterIncarnation, release.id });
    }

    json fieldsOf(const MoveQuery& query)
    {
        auto fields = json::array({ query.requester, query.requesterIncarnation, query.id, query.service, query.source, query.sourceFailureDomain, query.tokensHeld, query.remainingTokens, query.excluded });
        if (query.timeToShutdown)
            fields.push_back(query.timeToShutdown->count());
        return fields;
    }

    json fieldsOf(const MoveResponse& response)
    {
        return json::array({ response.owner, response.id, response.destination });
    }

    json fieldsOf(const MoveRelease& release)
    {
        auto fields = json::array({ release.requester, release.requesterIncarnation, release.id });
        if (release.destinationFull)
            fields.push_back(true);
        return fields;
    }

    json fieldsOf(const ShutdownNotice& notice)
    {
        auto fields = json::array({ notice.target, notice.startedAt });
        if (notice.timeToShutdown)
            fields.push_back(notice.timeToShutdown->count());
        return fields;
    }

    json fieldsOf(const CrashReport& report)
    {
        return json::array({ report.fingerprint, report.target, report.incarnation });
    }

    json fieldsOf(const CompletionReport& report)
    {
        return json::array({ report.fingerprint, report.sentAgo.count() });
    }

    json fieldsOf(const ConvictionNotice& notice)
    {
        return json::array({ notice.fingerprint });
    }

    json fieldsOf(const PardonNotice& notice)
    {
        return json::array({ notice.fingerprint });
    }

    json fieldsOf(const PriorCompletionNotice& notice)
    {
        return json::array({ notice.fingerprint, notice.sentAgo.count() });
    }

    json fieldsOf(const InterruptionReport& report)
    {
        return json::array({ report.fingerprint, report.target, report.targetStartedAt, report.sentAgo.count(), report.interruptedAgo.count(), report.onTrial });
    }

    json fieldsOf(const PromptInterruptionReport& report)
    {
        return json::array({ report.parts, report.target, report.targetStartedAt, report.sentAgo.count(), report.onTrial });
    }

    json fieldsOf(const TrialQuery& query)
    {
        return json::array({ query.id.instance, query.id.incarnation, query.id.number, query.trial.suspects, query.trial.target });
    }

    json fieldsOf(const TrialResponse& response)
    {
        return json::array({ response.number, static_cast<int>(response.decision) });
    }

    json fieldsOf(const TrialRelease& release)
    {
        return json::array({ release.id.instance, release.id.incarnation, release.id.number, static_cast<int>(release.end) });
    }

    json fieldsOf(const PromptPartInquiry& inquiry)
    {
        return json::array({ inquiry.instance, inquiry.part, inquiry.since.count() });
    }

    json fieldsOf(const PromptPartClearance& clearance)
    {
        return json::array({ clearance.part, clearance.age.count() });
    }

    json fieldsOf(const PromptPartConviction& conviction)
    {
        return json::array({ conviction.instance, conviction.part, conviction.since.count() });
    }

}

std::string encodeFleetMessage(const FleetMessage& message)
{
    auto fields = std::visit([](const auto& alternative) { return fieldsOf(alternative); }, message);
    std::string bytes;
    json::to_cbor(json::array({ message.index(), std::move(fields) }), bytes);
    return bytes;
}

}
