#pragma once

#include "net/httpserver.h"
#include "standins/keyvaluemodel.h"

#include <deque>

namespace guavaspan::standins {

/// Faults of the metadata store that tests switch at run time.
struct MetadataFaults {
    /// Answers nothing at all.
    bool silent = false;
    /// Refuses every call and does nothing.
    bool refusing = false;
    Milliseconds delay { 0 };
    /// Writes that take effect and whose answers are then lost.
    int responsesToDrop = 0;
};

/// The users' metadata store: ranges, watches, conditional writes, leases.
class MetadataServer {
public:
    explicit MetadataServer(asio::io_context&);
    Result<Endpoint> listen(const Endpoint&);

    /// Writes as operators and targets do.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Forgets what happened, so that watches have to list anew.
    void compactHistory();

    MetadataFaults& faults() { return m_faults; }
    std::int64_t revision() const { return m_revision; }
    std::size_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        LeaseId lease = noLease;
    };
    struct Change {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
    };
    struct Lease {
        Milliseconds timeToLive { 0 };
        TimePoint endsAt;
    };

    Awaitable<> handle(HttpExchange&);
    Awaitable<Reply> watch(HttpExchange&);
    Reply get(HttpExchange&);
    Reply range(HttpExchange&);
    Reply transact(const std::string& body);
    Reply grantLease(const std::string& body);
    Reply keepLease(LeaseId);
    /// Everything by paths under /standin/, which tests call.
    Reply control(const std::string& path, const std::string& body);
    std::string itemJson(const std::string& key, const Item&) const;
    std::string changesAfter(std::int64_t revision, const std::string& prefix) const;
    void store(const std::string& key, const std::string& value, LeaseId);
    void expireLeases();

    HttpServer m_server;
    MetadataFaults m_faults;
    std::map<std::string, Item> m_items;
    std::map<LeaseId, Lease> m_leases;
    std::deque<Change> m_history;
    std::int64_t m_historyStart = 0;
    std::int64_t m_revision = 1;
    LeaseId m_lastLease = 0;
    std::size_t m_calls = 0;
};

}
