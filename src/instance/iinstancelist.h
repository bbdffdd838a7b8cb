#pragma once

#include "net/nettypes.h"

#include <string>
#include <vector>

namespace guavaspan {

/// An instance as the platform's list names it.
struct ListedInstance {
    std::string name;
    Endpoint peers;
    Endpoint callers;
    bool draining = false;

    friend bool operator==(const ListedInstance&, const ListedInstance&) = default;
};

/// The lagging list of instances and of targets that are leaving.
struct InstanceList {
    std::vector<ListedInstance> instances;
    std::vector<std::string> drainingTargets;

    friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

/// The platform's list.
class IInstanceList {
public:
    virtual ~IInstanceList() = default;
    virtual Awaitable<Result<InstanceList>> fetch() = 0;
};

}
