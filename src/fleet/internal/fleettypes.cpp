#include "fleet/fleettypes.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    std::string toBytes(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

}

std::string encodeInstanceRecord(const InstanceRecord& record)
{
    return toBytes(json::array({ record.name, toString(record.peers), record.failureDomain, record.capacity }));
}

std::optional<InstanceRecord> decodeInstanceRecord(const std::string& bytes)
{
    try {
        auto fields = json::from_cbor(bytes);
        auto peers = parseEndpoint(fields.at(1).get<std::string>());
        if (!peers)
            return std::nullopt;
        InstanceRecord record;
        record.name = fields.at(0).get<std::string>();
        record.peers = *peers;
        record.failureDomain = fields.at(2).get<std::string>();
        record.capacity = fields.at(3).get<int>();
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
