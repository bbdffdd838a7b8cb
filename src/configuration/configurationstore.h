#pragma once

#include "configuration/ticketplanner.h"
#include "keyvalue/ikeyvaluestore.h"

#include <functional>
#include <memory>

namespace guavaspan {

/// A ticket that is in force from a revision on.
struct TicketAccepted {
    std::int64_t revision = 0;
    bool repeated = false;
};

/// The service did not answer, so the ticket may or may not be in force;
/// sending it again tells.
struct TicketOutcomeUnknown {
    Error error;
};

/// The service could not be asked, and the ticket is certainly not in force.
struct TicketNotWritten {
    Error error;
};

using TicketResult = std::variant<TicketAccepted, TicketConflict, TicketStale, TicketOutcomeUnknown, TicketNotWritten, std::vector<TicketFault>>;

/// Reads and writes the configuration in the key-value service.
class ConfigurationStore {
public:
    explicit ConfigurationStore(std::shared_ptr<IKeyValueStore>);

    /// Fetches the head, and those chunks that `known` does not hold. Gives
    /// nothing if the head is no newer than `known`.
    boost::asio::awaitable<Result<std::optional<ConfigurationRecord>>> fetchNewer(ConfigurationRecord cached);

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

/// The configuration in force on this instance; adopts only newer revisions.
class ConfigurationHolder {
public:
    using Listener = std::function<void(const Configuration&)>;

    /// True if the record was newer and valid.
    bool adopt(const ConfigurationRecord&);
    void onChange(Listener);

    const Configuration& current() const { return *m_configuration; }
    std::shared_ptr<const Configuration> snapshot() const { return m_configuration; }
    const ConfigurationRecord& record() const { return m_record; }
    bool ready() const { return m_ready; }

    /// The service confirmed that nothing newer exists, so an empty one is in force.
    void markReady() { m_ready = true; }

    /// Organisation that holds a key, by its hash.
    std::optional<std::string> findOrganisationByKeyHash(const std::string& keyHash) const;

private:
    ConfigurationRecord m_record;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
    std::map<std::string, std::string> m_organisationByKeyHash;
    std::vector<Listener> m_listeners;
    bool m_ready = false;
};

}
