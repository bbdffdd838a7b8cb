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
inline constexpr const char* apiKeyHeader = "X-Key";
inline constexpr const char* organisationHeader = "X-Tenant";

inline constexpr const char* host = "soak.example";
inline constexpr const char* streamPath = "/stream/";
inline constexpr const char* orderPath = "/order/";
inline constexpr const char* lookupPath = "/lookup/";
/// Contained in the path of a request that ends every engine that executes it.
inline constexpr const char* crashMarker = "crash";
/// Contained in addition if the engine becomes silent for some seconds before it ends.
inline constexpr const char* silentCrashMarker = "silent-crash";

/// Time after which a configuration change must be in effect on every instance.
inline constexpr auto maxConfigurationDelay = Milliseconds(2000);
/// Time after which no request with a revoked key may be executed.
inline constexpr auto maxRevocationDelay = Milliseconds(5000);
/// Time after which a draining engine must receive no new requests.
inline constexpr auto maxDrainDelay = Milliseconds(2000);
/// Time after a disturbance of an instance or the store before time limits apply to it again.
inline constexpr auto recoveryAllowance = Milliseconds(3000);
/// Time from SIGTERM to SIGKILL.
inline constexpr auto stopTimeout = Milliseconds(8000);
/// Executions after which a request that crashes engines is known to do so.
inline constexpr int crashesUntilKnown = 3;
/// Executions allowed later than recoveryAllowance after the last of crashesUntilKnown.
inline constexpr int maxRunsOfKnownCrash = 3;
/// Added to time limits because other programs on the machine can delay the processes.
inline constexpr auto schedulingSlack = Milliseconds(300);

}
