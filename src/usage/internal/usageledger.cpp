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
            auto& target = result[organisation];
            target.promptTokens = combineNumbers(target.promptTokens, usage.promptTokens);
            target.outputTokens = combineNumbers(target.outputTokens, usage.outputTokens);
            target.requests = combineNumbers(target.requests, usage.requests);
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
    m_changed = true;
}

bool UsageLedger::takeChanged()
{
    return std::exchange(m_changed, false);
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
    for (const auto& [organisation, item] : usage)
        value[organisation] = { item.promptTokens, item.outputTokens, item.requests };
    return value.dump();
}

UsageByOrganisation decodeUsage(const std::string& text)
{
    UsageByOrganisation usage;
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return usage;
    for (const auto& [organisation, item] : value.items()) {
        if (item.is_array() && item.size() == 3)
            usage[organisation] = { .promptTokens = item[0], .outputTokens = item[1], .requests = item[2] };
    }
    return usage;
}

}
