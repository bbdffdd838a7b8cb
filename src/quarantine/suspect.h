#pragma once

#include <cstdint>

namespace guavaspan {

/// What is suspected of crashing targets: the fingerprint of a request, or a part of a prompt.
using Suspect = std::uint64_t;

}
