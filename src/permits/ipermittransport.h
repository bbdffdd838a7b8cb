#pragma once

#include "permits/permitmessages.h"

namespace guavaspan {

/// The instance that schedules a pool; the name is empty if it is this instance.
struct PoolOwner {
    std::string name;
    std::int64_t incarnation = 0;

    bool isLocal() const { return name.empty(); }
    friend bool operator==(const PoolOwner&, const PoolOwner&) = default;
};

/// Finds the owner of a model's pool and sends permit messages to other instances.
class IPermitTransport {
public:
    virtual ~IPermitTransport() = default;

    virtual PoolOwner ownerOf(const std::string& model) const = 0;

    /// Returns false if the instance cannot be reached.
    virtual bool send(const std::string& instance, const PermitMessage&) = 0;
};

/// Makes this instance the owner of every pool; for a single instance and for tests.
class LocalPermitTransport : public IPermitTransport {
public:
    PoolOwner ownerOf(const std::string&) const override { return {}; }
    bool send(const std::string&, const PermitMessage&) override { return false; }
};

}
