#include "app/tables.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    std::string cellText(const json& value)
    {
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    std::string formatRows(const json& list)
    {
        std::vector<std::string> columns;
        for (const auto& row : list) {
            for (const auto& [key, value] : row.items()) {
                if (std::find(columns.begin(), columns.end(), key) == columns.end())
                    columns.push_back(key);
            }
        }
        std::string text;
        std::vector<std::size_t> widths;
        for (const auto& column : columns) {
            std::size_t width = column.size();
            for (const auto& row : list)
                width = std::max(width, row.contains(column) ? cellText(row[column]).size() : 0);
            widths.push_back(width);
        }
        for (std::size_t i = 0; i < columns.size(); ++i)
            text += fmt::format("{:<{}}  ", columns[i], widths[i]);
        text += "\n";
        for (const auto& row : list) {
            for (std::size_t i = 0; i < columns.size(); ++i)
                text += fmt::format("{:<{}}  ", row.contains(columns[i]) ? cellText(row[columns[i]]) : "", widths[i]);
            text += "\n";
        }
        return text;
    }

    bool isTable(const json& value)
    {
        return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), [](const json& row) { return row.is_object(); });
    }

}

std::string formatTable(const std::string& text)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return text + "\n";
    std::size_t width = 0;
    for (const auto& [key, value] : body.items())
        width = std::max(width, key.size());
    std::string result;
    for (const auto& [key, value] : body.items()) {
        if (!isTable(value))
            result += fmt::format("{:<{}}  {}\n", key, width, cellText(value));
    }
    for (const auto& [key, value] : body.items()) {
        if (isTable(value))
            result += fmt::format("\n{}:\n{}", key, formatRows(value));
    }
    return result;
}

std::string settlementJson(const std::string& organisation, const std::string& service, const std::string& key, const std::string& outcome)
{
    return json { { "organisation", organisation }, { "service", service }, { "key", key }, { "outcome", outcome } }.dump();
}

}
