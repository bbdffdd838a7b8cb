#pragma once

#include "common/time.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// Estimates which prefix blocks one engine caches, with a confidence in that estimate.
class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maxBlocks = 20000);

    /// Adds the blocks of a prompt sent to the engine, which will cache them.
    void expectStored(const std::vector<std::uint64_t>& blocks);

    void onStored(std::uint64_t block);
    void onRemoved(std::uint64_t block);

    /// Lowers the confidence after skipped sequence numbers, since some events are missing.
    void onEventsLost();

    /// Resets the index after the engine restarted with an empty cache.
    void clear();

    /// Number of leading blocks that are probably cached.
    int leadingBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Confidence from 0 to 1; recovers as further events arrive.
    double confidence() const { return m_confidence; }

private:
    void insertOrRefresh(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_recentBlocks;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    double m_confidence = 1;
};

}
