#pragma once

#include "configuration/configurationrecord.h"

#include <variant>

namespace guavaspan {

/// The ticket may be written: head and changed chunks that carry it.
struct TicketPlan {
    ConfigurationRecord next;
    std::vector<std::size_t> changedChunks;
};

/// The same ticket was accepted before.
struct TicketAlreadyAccepted {
    std::int64_t revision = 0;
};

/// The number was used for other content.
struct TicketConflict {
    std::int64_t revision = 0;
};

/// A later ticket has already set something that this one touches.
struct TicketStale {
    std::string item;
    std::int64_t laterTicket = 0;
};

using TicketDecision = std::variant<TicketPlan, TicketAlreadyAccepted, TicketConflict, TicketStale, std::vector<TicketFault>>;

/// Decides what a ticket does to a configuration; never writes.
TicketDecision planTicket(const ConfigurationRecord& current, const Ticket&);

}
