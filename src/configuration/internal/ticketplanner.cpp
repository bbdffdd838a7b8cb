#include "configuration/ticketplanner.h"

#include "configuration/ticketparser.h"

#include <algorithm>
#include <set>

namespace guavaspan {

namespace {

    constexpr std::size_t maxRecentTickets = 256;

    std::optional<TicketDecision> findRecentDecision(const ConfigurationHead& head, const Ticket& ticket)
    {
        for (const auto& accepted : head.recentTickets) {
            if (accepted.number != ticket.number)
                continue;
            if (accepted.digest == ticket.digest)
                return TicketAlreadyAccepted { .revision = accepted.revision };
            return TicketConflict { .revision = accepted.revision };
        }
        return std::nullopt;
    }

}

TicketDecision planTicket(const ConfigurationRecord& current, const Ticket& ticket)
{
    if (auto decision = findRecentDecision(current.head, ticket))
        return *decision;

    TicketPlan plan { .next = current };
    std::set<std::size_t> changed;
    for (const auto& change : ticket.changes) {
        auto key = itemKey(change.type, change.name);
        auto index = chunkIndexOf(key);
        auto& chunk = plan.next.chunks[index];
        auto found = chunk.find(key);
        if (found != chunk.end() && found->second.ticket >= ticket.number)
            return TicketStale { .item = key, .laterTicket = found->second.ticket };
        // A removed item stays as a tombstone, so that an older ticket cannot restore it.
        chunk[key] = StoredItem { .ticket = ticket.number, .json = change.json };
        changed.insert(index);
    }
    auto checked = buildConfiguration(plan.next);
    if (auto* faults = std::get_if<std::vector<TicketFault>>(&checked))
        return std::move(*faults);

    auto& head = plan.next.head;
    ++head.revision;
    for (auto index : changed)
        head.chunkHashes[index] = chunkHash(encodeChunk(plan.next.chunks[index]));
    head.recentTickets.push_back({ .number = ticket.number, .revision = head.revision, .digest = ticket.digest });
    if (head.recentTickets.size() > maxRecentTickets)
        head.recentTickets.erase(head.recentTickets.begin());
    plan.changedChunks.assign(changed.begin(), changed.end());
    return plan;
}

}
