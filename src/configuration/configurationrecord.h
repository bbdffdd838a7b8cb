#pragma once

#include "configuration/configurationtypes.h"

#include <array>
#include <optional>

namespace guavaspan {

/// Number of immutable chunks that store a configuration, so that a change
/// rewrites only a small part of thousands of organisations.
inline constexpr std::size_t configurationChunkCount = 64;

/// Value of one item and the ticket that set it; an empty value marks a removed item.
struct StoredItem {
    std::int64_t ticket = 0;
    std::string json;

    friend bool operator==(const StoredItem&, const StoredItem&) = default;
};

/// Items by "type/name".
using ConfigurationChunk = std::map<std::string, StoredItem>;

/// An accepted ticket, kept to recognise the same ticket when it is sent again.
struct AcceptedTicket {
    std::int64_t number = 0;
    std::int64_t revision = 0;
    std::string digest;

    friend bool operator==(const AcceptedTicket&, const AcceptedTicket&) = default;
};

/// Value of the head key, which is updated by compare-and-swap: revision, chunk hashes and recent tickets.
struct ConfigurationHead {
    std::int64_t revision = 0;
    std::array<std::string, configurationChunkCount> chunkHashes;
    std::vector<AcceptedTicket> recentTickets;

    friend bool operator==(const ConfigurationHead&, const ConfigurationHead&) = default;
};

/// A configuration as stored: the head and all chunks that it refers to.
struct ConfigurationRecord {
    ConfigurationHead head;
    std::array<ConfigurationChunk, configurationChunkCount> chunks;

    friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// Key of an item within a chunk: "type/name".
std::string itemKey(ItemType, const std::string& name);
/// Index of the chunk that stores an item.
std::size_t chunkIndexOf(const std::string& itemKey);

std::string encodeHead(const ConfigurationHead&);
std::optional<ConfigurationHead> decodeHead(const std::string&);
std::string encodeChunk(const ConfigurationChunk&);
std::optional<ConfigurationChunk> decodeChunk(const std::string&);

/// Name of a chunk: the hash of its content.
std::string chunkHash(const std::string& encodedChunk);

}
