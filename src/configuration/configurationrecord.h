#pragma once

#include "configuration/configurationtypes.h"

#include <array>
#include <optional>

namespace guavaspan {

/// Number of immutable pieces that a configuration is stored in, so that a
/// change rewrites a small part of thousands of organisations.
inline constexpr std::size_t configurationChunkCount = 64;

/// State of one item and the ticket that set it; an empty value is a removed item.
struct StoredItem {
    std::int64_t ticket = 0;
    std::string json;

    friend bool operator==(const StoredItem&, const StoredItem&) = default;
};

/// Items by "kind/name".
using ConfigurationChunk = std::map<std::string, StoredItem>;

/// An accepted ticket as it is remembered for re-sends.
struct AcceptedTicket {
    std::int64_t number = 0;
    std::int64_t revision = 0;
    std::string digest;

    friend bool operator==(const AcceptedTicket&, const AcceptedTicket&) = default;
};

/// The single key under compare-and-swap: revision, references to chunks, recent tickets.
struct ConfigurationHead {
    std::int64_t revision = 0;
    std::array<std::string, configurationChunkCount> chunkHashes;
    std::vector<AcceptedTicket> recent;

    friend bool operator==(const ConfigurationHead&, const ConfigurationHead&) = default;
};

/// Head and all its chunks.
struct ConfigurationRecord {
    ConfigurationHead head;
    std::array<ConfigurationChunk, configurationChunkCount> chunks;

    friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

std::string itemKey(ItemType, const std::string& name);
std::size_t chunkIndexOf(const std::string& itemKey);

std::string encodeHead(const ConfigurationHead&);
std::optional<ConfigurationHead> decodeHead(const std::string&);
std::string encodeChunk(const ConfigurationChunk&);
std::optional<ConfigurationChunk> decodeChunk(const std::string&);

/// Name of a chunk: the hash of its content.
std::string chunkHash(const std::string& encodedChunk);

}
