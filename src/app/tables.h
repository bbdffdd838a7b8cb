#pragma once

#include <string>

namespace guavaspan {

/// Formats a JSON response as aligned text for operators.
std::string formatTable(const std::string& json);

/// Returns the JSON body of a request that settles a claim.
std::string settlementJson(const std::string& organisation, const std::string& service, const std::string& key, const std::string& outcome);

}
