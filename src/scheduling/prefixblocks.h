#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace guavaspan {

/// Bytes of prompt text that represent one block of an engine's cache.
inline constexpr std::size_t bytesPerPrefixBlock = 64;
inline constexpr std::size_t bytesPerToken = 4;

/// Chained hashes of the prompt's complete blocks; equal prefixes give equal hashes.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::size_t maxBlocks = 64);

/// Estimates a prompt's length in tokens from its bytes.
int estimatePromptTokens(std::string_view prompt);

}
