#pragma once

#include "common/time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace guavaspan {

/// Event: new requests are kept away from the targets of a failure domain, or no longer so.
struct EvacuationChanged {
    std::string domain;
    bool evacuated = false;

    friend bool operator==(const EvacuationChanged&, const EvacuationChanged&) = default;
};

/// Tracks the failure domains whose targets get no new requests.
class DomainEvacuations {
public:
    using Listener = std::function<void(const EvacuationChanged&)>;

    /// Called once for each start and each end.
    void setListener(Listener listener) { m_listener = std::move(listener); }

    void onEvacuated(const std::string& domain, TimePoint now);
    void onEnded(const std::string& domain, TimePoint now);

    /// All evacuations were read again; those that are missing have ended.
    void onSnapshot(const std::set<std::string>& domains, TimePoint now);

    /// The store came back from a copy. Evacuations that the copy lacks stay in force until the operator has had time to write
    /// them again.
    void onStoreRestored(TimePoint now) { m_storeRestoredAt = now; }

    /// Ends evacuations that were not written again.
    void onTick(TimePoint now);

    bool isEvacuated(const std::string& domain) const { return m_evacuations.contains(domain); }
    /// When this instance learned of the evacuation in force.
    std::optional<TimePoint> evacuatedSince(const std::string& domain) const;
    std::set<std::string> domains() const;
    bool empty() const { return m_evacuations.empty(); }

private:
    struct Evacuation {
        TimePoint since;
        std::optional<TimePoint> rewriteDeadline;
    };

    void end(const std::string& domain);
    void announce(const std::string& domain, bool evacuated) const;

    std::map<std::string, Evacuation> m_evacuations;
    std::optional<TimePoint> m_storeRestoredAt;
    Listener m_listener;
};

}
