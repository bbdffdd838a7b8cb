#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"

#include <map>
#include <string>
#include <vector>

namespace guavaspan {

/// Types of items that a ticket can change.
enum class ItemType {
    Service,
    Organisation,
    Model,
    Target,
};

enum class ServiceType {
    Generation,
    Plain,
};

/// Paths and methods that a plain service accepts, and whether its calls are idempotent.
struct ServiceRoute {
    std::string pathPrefix;
    std::vector<std::string> methods;
    bool idempotent = false;

    friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

/// A service that callers address: text generation by models, or plain HTTP calls that are forwarded to targets.
struct Service {
    ServiceType type = ServiceType::Generation;
    ServiceClass serviceClass = ServiceClass::Batch;
    std::vector<std::string> models;
    std::vector<std::string> targets;
    std::vector<ServiceRoute> routes;
    int maxOutputTokens = 16384;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Share weight, API key hashes and concurrency limit of one organisation.
struct Organisation {
    double weight = 1;
    std::vector<std::string> keyHashes;
    int maxConcurrent = 1000;

    friend bool operator==(const Organisation&, const Organisation&) = default;
};

/// The targets that run a model.
struct Model {
    std::vector<std::string> targets;

    friend bool operator==(const Model&, const Model&) = default;
};

/// Address and capabilities of one target.
struct Target {
    Endpoint endpoint;
    std::string failureDomain;
    bool honoursPriorities = true;
    bool checksOrders = false;

    friend bool operator==(const Target&, const Target&) = default;
};

/// All services, organisations, models and targets at one configuration revision.
struct Configuration {
    std::int64_t revision = 0;
    std::map<std::string, Service> services;
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Model> models;
    std::map<std::string, Target> targets;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// A validation error in a ticket and the path of the JSON member that caused it.
struct TicketFault {
    std::string place;
    std::string message;

    friend bool operator==(const TicketFault&, const TicketFault&) = default;
};

/// The new JSON value of one item; an empty value removes the item.
struct ItemChange {
    ItemType type = ItemType::Service;
    std::string name;
    std::string json;

    friend bool operator==(const ItemChange&, const ItemChange&) = default;
};

/// A numbered set of item changes that is applied atomically.
struct Ticket {
    std::int64_t number = 0;
    std::vector<ItemChange> changes;
    std::string digest;

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

std::string_view toString(ItemType);

}
