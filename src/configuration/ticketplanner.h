#pragma once

#include "configuration/configurationrecord.h"

#include <variant>

namespace guavaspan {

/// Result for a valid ticket: the record after applying it and the indices of the chunks to write.
struct TicketPlan {
    ConfigurationRecord next;
    std::vector<std::size_t> changedChunks;
};

/// A ticket with the same number and content has already been accepted.
struct TicketAlreadyAccepted {
    std::int64_t revision = 0;
};

/// A ticket with the same number but other content has already been accepted.
struct TicketConflict {
    std::int64_t revision = 0;
};

/// An item that the ticket changes was already set by a ticket with the same or a higher number.
struct TicketStale {
    std::string item;
    std::int64_t laterTicket = 0;
};

using TicketDecision = std::variant<TicketPlan, TicketAlreadyAccepted, TicketConflict, TicketStale, std::vector<TicketFault>>;

/// Validates a ticket against the current record and computes the next record; writes nothing.
TicketDecision planTicket(const ConfigurationRecord& current, const Ticket&);

}
