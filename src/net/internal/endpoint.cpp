#include "net/endpoint.h"

#include <fmt/format.h>

namespace guavaspan {

std::string toString(const Endpoint& endpoint)
{
    if (endpoint.address.find(':') != std::string::npos)
        return fmt::format("[{}]:{}", endpoint.address, endpoint.port);
    return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}
