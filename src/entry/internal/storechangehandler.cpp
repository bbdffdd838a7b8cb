#include "entry/storechangehandler.h"

#include "common/log.h"
#include "common/overloaded.h"

namespace guavaspan {

/// An entry that cannot be applied must not keep the others from being applied.
void StoreChangeHandler::onStoreChange(const std::string& key, const std::optional<std::string>& value)
{
    try {
        onStoreEntry(key, value);
    } catch (const std::exception& exception) {
        logEvent(LogLevel::Error, "store_entry_not_applied", { { "key", key }, { "bytes", std::int64_t(value ? value->size() : 0) }, { "detail", std::string(exception.what()) } });
    }
}

void StoreChangeHandler::onStoreEntry(const std::string& key, const std::optional<std::string>& value)
{
    const auto& schema = m_context.schema;
    auto now = Clock::now();
    if (key == schema.configurationKey) {
        if (value)
            onConfiguration(*value);
    } else if (key.starts_with(schema.targetPrefix)) {
        auto id = key.substr(schema.targetPrefix.size());
        auto entry = value ? schema.decodeTarget(id, *value) : std::nullopt;
        if (value)
            m_context.directory.onEntryWritten(id, entry, now);
        else
            m_context.directory.onEntryRemoved(id, now);
        if (entry)
            m_context.targetLimits.onEntry(*entry, now);
        m_context.dispatcher.onTargetsChanged();
    } else if (key.starts_with(schema.evacuationPrefix)) {
        auto domain = key.substr(schema.evacuationPrefix.size());
        if (value && !domain.empty())
            m_context.directory.evacuations().onEvacuated(domain, now);
        else
            m_context.directory.evacuations().onEnded(domain, now);
    } else if (key.starts_with(schema.instancePrefix)) {
        auto record = value ? decodeInstanceRecord(*value) : std::nullopt;
        if (record)
            m_context.fleet.onRegistered(key, std::move(*record), now);
        else
            m_context.fleet.onUnregistered(key, now);
    } else if (key.starts_with(schema.crashPrefix)) {
        if (auto record = value ? decodeCrashRecord(*value) : std::nullopt)
            onCrashRecord(*record, now);
    }
}

void StoreChangeHandler::onEvacuationChanged(const EvacuationChanged& event)
{
    logEvent(LogLevel::Warning, event.evacuated ? "evacuation_started" : "evacuation_ended", { { "domain", event.domain }, { "targets", std::int64_t(m_context.directory.targetsIn(event.domain)) }, { "source", std::string(toString(m_context.follower.source())) }, { "era", m_context.replica.revision().era }, { "revision", m_context.replica.revision().number }, { "waiting", std::int64_t(m_context.dispatcher.waitingCount()) } });
    m_context.dispatcher.onTargetsChanged();
}

void StoreChangeHandler::onCrashRecord(const StoredCrashRecord& record, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const PromptPartRecord& conviction) { m_context.promptGuard.onStoredRecord(conviction, now); },
                   [&](const auto& crashRecord) { m_context.crashGuard.onStoredRecord(crashRecord, now); },
               },
        record);
}

void StoreChangeHandler::onConfiguration(const std::string& document)
{
    auto configuration = m_context.schema.decodeConfiguration(document);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration_unreadable", { { "bytes", std::int64_t(document.size()) } });
        return;
    }
    auto version = configuration->version;
    if (!m_context.configuration.adopt(std::move(*configuration))) {
        auto inForce = m_context.configuration.table()->version();
        if (version < inForce)
            logEvent(LogLevel::Warning, "older_configuration_ignored", { { "version", version }, { "in_force", inForce }, { "source", std::string(toString(m_context.follower.source())) } });
        return;
    }
    m_context.onCallerLimits(m_context.configuration.table()->limits());
    std::map<std::string, double> coldServices;
    for (const auto& service : m_context.configuration.table()->services()) {
        if (service.coldRequestsPerSecond > 0)
            coldServices.emplace(service.name, service.coldRequestsPerSecond);
    }
    m_context.targetLimits.setColdServices(std::move(coldServices), Clock::now());
    std::set<std::string> pooledServices;
    for (const auto& service : m_context.configuration.table()->services()) {
        if (service.engine)
            pooledServices.insert(service.name);
    }
    m_context.targetLimits.setPooledServices(std::move(pooledServices), Clock::now());
    logEvent(LogLevel::Info, "configuration_adopted", { { "version", version }, { "source", std::string(toString(m_context.follower.source())) }, { "era", m_context.replica.revision().era }, { "revision", m_context.replica.revision().number }, { "configuration_age_ms", std::chrono::duration_cast<Milliseconds>(m_context.configuration.age(BootClock::now())).count() } });
}

}
