#pragma once

#include "targets/domainevacuations.h"
#include "targets/targettypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace guavaspan {

/// Why a target stopped taking new requests.
enum class UnavailableReason {
    /// The target's entry announces that it is draining.
    Announced,
    /// The target itself reported draining before its entry did.
    AskedTarget,
    EntryRemoved,
    Restarted,
};

std::string_view toString(UnavailableReason);

/// Event: a target stopped taking new requests. Contains its last entry.
struct TargetUnavailable {
    TargetEntry entry;
    UnavailableReason reason = UnavailableReason::Announced;
    TimePoint at;
    /// When the target shuts down, if it stated this.
    std::optional<TimePoint> shutdownAt;
};

/// Tracks the targets in the shared store and which of them take new requests.
class TargetDirectory {
public:
    using UnavailableListener = std::function<void(const TargetUnavailable&)>;

    void setUnavailableListener(UnavailableListener listener) { m_listener = std::move(listener); }

    /// A target's entry was written. Without a value the entry could not be parsed, and its target is removed.
    void onEntryWritten(const std::string& id, std::optional<TargetEntry>, TimePoint now);
    void onEntryRemoved(const std::string& id, TimePoint now);

    /// The target, or a peer that queried it, reports that this incarnation is draining.
    /// Entries of the same incarnation whose state is still Ready are outdated and do not reset this, also after its entry was removed.
    void onDrainingReported(const std::string& id, std::int64_t startedAt, TimePoint now, std::optional<Milliseconds> timeToShutdown = std::nullopt);

    /// All entries were read again; targets that are missing from the list are removed.
    void onSnapshot(const std::vector<TargetEntry>&, TimePoint now);

    /// The store became unavailable, or was available again at a time. Entries that expired in between
    /// stay in use until their targets have had time to write them again.
    void onStoreLost(TimePoint now);
    void onStoreRegained(TimePoint at);
    /// The store had been available all the while, only not to this instance.
    void onStoreNotLost();

    /// The store came back from a copy. Entries that the copy lacks stay in use until their targets have had time to
    /// write them again.
    void onStoreRestored(TimePoint now);

    /// Removes expired entries that were not written again before their deadline, and ends evacuations alike.
    void onTick(TimePoint now);

    /// An evacuation takes new requests away from the targets of its domain. They stay ready, so their generations do not move.
    DomainEvacuations& evacuations() { return m_evacuations; }
    const DomainEvacuations& evacuations() const { return m_evacuations; }
    bool isEvacuated(const TargetEntry& target) const { return m_evacuations.isEvacuated(target.failureDomain); }
    /// True if the service has ready targets and all of them are evacuated.
    bool allEvacuated(const std::string& service) const;
    /// Ready targets of a service whose evacuation began lately, so that other instances may not know of it yet.
    std::set<std::string> lateEvacuatedTargets(const std::string& service, TimePoint now) const;
    std::size_t targetsIn(const std::string& failureDomain) const;

    /// True if the incarnation was reported to drain, whether its entry is still there or not.
    bool isDrainingReported(const std::string& id, std::int64_t startedAt) const { return m_drainingReports.contains({ id, startedAt }); }

    /// True if the target neither drains nor is gone, whether it is evacuated or not.
    bool isReady(const std::string& id) const;
    bool isIncarnationReady(const TargetEntry&) const;

    /// Targets of a service that take new requests.
    std::vector<const TargetEntry*> usableTargets(const std::string& service) const;
    /// Targets of all services that take new requests.
    std::vector<const TargetEntry*> usableTargets() const;
    const TargetEntry* find(const std::string& id) const;
    bool isUsable(const std::string& id) const;
    /// True if the target's entry is missing and may have expired during an outage of the store, or may have been removed by the target.
    bool isEntryMissing(const std::string& id) const;
    /// True if this incarnation of a target takes new requests.
    bool isIncarnationUsable(const TargetEntry&) const;
    std::size_t size() const { return m_targets.size(); }

private:
    struct KnownTarget {
        TargetEntry entry;
        std::optional<TimePoint> rewriteDeadline;
    };
    /// A target's id and the start of its incarnation.
    using Incarnation = std::pair<std::string, std::int64_t>;

    bool takesRequests(const KnownTarget& target) const { return target.entry.state == TargetState::Ready && !isEvacuated(target.entry); }
    void removeTarget(std::map<std::string, KnownTarget>::iterator, UnavailableReason, TimePoint now);
    bool mayBeLeaseExpiry(TimePoint now) const;
    void forgetDrainingReports(TimePoint now);

    std::map<std::string, KnownTarget> m_targets;
    /// Incarnations that were reported to drain, with the time of the report, or until which they had an entry.
    std::map<Incarnation, TimePoint> m_drainingReports;
    DomainEvacuations m_evacuations;
    bool m_storeReachable = true;
    std::optional<TimePoint> m_storeRegainedAt;
    UnavailableListener m_listener;
};

}
