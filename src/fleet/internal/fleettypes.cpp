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
    return toBytes(json::array({ record.name, toString(record.peers), record.failureDomain }));
}

std::optional<InstanceRecord> decodeInstanceRecord(const std::string& bytes)
{
    try {
        auto fields = json::from_cbor(bytes);
        auto peers = parseEndpoint(fields.at(1).get<std::string>());
        if (!peers)
            return std::nullopt;
        return InstanceRecord { .name = fields.at(0), .peers = *peers, .failureDomain = fields.at(2) };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
