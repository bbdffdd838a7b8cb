#pragma once

#include "settings/settings.h"

#include <utility>
#include <yaml-cpp/yaml.h>

namespace guavaspan {

/// Reads one YAML map, notes faults with their lines, and refuses unknown keys.
class MapReader {
public:
    MapReader(const YAML::Node&, std::string location, std::vector<SettingsFault>&);

    MapReader map(const std::string& key, bool required = false);
    void text(const std::string& key, std::string&);
    void readRequiredString(const std::string& key, std::string&);
    void readStrings(const std::string& key, std::vector<std::string>&);
    void readRequiredEndpoint(const std::string& key, Endpoint&);
    void milliseconds(const std::string& key, Milliseconds&, std::int64_t low, std::int64_t high);

    template <typename Number>
    void number(const std::string& key, Number& value, std::int64_t low, std::int64_t high)
    {
        std::int64_t wide = static_cast<std::int64_t>(value);
        readNumber(key, wide, low, high);
        value = static_cast<Number>(wide);
    }

    template <typename Value>
    void choice(const std::string& key, Value& value, const std::vector<std::pair<std::string, Value>>& choices)
    {
        std::string chosen;
        text(key, chosen);
        if (chosen.empty())
            return;
        std::string known;
        for (const auto& [name, candidate] : choices) {
            if (name == chosen) {
                value = candidate;
                return;
            }
            known += known.empty() ? name : ", " + name;
        }
        addFault(key, "must be one of " + known);
    }

    void addFault(const std::string& key, const std::string& message);

    /// Reports keys that nothing has read.
    void finish();

private:
    YAML::Node child(const std::string& key);
    std::string locationOf(const std::string& key) const;
    void readNumber(const std::string& key, std::int64_t&, std::int64_t low, std::int64_t high);

    YAML::Node m_node;
    std::string m_location;
    std::vector<SettingsFault>* m_faults;
    std::vector<std::string> m_knownKeys;
};

}
