#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <set>

namespace guavaspan {

/// Which instances exist, and what each last said of its load.
class FleetView {
public:
    /// `capacity` is this instance's processor time in thousandths of a core.
    FleetView(std::string self, int capacity)
        : m_self(std::move(self))
        , m_capacity(capacity)
    {
    }

    void onRegistered(const std::string& key, InstanceRecord);
    void onUnregistered(const std::string& key);

    /// True if the report is newer than the last one of its instance.
    bool onReport(const InstanceLoadReport&, TimePoint now);

    /// Instances that fell silent since the last call.
    std::vector<std::string> takeUnresponsivePeers(TimePoint now);

    /// Everybody else who is registered.
    std::vector<InstanceRecord> peers() const;

    /// Peers that were heard of lately.
    std::vector<InstanceRecord> reachablePeers(TimePoint now) const;

    /// Instances that share a budget: all registered ones, this one included.
    int instanceCount() const { return static_cast<int>(peers().size()) + 1; }

    /// Peers that read the shared store for the fleet, those of the own failure domain first.
    std::vector<InstanceRecord> storeReaders(const std::string& ownDomain, TimePoint now) const;

    /// True if this instance is among the few that read the shared store for the fleet.
    bool readsStore(TimePoint now) const;

    /// The instance that decides for a service's pool, this one included: one of those with most
    /// processor time, found by hashing. Those in `avoided` are passed over.
    std::string ownerOf(const std::string& service, const std::set<std::string>& avoided, TimePoint now) const;

    const InstanceRecord* find(const std::string& name) const;

private:
    std::size_t storeReaderCount() const;

    struct Heard {
        std::int64_t sequence = 0;
        TimePoint at;
    };

    std::string m_self;
    int m_capacity = 0;
    std::map<std::string, InstanceRecord> m_registered;
    std::map<std::string, Heard> m_heard;
};

}
