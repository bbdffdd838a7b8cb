#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace guavaspan {

/// The generator that cores take from outside, so that a seed repeats a run.
using Random = std::mt19937_64;

/// A generator seeded from the operating system, for production use.
Random randomFromSystem();

/// A fresh identifier of 16 hexadecimal digits.
std::string randomId(Random&);

}
