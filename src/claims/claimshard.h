#pragma once

#include "claims/claimtypes.h"

namespace guavaspan {

/// Number of keys that claims are spread over.
inline constexpr std::size_t claimShardCount = 1024;

/// Bytes above which a shard takes no new claims; the service holds values up to a megabyte.
inline constexpr std::size_t maxShardBytes = 900'000;

std::size_t claimShardOf(const ClaimKey&);

/// Replies larger than this are not kept; a re-send then learns only that it ran.
inline constexpr std::size_t maxStoredReplyBytes = 16 << 10;

/// The claims of one shard: a value type that every change leaves consistent.
class ClaimShard {
public:
    ClaimVerdict claim(const ClaimRequest&);

    /// True if something changed.
    bool settle(const ClaimSettlement&);

    /// Drops claims older than the retention.
    void expire(std::int64_t nowMs, std::int64_t retentionMs);

    const ClaimRecord* find(const ClaimKey&) const;
    std::size_t size() const { return m_records.size(); }

    std::string encode() const;
    static std::optional<ClaimShard> decode(const std::string&);

    friend bool operator==(const ClaimShard&, const ClaimShard&) = default;

private:
    static std::string digestOf(const ClaimKey&);

    std::map<std::string, ClaimRecord> m_records;
};

}
