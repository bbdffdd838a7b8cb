#pragma once

#include <string>

namespace guavaspan {

/// A JSON answer as aligned text for people.
std::string formatTable(const std::string& json);

/// Body of a claim settlement.
std::string settlementJson(const std::string& organisation, const std::string& service, const std::string& key, const std::string& outcome);

}
