#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace guavaspan {

/// An IP address and port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

std::string toString(const Endpoint&);

}
