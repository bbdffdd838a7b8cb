#pragma once

#include "common/time.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavaspan {

/// A message to all instances, on its way through the aggregators.
struct BroadcastItem {
    std::string origin;
    /// Number of the broadcast at its origin; increases across incarnations.
    std::int64_t number = 0;
    /// The encoded message.
    std::string message;

    friend bool operator==(const BroadcastItem&, const BroadcastItem&) = default;
};

struct BroadcastBatch {
    /// The receiver is an aggregator, which passes the messages on.
    bool toAggregator = false;
    std::vector<BroadcastItem> items;

    friend bool operator==(const BroadcastBatch&, const BroadcastBatch&) = default;
};

/// Passes broadcasts to the aggregators, each of which passes them on to its subscribers, several in a datagram. Each message
/// is sent to the aggregators twice, and delivered once at each instance.
class BroadcastRelay {
public:
    /// `firstNumber` is above the numbers of earlier incarnations.
    BroadcastRelay(std::string self, std::int64_t firstNumber)
        : m_self(std::move(self))
        , m_lastNumber(firstNumber)
    {
    }

    void publish(std::string message, TimePoint now);

    /// Returns the messages that were not delivered before.
    std::vector<std::string> onBatch(const BroadcastBatch&, TimePoint now);

    /// Batches that are due for the aggregators; empty if there are none.
    std::vector<BroadcastBatch> takeForAggregators(TimePoint now);

    /// Batches for the subscribers of this instance.
    std::vector<BroadcastBatch> takeForSubscribers();

private:
    struct PendingItem {
        BroadcastItem item;
        TimePoint dueAt;
    };
    struct SeenItem {
        std::pair<std::string, std::int64_t> id;
        TimePoint at;
    };

    bool markSeen(const BroadcastItem&, TimePoint now);

    std::string m_self;
    std::int64_t m_lastNumber = 0;
    std::vector<PendingItem> m_pending;
    std::vector<BroadcastItem> m_forSubscribers;
    std::set<std::pair<std::string, std::int64_t>> m_seen;
    std::deque<SeenItem> m_seenInOrder;
};

}
