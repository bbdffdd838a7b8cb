#pragma once

#include "claims/claimtypes.h"

namespace guavaspan {

/// Number of shards, each stored under one key of the key-value service.
inline constexpr std::size_t claimShardCount = 1024;

/// Encoded size limit of a shard; the key-value service stores values up to a megabyte.
inline constexpr std::size_t maxShardBytes = 900'000;

std::size_t claimShardOf(const ClaimKey&);

/// Larger replies are not stored; a resent request then receives only a notice that the original ran.
inline constexpr std::size_t maxStoredReplyBytes = 16 << 10;

/// The claims of one shard, as an encodable value.
class ClaimShard {
public:
    ClaimVerdict claim(const ClaimRequest&);

    /// Returns true if the record changed.
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
