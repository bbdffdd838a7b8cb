#pragma once

#include "fleet/storereplica.h"
#include "net/httpexchange.h"

#include <list>
#include <nlohmann/json_fwd.hpp>

namespace guavaspan {

/// Reads a peer's copy of the store over HTTP with CBOR bodies.
class PeerFeedClient : public IWatchableStore {
public:
    static constexpr Milliseconds defaultListTimeout { 1500 };

    explicit PeerFeedClient(Endpoint peer, Milliseconds listTimeout = defaultListTimeout)
        : m_peer(std::move(peer))
        , m_listTimeout(listTimeout)
    {
    }

    Awaitable<Result<StoreListing>> listAll(std::string prefix) override;
    Awaitable<Result<StoreChanges>> watch(std::string prefix, StoreRevision after, Milliseconds wait) override;

private:
    Awaitable<Result<std::string>> fetch(std::string requestTarget, Clock::duration timeout);
    Error unreadableAnswer(std::string detail) const;
    template <typename Answer>
    Result<Answer> decode(const Result<std::string>& body, Answer (*answerFrom)(const nlohmann::json&)) const;

    Endpoint m_peer;
    Milliseconds m_listTimeout;
};

/// Serves this instance's copy of the store to the peers that follow it.
class PeerFeedServer {
public:
    explicit PeerFeedServer(const StoreReplica& replica)
        : m_replica(replica)
    {
    }

    using OutageEnd = std::function<std::optional<BootTime>()>;
    /// When this instance or its source last regained the store, for followers that have not noticed that it was lost.
    void setOutageEnd(OutageEnd outageEnd) { m_outageEnd = std::move(outageEnd); }

    Awaitable<> handle(HttpExchange&);

    /// Wakes the followers that wait for a change.
    void onReplicaChanged();

private:
    Awaitable<StoreChanges> waitForChanges(StoreRevision after, Milliseconds wait);
    std::optional<Clock::duration> sinceOutage(BootTime now) const;

    const StoreReplica& m_replica;
    OutageEnd m_outageEnd;
    std::list<asio::steady_timer*> m_waitingTimers;
};

}
