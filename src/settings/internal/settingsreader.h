#pragma once

#include "settings/settings.h"

#include <utility>
#include <yaml-cpp/yaml.h>

namespace guavaspan {

/// Reads the values of a YAML map and collects faults with their lines, including unknown keys.
class MapReader {
public:
    MapReader(const YAML::Node&, std::string location, std::vector<SettingsFault>&);

    MapReader readMap(const std::string& key, bool required = false);
    void readString(const std::string& key, std::string&);
    void readRequiredString(const std::string& key, std::string&);
    void readStrings(const std::string& key, std::vector<std::string>&);
    void readRequiredEndpoint(const std::string& key, Endpoint&);
    void readMilliseconds(const std::string& key, Milliseconds&, std::int64_t minimum, std::int64_t maximum);

    template <typename Number>
    void readNumber(const std::string& key, Number& value, std::int64_t minimum, std::int64_t maximum)
    {
        std::int64_t integer = static_cast<std::int64_t>(value);
        readInteger(key, integer, minimum, maximum);
        value = static_cast<Number>(integer);
    }

    template <typename Value>
    void readChoice(const std::string& key, Value& value, const std::vector<std::pair<std::string, Value>>& choices)
    {
        std::string chosen;
        readString(key, chosen);
        if (chosen.empty())
            return;
        std::string allowed;
        for (const auto& [name, candidate] : choices) {
            if (name == chosen) {
                value = candidate;
                return;
            }
            allowed += allowed.empty() ? name : ", " + name;
        }
        addFault(key, "must be one of " + allowed);
    }

    void addFault(const std::string& key, const std::string& message);

    /// Adds a fault for each key that was not read before.
    void checkUnknownKeys();

private:
    YAML::Node childNode(const std::string& key);
    std::string locationOf(const std::string& key) const;
    void readInteger(const std::string& key, std::int64_t&, std::int64_t minimum, std::int64_t maximum);

    YAML::Node m_node;
    std::string m_location;
    std::vector<SettingsFault>* m_faults;
    std::vector<std::string> m_knownKeys;
};

}
