#include "usage/usagecustodian.h"

#include "common/cbor.h"
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
    constexpr std::size_t maxRecords = 2000;

}

std::string encodeHandedUsage(const std::vector<HandedUsage>& usage)
{
    json list = json::array();
    for (const auto& handed : usage)
        list.push_back(json::array({ handed.record.key, encodeUsage(handed.record.totals), handed.age.count(), handed.inStore }));
    std::string bytes;
    json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<HandedUsage>> decodeHandedUsage(const std::string& bytes)
{
    try {
        std::vector<HandedUsage> usage;
        auto list = parseCbor(bytes);
        if (!list || !list->is_array())
            return std::nullopt;
        for (const auto& fields : *list) {
            UsageRecord record { .key = fields.at(0).get<std::string>(), .totals = decodeUsage(fields.at(1).get<std::string>()) };
            usage.push_back({ .record = std::move(record), .age = Milliseconds(fields.at(2).get<std::int64_t>()), .inStore = fields.at(3).get<bool>() });
        }
        return usage;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

UsageCustodian::UsageCustodian(IKeyValueStore& store)
    : m_store(store)
{
}

/// A record keeps its age from custodian to custodian, so that it ends even if instances stop one after the other.
void UsageCustodian::accept(const HandedUsage& handed, TimePoint now)
{
    dropOldRecords(now);
    auto [position, added] = m_records.try_emplace(handed.record.key);
    auto& held = position->second;
    auto merged = mergeRecordCopies(held.totals, handed.record.totals);
    bool inStore = added ? handed.inStore : held.inStore && merged == held.totals;
    held = { .totals = std::move(merged), .handedOverAt = std::max<TimePoint>(held.handedOverAt, now - handed.age), .checkAt = now + firstCheckDelay, .inStore = inStore };
}

bool UsageCustodian::mayBeLost(const HeldRecord& held, TimePoint now) const
{
    return !held.inStore || held.handedOverAt + maxStoreCopyAge >= now;
}

void UsageCustodian::dropOldRecords(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return !mayBeLost(entry.second, now); });
    if (m_records.size() < maxRecords)
        return;
    auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) { return left.second.handedOverAt < right.second.handedOverAt; });
    logEvent(LogLevel::Warning, "usage_record_dropped", { { "key", oldest->first }, { "in_store", oldest->second.inStore }, { "records", std::int64_t(m_records.size()) } });
    m_records.erase(oldest);
}

std::vector<HandedUsage> UsageCustodian::heldUsage(TimePoint now) const
{
    std::vector<HandedUsage> usage;
    for (const auto& [key, held] : m_records) {
        if (mayBeLost(held, now))
            usage.push_back({ .record = { .key = key, .totals = held.totals }, .age = std::chrono::ceil<Milliseconds>(now - held.handedOverAt), .inStore = held.inStore });
    }
    return usage;
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
