#pragma once

// HTTP header names, routes and the time limits that the checks apply to the entry service.

#include "common/time.h"

namespace guavaspan::soak {

inline constexpr const char* attemptIdHeader = "X-Attempt-Id";
/// Set by an engine on the response to a request that it executed.
inline constexpr const char* sealHeader = "X-Response-Seal";
/// Set by an engine on a refusal: the request was not executed.
inline constexpr const char* notRunHeader = "X-Not-Executed";
inline constexpr const char* expectedTargetHeader = "X-Expect-Instance";
inline constexpr const char* deadlineHeader = "X-Deadline-Ms";
inline constexpr const char* apiKeyHeader = "X-Key";
inline constexpr const char* organisationHeader = "X-Tenant";

/// "1" in the answers of an engine that drains.
inline constexpr const char* shutdownHeader = "Server-Leaving";
/// Requests per second that an engine takes from all instances together while its answers state it.
inline constexpr const char* requestLimitHeader = "Server-Limit";

/// Rejections in a second that an engine survives while its answers state it.
inline constexpr const char* brittleHeader = "Server-Brittle";
inline constexpr int survivedRejections = 5;

inline constexpr int organisationCount = 3;
inline constexpr int keysPerOrganisation = 3;

inline constexpr const char* host = "soak.example";
inline constexpr const char* streamPath = "/stream/";
inline constexpr const char* orderPath = "/order/";
inline constexpr const char* lookupPath = "/lookup/";
/// Code in the body of a refusal of a request that crashes engines.
inline constexpr const char* crashRefusalCode = "\"crashes_targets\"";

/// Lists the parts of a prompt in order.
inline constexpr const char* promptPartsHeader = "X-Prompt-Prefix";
/// Part that the prompts of all streams begin with.
inline constexpr const char* commonPromptPart = "c0ffee";
inline constexpr int soundPromptParts = 8;
/// Start of a part that ends every engine which begins to answer a request with it.
inline constexpr const char* crashingPromptPart = "bad";

/// Precedes, in a path, the number of bytes that the engine is to add to its response.
inline constexpr const char* paddingMarker = "padding-";
inline constexpr char paddingCharacter = 'p';

/// Time after which a configuration change must be in effect on every instance.
inline constexpr auto maxConfigurationDelay = Milliseconds(2000);
/// Time after which no request with a revoked key may be executed.
inline constexpr auto maxRevocationDelay = Milliseconds(5000);
/// Time after which a draining engine must receive no new requests.
inline constexpr auto maxDrainDelay = Milliseconds(2000);
/// Time after which an engine of an evacuated failure domain must receive no new requests.
inline constexpr auto maxEvacuationDelay = Milliseconds(5000);
/// Time after a disturbance of an instance or the store before time limits apply to it again.
inline constexpr auto recoveryAllowance = Milliseconds(3000);
/// Time from SIGTERM to SIGKILL.
inline constexpr auto stopTimeout = Milliseconds(8000);
/// Time from a request's last byte within which an instance may close the connection without having read it.
inline constexpr auto closeAllowance = Milliseconds(200);
/// Requests sent later than this after SIGTERM must be answered even if their engine is busy until the stop limit.
inline constexpr auto stopRequestPeriod = Milliseconds(3000);
/// Part of stopTimeout before its end in which an engine may still be at work on an older request.
inline constexpr auto lastPartOfStop = stopTimeout / 6;
/// In each retryWindow a service may receive retryRatio of its requests, and retrySlack, as repeats.
inline constexpr double retryRatio = 0.2;
inline constexpr int retrySlack = 50;
inline constexpr auto retryWindow = Milliseconds(10000);
/// Engines that may execute a request of an idempotent route in one attempt.
inline constexpr int maxAttemptsOfLookups = 2;
/// Requests that may be executed by more engines than that.
inline constexpr int maxExcessiveAttempts = 3;
/// A deadline that is passed on may exceed that of the caller by this much.
inline constexpr auto deadlineTolerance = Milliseconds(500);
/// Excessive deadlines that are allowed, and their allowed share of all late repeats.
inline constexpr int maxExcessiveDeadlines = 20;
inline constexpr double maxExcessiveDeadlineShare = 0.2;
/// Engines that a request has crashed when it is known to do so.
inline constexpr std::size_t crashesUntilKnown = 3;
/// Executions allowed later than recoveryAllowance after the last of crashesUntilKnown.
inline constexpr int maxRunsOfKnownCrash = 3;
/// Engines that end under requests with one part in their prompts before the part is known to end them.
inline constexpr std::size_t crashesUntilPartIsKnown = 5;
/// Requests with the part that may reach engines later than recoveryAllowance after the last of them.
inline constexpr int maxRequestsWithKnownPart = 3;
/// Brittle engines that may end while the service is brittle, and as a share of its engines.
inline constexpr int maxOverwhelmedEngines = 2;
inline constexpr double maxOverwhelmedShare = 0.1;
/// Period over which the requests to an engine that states a limit are counted.
inline constexpr auto limitPeriod = Milliseconds(4000);
/// An engine may get this multiple of its limit, and limitAllowance requests more, in one limitPeriod.
inline constexpr double limitTolerance = 1.5;
inline constexpr int limitAllowance = 5;
/// Time after an instance passed on an answer that states a limit from which it must keep to it.
inline constexpr auto limitLearningTime = Milliseconds(500);
/// Added to time limits because other programs on the machine can delay the processes.
inline constexpr auto schedulingSlack = Milliseconds(300);

/// Service of look-ups and orders.
inline constexpr const char* plainService = "shop";

}
