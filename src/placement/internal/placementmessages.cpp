#include "placement/placementmessages.h"

#include "common/cbor.h"
#include "common/overloaded.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    enum class MessageType {
        LoadReport,
        PlacementQuery,
        PlacementResponse,
        PlacementRelease,
        MoveQuery,
        MoveResponse,
        MoveRelease,
        ShutdownNotice,
        CrashReport,
        CompletionReport,
        ConvictionNotice,
        PardonNotice,
        InterruptionReport,
        PriorCompletionNotice,
        PromptInterruptionReport,
        PromptPartInquiry,
        PromptPartClearance,
        PromptPartConviction,
        TrialQuery,
        TrialResponse,
        TrialRelease,
        FleetSummary,
        BroadcastBatch,
    };

    json fieldsOf(const TargetLoads& loads)
    {
        json fields = json::array();
        for (const auto& [target, load] : loads)
            fields.push_back({ target, load.requests, static_cast<std::int64_t>(load.tokens), static_cast<std::int64_t>(load.pendingPromptTokens) });
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

    json fieldsOf(const InstanceLoadReport& report)
    {
        return json::array({ report.instance, report.sequence, report.complete, fieldsOf(report.loads), report.lastAcceptedGrants, fieldsOf(report.outcomes), fieldsOf(report.lengths), fieldsOf(report.limits), report.relaysForPeers, report.unreachableServices, report.storeEra, report.configurationVersion, report.aggregators });
    }

    json fieldsOf(const FleetSummary& summary)
    {
        return json::array({ summary.aggregator, summary.sequence, summary.silentInstances, summary.instancesNotRelaying, summary.unreachableServices, fieldsOf(summary.loads), fieldsOf(summary.outcomes), fieldsOf(summary.lengths), fieldsOf(summary.limits), summary.configurationVersion, summary.configurationHolder });
    }

    json fieldsOf(const BroadcastBatch& batch)
    {
        json items = json::array();
        for (const auto& item : batch.items)
            items.push_back(json::array({ item.origin, item.number, json::binary({ item.message.begin(), item.message.end() }) }));
        return json::array({ batch.toAggregator, std::move(items) });
    }

    json fieldsOf(const PlacementQuery& query)
    {
        return json::array({ query.requester, query.requesterIncarnation, query.id, query.service, query.organisation, query.rank.priority, query.rank.late, query.estimate.promptTokens, query.estimate.outputTokens, query.excluded, query.contentHash, query.maxWait.count() });
    }

    json fieldsOf(const PlacementResponse& response)
    {
        return json::array({ response.owner, response.id, static_cast<int>(response.status), response.target, response.grantNumber, response.targetRequests, static_cast<std::int64_t>(response.targetTokens), response.late, response.retryAfter.count() });
    }

    json fieldsOf(const PlacementRelease& release)
    {
        return json::array({ release.requester, release.requesterIncarnation, release.id });
    }

    json fieldsOf(const MoveQuery& query)
    {
        return json::array({ query.requester, query.requesterIncarnation, query.id, query.service, query.source, query.sourceFailureDomain, query.tokensHeld, query.remainingTokens, query.excluded });
    }

    json fieldsOf(const MoveResponse& response)
    {
        return json::array({ response.owner, response.id, response.destination });
    }

    json fieldsOf(const MoveRelease& release)
    {
        return json::array({ release.requester, release.requesterIncarnation, release.id });
    }

    json fieldsOf(const ShutdownNotice& notice)
    {
        return json::array({ notice.target, notice.startedAt });
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

    // Members are assigned individually: if an aggregate initialiser throws, g++ 12 destroys
    // members that are not constructed yet.

    LengthSums lengthSumsFrom(const json& fields)
    {
        LengthSums sums;
        sums.generationCount = fields.at(1).get<double>();
        sums.lengthSum = fields.at(2).get<double>();
        sums.guessCount = fields.at(3).get<double>();
        sums.guessSum = fields.at(4).get<double>();
        sums.guessedLengthSum = fields.at(5).get<double>();
        sums.guessSquaredSum = fields.at(6).get<double>();
        sums.guessLengthProductSum = fields.at(7).get<double>();
        return sums;
    }

    StatedLimit statedLimitFrom(const json& fields)
    {
        StatedLimit limit;
        limit.targetStartedAt = fields.at(1).get<std::int64_t>();
        if (!fields.at(2).is_null())
            limit.requestsPerSecond = fields.at(2).get<double>();
        limit.age = Milliseconds(fields.at(3).get<std::int64_t>());
        return limit;
    }

    TargetLoads loadsFrom(const json& fields)
    {
        TargetLoads loads;
        for (const auto& load : fields)
            loads.emplace(load.at(0).get<std::string>(), TargetLoad { .requests = load.at(1).get<int>(), .tokens = load.at(2).get<double>(), .pendingPromptTokens = load.at(3).get<double>() });
        return loads;
    }

    std::map<std::string, OutcomeCount> outcomesFrom(const json& fields)
    {
        std::map<std::string, OutcomeCount> outcomes;
        for (const auto& count : fields)
            outcomes.emplace(count.at(0).get<std::string>(), OutcomeCount { .requests = count.at(1).get<int>(), .failures = count.at(2).get<int>() });
        return outcomes;
    }

    LengthSumsByRoute lengthsFrom(const json& fields)
    {
        LengthSumsByRoute lengths;
        for (const auto& sums : fields)
            lengths.emplace(sums.at(0).get<std::string>(), lengthSumsFrom(sums));
        return lengths;
    }

    StatedLimits limitsFrom(const json& fields)
    {
        StatedLimits limits;
        for (const auto& limit : fields)
            limits.emplace(limit.at(0).get<std::string>(), statedLimitFrom(limit));
        return limits;
    }

    InstanceLoadReport loadReportFrom(const json& fields)
    {
        InstanceLoadReport report;
        report.instance = fields.at(0).get<std::string>();
        report.sequence = fields.at(1).get<std::int64_t>();
        report.complete = fields.at(2).get<bool>();
        report.loads = loadsFrom(fields.at(3));
        report.lastAcceptedGrants = fields.at(4).get<std::map<std::string, std::int64_t>>();
        report.outcomes = outcomesFrom(fields.at(5));
        report.lengths = lengthsFrom(fields.at(6));
        report.limits = limitsFrom(fields.at(7));
        // Reports of older versions end here.
        if (fields.size() <= 8)
            return report;
        report.relaysForPeers = fields.at(8).get<bool>();
        report.unreachableServices = fields.at(9).get<std::set<std::string>>();
        if (fields.size() <= 10)
            return report;
        report.storeEra = fields.at(10).get<std::int64_t>();
        report.configurationVersion = fields.at(11).get<std::int64_t>();
        if (fields.size() > 12)
            report.aggregators = fields.at(12).get<std::vector<std::string>>();
        return report;
    }

    FleetSummary fleetSummaryFrom(const json& fields)
    {
        FleetSummary summary;
        summary.aggregator = fields.at(0).get<std::string>();
        summary.sequence = fields.at(1).get<std::int64_t>();
        summary.silentInstances = fields.at(2).get<std::set<std::string>>();
        summary.instancesNotRelaying = fields.at(3).get<std::set<std::string>>();
        summary.unreachableServices = fields.at(4).get<std::map<std::string, std::set<std::string>>>();
        summary.loads = loadsFrom(fields.at(5));
        summary.outcomes = outcomesFrom(fields.at(6));
        summary.lengths = lengthsFrom(fields.at(7));
        summary.limits = limitsFrom(fields.at(8));
        summary.configurationVersion = fields.at(9).get<std::int64_t>();
        summary.configurationHolder = fields.at(10).get<std::string>();
        return summary;
    }

    BroadcastItem broadcastItemFrom(const json& fields)
    {
        const auto& message = fields.at(2).get_binary();
        return { .origin = fields.at(0).get<std::string>(), .number = fields.at(1).get<std::int64_t>(), .message = { message.begin(), message.end() } };
    }

    BroadcastBatch broadcastBatchFrom(const json& fields)
    {
        BroadcastBatch batch { .toAggregator = fields.at(0).get<bool>() };
        for (const auto& item : fields.at(1))
            batch.items.push_back(broadcastItemFrom(item));
        return batch;
    }

    PlacementQuery placementQueryFrom(const json& fields)
    {
        PlacementQuery query;
        query.requester = fields.at(0).get<std::string>();
        query.requesterIncarnation = fields.at(1).get<std::int64_t>();
        query.id = fields.at(2).get<WorkId>();
        query.service = fields.at(3).get<std::string>();
        query.organisation = fields.at(4).get<std::string>();
        query.rank.priority = fields.at(5).get<int>();
        query.rank.late = fields.at(6).get<bool>();
        query.estimate.promptTokens = fields.at(7).get<int>();
        query.estimate.outputTokens = fields.at(8).get<int>();
        query.excluded = fields.at(9).get<std::vector<std::string>>();
        query.contentHash = fields.at(10).get<std::uint64_t>();
        query.maxWait = Milliseconds(fields.at(11).get<std::int64_t>());
        return query;
    }

    PlacementResponse placementResponseFrom(const json& fields)
    {
        PlacementResponse response;
        response.owner = fields.at(0).get<std::string>();
        response.id = fields.at(1).get<WorkId>();
        response.status = static_cast<PlacementStatus>(fields.at(2).get<int>());
        response.target = fields.at(3).get<std::string>();
        response.grantNumber = fields.at(4).get<std::int64_t>();
        response.targetRequests = fields.at(5).get<int>();
        response.targetTokens = fields.at(6).get<double>();
        response.late = fields.at(7).get<bool>();
        response.retryAfter = Milliseconds(fields.at(8).get<std::int64_t>());
        return response;
    }

    template <typename Release>
    Release releaseFrom(const json& fields)
    {
        Release release;
        release.requester = fields.at(0).get<std::string>();
        release.requesterIncarnation = fields.at(1).get<std::int64_t>();
        release.id = fields.at(2).get<WorkId>();
        return release;
    }

    MoveQuery moveQueryFrom(const json& fields)
    {
        MoveQuery query;
        query.requester = fields.at(0).get<std::string>();
        query.requesterIncarnation = fields.at(1).get<std::int64_t>();
        query.id = fields.at(2).get<WorkId>();
        query.service = fields.at(3).get<std::string>();
        query.source = fields.at(4).get<std::string>();
        query.sourceFailureDomain = fields.at(5).get<std::string>();
        query.tokensHeld = fields.at(6).get<int>();
        query.remainingTokens = fields.at(7).get<int>();
        query.excluded = fields.at(8).get<std::vector<std::string>>();
        return query;
    }

    MoveResponse moveResponseFrom(const json& fields)
    {
        MoveResponse response;
        response.owner = fields.at(0).get<std::string>();
        response.id = fields.at(1).get<WorkId>();
        response.destination = fields.at(2).get<std::string>();
        return response;
    }

    CrashReport crashReportFrom(const json& fields)
    {
        CrashReport report;
        report.fingerprint = fields.at(0).get<Fingerprint>();
        report.target = fields.at(1).get<std::string>();
        report.incarnation = fields.at(2).get<std::string>();
        return report;
    }

    InterruptionReport interruptionReportFrom(const json& fields)
    {
        InterruptionReport report;
        report.fingerprint = fields.at(0).get<Fingerprint>();
        report.target = fields.at(1).get<std::string>();
        report.targetStartedAt = fields.at(2).get<std::int64_t>();
        report.sentAgo = Milliseconds(fields.at(3).get<std::int64_t>());
        report.interruptedAgo = Milliseconds(fields.at(4).get<std::int64_t>());
        // Instances of earlier versions do not state it.
        report.onTrial = fields.size() > 5 && fields.at(5).get<bool>();
        return report;
    }

    CompletionReport completionReportFrom(const json& fields)
    {
        // Instances of earlier versions state the fingerprint only.
        return { .fingerprint = fields.at(0).get<Fingerprint>(), .sentAgo = Milliseconds(fields.size() > 1 ? fields.at(1).get<std::int64_t>() : 0) };
    }

    PriorCompletionNotice priorCompletionNoticeFrom(const json& fields)
    {
        // Instances of earlier versions state the fingerprint only; their answers may be as old as they remember.
        constexpr auto longestMemory = std::chrono::minutes(10);
        return { .fingerprint = fields.at(0).get<Fingerprint>(), .sentAgo = fields.size() > 1 ? Milliseconds(fields.at(1).get<std::int64_t>()) : longestMemory };
    }

    template <typename FingerprintMessage>
    FingerprintMessage fingerprintMessageFrom(const json& fields)
    {
        return { .fingerprint = fields.at(0).get<Fingerprint>() };
    }

    PromptInterruptionReport promptInterruptionReportFrom(const json& fields)
    {
        PromptInterruptionReport report;
        report.parts = fields.at(0).get<std::vector<PromptPart>>();
        report.target = fields.at(1).get<std::string>();
        report.targetStartedAt = fields.at(2).get<std::int64_t>();
        report.sentAgo = Milliseconds(fields.at(3).get<std::int64_t>());
        // Instances of earlier versions do not state it.
        report.onTrial = fields.size() > 4 && fields.at(4).get<bool>();
        return report;
    }

    PromptPartClearance promptPartClearanceFrom(const json& fields)
    {
        PromptPartClearance clearance;
        clearance.part = fields.at(0).get<PromptPart>();
        clearance.age = Milliseconds(fields.at(1).get<std::int64_t>());
        return clearance;
    }

    template <typename PromptPartMessage>
    PromptPartMessage promptPartMessageFrom(const json& fields)
    {
        PromptPartMessage message;
        message.instance = fields.at(0).get<std::string>();
        message.part = fields.at(1).get<PromptPart>();
        message.since = Milliseconds(fields.at(2).get<std::int64_t>());
        return message;
    }

    TrialId trialIdFrom(const json& fields)
    {
        return { .instance = fields.at(0).get<std::string>(), .incarnation = fields.at(1).get<std::int64_t>(), .number = fields.at(2).get<std::uint64_t>() };
    }

    TrialQuery trialQueryFrom(const json& fields)
    {
        return { .id = trialIdFrom(fields), .trial = { .suspects = fields.at(3).get<std::vector<Suspect>>(), .target = fields.at(4).get<std::string>() } };
    }

    TrialResponse trialResponseFrom(const json& fields)
    {
        return { .number = fields.at(0).get<std::uint64_t>(), .decision = static_cast<TrialDecision>(fields.at(1).get<int>()) };
    }

    TrialRelease trialReleaseFrom(const json& fields)
    {
        return { .id = trialIdFrom(fields), .end = static_cast<TrialEnd>(fields.at(3).get<int>()) };
    }

    ShutdownNotice shutdownNoticeFrom(const json& fields)
    {
        ShutdownNotice notice;
        notice.target = fields.at(0).get<std::string>();
        notice.startedAt = fields.at(1).get<std::int64_t>();
        return notice;
    }

}

std::string encodeFleetMessage(const FleetMessage& message)
{
    auto fields = std::visit([](const auto& alternative) { return fieldsOf(alternative); }, message);
    std::string bytes;
    json::to_cbor(json::array({ message.index(), std::move(fields) }), bytes);
    return bytes;
}

std::optional<FleetMessage> decodeFleetMessage(const std::string& bytes)
{
    try {
        auto message = parseCbor(bytes);
        if (!message)
            return std::nullopt;
        const auto& fields = message->at(1);
        switch (static_cast<MessageType>(message->at(0).get<int>())) {
        case MessageType::LoadReport:
            return loadReportFrom(fields);
        case MessageType::PlacementQuery:
            return placementQueryFrom(fields);
        case MessageType::PlacementResponse:
            return placementResponseFrom(fields);
        case MessageType::PlacementRelease:
            return releaseFrom<PlacementRelease>(fields);
        case MessageType::MoveQuery:
            return moveQueryFrom(fields);
        case MessageType::MoveResponse:
            return moveResponseFrom(fields);
        case MessageType::MoveRelease:
            return releaseFrom<MoveRelease>(fields);
        case MessageType::ShutdownNotice:
            return shutdownNoticeFrom(fields);
        case MessageType::CrashReport:
            return crashReportFrom(fields);
        case MessageType::CompletionReport:
            return completionReportFrom(fields);
        case MessageType::ConvictionNotice:
            return fingerprintMessageFrom<ConvictionNotice>(fields);
        case MessageType::PardonNotice:
            return fingerprintMessageFrom<PardonNotice>(fields);
        case MessageType::InterruptionReport:
            return interruptionReportFrom(fields);
        case MessageType::PriorCompletionNotice:
            return priorCompletionNoticeFrom(fields);
        case MessageType::PromptInterruptionReport:
            return promptInterruptionReportFrom(fields);
        case MessageType::PromptPartInquiry:
            return promptPartMessageFrom<PromptPartInquiry>(fields);
        case MessageType::PromptPartClearance:
            return promptPartClearanceFrom(fields);
        case MessageType::PromptPartConviction:
            return promptPartMessageFrom<PromptPartConviction>(fields);
        case MessageType::TrialQuery:
            return trialQueryFrom(fields);
        case MessageType::TrialResponse:
            return trialResponseFrom(fields);
        case MessageType::TrialRelease:
            return trialReleaseFrom(fields);
        case MessageType::FleetSummary:
            return fleetSummaryFrom(fields);
        case MessageType::BroadcastBatch:
            return broadcastBatchFrom(fields);
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

}
