#include "relay/activerequests.h"

#include <algorithm>

namespace guavaspan {

ActiveRequests::Entry::Entry(std::shared_ptr<ActiveRequests> requests, RelayRequest& request)
    : m_requests(std::move(requests))
    , m_position(m_requests->m_requests.insert(m_requests->m_requests.end(), &request))
{
}

ActiveRequests::Entry::~Entry()
{
    m_requests->m_requests.erase(m_position);
}

void ActiveRequests::endWithStop(TimePoint requestsEndAt)
{
    for (auto* request : m_requests)
        request->endWithStop(requestsEndAt);
}

void ActiveRequests::chargeDelivered()
{
    for (auto* request : m_requests) {
        if (request->chargeDelivered)
            request->chargeDelivered();
    }
}

std::vector<const RelayRequest*> ActiveRequests::cutAll(TimePoint now)
{
    std::vector<const RelayRequest*> requests;
    for (auto* request : m_requests) {
        if (request->cut)
            continue;
        request->cut = true;
        request->deadline = std::min(request->deadline, now);
        request->callerWatch.cancelOperation();
        requests.push_back(request);
    }
    return requests;
}

}
