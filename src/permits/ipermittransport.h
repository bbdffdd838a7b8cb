#pragma once

#include "permits/permitmessages.h"

namespace guavaspan {

/// The life of an instance that decides for a pool; empty if it is this one.
struct PoolOwner {
    std::string name;
    std::int64_t life = 0;

    bool isLocal() const { return name.empty(); }
    friend bool operator==(const PoolOwner&, const PoolOwner&) = default;
};

/// Finds the owner of a model's pool and carries messages to it.
class IPermitTransport {
public:
    virtual ~IPermitTransport() = default;

    virtual PoolOwner ownerOf(const std::string& model) const = 0;

    /// False if the instance cannot be reached.
    virtual bool send(const std::string& instance, const PermitMessage&) = 0;
};

/// Every pool is owned here; for a single instance and for tests.
class LocalPermitTransport : public IPermitTransport {
public:
    PoolOwner ownerOf(const std::string&) const override { return {}; }
    bool send(const std::string&, const PermitMessage&) override { return false; }
};

}
