#include "placement/placementmessages.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace guavaspan;

namespace {

template <typename Message>
bool roundTrips(const Message& message)
{
    auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    return decoded && std::holds_alternative<Message>(*decoded) && std::get<Message>(*decoded) == message;
}

}

Test(FleetMessage, everyMessageType_encodedAndDecoded_isUnchanged)
{
    cr_expect(roundTrips(InstanceLoadReport { .instance = "n", .sequence = 1LL << 40, .complete = false, .loads = { { "t", { .requests = 2, .tokens = 7, .pendingPromptTokens = 3, .heldTokens = 6, .growthTokens = 5 } } }, .lastAcceptedGrants = { { "o", 9 } }, .outcomes = { { "10.0.0.1:80", { .requests = 4, .failures = 1 } } }, .lengths = { { "r", { .generationCount = 2, .lengthSum = 9.5, .guessCount = 1, .guessSum = 4, .guessedLengthSum = 5, .guessSquaredSum = 16, .guessLengthProductSum = 20 } } }, .limits = { { "t", { .targetStartedAt = 1LL << 41, .requestsPerSecond = 4.1, .age = Milliseconds(7) } }, { "u", { .targetStartedAt = 2 } } }, .relaysForPeers = true, .unreachableServices = { "s" }, .storeEra = 4, .configurationVersion = 17, .aggregators = { "x", "y" }, .paces = { { "gone", { .incarnation = 65535, .halfMsPerEvent = 120, .promptTokensPer10Ms = 70 } }, { "t", { .incarnation = 3, .halfMsPerEvent = 49 } } } }));
    cr_expect(roundTrips(PlacementQuery { .requester = "n", .requesterIncarnation = 5, .id = ~0ULL, .service = "s", .organisation = "c", .rank = { .priority = 2, .late = true }, .estimate = { .promptTokens = 3, .outputTokens = 4 }, .excluded = { "t" }, .contentHash = 99, .maxWait = Milliseconds(90), .eventGapObjective = Milliseconds(180), .promptParts = { { .chain = ~0U, .tokens = 340 }, { .chain = 7, .tokens = 80 } } }));
    cr_expect(roundTrips(PlacementResponse { .owner = "o", .id = 3, .status = PlacementStatus::Refused, .target = "t", .grantNumber = 8, .targetRequests = 1, .targetTokens = 2, .late = true, .retryAfter = Milliseconds(70), .expectedFirstEvent = Milliseconds(140), .expectedEnd = Milliseconds(5000) }));
    cr_expect(roundTrips(PlacementRelease { .requester = "n", .requesterIncarnation = 5, .id = 6 }));
    cr_expect(roundTrips(MoveQuery { .requester = "n", .requesterIncarnation = 5, .id = 6, .service = "s", .source = "a", .sourceFailureDomain = "d", .tokensHeld = 10, .remainingTokens = 11, .excluded = { "x" } }));
    cr_expect(roundTrips(MoveResponse { .owner = "o", .id = 6, .destination = "b" }));
    cr_expect(roundTrips(MoveQuery { .requester = "n", .id = 6, .service = "s", .source = "a", .timeToShutdown = Milliseconds(840) }));
    cr_expect(roundTrips(MoveRelease { .requester = "n", .requesterIncarnation = 5, .id = 6, .destinationFull = true }));
    cr_expect(roundTrips(ShutdownNotice { .target = "a", .startedAt = 7, .timeToShutdown = Milliseconds(840) }));
    cr_expect(roundTrips(MoveRelease { .requester = "n", .requesterIncarnation = 5, .id = 6 }));
    cr_expect(roundTrips(CrashReport { .fingerprint = ~0ULL, .target = "t", .incarnation = "5" }));
    cr_expect(roundTrips(CompletionReport { .fingerprint = 7, .sentAgo = Milliseconds(30) }));
    cr_expect(roundTrips(ConvictionNotice { .fingerprint = 8 }));
    cr_expect(roundTrips(PardonNotice { .fingerprint = 9 }));
    cr_expect(roundTrips(InterruptionReport { .fingerprint = 7, .target = "t", .targetStartedAt = 1LL << 41, .sentAgo = Milliseconds(30), .interruptedAgo = Milliseconds(2), .onTrial = true }));
    TrialId trial { .instance = "n", .incarnation = 1LL << 41, .number = 9 };
    cr_expect(roundTrips(TrialQuery { .id = trial, .trial = { .suspects = { 3, ~0ULL }, .target = "t" } }));
    cr_expect(roundTrips(TrialResponse { .number = 9, .decision = TrialDecision::TargetOnTrial }));
    cr_expect(roundTrips(TrialRelease { .id = trial, .end = TrialEnd::Silent }));
    cr_expect(roundTrips(PriorCompletionNotice { .fingerprint = 11, .sentAgo = Milliseconds(400) }));
    cr_expect(roundTrips(PromptInterruptionReport { .parts = { 3, ~0ULL }, .target = "t", .targetStartedAt = 1LL << 41, .sentAgo = Milliseconds(30), .onTrial = true }));
    cr_expect(roundTrips(PromptPartInquiry { .instance = "n", .part = ~0ULL, .since = Milliseconds(30) }));
    cr_expect(roundTrips(PromptPartClearance { .part = ~0ULL, .age = Milliseconds(30) }));
    cr_expect(roundTrips(PromptPartConviction { .instance = "n", .part = ~0ULL, .since = Milliseconds(30) }));
    cr_expect(roundTrips(FleetSummary { .aggregator = "x", .sequence = 1LL << 40, .silentInstances = { "s" }, .instancesNotRelaying = { "n" }, .unreachableServices = { { "u", { "shop" } } }, .loads = { { "t", { .requests = 2, .tokens = 7, .pendingPromptTokens = 3, .heldTokens = 6, .growthTokens = 5 } } }, .outcomes = { { "10.0.0.1:80", { .requests = 4, .failures = 1 } } }, .lengths = { { "r", { .generationCount = 2, .lengthSum = 9.5 } } }, .limits = { { "t", { .targetStartedAt = 1, .requestsPerSecond = 4.1, .age = Milliseconds(7) } } }, .configurationVersion = 17, .configurationHolder = "h", .paces = { { "e", { .incarnation = 3, .halfMsPerEvent = 49 } } } }));
    cr_expect(roundTrips(BroadcastBatch { .toAggregator = true, .items = { { .origin = "o", .number = 1LL << 41, .message = std::string("\0\xff", 2) } } }));
    cr_expect(roundTrips(ShutdownNotice { .target = "t", .startedAt = 1LL << 41 }));
}

Test(FleetMessage, truncatedOrCorruptedBytes_decoded_areRejectedOrDoNotCrash)
{
    auto valid = encodeFleetMessage(PlacementRelease { .requester = "n", .requesterIncarnation = 5, .id = 6 });
    for (std::size_t size = 0; size < valid.size(); ++size)
        cr_expect(!decodeFleetMessage(valid.substr(0, size)).has_value());
    for (std::size_t position = 0; position < valid.size(); ++position) {
        auto corrupted = valid;
        corrupted[position] = static_cast<char>(corrupted[position] ^ 0x55);
        decodeFleetMessage(corrupted);
    }
}

/// Guards against lost reports during an upgrade: those of older versions have fewer fields.
Test(FleetMessage, loadReportOfOlderVersions_missingFieldsHaveDefaults)
{
    InstanceLoadReport report { .instance = "n", .sequence = 3, .relaysForPeers = true, .storeEra = 4, .configurationVersion = 17 };
    constexpr std::size_t fieldsWithoutRelaying = 8;
    constexpr std::size_t fieldsWithoutEra = 10;
    for (auto fieldCount : { fieldsWithoutRelaying, fieldsWithoutEra }) {
        auto message = nlohmann::json::from_cbor(encodeFleetMessage(report));
        auto& fields = message.at(1);
        while (fields.size() > fieldCount)
            fields.erase(fields.size() - 1);
        std::string bytes;
        nlohmann::json::to_cbor(message, bytes);
        auto decoded = decodeFleetMessage(bytes);
        cr_assert(decoded && std::holds_alternative<InstanceLoadReport>(*decoded));
        cr_expect(std::get<InstanceLoadReport>(*decoded) == InstanceLoadReport({ .instance = "n", .sequence = 3, .relaysForPeers = fieldCount == fieldsWithoutEra }));
    }
}

namespace {

/// Encodes a message with a different number of fields; further ones are of a kind that this version does not know.
template <typename Message>
std::string withFieldCount(const Message& message, std::size_t fieldCount)
{
    auto document = nlohmann::json::from_cbor(encodeFleetMessage(message));
    auto& fields = document.at(1);
    while (fields.size() > fieldCount)
        fields.erase(fields.size() - 1);
    while (fields.size() < fieldCount)
        fields.push_back({ "unknown", 1 });
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

}

/// Guards against lost messages during an upgrade: those of the release before have no paces, and those of later ones have further fields.
Test(FleetMessage, messagesOfReleasesBeforeAndAfter_areRead)
{
    InstanceLoadReport report { .instance = "n", .sequence = 3, .loads = { { "t", { .requests = 1 } } }, .aggregators = { "x" }, .paces = { { "t", { .incarnation = 3, .halfMsPerEvent = 49 } } } };
    FleetSummary summary { .aggregator = "x", .sequence = 4, .configurationHolder = "h", .paces = report.paces };
    PlacementQuery query { .requester = "n", .service = "s", .maxWait = Milliseconds(90), .eventGapObjective = Milliseconds(180), .promptParts = { { .chain = 7, .tokens = 80 } } };
    constexpr std::size_t fieldsOfLaterReleases = 20;
    cr_expect(std::get<InstanceLoadReport>(*decodeFleetMessage(withFieldCount(report, fieldsOfLaterReleases))) == report);
    cr_expect(std::get<FleetSummary>(*decodeFleetMessage(withFieldCount(summary, fieldsOfLaterReleases))) == summary);
    cr_expect(std::get<PlacementQuery>(*decodeFleetMessage(withFieldCount(query, fieldsOfLaterReleases))) == query);
    PlacementResponse response { .owner = "o", .expectedFirstEvent = Milliseconds(140), .expectedEnd = Milliseconds(5000) };
    cr_expect(std::get<PlacementResponse>(*decodeFleetMessage(withFieldCount(response, fieldsOfLaterReleases))) == response);
    cr_expect(std::get<PlacementResponse>(*decodeFleetMessage(withFieldCount(response, 9))) == PlacementResponse({ .owner = "o" }));
    report.paces.clear();
    summary.paces.clear();
    query.eventGapObjective = Milliseconds(0);
    query.promptParts.clear();
    cr_expect(std::get<InstanceLoadReport>(*decodeFleetMessage(withFieldCount(report, 13))) == report);
    cr_expect(std::get<FleetSummary>(*decodeFleetMessage(withFieldCount(summary, 11))) == summary);
    cr_expect(std::get<PlacementQuery>(*decodeFleetMessage(withFieldCount(query, 12))) == query);
}

/// Guards against reports that grow with names: a pace of a target whose load is reported costs ten bytes at most.
Test(FleetMessage, pacesOfTargetsWithLoads_takeTenBytesEach)
{
    InstanceLoadReport report { .instance = "entry-17" };
    for (int i = 0; i < 10; ++i)
        report.loads.emplace("engine-" + std::to_string(i) + "-7f3a", TargetLoad { .requests = 2, .tokens = 1500, .pendingPromptTokens = 300 });
    auto before = encodeFleetMessage(report).size();
    for (const auto& [target, load] : report.loads)
        report.paces.emplace(target, ReportedPace { .incarnation = 40000, .halfMsPerEvent = 118, .promptTokensPer10Ms = 70 });
    auto after = encodeFleetMessage(report).size();
    cr_log_info("a load report of ten targets has %zu bytes without and %zu with paces", before, after);
    cr_expect_leq(after - before, 10 * report.paces.size());
    FleetSummary summary { .aggregator = "entry-17", .paces = report.paces };
    auto withNames = encodeFleetMessage(summary).size();
    summary.paces.clear();
    cr_log_info("a summary has %zu bytes without and %zu with these paces", encodeFleetMessage(summary).size(), withNames);
}
