#include "usage/usageledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    template <typename Combine>
    UsageByOrganisation combine(const UsageByOrganisation& a, const UsageByOrganisation& b, Combine combineNumbers)
    {
        UsageByOrganisation result = a;
        for (const auto& [organisation, usage] : b) {
            auto& combined = result[organisation];
            combined.promptTokens = combineNumbers(combined.promptTokens, usage.promptTokens);
            combined.outputTokens = combineNumbers(combined.outputTokens, usage.outputTokens);
            combined.requests = combineNumbers(combined.requests, usage.requests);
        }
        return result;
    }

}

void UsageLedger::charge(const std::string& organisation, const Usage& usage)
{
    auto& total = m_totals[organisation];
    total.promptTokens += usage.promptTokens;
    total.outputTokens += usage.outputTokens;
    total.requests += usage.requests;
    ++m_charges;
}

UsageByOrganisation mergeRecordCopies(const UsageByOrganisation& a, const UsageByOrganisation& b)
{
    return combine(a, b, [](std::int64_t x, std::int64_t y) { return std::max(x, y); });
}

UsageByOrganisation addRecords(const UsageByOrganisation& a, const UsageByOrganisation& b)
{
    return combine(a, b, [](std::int64_t x, std::int64_t y) { return x + y; });
}

std::string encodeUsage(const UsageByOrganisation& usage)
{
    json value = json::object();
    for (const auto& [organisation, organisationUsage] : usage)
        value[organisation] = { organisationUsage.promptTokens, organisationUsage.outputTokens, organisationUsage.requests };
    return value.dump();
}

UsageByOrganisation decodeUsage(const std::string& text)
{
    UsageByOrganisation usage;
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return usage;
    for (const auto& [organisation, fields] : value.items()) {
        if (fields.is_array() && fields.size() == 3)
            usage[organisation] = { .promptTokens = fields[0], .outputTokens = fields[1], .requests = fields[2] };
    }
    return usage;
}

}
