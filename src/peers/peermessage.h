#pragma once

#include "configuration/configurationpropagator.h"
#include "membership/membershiptypes.h"
#include "permits/permitmessages.h"
#include "quarantine/quarantineservice.h"

#include <optional>

namespace guavaspan {

/// Everything that instances say to each other.
using PeerMessage = std::variant<MembershipMessage, PermitMessage, ConfigurationMessage, QuarantineMessage>;

/// CBOR form of a message: an array of its kind, its type and its fields.
std::string encodePeerMessage(const PeerMessage&);
std::optional<PeerMessage> decodePeerMessage(const std::string& bytes);

}
