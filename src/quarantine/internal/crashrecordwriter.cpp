#include "quarantine/crashrecordwriter.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr auto pollInterval = Milliseconds(100);
    constexpr auto retryInterval = Milliseconds(500);
    /// Records are removed by their lease; the longest one that the platform grants lasts ten minutes.
    constexpr auto recordLifetime = Seconds(600);
    constexpr std::size_t maxKnownKeys = 10000;
    /// Records that are kept in case the store comes back from a copy.
    constexpr std::size_t maxLatestRecords = 500;
    constexpr const char* promptPartMarker = "prompt-part";
    constexpr const char* suspicionMarker = "suspected";

}

/// A conviction has the fingerprint only, a crash report also the target and its incarnation. Records of parts of prompts and of
/// suspicions start with a word that is no fingerprint.
std::string encodeCrashRecord(const StoredCrashRecord& record)
{
    return std::visit(Overloaded {
                          [](const CrashReport& report) { return json::array({ hexOf(report.fingerprint), report.target, report.incarnation }).dump(); },
                          [](const ConvictionNotice& notice) { return json::array({ hexOf(notice.fingerprint) }).dump(); },
                          [](const SuspicionRecord& suspicion) { return json::array({ suspicionMarker, hexOf(suspicion.fingerprint) }).dump(); },
                          [](const PromptPartRecord& conviction) { return json::array({ promptPartMarker, hexOf(conviction.part) }).dump(); },
                      },
        record);
}

std::optional<StoredCrashRecord> decodeCrashRecord(const std::string& text)
{
    try {
        auto fields = json::parse(text);
        if (fields.at(0) == promptPartMarker)
            return PromptPartRecord { .part = std::stoull(fields.at(1).get<std::string>(), nullptr, 16) };
        if (fields.at(0) == suspicionMarker)
            return SuspicionRecord { .fingerprint = std::stoull(fields.at(1).get<std::string>(), nullptr, 16) };
        Fingerprint fingerprint = std::stoull(fields.at(0).get<std::string>(), nullptr, 16);
        if (fields.size() == 1)
            return ConvictionNotice { .fingerprint = fingerprint };
        CrashReport report;
        report.fingerprint = fingerprint;
        report.target = fields.at(1).get<std::string>();
        report.incarnation = fields.at(2).get<std::string>();
        return report;
    } catch (const std::exception& exception) {
        logEvent(LogLevel::Warning, "crash_record_unreadable", { { "detail", std::string(exception.what()) } });
        return std::nullopt;
    }
}

CrashRecordWriter::CrashRecordWriter(IKeyValueStore& store, std::string keyPrefix)
    : m_store(store)
    , m_keyPrefix(std::move(keyPrefix))
{
}

std::string CrashRecordWriter::keyOf(const StoredCrashRecord& record) const
{
    return std::visit(Overloaded {
                          [&](const CrashReport& report) { return m_keyPrefix + hexOf(report.fingerprint) + "/" + hexOf(stableHash(report.incarnation, stableHash(report.target))); },
                          [&](const ConvictionNotice& notice) { return m_keyPrefix + hexOf(notice.fingerprint) + "/convicted"; },
                          [&](const SuspicionRecord& suspicion) { return m_keyPrefix + hexOf(suspicion.fingerprint) + "/" + suspicionMarker; },
                          [&](const PromptPartRecord& conviction) { return m_keyPrefix + promptPartMarker + "/" + hexOf(conviction.part); },
                      },
        record);
}

void CrashRecordWriter::add(const StoredCrashRecord& record)
{
    if (m_knownKeys.size() >= maxKnownKeys)
        m_knownKeys.clear();
    if (!m_knownKeys.insert(keyOf(record)).second)
        return;
    m_queue.push_back(record);
    m_latestRecords.push_back({ .record = record, .addedAt = Clock::now() });
    if (m_latestRecords.size() > maxLatestRecords)
        m_latestRecords.pop_front();
}

void CrashRecordWriter::writeAgain()
{
    auto now = Clock::now();
    std::erase_if(m_latestRecords, [&](const AddedRecord& added) { return added.addedAt + maxStoreCopyAge < now; });
    for (const auto& added : m_latestRecords)
        m_queue.push_back(added.record);
}

Awaitable<bool> CrashRecordWriter::writeQueued()
{
    if (m_queue.empty())
        co_return true;
    auto lease = co_await m_store.grantLease(recordLifetime);
    if (!lease) {
        logEvent(LogLevel::Warning, "crash_record_not_written", { { "detail", describe(lease.error()) }, { "queued", std::int64_t(m_queue.size()) } });
        co_return false;
    }
    while (!m_queue.empty()) {
        auto record = m_queue.front();
        SwapOptions options { .key = keyOf(record), .expectedVersion = absentVersion, .value = encodeCrashRecord(record), .lease = *lease };
        auto written = co_await m_store.compareAndSwap(std::move(options));
        if (!written) {
            logEvent(LogLevel::Warning, "crash_record_not_written", { { "detail", describe(written.error()) }, { "queued", std::int64_t(m_queue.size()) } });
            co_return false;
        }
        // A record that exists already was written by a peer or by an earlier attempt whose answer was lost.
        m_queue.pop_front();
    }
    co_return true;
}

Awaitable<> CrashRecordWriter::run()
{
    while (true) {
        bool written = co_await writeQueued();
        co_await sleepFor(written ? Clock::duration(pollInterval) : Clock::duration(retryInterval));
    }
}

}
