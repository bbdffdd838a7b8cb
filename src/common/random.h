#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace guavaspan {

/// Random generator. Code that makes random decisions takes it as an argument, so that a run can be repeated with the same seed.
using Random = std::mt19937_64;

/// Returns a generator seeded from the operating system, for production use.
Random randomFromSystem();

/// Returns a new random identifier of 16 hexadecimal digits.
std::string randomId(Random&);

}
