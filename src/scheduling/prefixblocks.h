#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavaspan {

/// Bytes of prompt text that stand for one block of an engine's cache.
inline constexpr std::size_t bytesPerPrefixBlock = 64;
inline constexpr std::size_t bytesPerToken = 4;

/// Chained hashes of the prompt's whole blocks; equal prefixes give equal hashes.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::size_t maxBlocks = 64);

/// Estimate of a prompt's length in tokens.
int estimatePromptTokens(std::string_view prompt);

}
