#pragma once

#include "quarantine/promptguard.h"

namespace guavaspan {

/// The transport of an instance without peers.
class SilentPromptGuardTransport : public IPromptGuardTransport {
public:
    void sendToAll(const PromptGuardMessage&) override { }
    void send(const std::string&, const PromptGuardMessage&) override { }
};

}
