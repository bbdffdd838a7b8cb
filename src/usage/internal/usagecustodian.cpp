#include "usage/usagecustodian.h"

#include "common/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr auto checkInterval = Milliseconds(500);
    /// The instance that stops writes its record itself if the store responds, within a second.
    constexpr auto firstCheckDelay = Milliseconds(2000);
    constexpr auto retryDelay = Milliseconds(1000);
    /// Age of the oldest copy from which the store is expected to come back.
    constexpr auto maxCopyAge = Seconds(60);
    constexpr std::size_t maxRecords = 2000;

}

std::string encodeUsageRecords(const std::vector<UsageRecord>& records)
{
    json list = json::array();
    for (const auto& record : records)
        list.push_back(json::array({ record.key, encodeUsage(record.totals) }));
    std::string bytes;
    json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<UsageRecord>> decodeUsageRecords(const std::string& bytes)
{
    try {
        std::vector<UsageRecord> records;
        auto list = json::from_cbor(bytes);
        if (!list.is_array())
            return std::nullopt;
        for (const auto& fields : list)
            records.push_back({ .key = fields.at(0).get<std::string>(), .totals = decodeUsage(fields.at(1).get<std::string>()) });
        return records;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

UsageCustodian::UsageCustodian(IKeyValueStore& store)
    : m_store(store)
{
}

void UsageCustodian::accept(const UsageRecord& record, TimePoint now)
{
    dropOldRecords(now);
    auto& held = m_records[record.key];
    held = { .totals = mergeRecordCopies(held.totals, record.totals), .acceptedAt = now, .checkAt = now + firstCheckDelay };
}

void UsageCustodian::dropOldRecords(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.inStore && entry.second.acceptedAt + maxCopyAge < now; });
    if (m_records.size() < maxRecords)
        return;
    auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) { return left.second.acceptedAt < right.second.acceptedAt; });
    logEvent(LogLevel::Warning, "usage_record_dropped", { { "key", oldest->first }, { "in_store", oldest->second.inStore }, { "records", std::int64_t(m_records.size()) } });
    m_records.erase(oldest);
}

std::vector<UsageRecord> UsageCustodian::records() const
{
    std::vector<UsageRecord> records;
    for (const auto& [key, held] : m_records)
        records.push_back({ .key = key, .totals = held.totals });
    return records;
}

void UsageCustodian::checkAgain(TimePoint now)
{
    dropOldRecords(now);
    for (auto& [key, held] : m_records) {
        held.inStore = false;
        held.checkAt = now;
    }
}

Awaitable<> UsageCustodian::checkDueRecords(TimePoint now)
{
    std::vector<UsageRecord> due;
    for (const auto& [key, held] : m_records) {
        if (!held.inStore && held.checkAt <= now)
            due.push_back({ .key = key, .totals = held.totals });
    }
    for (const auto& record : due) {
        bool written = co_await write(record.key, record.totals);
        auto held = m_records.find(record.key);
        if (held == m_records.end())
            continue;
        // More use may have been accepted, or the store restored, while the call was under way.
        if (written && held->second.totals == record.totals && held->second.checkAt <= now)
            held->second.inStore = true;
        else
            held->second.checkAt = std::max<TimePoint>(held->second.checkAt, now + retryDelay);
    }
}

/// Several custodians may hold one record, and the instance itself may have written it, so that copies are merged.
Awaitable<bool> UsageCustodian::write(std::string key, UsageByOrganisation totals)
{
    auto entry = co_await m_store.get(key);
    if (!entry)
        co_return false;
    auto stored = *entry ? decodeUsage((*entry)->value) : UsageByOrganisation {};
    auto merged = mergeRecordCopies(stored, totals);
    if (merged == stored)
        co_return true;
    SwapOptions options { .key = key, .expectedVersion = *entry ? (*entry)->version : absentVersion, .value = encodeUsage(merged) };
    auto result = co_await m_store.compareAndSwap(std::move(options));
    bool written = result && result->swapped;
    logEvent(written ? LogLevel::Info : LogLevel::Warning, written ? "usage_written_for_peer" : "usage_not_written", { { "key", key } });
    co_return written;
}

Awaitable<> UsageCustodian::run()
{
    while (true) {
        co_await checkDueRecords(Clock::now());
        co_await sleepFor(checkInterval);
    }
}

}
