#pragma once

#include "configuration/configurationrecord.h"
#include "configuration/configurationtypes.h"

#include <variant>

namespace guavaspan {

/// Reads a ticket from JSON and lists every fault of its own form.
std::variant<Ticket, std::vector<TicketFault>> parseTicket(const std::string& json);

/// Builds the typed configuration; lists every fault, also between items.
std::variant<Configuration, std::vector<TicketFault>> buildConfiguration(const ConfigurationRecord&);

}
