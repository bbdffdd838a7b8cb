#pragma once

#include "net/httpserver.h"
#include "standins/keyvaluemodel.h"

#include <deque>
#include <optional>

namespace guavaspan::standins {

/// Faults that tests inject into the metadata store at run time.
struct MetadataFaults {
    /// Accepts calls but does not respond to them.
    bool silent = false;
    /// Responds to every call with status 503 without executing it.
    bool refusing = false;
    /// Does so for the clients of the address that listenRejectably() returned.
    bool rejecting = false;
    Milliseconds delay { 0 };
    /// Number of writes that are executed but whose connection is closed before the response.
    int responsesToDrop = 0;
};

/// Serves the metadata store that PlatformStore accesses: range reads, watches, conditional writes and leases over HTTP.
class MetadataServer {
public:
    explicit MetadataServer(asio::io_context&);
    Result<Endpoint> listen(const Endpoint&);
    /// Serves the same store at another address, whose clients can be rejected while others are served.
    Result<Endpoint> listenRejectably(const Endpoint&);

    /// Unconditional writes that simulate those of operators and targets.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Discards the change history, so that watches from an earlier revision fail and clients must list the keys again.
    void compactHistory();
    /// Continues from a copy that is `age` old and starts a new era: later changes and leases are lost, and their
    /// numbers are given out again. Without a copy that old, continues from the oldest one.
    void restoreFromCopy(Clock::duration age);

    MetadataFaults& faults() { return m_faults; }
    std::int64_t era() const { return m_era; }
    std::int64_t revision() const { return m_revision; }
    std::size_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t createdRevision = 0;
        LeaseId lease = noLease;
    };
    struct Change {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
    };
    struct Lease {
        Milliseconds timeToLive { 0 };
        TimePoint expiresAt;
        TimePoint grantedAt;
    };
    /// What a change replaced, so that the change can be lost.
    struct ReplacedItem {
        TimePoint changedAt;
        std::int64_t previousRevision = 0;
        std::string key;
        std::optional<Item> item;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<> handleRejectable(HttpExchange&);
    Awaitable<Reply> watch(HttpExchange&);
    Reply get(HttpExchange&);
    Reply range(HttpExchange&);
    Reply transact(const std::string& body);
    Reply grantLease(const std::string& body);
    Reply renewLease(LeaseId);
    /// Handles the paths under /standin/, through which tests change the store and inject faults.
    Reply handleControl(const std::string& path, const std::string& body);
    std::string itemJson(const std::string& key, const Item&) const;
    std::string changesJson(std::int64_t revision, const std::string& prefix) const;
    void store(const std::string& key, const std::string& value, LeaseId);
    void rememberReplacedItem(const std::string& key);
    void expireLeases();

    HttpServer m_server;
    HttpServer m_rejectableServer;
    MetadataFaults m_faults;
    std::map<std::string, Item> m_items;
    std::map<LeaseId, Lease> m_leases;
    std::deque<Change> m_changes;
    std::deque<ReplacedItem> m_replacedItems;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_era = 1;
    std::int64_t m_revision = 1;
    LeaseId m_lastLeaseId = 0;
    std::size_t m_calls = 0;
};

}
