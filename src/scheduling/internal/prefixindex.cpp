#include "scheduling/prefixindex.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr double confidenceFactorAfterLoss = 0.5;
    constexpr double confidencePerEvent = 0.005;

}

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

void PrefixIndex::insertOrRefresh(std::uint64_t block)
{
    auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_recentBlocks.splice(m_recentBlocks.begin(), m_recentBlocks, found->second);
        return;
    }
    m_recentBlocks.push_front(block);
    m_blocks.emplace(block, m_recentBlocks.begin());
    if (m_blocks.size() <= m_maxBlocks)
        return;
    m_blocks.erase(m_recentBlocks.back());
    m_recentBlocks.pop_back();
}

void PrefixIndex::expectStored(const std::vector<std::uint64_t>& blocks)
{
    for (auto block : blocks)
        insertOrRefresh(block);
}

void PrefixIndex::onStored(std::uint64_t block)
{
    insertOrRefresh(block);
    m_confidence = std::min(1.0, m_confidence + confidencePerEvent);
}

void PrefixIndex::onRemoved(std::uint64_t block)
{
    auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_recentBlocks.erase(found->second);
        m_blocks.erase(found);
    }
    m_confidence = std::min(1.0, m_confidence + confidencePerEvent);
}

void PrefixIndex::onEventsLost()
{
    m_confidence *= confidenceFactorAfterLoss;
}

void PrefixIndex::clear()
{
    m_recentBlocks.clear();
    m_blocks.clear();
    m_confidence = 1;
}

int PrefixIndex::leadingBlocks(const std::vector<std::uint64_t>& blocks) const
{
    int count = 0;
    while (count < static_cast<int>(blocks.size()) && m_blocks.contains(blocks[count]))
        ++count;
    return count;
}

}
