#include "scheduling/prefixindex.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr double trustAfterGap = 0.5;
    constexpr double trustRegainedPerEvent = 0.005;

}

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

void PrefixIndex::remember(std::uint64_t block)
{
    auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(block);
    m_blocks.emplace(block, m_order.begin());
    if (m_blocks.size() <= m_maxBlocks)
        return;
    m_blocks.erase(m_order.back());
    m_order.pop_back();
}

void PrefixIndex::expectStored(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks)
        remember(block);
}

void PrefixIndex::onStored(std::uint64_t block)
{
    remember(block);
    m_trust = std::min(1.0, m_trust + trustRegainedPerEvent);
}

void PrefixIndex::onRemoved(std::uint64_t block)
{
    auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_order.erase(found->second);
        m_blocks.erase(found);
    }
    m_trust = std::min(1.0, m_trust + trustRegainedPerEvent);
}

void PrefixIndex::onGap()
{
    m_trust *= trustAfterGap;
}

void PrefixIndex::clear()
{
    m_order.clear();
    m_blocks.clear();
    m_trust = 1;
}

int PrefixIndex::leadingBlocks(const std::vector<std::uint64_t>& blocks) const
{
    int count = 0;
    while (count < static_cast<int>(blocks.size()) && m_blocks.contains(blocks[count]))
        ++count;
    return count;
}

}
