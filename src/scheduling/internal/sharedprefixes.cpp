#include "scheduling/sharedprefixes.h"

#include <algorithm>

namespace guavaspan {

void SharedPrefixes::add(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks)
        m_distinctShared += ++m_holders[block] == 2;
}

void SharedPrefixes::remove(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks) {
        auto found = m_holders.find(block);
        if (found == m_holders.end())
            continue;
        --found->second;
        m_distinctShared -= found->second == 1;
        if (found->second == 0)
            m_holders.erase(found);
    }
}

/// A block's hash covers all before it, so holders never grow along a prompt.
int SharedPrefixes::leadingWith(const std::vector<std::uint64_t>& blocks, int holders) const
{
    auto held = [&](std::uint64_t block) {
        auto found = m_holders.find(block);
        return found != m_holders.end() && found->second >= holders;
    };
    return static_cast<int>(std::partition_point(blocks.begin(), blocks.end(), held) - blocks.begin());
}

int SharedPrefixes::sharedBlocks(const std::vector<std::uint64_t>& blocks) const
{
    return leadingWith(blocks, 2);
}

int SharedPrefixes::heldBlocks(const std::vector<std::uint64_t>& blocks) const
{
    return leadingWith(blocks, 1);
}

}
