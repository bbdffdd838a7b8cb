#pragma once

#include "net/nettypes.h"

#include <functional>

namespace guavaspan {

/// Runs a task until it returns; one that fails with an exception is logged and started again.
Awaitable<> runPersistently(std::string name, std::function<Awaitable<>()> task);

}
