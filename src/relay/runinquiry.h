#pragma once

#include "relay/relaycontext.h"

namespace guavaspan {

/// Asks the engine whether a generation is over whose stream closed without an explicit end. False if the engine does not confirm it.
Awaitable<bool> isRunOver(RelayContext&, const RelayRequest&, const LiveStream&);

}
