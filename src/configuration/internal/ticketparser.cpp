#include "configuration/ticketparser.h"

#include "common/hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr std::array itemTypes { ItemType::Service, ItemType::Organisation, ItemType::Model, ItemType::Target };
    constexpr std::size_t maxNameLength = 128;
    constexpr std::size_t hashLength = 64;
    constexpr int maxOutputTokensLimit = 1 << 20;

    /// Reads the members of one JSON object and records each fault with its path.
    class ObjectReader {
    public:
        ObjectReader(const json& object, std::string place, std::vector<TicketFault>& faults)
            : m_object(object)
            , m_place(std::move(place))
            , m_faults(faults)
        {
            if (!object.is_object())
                addFault("", "must be an object");
        }

        void addFault(const std::string& member, const std::string& message)
        {
            m_faults.push_back({ .place = member.empty() ? m_place : m_place + "." + member, .message = message });
        }

        const json* member(const char* name)
        {
            m_expectedMembers.emplace_back(name);
            if (!m_object.is_object())
                return nullptr;
            auto found = m_object.find(name);
            return found == m_object.end() ? nullptr : &*found;
        }

        std::string readString(const char* name, const std::string& fallback, bool required = false)
        {
            const auto* value = member(name);
            if (!value) {
                if (required)
                    addFault(name, "is required");
                return fallback;
            }
            if (value->is_string())
                return value->get<std::string>();
            addFault(name, "must be a string");
            return fallback;
        }

        bool readFlag(const char* name, bool fallback)
        {
            const auto* value = member(name);
            if (!value)
                return fallback;
            if (value->is_boolean())
                return value->get<bool>();
            addFault(name, "must be true or false");
            return fallback;
        }

        double readNumber(const char* name, double fallback, double minimum, double maximum)
        {
            const auto* value = member(name);
            if (!value)
                return fallback;
            if (value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum)
                return value->get<double>();
            addFault(name, fmt::format("must be a number from {} to {}", minimum, maximum));
            return fallback;
        }

        std::vector<std::string> readStrings(const char* name)
        {
            std::vector<std::string> values;
            const auto* value = member(name);
            if (!value)
                return values;
            if (!value->is_array()) {
                addFault(name, "must be a list of strings");
                return values;
            }
            for (std::size_t i = 0; i < value->size(); ++i) {
                if ((*value)[i].is_string())
                    values.push_back((*value)[i].get<std::string>());
                else
                    addFault(fmt::format("{}[{}]", name, i), "must be a string");
            }
            return values;
        }

        void rejectUnknownMembers()
        {
            if (!m_object.is_object())
                return;
            for (const auto& [key, value] : m_object.items()) {
                if (std::find(m_expectedMembers.begin(), m_expectedMembers.end(), key) == m_expectedMembers.end())
                    addFault(key, "is not a known member");
            }
        }

    private:
        const json& m_object;
        std::string m_place;
        std::vector<TicketFault>& m_faults;
        std::vector<std::string> m_expectedMembers;
    };

    ServiceRoute readRoute(const json& value, const std::string& place, std::vector<TicketFault>& faults)
    {
        ObjectReader reader(value, place, faults);
        ServiceRoute route { .pathPrefix = reader.readString("path", "/", true), .methods = reader.readStrings("methods"), .idempotent = reader.readFlag("idempotent", false) };
        if (!route.pathPrefix.starts_with('/'))
            reader.addFault("path", "must start with /");
        reader.rejectUnknownMembers();
        return route;
    }

    Service readService(const json& value, const std::string& place, std::vector<TicketFault>& faults)
    {
        ObjectReader reader(value, place, faults);
        Service service;
        auto typeName = reader.readString("kind", "generation", true);
        if (typeName == "plain")
            service.type = ServiceType::Plain;
        else if (typeName != "generation")
            reader.addFault("kind", "must be generation or plain");
        auto serviceClass = reader.readString("class", "batch");
        if (serviceClass == "interactive")
            service.serviceClass = ServiceClass::Interactive;
        else if (serviceClass != "batch")
            reader.addFault("class", "must be interactive or batch");
        service.models = reader.readStrings("models");
        service.targets = reader.readStrings("targets");
        service.maxOutputTokens = static_cast<int>(reader.readNumber("max_output_tokens", service.maxOutputTokens, 1, maxOutputTokensLimit));
        if (const auto* routes = reader.member("routes")) {
            if (!routes->is_array())
                reader.addFault("routes", "must be a list");
            for (std::size_t i = 0; routes->is_array() && i < routes->size(); ++i)
                service.routes.push_back(readRoute((*routes)[i], fmt::format("{}.routes[{}]", place, i), faults));
        }
        if (service.type == ServiceType::Generation && service.models.empty())
            reader.addFault("models", "a generation service needs at least one model");
        if (service.type == ServiceType::Plain && service.targets.empty())
            reader.addFault("targets", "a plain service needs at least one target");
        reader.rejectUnknownMembers();
        return service;
    }

    Organisation readOrganisation(const json& value, const std::string& place, std::vector<TicketFault>& faults)
    {
        ObjectReader reader(value, place, faults);
        Organisation organisation;
        organisation.weight = reader.readNumber("weight", 1, 0.001, 1000);
        organisation.maxConcurrent = static_cast<int>(reader.readNumber("max_concurrent", organisation.maxConcurrent, 1, 1000000));
        organisation.keyHashes = reader.readStrings("key_hashes");
        for (const auto& hash : organisation.keyHashes) {
            bool valid = hash.size() == hashLength && hash.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!valid)
                reader.addFault("key_hashes", "each entry must be a SHA-256 hash in lower-case hexadecimal");
        }
        reader.rejectUnknownMembers();
        return organisation;
    }

    Model readModel(const json& value, const std::string& place, std::vector<TicketFault>& faults)
    {
        ObjectReader reader(value, place, faults);
        Model model { .targets = reader.readStrings("targets") };
        reader.rejectUnknownMembers();
        return model;
    }

    Target readTarget(const json& value, const std::string& place, std::vector<TicketFault>& faults)
    {
        ObjectReader reader(value, place, faults);
        Target target;
        auto address = reader.readString("address", "", true);
        auto endpoint = parseEndpoint(address);
        if (endpoint)
            target.endpoint = *endpoint;
        else if (!address.empty())
            reader.addFault("address", "must be an IP address and port");
        target.failureDomain = reader.readString("failure_domain", "");
        target.honoursPriorities = reader.readFlag("honours_priorities", true);
        target.checksOrders = reader.readFlag("checks_orders", false);
        reader.rejectUnknownMembers();
        return target;
    }

    void readItem(Configuration& configuration, ItemType type, const std::string& name, const json& value, std::vector<TicketFault>& faults)
    {
        auto place = itemKey(type, name);
        switch (type) {
        case ItemType::Service:
            configuration.services[name] = readService(value, place, faults);
            return;
        case ItemType::Organisation:
            configuration.organisations[name] = readOrganisation(value, place, faults);
            return;
        case ItemType::Model:
            configuration.models[name] = readModel(value, place, faults);
            return;
        case ItemType::Target:
            configuration.targets[name] = readTarget(value, place, faults);
            return;
        }
    }

    template <typename Items>
    void checkReferences(const std::string& place, const std::vector<std::string>& names, const Items& existing, std::vector<TicketFault>& faults)
    {
        for (const auto& name : names) {
            if (!existing.contains(name))
                faults.push_back({ .place = place, .message = fmt::format("refers to {}, which does not exist", name) });
        }
    }

    void checkAcrossItems(const Configuration& configuration, std::vector<TicketFault>& faults)
    {
        for (const auto& [name, service] : configuration.services) {
            checkReferences(itemKey(ItemType::Service, name) + ".models", service.models, configuration.models, faults);
            checkReferences(itemKey(ItemType::Service, name) + ".targets", service.targets, configuration.targets, faults);
        }
        for (const auto& [name, model] : configuration.models)
            checkReferences(itemKey(ItemType::Model, name) + ".targets", model.targets, configuration.targets, faults);
        std::map<std::string, std::string> organisationByKeyHash;
        for (const auto& [name, organisation] : configuration.organisations) {
            for (const auto& hash : organisation.keyHashes) {
                auto [position, inserted] = organisationByKeyHash.emplace(hash, name);
                if (!inserted && position->second != name)
                    faults.push_back({ .place = itemKey(ItemType::Organisation, name) + ".key_hashes", .message = "a key hash already belongs to " + position->second });
            }
        }
    }

}

std::variant<Ticket, std::vector<TicketFault>> parseTicket(const std::string& text)
{
    std::vector<TicketFault> faults;
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        return std::vector<TicketFault> { { .place = "ticket", .message = "is not valid JSON" } };
    ObjectReader reader(value, "ticket", faults);
    Ticket ticket;
    const auto* number = reader.member("ticket");
    if (number && number->is_number_integer() && number->get<std::int64_t>() > 0)
        ticket.number = number->get<std::int64_t>();
    else
        reader.addFault("ticket", "must be an integer greater than zero");
    Configuration parsedItems;
    for (auto type : itemTypes) {
        const auto* items = reader.member(std::string(toString(type)).c_str());
        if (!items)
            continue;
        if (!items->is_object()) {
            reader.addFault(std::string(toString(type)), "must be an object with item names as keys");
            continue;
        }
        for (const auto& [name, item] : items->items()) {
            bool validName = !name.empty() && name.size() <= maxNameLength && name.find('/') == std::string::npos;
            if (!validName)
                faults.push_back({ .place = itemKey(type, name), .message = "a name must have 1 to 128 characters and no /" });
            if (!item.is_null())
                readItem(parsedItems, type, name, item, faults);
            ticket.changes.push_back({ .type = type, .name = name, .json = item.is_null() ? "" : item.dump() });
        }
    }
    reader.rejectUnknownMembers();
    if (ticket.changes.empty())
        reader.addFault("", "contains no changes");
    if (!faults.empty())
        return faults;
    ticket.digest = sha256Hex(value.dump()).substr(0, 32);
    return ticket;
}

std::variant<Configuration, std::vector<TicketFault>> buildConfiguration(const ConfigurationRecord& record)
{
    std::vector<TicketFault> faults;
    Configuration configuration { .revision = record.head.revision };
    for (const auto& chunk : record.chunks) {
        for (const auto& [key, item] : chunk) {
            if (item.json.empty())
                continue;
            auto slash = key.find('/');
            auto typeName = key.substr(0, slash);
            auto type = std::find_if(itemTypes.begin(), itemTypes.end(), [&](ItemType candidate) { return toString(candidate) == typeName; });
            if (type == itemTypes.end())
                continue;
            readItem(configuration, *type, key.substr(slash + 1), json::parse(item.json, nullptr, false), faults);
        }
    }
    checkAcrossItems(configuration, faults);
    if (!faults.empty())
        return faults;
    return configuration;
}

}
