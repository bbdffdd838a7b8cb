#pragma once

#include "placement/fleetlink.h"
#include "quarantine/promptguard.h"

namespace guavaspan {

/// Carries messages of the prompt guard as datagrams.
class PromptGuardLink : public IPromptGuardTransport {
public:
    explicit PromptGuardLink(FleetLink& link)
        : m_link(link)
    {
    }

    void sendToAll(const PromptGuardMessage&) override;
    void send(const std::string& instance, const PromptGuardMessage&) override;

private:
    FleetLink& m_link;
};

}
