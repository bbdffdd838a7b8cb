#include "scheduling/prefixblocks.h"

#include "common/hash.h"

#include <algorithm>

namespace guavaspan {

std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt, std::size_t maxBlocks)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    while (prompt.size() >= bytesPerPrefixBlock && blocks.size() < maxBlocks) {
        previous = stableHash(prompt.substr(0, bytesPerPrefixBlock), previous);
        blocks.push_back(previous);
        prompt.remove_prefix(bytesPerPrefixBlock);
    }
    return blocks;
}

int estimatePromptTokens(std::string_view prompt)
{
    return std::max(1, static_cast<int>(prompt.size() / bytesPerToken));
}

}
