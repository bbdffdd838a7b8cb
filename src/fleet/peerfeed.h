#pragma once

#include "fleet/storereplica.h"
#include "net/httpexchange.h"

#include <list>

namespace guavaspan {

/// A peer's copy of the store, read over HTTP with CBOR bodies.
class PeerFeedClient : public IWatchableStore {
public:
    explicit PeerFeedClient(Endpoint peer)
        : m_peer(std::move(peer))
    {
    }

    Awaitable<Result<StoreListing>> listAll(std::string prefix) override;
    Awaitable<Result<StoreChanges>> watch(std::string prefix, std::int64_t after, Milliseconds wait) override;

private:
    Awaitable<Result<std::string>> fetch(std::string target, Clock::duration timeout);

    Endpoint m_peer;
};

/// Serves this instance's copy to peers that follow it.
class PeerFeedServer {
public:
    explicit PeerFeedServer(const StoreReplica& replica)
        : m_replica(replica)
    {
    }

    Awaitable<> handle(HttpExchange&);

    /// Followers that wait are answered now.
    void onReplicaChanged();

private:
    Awaitable<StoreChanges> waitForChanges(std::int64_t after, Milliseconds wait);

    const StoreReplica& m_replica;
    std::list<asio::steady_timer*> m_waiting;
};

}
