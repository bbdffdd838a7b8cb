#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// Counts the running generations that hold each prefix block. An engine stores a
/// block once even if several generations share it.
class SharedPrefixes {
public:
    void add(const std::vector<std::uint64_t>& blocks);
    void remove(const std::vector<std::uint64_t>& blocks);

    /// Number of leading blocks of a running generation that other generations hold too.
    int sharedBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Number of leading blocks of a new generation that running generations already hold.
    int heldBlocks(const std::vector<std::uint64_t>& blocks) const;

    /// Number of distinct blocks that more than one generation holds.
    int distinctSharedBlocks() const { return m_distinctSharedBlocks; }

private:
    int leadingBlocksHeldBy(const std::vector<std::uint64_t>& blocks, int minHolders) const;

    std::unordered_map<std::uint64_t, int> m_holderCounts;
    int m_distinctSharedBlocks = 0;
};

}
