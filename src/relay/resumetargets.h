#pragma once

#include "relay/livestream.h"
#include "targets/domainevacuations.h"

#include <vector>

namespace guavaspan {

/// Targets at which a stopped generation may be resumed, in the order in which to try them. A resumed generation counts as a new
/// request at an evacuated target, so the result may be empty.
std::vector<TargetEntry> resumeTargets(const StreamMove&, const DomainEvacuations&, TimePoint now);

}
