#pragma once

#include "net/nettypes.h"

namespace guavaspan {

/// Flushes queued log lines periodically while the event loop runs.
Awaitable<> flushLogPeriodically();

}
