#pragma once

#include "net/nettypes.h"
#include "scheduling/schedulingtypes.h"

#include <map>
#include <string>
#include <vector>

namespace guavaspan {

/// Kinds of items that a ticket may touch.
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

/// One route of a plain service.
struct Route {
    std::string pathPrefix;
    std::vector<std::string> methods;
    bool idempotent = false;

    friend bool operator==(const Route&, const Route&) = default;
};

/// What callers address: generations by models, or calls to plain targets.
struct Service {
    ServiceType kind = ServiceType::Generation;
    ServiceClass serviceClass = ServiceClass::Batch;
    std::vector<std::string> models;
    std::vector<std::string> targets;
    std::vector<Route> routes;
    int maxOutputTokens = 16384;

    friend bool operator==(const Service&, const Service&) = default;
};

struct Organisation {
    double weight = 1;
    std::vector<std::string> keyHashes;
    int maxConcurrent = 1000;

    friend bool operator==(const Organisation&, const Organisation&) = default;
};

struct Model {
    std::vector<std::string> targets;

    friend bool operator==(const Model&, const Model&) = default;
};

struct Target {
    Endpoint endpoint;
    std::string failureDomain;
    bool honoursPriorities = true;
    bool checksOrders = false;

    friend bool operator==(const Target&, const Target&) = default;
};

/// The whole configuration at one revision.
struct Configuration {
    std::int64_t revision = 0;
    std::map<std::string, Service> services;
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Model> models;
    std::map<std::string, Target> targets;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// A fault in a ticket and its place.
struct TicketFault {
    std::string place;
    std::string message;

    friend bool operator==(const TicketFault&, const TicketFault&) = default;
};

/// One item of a ticket; an empty value removes it.
struct ItemChange {
    ItemType kind = ItemType::Service;
    std::string name;
    std::string json;

    friend bool operator==(const ItemChange&, const ItemChange&) = default;
};

/// A numbered change that is accepted whole or not at all.
struct Ticket {
    std::int64_t number = 0;
    std::vector<ItemChange> changes;
    std::string digest;

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

std::string_view toString(ItemType);

}
