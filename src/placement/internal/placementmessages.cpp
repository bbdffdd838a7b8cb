#include "placement/placementmessages.h"

#include "common/overloaded.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    enum class Kind {
        Loads,
        Ask,
        Answer,
        Ended,
        MoveQuery,
        MoveResponse,
        MoveRelease,
        ShutdownNotice,
        Death,
        Completion,
        Conviction,
        Pardon,
    };

    json fieldsOf(const InstanceLoadReport& report)
    {
        json loads = json::array();
        for (const auto& [target, load] : report.loads)
            loads.push_back({ target, load.requests, static_cast<std::int64_t>(load.tokens), static_cast<std::int64_t>(load.pendingPromptTokens) });
        json outcomes = json::array();
        for (const auto& [address, count] : report.outcomes)
            outcomes.push_back({ address, count.requests, count.failures });
        json lengths = json::array();
        for (const auto& [route, sums] : report.lengths)
            lengths.push_back({ route, sums.generationCount, sums.lengthSum, sums.guessCount, sums.guessSum, sums.guessedLengthSum, sums.guessSquaredSum, sums.guessLengthProductSum });
        return json::array({ report.instance, report.sequence, report.complete, loads, report.lastAcceptedGrants, outcomes, lengths });
    }

    json fieldsOf(const PlacementQuery& ask)
    {
        return json::array({ ask.requester, ask.requesterIncarnation, ask.id, ask.service, ask.organisation, ask.rank.priority, ask.rank.late, ask.estimate.promptTokens, ask.estimate.outputTokens, ask.excluded, ask.contentHash, ask.maxWait.count() });
    }

    json fieldsOf(const PlacementResponse& answer)
    {
        return json::array({ answer.owner, answer.id, static_cast<int>(answer.kind), answer.target, answer.grantNumber, answer.targetRequests, static_cast<std::int64_t>(answer.targetTokens), answer.late, answer.retryAfter.count() });
    }

    json fieldsOf(const PlacementRelease& ended)
    {
        return json::array({ ended.requester, ended.requesterIncarnation, ended.id });
    }

    json fieldsOf(const MoveQuery& ask)
    {
        return json::array({ ask.requester, ask.requesterIncarnation, ask.id, ask.service, ask.source, ask.sourceFailureDomain, ask.tokensHeld, ask.remainingTokens, ask.excluded });
    }

    json fieldsOf(const MoveResponse& answer)
    {
        return json::array({ answer.owner, answer.id, answer.destination });
    }

    json fieldsOf(const MoveRelease& ended)
    {
        return json::array({ ended.requester, ended.requesterIncarnation, ended.id });
    }

    json fieldsOf(const ShutdownNotice& leaving)
    {
        return json::array({ leaving.target, leaving.startedAt });
    }

    json fieldsOf(const CrashReport& report)
    {
        return json::array({ report.fingerprint, report.target, report.incarnation });
    }

    json fieldsOf(const CompletionReport& report)
    {
        return json::array({ report.fingerprint });
    }

    json fieldsOf(const ConvictionNotice& news)
    {
        return json::array({ news.fingerprint });
    }

    json fieldsOf(const PardonNotice& news)
    {
        return json::array({ news.fingerprint });
    }

    // Values are assigned one by one: a throw amid an aggregate's initialisation destroys
    // members that this compiler (g++ 12) has not built yet.

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

    InstanceLoadReport loadsFrom(const json& fields)
    {
        InstanceLoadReport report;
        report.instance = fields.at(0).get<std::string>();
        report.sequence = fields.at(1).get<std::int64_t>();
        report.complete = fields.at(2).get<bool>();
        for (const auto& load : fields.at(3))
            report.loads.emplace(load.at(0).get<std::string>(), TargetLoad { .requests = load.at(1).get<int>(), .tokens = load.at(2).get<double>(), .pendingPromptTokens = load.at(3).get<double>() });
        report.lastAcceptedGrants = fields.at(4).get<std::map<std::string, std::int64_t>>();
        for (const auto& count : fields.at(5))
            report.outcomes.emplace(count.at(0).get<std::string>(), OutcomeCount { .requests = count.at(1).get<int>(), .failures = count.at(2).get<int>() });
        for (const auto& sums : fields.at(6))
            report.lengths.emplace(sums.at(0).get<std::string>(), lengthSumsFrom(sums));
        return report;
    }

    PlacementQuery askFrom(const json& fields)
    {
        PlacementQuery ask;
        ask.requester = fields.at(0).get<std::string>();
        ask.requesterIncarnation = fields.at(1).get<std::int64_t>();
        ask.id = fields.at(2).get<WorkId>();
        ask.service = fields.at(3).get<std::string>();
        ask.organisation = fields.at(4).get<std::string>();
        ask.rank.priority = fields.at(5).get<int>();
        ask.rank.late = fields.at(6).get<bool>();
        ask.estimate.promptTokens = fields.at(7).get<int>();
        ask.estimate.outputTokens = fields.at(8).get<int>();
        ask.excluded = fields.at(9).get<std::vector<std::string>>();
        ask.contentHash = fields.at(10).get<std::uint64_t>();
        ask.maxWait = Milliseconds(fields.at(11).get<std::int64_t>());
        return ask;
    }

    PlacementResponse answerFrom(const json& fields)
    {
        PlacementResponse answer;
        answer.owner = fields.at(0).get<std::string>();
        answer.id = fields.at(1).get<WorkId>();
        answer.kind = static_cast<PlacementStatus>(fields.at(2).get<int>());
        answer.target = fields.at(3).get<std::string>();
        answer.grantNumber = fields.at(4).get<std::int64_t>();
        answer.targetRequests = fields.at(5).get<int>();
        answer.targetTokens = fields.at(6).get<double>();
        answer.late = fields.at(7).get<bool>();
        answer.retryAfter = Milliseconds(fields.at(8).get<std::int64_t>());
        return answer;
    }

    template <typename Ended>
    Ended endedFrom(const json& fields)
    {
        Ended ended;
        ended.requester = fields.at(0).get<std::string>();
        ended.requesterIncarnation = fields.at(1).get<std::int64_t>();
        ended.id = fields.at(2).get<WorkId>();
        return ended;
    }

    MoveQuery moveAskFrom(const json& fields)
    {
        MoveQuery ask;
        ask.requester = fields.at(0).get<std::string>();
        ask.requesterIncarnation = fields.at(1).get<std::int64_t>();
        ask.id = fields.at(2).get<WorkId>();
        ask.service = fields.at(3).get<std::string>();
        ask.source = fields.at(4).get<std::string>();
        ask.sourceFailureDomain = fields.at(5).get<std::string>();
        ask.tokensHeld = fields.at(6).get<int>();
        ask.remainingTokens = fields.at(7).get<int>();
        ask.excluded = fields.at(8).get<std::vector<std::string>>();
        return ask;
    }

    MoveResponse moveAnswerFrom(const json& fields)
    {
        MoveResponse answer;
        answer.owner = fields.at(0).get<std::string>();
        answer.id = fields.at(1).get<WorkId>();
        answer.destination = fields.at(2).get<std::string>();
        return answer;
    }

    CrashReport deathFrom(const json& fields)
    {
        CrashReport report;
        report.fingerprint = fields.at(0).get<Fingerprint>();
        report.target = fields.at(1).get<std::string>();
        report.incarnation = fields.at(2).get<std::string>();
        return report;
    }

    template <typename News>
    News newsFrom(const json& fields)
    {
        return { .fingerprint = fields.at(0).get<Fingerprint>() };
    }

    ShutdownNotice leavingFrom(const json& fields)
    {
        ShutdownNotice leaving;
        leaving.target = fields.at(0).get<std::string>();
        leaving.startedAt = fields.at(1).get<std::int64_t>();
        return leaving;
    }

}

std::string encodeFleetMessage(const FleetMessage& message)
{
    auto fields = std::visit([](const auto& each) { return fieldsOf(each); }, message);
    std::string bytes;
    json::to_cbor(json::array({ message.index(), std::move(fields) }), bytes);
    return bytes;
}

std::optional<FleetMessage> decodeFleetMessage(const std::string& bytes)
{
    try {
        auto message = json::from_cbor(bytes);
        const auto& fields = message.at(1);
        switch (static_cast<Kind>(message.at(0).get<int>())) {
        case Kind::Loads:
            return loadsFrom(fields);
        case Kind::Ask:
            return askFrom(fields);
        case Kind::Answer:
            return answerFrom(fields);
        case Kind::Ended:
            return endedFrom<PlacementRelease>(fields);
        case Kind::MoveQuery:
            return moveAskFrom(fields);
        case Kind::MoveResponse:
            return moveAnswerFrom(fields);
        case Kind::MoveRelease:
            return endedFrom<MoveRelease>(fields);
        case Kind::ShutdownNotice:
            return leavingFrom(fields);
        case Kind::Death:
            return deathFrom(fields);
        case Kind::Completion:
            return newsFrom<CompletionReport>(fields);
        case Kind::Conviction:
            return newsFrom<ConvictionNotice>(fields);
        case Kind::Pardon:
            return newsFrom<PardonNotice>(fields);
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

}
