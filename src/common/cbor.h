#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace guavaspan {

/// Parses a CBOR document; returns nothing if it is malformed or nested too deeply.
std::optional<nlohmann::json> parseCbor(const std::string& bytes);

}
