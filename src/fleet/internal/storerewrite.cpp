#include "fleet/storerewrite.h"

namespace guavaspan {

namespace {

    /// Half of the writes that the store takes, so that operators, targets and other writes keep the rest.
    constexpr int maxWritesPerSecond = 200;

}

Milliseconds rewriteSpread(int instances, int callsOfEach)
{
    return Milliseconds(1000) * instances * callsOfEach / maxWritesPerSecond;
}

}
