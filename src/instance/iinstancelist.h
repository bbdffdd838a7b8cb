#pragma once

#include "net/nettypes.h"

#include <string>
#include <vector>

namespace guavaspan {

/// An entry of the platform's instance list.
struct ListedInstance {
    std::string name;
    Endpoint peerEndpoint;
    Endpoint callerEndpoint;
    bool draining = false;

    friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

/// The platform's list of instances and of targets that are shutting down; it may be out of date.
struct InstanceList {
    std::vector<ListedInstance> instances;
    std::vector<std::string> drainingTargets;

    friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

/// Reads the platform's instance list.
class IInstanceList {
public:
    virtual ~IInstanceList() = default;
    virtual Awaitable<Result<InstanceList>> fetch() = 0;
};

}
