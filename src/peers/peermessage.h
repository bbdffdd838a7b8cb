#pragma once

#include "configuration/configurationpropagator.h"
#include "membership/membershiptypes.h"
#include "permits/permitmessages.h"
#include "quarantine/quarantineservice.h"

#include <optional>

namespace guavaspan {

/// Any message that one instance sends to another.
using PeerMessage = std::variant<MembershipMessage, PermitMessage, ConfigurationMessage, QuarantineMessage>;

/// Encodes a message as a CBOR array of its group, its type within the group and its fields.
std::string encodePeerMessage(const PeerMessage&);
std::optional<PeerMessage> decodePeerMessage(const std::string& bytes);

}
