#pragma once

// The spelling that callers, engines and the store use, and bounds that the soak holds the entry service to.

#include "common/time.h"

namespace guavaspan::soak {

inline constexpr const char* attemptHeader = "X-Attempt-Id";
inline constexpr const char* sealHeader = "X-Response-Seal";
inline constexpr const char* notRunHeader = "X-Not-Executed";
inline constexpr const char* expectedTargetHeader = "X-Expect-Instance";
inline constexpr const char* keyHeader = "X-Key";
inline constexpr const char* organisationHeader = "X-Tenant";

inline constexpr const char* host = "soak.example";
inline constexpr const char* streamPath = "/stream/";
inline constexpr const char* orderPath = "/order/";
inline constexpr const char* lookupPath = "/lookup/";

/// A configuration is in force everywhere after this.
inline constexpr auto configurationBound = Milliseconds(2000);
/// A key that was taken away runs nothing after this.
inline constexpr auto revocationBound = Milliseconds(5000);
/// A leaving engine gets nothing new after this.
inline constexpr auto drainBound = Milliseconds(2000);
/// An instance or a store that was disturbed is held to bounds of time again after this.
inline constexpr auto contactTime = Milliseconds(3000);
/// Time from SIGTERM to SIGKILL.
inline constexpr auto stopLimit = Milliseconds(8000);
/// Added to bounds of time: processes share one machine with whatever else runs there.
inline constexpr auto schedulingSlack = Milliseconds(300);

}
