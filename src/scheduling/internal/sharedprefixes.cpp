#include "scheduling/sharedprefixes.h"

#include <algorithm>

namespace guavaspan {

void SharedPrefixes::add(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks)
        m_distinctSharedBlocks += ++m_holderCounts[block] == 2;
}

void SharedPrefixes::remove(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks) {
        auto found = m_holderCounts.find(block);
        if (found == m_holderCounts.end())
            continue;
        --found->second;
        m_distinctSharedBlocks -= found->second == 1;
        if (found->second == 0)
            m_holderCounts.erase(found);
    }
}

/// A block's hash covers all before it, so holders never grow along a prompt.
int SharedPrefixes::leadingBlocksHeldBy(const std::vector<std::uint64_t>& blocks, int minHolders) const
{
    auto isHeldByEnough = [&](std::uint64_t block) {
        auto found = m_holderCounts.find(block);
        return found != m_holderCounts.end() && found->second >= minHolders;
    };
    return static_cast<int>(std::partition_point(blocks.begin(), blocks.end(), isHeldByEnough) - blocks.begin());
}

int SharedPrefixes::sharedBlocks(const std::vector<std::uint64_t>& blocks) const
{
    return leadingBlocksHeldBy(blocks, 2);
}

int SharedPrefixes::heldBlocks(const std::vector<std::uint64_t>& blocks) const
{
    return leadingBlocksHeldBy(blocks, 1);
}

}
