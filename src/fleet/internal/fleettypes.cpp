#include "fleet/fleettypes.h"

#include "common/cbor.h"

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
    return toBytes(json::array({ record.name, toString(record.peerEndpoint), record.failureDomain, record.cpuMillicores, record.callerEndpoint ? toString(*record.callerEndpoint) : std::string(), record.readsSummaries }));
}

std::optional<InstanceRecord> decodeInstanceRecord(const std::string& bytes)
{
    try {
        auto document = parseCbor(bytes);
        if (!document)
            return std::nullopt;
        const auto& fields = *document;
        auto peerEndpoint = parseEndpoint(fields.at(1).get<std::string>());
        if (!peerEndpoint)
            return std::nullopt;
        InstanceRecord record;
        record.name = fields.at(0).get<std::string>();
        record.peerEndpoint = *peerEndpoint;
        record.failureDomain = fields.at(2).get<std::string>();
        record.cpuMillicores = fields.at(3).get<int>();
        if (fields.size() > 4)
            record.callerEndpoint = parseEndpoint(fields.at(4).get<std::string>());
        if (fields.size() > 5)
            record.readsSummaries = fields.at(5).get<bool>();
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
