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
    cr_expect(roundTrips(InstanceLoadReport { .instance = "n", .sequence = 1LL << 40, .complete = false, .loads = { { "t", { .requests = 2, .tokens = 7, .pendingPromptTokens = 3, .heldTokens = 6, .growthTokens = 5 } } }, .lastAcceptedGrants = { { "o", 9 } }, .outcomes = { { "10.0.0.1:80", { .requests = 4, .failures = 1 } } }, .lengths = { { "r", { .generationCount = 2, .lengthSum = 9.5, .guessCount = 1, .guessSum = 4, .guessedLengthSum = 5, .guessSquaredSum = 16, .guessLengthProductSum = 20 } } }, .limits = { { "t", { .targetStartedAt = 1LL << 41, .requestsPerSecond = 4.1, .age = Milliseconds(7) } }, { "u", { .targetStartedAt = 2 } } }, .relaysForPeers = true, .unreachableServices = { "s" }, .storeEra = 4, .configurationVersion = 17, .aggregators = { "x", "y" } }));
    cr_expect(roundTrips(PlacementQuery { .requester = "n", .requesterIncarnation = 5, .id = ~0ULL, .service = "s", .organisation = "c", .rank = { .priority = 2, .late = true }, .estimate = { .promptTokens = 3, .outputTokens = 4 }, .excluded = { "t" }, .contentHash = 99, .maxWait = Milliseconds(90) }));
    cr_expect(roundTrips(PlacementResponse { .owner = "o", .id = 3, .status = PlacementStatus::Refused, .target = "t", .grantNumber = 8, .targetRequests = 1, .targetTokens = 2, .late = true, .retryAfter = Milliseconds(70) }));
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
    cr_expect(roundTrips(FleetSummary { .aggregator = "x", .sequence = 1LL << 40, .silentInstances = { "s" }, .instancesNotRelaying = { "n" }, .unreachableServices = { { "u", { "shop" } } }, .loads = { { "t", { .requests = 2, .tokens = 7, .pendingPromptTokens = 3, .heldTokens = 6, .growthTokens = 5 } } }, .outcomes = { { "10.0.0.1:80", { .requests = 4, .failures = 1 } } }, .lengths = { { "r", { .generationCount = 2, .lengthSum = 9.5 } } }, .limits = { { "t", { .targetStartedAt = 1, .requestsPerSecond = 4.1, .age = Milliseconds(7) } } }, .configurationVersion = 17, .configurationHolder = "h" }));
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
