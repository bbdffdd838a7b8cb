#pragma once

namespace guavaspan::bench {

/// Measures the processor time of the pool scheduler and the sizes of peer messages.
int runCosts();

}
