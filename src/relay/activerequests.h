#pragma once

#include "relay/relaycontext.h"

#include <list>
#include <vector>

namespace guavaspan {

/// The requests that this instance relays.
class ActiveRequests {
public:
    /// Lists a request while it exists.
    class Entry {
    public:
        Entry(std::shared_ptr<ActiveRequests>, RelayRequest&);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        std::shared_ptr<ActiveRequests> m_requests;
        std::list<RelayRequest*>::iterator m_position;
    };

    std::size_t size() const { return m_requests.size(); }

    void endWithStop(TimePoint requestsEndAt);

    /// Charges what the requests that still run have delivered so far.
    void chargeDelivered();

    /// Ends the requests that still run, as if their deadlines were reached; returns them.
    std::vector<const RelayRequest*> cutAll(TimePoint now);

private:
    std::list<RelayRequest*> m_requests;
};

}
