#include "configuration/configurationrecord.h"

#include "common/hash.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    std::optional<json> parseObject(const std::string& text)
    {
        auto value = json::parse(text, nullptr, false);
        if (value.is_discarded() || !value.is_object())
            return std::nullopt;
        return value;
    }

}

std::string_view toString(ItemType type)
{
    switch (type) {
    case ItemType::Service:
        return "services";
    case ItemType::Organisation:
        return "organisations";
    case ItemType::Model:
        return "models";
    case ItemType::Target:
        return "targets";
    }
    return "services";
}

std::string itemKey(ItemType type, const std::string& name)
{
    return std::string(toString(type)) + "/" + name;
}

std::size_t chunkIndexOf(const std::string& key)
{
    return stableHash(key) % configurationChunkCount;
}

std::string encodeHead(const ConfigurationHead& head)
{
    json recentTickets = json::array();
    for (const auto& ticket : head.recentTickets)
        recentTickets.push_back({ ticket.number, ticket.revision, ticket.digest });
    return json { { "revision", head.revision }, { "chunks", head.chunkHashes }, { "recent", recentTickets } }.dump();
}

std::optional<ConfigurationHead> decodeHead(const std::string& text)
{
    auto value = parseObject(text);
    if (!value)
        return std::nullopt;
    try {
        ConfigurationHead head;
        head.revision = value->at("revision").get<std::int64_t>();
        head.chunkHashes = value->at("chunks").get<std::array<std::string, configurationChunkCount>>();
        for (const auto& item : value->at("recent"))
            head.recentTickets.push_back({ .number = item.at(0), .revision = item.at(1), .digest = item.at(2) });
        return head;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encodeChunk(const ConfigurationChunk& chunk)
{
    json value = json::object();
    for (const auto& [key, item] : chunk)
        value[key] = { { "ticket", item.ticket }, { "value", item.json } };
    return value.dump();
}

std::optional<ConfigurationChunk> decodeChunk(const std::string& text)
{
    auto value = parseObject(text);
    if (!value)
        return std::nullopt;
    try {
        ConfigurationChunk chunk;
        for (const auto& [key, item] : value->items())
            chunk[key] = StoredItem { .ticket = item.at("ticket"), .json = item.at("value") };
        return chunk;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string chunkHash(const std::string& encodedChunk)
{
    return sha256Hex(encodedChunk).substr(0, 32);
}

}
