#pragma once

#include "configuration/configurationrecord.h"
#include "configuration/configurationtypes.h"

#include <variant>

namespace guavaspan {

/// Parses a ticket from JSON; returns all faults found in the ticket alone.
std::variant<Ticket, std::vector<TicketFault>> parseTicket(const std::string& json);

/// Builds the typed configuration; returns all faults, including invalid references between items.
std::variant<Configuration, std::vector<TicketFault>> buildConfiguration(const ConfigurationRecord&);

}
