#include "placement/placementmessages.h"

#include "common/cbor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    /// In the order of the alternatives of FleetMessage.
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

    static_assert(std::variant_size_v<FleetMessage> == static_cast<std::size_t>(MessageType::BroadcastBatch) + 1);

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
        for (const auto& sums : fields) {
            TargetLoad load { .requests = sums.at(1).get<int>(), .tokens = sums.at(2).get<double>(), .pendingPromptTokens = sums.at(3).get<double>() };
            // Versions before the admission by forecast send the sum of both only.
            load.heldTokens = sums.size() > 5 ? sums.at(4).get<double>() : load.tokens;
            load.growthTokens = sums.size() > 5 ? sums.at(5).get<double>() : 0;
            loads.emplace(sums.at(0).get<std::string>(), load);
        }
        return loads;
    }

    ReportedPaces pacesFrom(const json& fields, const json& loads)
    {
        ReportedPaces paces;
        for (const auto& pace : fields) {
            const auto& name = pace.at(0);
            const auto& target = name.is_string() ? name : loads.at(name.get<std::size_t>()).at(0);
            paces.emplace(target.get<std::string>(), ReportedPace { .incarnation = pace.at(1).get<std::uint16_t>(), .halfMsPerEvent = pace.at(2).get<int>(), .promptTokensPer10Ms = pace.at(3).get<int>() });
        }
        return paces;
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
        if (fields.size() > 13)
            report.paces = pacesFrom(fields.at(13), fields.at(3));
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
        if (fields.size() > 11)
            summary.paces = pacesFrom(fields.at(11), fields.at(5));
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
        if (fields.size() > 12)
            query.eventGapObjective = Milliseconds(fields.at(12).get<std::int64_t>());
        if (fields.size() > 13) {
            const auto& parts = fields.at(13);
            for (std::size_t i = 0; i + 1 < parts.size(); i += 2)
                query.promptParts.push_back({ .chain = parts.at(i).get<std::uint32_t>(), .tokens = std::max(0, parts.at(i + 1).get<int>()) });
        }
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
        if (fields.size() > 10) {
            response.expectedFirstEvent = Milliseconds(fields.at(9).get<std::int64_t>());
            response.expectedEnd = Milliseconds(fields.at(10).get<std::int64_t>());
        }
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

    MoveRelease moveReleaseFrom(const json& fields)
    {
        auto release = releaseFrom<MoveRelease>(fields);
        release.destinationFull = fields.size() > 3 && fields.at(3).get<bool>();
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
        if (fields.size() > 9)
            query.timeToShutdown = Milliseconds(fields.at(9).get<std::int64_t>());
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
        if (fields.size() > 2)
            notice.timeToShutdown = Milliseconds(fields.at(2).get<std::int64_t>());
        return notice;
    }

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
            return moveReleaseFrom(fields);
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
