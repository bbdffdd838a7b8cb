#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// Counts which prefix blocks several running generations hold in common, since
/// an engine keeps such a block once.
class SharedPrefixes {
public:
    void add(const std::vector<std::uint64_t>& blocks);
    void remove(const std::vector<std::uint64_t>& blocks);

    /// Leading blocks of a running generation that others hold too.
    int sharedBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Leading blocks that a new generation would find held already.
    int heldBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Number of distinct blocks that more than one generation holds.
    int distinctSharedBlocks() const { return m_distinctSharedBlocks; }

private:
    int leadingBlocksHeldBy(const std::vector<std::uint64_t>& blocks, int minHolders) const;

    std::unordered_map<std::uint64_t, int> m_holderCounts;
    int m_distinctSharedBlocks = 0;
};

}
