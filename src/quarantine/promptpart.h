#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace guavaspan {

/// Identifies a part of a prompt; requests whose prompts share the part have the same value.
using PromptPart = std::uint64_t;

/// The parts as hexadecimal numbers separated by commas, for logs.
std::string describe(const std::vector<PromptPart>&);

}
