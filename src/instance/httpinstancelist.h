#pragma once

#include "instance/iinstancelist.h"

namespace guavaspan {

/// Reads the list over HTTP as JSON.
class HttpInstanceList : public IInstanceList {
public:
    HttpInstanceList(Endpoint, Clock::duration timeout);
    Awaitable<Result<InstanceList>> fetch() override;

private:
    Endpoint m_endpoint;
    Clock::duration m_timeout;
};

}
