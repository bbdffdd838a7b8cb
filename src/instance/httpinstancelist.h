#pragma once

#include "instance/iinstancelist.h"

namespace guavaspan {

/// Reads the platform's instance list as JSON over HTTP.
class HttpInstanceList : public IInstanceList {
public:
    HttpInstanceList(Endpoint, Clock::duration timeout);
    Awaitable<Result<InstanceList>> fetch() override;

private:
    Endpoint m_endpoint;
    Clock::duration m_timeout;
};

}
