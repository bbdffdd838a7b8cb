#pragma once

#include "net/nettypes.h"

namespace guavaspan {

/// Writes queued log lines out for as long as the event loop runs.
Awaitable<> flushLogPeriodically();

}
