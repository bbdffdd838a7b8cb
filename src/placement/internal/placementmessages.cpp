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
        MoveAsk,
        MoveAnswer,
        MoveEnded,
        TargetLeaving,
        Death,
        Completion,
        Conviction,
        Pardon,
    };

    json fieldsOf(const InstanceLoads& report)
    {
        json loads = json::array();
        for (const auto& [target, load] : report.loads)
            loads.push_back({ target, load.requests, static_cast<std::int64_t>(load.tokens), static_cast<std::int64_t>(load.pendingPromptTokens) });
        json outcomes = json::array();
        for (const auto& [address, count] : report.outcomes)
            outcomes.push_back({ address, count.requests, count.failures });
        json lengths = json::array();
        for (const auto& [route, sums] : report.lengths)
            lengths.push_back({ route, sums.lengths, sums.length, sums.guessCount, sums.guess, sums.guessedLengthSum, sums.guessSquaredSum, sums.guessLengthProductSum });
        return json::array({ report.instance, report.sequence, report.complete, loads, report.grantsTaken, outcomes, lengths });
    }

    json fieldsOf(const PlacementAsk& ask)
    {
        return json::array({ ask.asker, ask.askerLife, ask.id, ask.service, ask.organisation, ask.rank.priority, ask.rank.late, ask.estimate.promptTokens, ask.estimate.outputTokens, ask.excluded, ask.content, ask.patience.count() });
    }

    json fieldsOf(const PlacementAnswer& answer)
    {
        return json::array({ answer.owner, answer.id, static_cast<int>(answer.kind), answer.target, answer.grantNumber, answer.targetRequests, static_cast<std::int64_t>(answer.targetTokens), answer.late, answer.retryAfter.count() });
    }

    json fieldsOf(const PlacementEnded& ended)
    {
        return json::array({ ended.asker, ended.askerLife, ended.id });
    }

    json fieldsOf(const MoveAsk& ask)
    {
        return json::array({ ask.asker, ask.askerLife, ask.id, ask.service, ask.source, ask.sourceDomain, ask.tokensHeld, ask.remainingTokens, ask.excluded });
    }

    json fieldsOf(const MoveAnswer& answer)
    {
        return json::array({ answer.owner, answer.id, answer.destination });
    }

    json fieldsOf(const MoveEnded& ended)
    {
        return json::array({ ended.asker, ended.askerLife, ended.id });
    }

    json fieldsOf(const TargetLeaving& leaving)
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
        sums.lengths = fields.at(1).get<double>();
        sums.length = fields.at(2).get<double>();
        sums.guessCount = fields.at(3).get<double>();
        sums.guess = fields.at(4).get<double>();
        sums.guessedLengthSum = fields.at(5).get<double>();
        sums.guessSquaredSum = fields.at(6).get<double>();
        sums.guessLengthProductSum = fields.at(7).get<double>();
        return sums;
    }

    InstanceLoads loadsFrom(const json& fields)
    {
        InstanceLoads report;
        report.instance = fields.at(0).get<std::string>();
        report.sequence = fields.at(1).get<std::int64_t>();
        report.complete = fields.at(2).get<bool>();
        for (const auto& load : fields.at(3))
            report.loads.emplace(load.at(0).get<std::string>(), TargetLoad { .requests = load.at(1).get<int>(), .tokens = load.at(2).get<double>(), .pendingPromptTokens = load.at(3).get<double>() });
        report.grantsTaken = fields.at(4).get<std::map<std::string, std::int64_t>>();
        for (const auto& count : fields.at(5))
            report.outcomes.emplace(count.at(0).get<std::string>(), OutcomeCount { .requests = count.at(1).get<int>(), .failures = count.at(2).get<int>() });
        for (const auto& sums : fields.at(6))
            report.lengths.emplace(sums.at(0).get<std::string>(), lengthSumsFrom(sums));
        return report;
    }

    PlacementAsk askFrom(const json& fields)
    {
        PlacementAsk ask;
        ask.asker = fields.at(0).get<std::string>();
        ask.askerLife = fields.at(1).get<std::int64_t>();
        ask.id = fields.at(2).get<WorkId>();
        ask.service = fields.at(3).get<std::string>();
        ask.organisation = fields.at(4).get<std::string>();
        ask.rank.priority = fields.at(5).get<int>();
        ask.rank.late = fields.at(6).get<bool>();
        ask.estimate.promptTokens = fields.at(7).get<int>();
        ask.estimate.outputTokens = fields.at(8).get<int>();
        ask.excluded = fields.at(9).get<std::vector<std::string>>();
        ask.content = fields.at(10).get<std::uint64_t>();
        ask.patience = Milliseconds(fields.at(11).get<std::int64_t>());
        return ask;
    }

    PlacementAnswer answerFrom(const json& fields)
    {
        PlacementAnswer answer;
        answer.owner = fields.at(0).get<std::string>();
        answer.id = fields.at(1).get<WorkId>();
        answer.kind = static_cast<PlacementAnswerKind>(fields.at(2).get<int>());
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
        ended.asker = fields.at(0).get<std::string>();
        ended.askerLife = fields.at(1).get<std::int64_t>();
        ended.id = fields.at(2).get<WorkId>();
        return ended;
    }

    MoveAsk moveAskFrom(const json& fields)
    {
        MoveAsk ask;
        ask.asker = fields.at(0).get<std::string>();
        ask.askerLife = fields.at(1).get<std::int64_t>();
        ask.id = fields.at(2).get<WorkId>();
        ask.service = fields.at(3).get<std::string>();
        ask.source = fields.at(4).get<std::string>();
        ask.sourceDomain = fields.at(5).get<std::string>();
        ask.tokensHeld = fields.at(6).get<int>();
        ask.remainingTokens = fields.at(7).get<int>();
        ask.excluded = fields.at(8).get<std::vector<std::string>>();
        return ask;
    }

    MoveAnswer moveAnswerFrom(const json& fields)
    {
        MoveAnswer answer;
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

    TargetLeaving leavingFrom(const json& fields)
    {
        TargetLeaving leaving;
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
            return endedFrom<PlacementEnded>(fields);
        case Kind::MoveAsk:
            return moveAskFrom(fields);
        case Kind::MoveAnswer:
            return moveAnswerFrom(fields);
        case Kind::MoveEnded:
            return endedFrom<MoveEnded>(fields);
        case Kind::TargetLeaving:
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
