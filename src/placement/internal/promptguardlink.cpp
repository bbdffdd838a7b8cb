#include "placement/promptguardlink.h"

namespace guavaspan {

void PromptGuardLink::sendToAll(const PromptGuardMessage& message)
{
    std::visit([this](const auto& concreteMessage) { m_link.broadcast(concreteMessage); }, message);
}

void PromptGuardLink::send(const std::string& instance, const PromptGuardMessage& message)
{
    std::visit([&](const auto& concreteMessage) { m_link.send(instance, concreteMessage); }, message);
}

}
