#include "configuration/configurationstore.h"

#include "common/log.h"
#include "configuration/ticketparser.h"
#include "net/nettypes.h"

namespace guavaspan {

namespace {

    const std::string headKey = "/guavaspan/configuration/head";
    const std::string chunkPrefix = "/guavaspan/configuration/chunk/";
    constexpr int maxSubmitAttempts = 20;
    constexpr auto retryDelay = Milliseconds(20);

    Error corruptDataError(std::string detail)
    {
        return Error { .code = ErrorCode::BadReply, .step = Step::KeyValue, .detail = std::move(detail) };
    }

}

ConfigurationStore::ConfigurationStore(std::shared_ptr<IKeyValueStore> keyValue)
    : m_keyValue(std::move(keyValue))
{
}

Awaitable<Result<ConfigurationChunk>> ConfigurationStore::fetchChunk(std::string hash)
{
    auto entry = co_await m_keyValue->get(chunkPrefix + hash);
    if (!entry)
        co_return entry.error();
    if (!*entry)
        co_return corruptDataError("chunk " + hash + " is missing");
    if (chunkHash((*entry)->value) != hash)
        co_return corruptDataError("chunk " + hash + " does not match its hash");
    auto chunk = decodeChunk((*entry)->value);
    if (!chunk)
        co_return corruptDataError("chunk " + hash + " cannot be decoded");
    co_return *chunk;
}

Awaitable<Result<ConfigurationStore::VersionedRecord>> ConfigurationStore::fetch(ConfigurationRecord cached)
{
    auto entry = co_await m_keyValue->get(headKey);
    if (!entry)
        co_return entry.error();
    VersionedRecord result;
    if (!*entry)
        co_return result;
    auto head = decodeHead((*entry)->value);
    if (!head)
        co_return corruptDataError("configuration head cannot be decoded");
    result.headVersion = (*entry)->version;
    result.record = std::move(cached);
    auto& record = result.record;
    for (std::size_t i = 0; i < configurationChunkCount; ++i) {
        if (record.head.chunkHashes[i] == head->chunkHashes[i])
            continue;
        auto chunk = co_await fetchChunk(head->chunkHashes[i]);
        if (!chunk)
            co_return chunk.error();
        record.chunks[i] = std::move(*chunk);
    }
    record.head = std::move(*head);
    co_return result;
}

Awaitable<Result<std::optional<ConfigurationRecord>>> ConfigurationStore::fetchNewer(ConfigurationRecord cached)
{
    auto cachedRevision = cached.head.revision;
    auto fetched = co_await fetch(std::move(cached));
    if (!fetched)
        co_return fetched.error();
    if (fetched->record.head.revision <= cachedRevision)
        co_return std::optional<ConfigurationRecord> {};
    co_return std::optional<ConfigurationRecord> { std::move(fetched->record) };
}

Awaitable<Result<void>> ConfigurationStore::writeChunk(std::string encoded)
{
    // A chunk is named by the hash of its content, so an existing chunk of that name has the same content.
    SwapOptions options { .key = chunkPrefix + chunkHash(encoded), .expectedVersion = absentVersion, .value = encoded };
    auto swapResult = co_await m_keyValue->compareAndSwap(std::move(options));
    if (!swapResult)
        co_return swapResult.error();
    co_return Result<void> {};
}

/// Swapping the head commits the ticket, so a failure before that means that it
/// was not applied. If the swap gets no answer, the head is read again: the
/// ticket was applied if its number is among the recent tickets.
Awaitable<TicketResult> ConfigurationStore::submit(Ticket ticket, ConfigurationRecord cached)
{
    bool mayBeCommitted = false;
    Error lastError;
    for (int attempt = 0; attempt < maxSubmitAttempts; ++attempt) {
        if (attempt > 0)
            co_await sleepFor(retryDelay);
        auto fetched = co_await fetch(cached);
        if (!fetched) {
            lastError = fetched.error();
            if (!mayBeCommitted)
                co_return TicketNotWritten { .error = lastError };
            continue;
        }
        auto decision = planTicket(fetched->record, ticket);
        if (auto* accepted = std::get_if<TicketAlreadyAccepted>(&decision))
            co_return TicketAccepted { .revision = accepted->revision, .repeated = !mayBeCommitted };
        if (auto* conflict = std::get_if<TicketConflict>(&decision))
            co_return *conflict;
        if (auto* stale = std::get_if<TicketStale>(&decision))
            co_return *stale;
        if (auto* faults = std::get_if<std::vector<TicketFault>>(&decision))
            co_return std::move(*faults);

        auto& plan = std::get<TicketPlan>(decision);
        bool chunksWritten = true;
        for (auto index : plan.changedChunks) {
            auto written = co_await writeChunk(encodeChunk(plan.next.chunks[index]));
            if (written)
                continue;
            lastError = written.error();
            chunksWritten = false;
            break;
        }
        if (!chunksWritten) {
            if (!mayBeCommitted)
                co_return TicketNotWritten { .error = lastError };
            continue;
        }
        SwapOptions options { .key = headKey, .expectedVersion = fetched->headVersion, .value = encodeHead(plan.next.head) };
        auto swapResult = co_await m_keyValue->compareAndSwap(std::move(options));
        if (swapResult && swapResult->swapped)
            co_return TicketAccepted { .revision = plan.next.head.revision };
        if (!swapResult && swapResult.error().outcome != Outcome::NotRun) {
            lastError = swapResult.error();
            mayBeCommitted = true;
        }
        if (!swapResult && !mayBeCommitted)
            co_return TicketNotWritten { .error = swapResult.error() };
        cached = std::move(fetched->record);
    }
    if (mayBeCommitted)
        co_return TicketOutcomeUnknown { .error = lastError };
    co_return TicketNotWritten { .error = Error { .code = ErrorCode::Conflict, .step = Step::KeyValue, .detail = "compare-and-swap kept failing because of concurrent tickets" } };
}

bool ConfigurationHolder::adopt(const ConfigurationRecord& record)
{
    if (record.head.revision <= m_record.head.revision)
        return false;
    auto buildResult = buildConfiguration(record);
    if (auto* faults = std::get_if<std::vector<TicketFault>>(&buildResult)) {
        logEvent(LogLevel::Error, "configuration_rejected", { { "revision", record.head.revision }, { "place", faults->front().place }, { "detail", faults->front().message } });
        return false;
    }
    m_record = record;
    m_configuration = std::make_shared<Configuration>(std::get<Configuration>(std::move(buildResult)));
    m_organisationByKeyHash.clear();
    for (const auto& [name, organisation] : m_configuration->organisations) {
        for (const auto& hash : organisation.keyHashes)
            m_organisationByKeyHash[hash] = name;
    }
    m_ready = true;
    logEvent(LogLevel::Info, "configuration_adopted", { { "revision", record.head.revision } });
    for (const auto& listener : m_listeners)
        listener(*m_configuration);
    return true;
}

void ConfigurationHolder::onChange(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

std::optional<std::string> ConfigurationHolder::findOrganisationByKeyHash(const std::string& keyHash) const
{
    auto found = m_organisationByKeyHash.find(keyHash);
    if (found == m_organisationByKeyHash.end())
        return std::nullopt;
    return found->second;
}

}
