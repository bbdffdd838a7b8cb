#include "placement/broadcastrelay.h"

namespace guavaspan {

namespace {

    /// Time after which a message is sent to the aggregators again, as datagrams may be lost.
    constexpr auto repeatDelay = Milliseconds(200);
    /// Time for which a message is known not to be new; repeats arrive much sooner.
    constexpr auto seenLifetime = Seconds(5);
    /// Size of the messages of a batch, so that it fits into a datagram.
    constexpr std::size_t maxBatchBytes = 8 << 10;

    std::vector<BroadcastBatch> makeBatches(std::vector<BroadcastItem> items, bool toAggregator)
    {
        std::vector<BroadcastBatch> batches;
        std::size_t bytes = 0;
        for (auto& item : items) {
            if (batches.empty() || bytes + item.message.size() > maxBatchBytes) {
                batches.push_back({ .toAggregator = toAggregator });
                bytes = 0;
            }
            bytes += item.message.size();
            batches.back().items.push_back(std::move(item));
        }
        return batches;
    }

}

void BroadcastRelay::publish(std::string message, TimePoint now)
{
    BroadcastItem item { .origin = m_self, .number = ++m_lastNumber, .message = std::move(message) };
    markSeen(item, now);
    m_forSubscribers.push_back(item);
    m_pending.push_back({ .item = item, .dueAt = now });
    m_pending.push_back({ .item = std::move(item), .dueAt = now + repeatDelay });
}

bool BroadcastRelay::markSeen(const BroadcastItem& item, TimePoint now)
{
    while (!m_seenInOrder.empty() && m_seenInOrder.front().at + seenLifetime < now) {
        m_seen.erase(m_seenInOrder.front().id);
        m_seenInOrder.pop_front();
    }
    std::pair id(item.origin, item.number);
    bool isNew = m_seen.insert(id).second;
    if (isNew)
        m_seenInOrder.push_back({ .id = std::move(id), .at = now });
    return isNew;
}

std::vector<std::string> BroadcastRelay::onBatch(const BroadcastBatch& batch, TimePoint now)
{
    std::vector<std::string> messages;
    for (const auto& item : batch.items) {
        if (!markSeen(item, now))
            continue;
        messages.push_back(item.message);
        if (batch.toAggregator)
            m_forSubscribers.push_back(item);
    }
    return messages;
}

std::vector<BroadcastBatch> BroadcastRelay::takeForAggregators(TimePoint now)
{
    std::vector<BroadcastItem> due;
    std::erase_if(m_pending, [&](PendingItem& pending) {
        if (pending.dueAt > now)
            return false;
        due.push_back(std::move(pending.item));
        return true;
    });
    return makeBatches(std::move(due), true);
}

std::vector<BroadcastBatch> BroadcastRelay::takeForSubscribers()
{
    return makeBatches(std::exchange(m_forSubscribers, {}), false);
}

}
