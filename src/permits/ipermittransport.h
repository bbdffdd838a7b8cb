#pragma once

#include "permits/permitmessages.h"

namespace guavaspan {

/// Finds the owner of a model's pool and carries messages to it.
class IPermitTransport {
public:
    virtual ~IPermitTransport() = default;

    /// Name of the owning instance; empty if it is this one.
    virtual std::string ownerOf(const std::string& model) const = 0;

    /// False if the instance cannot be reached.
    virtual bool send(const std::string& instance, const PermitMessage&) = 0;
};

/// Every pool is owned here; for a single instance and for tests.
class LocalPermitTransport : public IPermitTransport {
public:
    std::string ownerOf(const std::string&) const override { return {}; }
    bool send(const std::string&, const PermitMessage&) override { return false; }
};

}
