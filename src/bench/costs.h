#pragma once

namespace guavaspan::bench {

/// Measures what the deciding core and the messages of a full cell cost.
int runCosts();

}
