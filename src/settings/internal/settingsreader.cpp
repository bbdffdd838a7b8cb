#include "settings/internal/settingsreader.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace guavaspan {

namespace {

    std::size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                auto substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ substitution, row[j] + 1, row[j - 1] + 1 });
            }
        }
        return row.back();
    }

}

MapReader::MapReader(const YAML::Node& node, std::string location, std::vector<SettingsFault>& faults)
    : m_node(node)
    , m_location(std::move(location))
    , m_faults(&faults)
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap())
        addFault("", "must be a map");
}

std::string MapReader::locationOf(const std::string& key) const
{
    if (m_location.empty() || key.empty())
        return m_location + key;
    return m_location + "." + key;
}

void MapReader::addFault(const std::string& key, const std::string& message)
{
    auto node = key.empty() || !m_node.IsMap() ? m_node : YAML::Node(std::as_const(m_node)[key]);
    int line = 0;
    if (node.IsDefined())
        line = node.Mark().line + 1;
    else if (m_node.IsDefined())
        line = m_node.Mark().line + 1;
    m_faults->push_back({ .line = line, .location = locationOf(key), .message = message });
}

YAML::Node MapReader::child(const std::string& key)
{
    m_knownKeys.push_back(key);
    if (!m_node.IsDefined() || !m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    return std::as_const(m_node)[key];
}

MapReader MapReader::map(const std::string& key, bool required)
{
    auto node = child(key);
    if (required && !node.IsDefined())
        addFault(key, "is required");
    return MapReader(node, locationOf(key), *m_faults);
}

void MapReader::text(const std::string& key, std::string& value)
{
    auto node = child(key);
    if (!node.IsDefined())
        return;
    if (node.IsScalar())
        value = node.Scalar();
    else
        addFault(key, "must be a text");
}

void MapReader::readRequiredString(const std::string& key, std::string& value)
{
    text(key, value);
    if (value.empty() && m_node.IsDefined())
        addFault(key, "is required");
}

void MapReader::readStrings(const std::string& key, std::vector<std::string>& values)
{
    auto node = child(key);
    if (!node.IsDefined())
        return;
    if (!node.IsSequence()) {
        addFault(key, "must be a list of texts");
        return;
    }
    for (const auto& item : node)
        values.push_back(item.IsScalar() ? item.Scalar() : "");
}

void MapReader::readRequiredEndpoint(const std::string& key, Endpoint& value)
{
    std::string written;
    readRequiredString(key, written);
    if (written.empty())
        return;
    auto endpoint = parseEndpoint(written);
    if (endpoint)
        value = *endpoint;
    else
        addFault(key, "must be an IP number and port, such as 127.0.0.1:8080");
}

void MapReader::readNumber(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high)
{
    auto node = child(key);
    if (!node.IsDefined())
        return;
    std::int64_t read = 0;
    if (YAML::convert<std::int64_t>::decode(node, read) && read >= low && read <= high)
        value = read;
    else
        addFault(key, fmt::format("must be a whole number from {} to {}", low, high));
}

void MapReader::milliseconds(const std::string& key, Milliseconds& value, std::int64_t low, std::int64_t high)
{
    std::int64_t count = value.count();
    readNumber(key, count, low, high);
    value = Milliseconds(count);
}

void MapReader::finish()
{
    if (!m_node.IsDefined() || !m_node.IsMap())
        return;
    for (const auto& entry : m_node) {
        auto key = entry.first.Scalar();
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) != m_knownKeys.end())
            continue;
        auto nearest = std::min_element(m_knownKeys.begin(), m_knownKeys.end(),
            [&](const std::string& a, const std::string& b) { return editDistance(a, key) < editDistance(b, key); });
        m_faults->push_back({ .line = entry.first.Mark().line + 1, .location = locationOf(key), .message = fmt::format("is not a known setting; the nearest is {}", *nearest) });
    }
}

}
