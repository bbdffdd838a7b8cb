#pragma once

#include "configuration/ticketplanner.h"
#include "keyvalue/ikeyvaluestore.h"

#include <functional>
#include <memory>

namespace guavaspan {

/// The ticket has been applied; `repeated` is set if an earlier submission of the same ticket had applied it.
struct TicketAccepted {
    std::int64_t revision = 0;
    bool repeated = false;
};

/// The key-value service did not answer, so the ticket may or may not have been
/// applied; submitting it again returns the result.
struct TicketOutcomeUnknown {
    Error error;
};

/// The ticket could not be written and has certainly not been applied.
struct TicketNotWritten {
    Error error;
};

using TicketResult = std::variant<TicketAccepted, TicketConflict, TicketStale, TicketOutcomeUnknown, TicketNotWritten, std::vector<TicketFault>>;

/// Reads and writes the configuration in the key-value service.
class ConfigurationStore {
public:
    explicit ConfigurationStore(std::shared_ptr<IKeyValueStore>);

    /// Fetches the head and the chunks that differ from `cached`. Returns
    /// nothing if the head is not newer than `cached`.
    boost::asio::awaitable<Result<std::optional<ConfigurationRecord>>> fetchNewer(ConfigurationRecord cached);

    /// Applies a ticket by compare-and-swap on the head, with retries after concurrent updates.
    boost::asio::awaitable<TicketResult> submit(Ticket, ConfigurationRecord cached);

private:
    struct VersionedRecord {
        ConfigurationRecord record;
        std::int64_t headVersion = absentVersion;
    };

    boost::asio::awaitable<Result<VersionedRecord>> fetch(ConfigurationRecord cached);
    boost::asio::awaitable<Result<ConfigurationChunk>> fetchChunk(std::string hash);
    boost::asio::awaitable<Result<void>> writeChunk(std::string encoded);

    std::shared_ptr<IKeyValueStore> m_keyValue;
};

/// The configuration that this instance uses; accepts only newer revisions.
class ConfigurationHolder {
public:
    using Listener = std::function<void(const Configuration&)>;

    /// Replaces the configuration and notifies the listeners if the record is newer and valid; returns whether it did.
    bool adopt(const ConfigurationRecord&);
    void onChange(Listener);

    const Configuration& current() const { return *m_configuration; }
    std::shared_ptr<const Configuration> snapshot() const { return m_configuration; }
    const ConfigurationRecord& record() const { return m_record; }
    bool ready() const { return m_ready; }

    /// Call after the key-value service has confirmed that no newer revision exists;
    /// an empty configuration is then valid.
    void markReady() { m_ready = true; }

    /// Name of the organisation that an API key with this hash belongs to.
    std::optional<std::string> findOrganisationByKeyHash(const std::string& keyHash) const;

private:
    ConfigurationRecord m_record;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
    std::map<std::string, std::string> m_organisationByKeyHash;
    std::vector<Listener> m_listeners;
    bool m_ready = false;
};

}
