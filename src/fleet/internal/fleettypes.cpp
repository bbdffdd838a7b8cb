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

std::string encodeInstanceLoads(const InstanceLoads& report)
{
    json loads = json::array();
    for (const auto& [target, load] : report.loads)
        loads.push_back({ target, load.requests, static_cast<std::int64_t>(load.tokens), static_cast<std::int64_t>(load.unreadPromptTokens) });
    return toBytes(json::array({ report.instance, report.sequence, loads }));
}

std::optional<InstanceLoads> decodeInstanceLoads(const std::string& bytes)
{
    try {
        auto fields = json::from_cbor(bytes);
        InstanceLoads report { .instance = fields.at(0), .sequence = fields.at(1) };
        for (const auto& load : fields.at(2))
            report.loads.emplace(load.at(0).get<std::string>(), TargetLoad { .requests = load.at(1), .tokens = load.at(2), .unreadPromptTokens = load.at(3) });
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
