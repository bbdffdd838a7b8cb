#pragma once

#include "common/time.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// What is believed to be cached on one engine, and how far that is trusted.
class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maxBlocks = 20000);

    /// A prompt was sent to the engine, which will cache its blocks.
    void expectStored(const std::vector<std::uint64_t>& blocks);

    void onStored(std::uint64_t block);
    void onRemoved(std::uint64_t block);

    /// Sequence numbers were skipped: part of the belief is wrong.
    void onEventsLost();

    /// The engine restarted with an empty cache.
    void clear();

    /// Number of leading blocks believed to be cached.
    int leadingBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Weight of the belief from 0 to 1; grows again as events confirm it.
    double confidence() const { return m_confidence; }

private:
    void insertOrRefresh(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::list<std::uint64_t> m_recentBlocks;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    double m_confidence = 1;
};

}
