#pragma once

#include "targets/targettypes.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace guavaspan {

/// Why a target takes no new work any more.
enum class UnavailableReason {
    Announced,
    /// The target said so itself before its entry did.
    AskedTarget,
    EntryRemoved,
    Restarted,
};

std::string_view toString(UnavailableReason);

/// A target that stopped taking work, with its last known entry.
struct TargetUnavailable {
    TargetEntry entry;
    UnavailableReason reason = UnavailableReason::Announced;
    TimePoint at;
};

/// Which targets exist, which may be given work, and which are leaving.
class TargetDirectory {
public:
    using UnavailableListener = std::function<void(const TargetUnavailable&)>;

    void setUnavailableListener(UnavailableListener listener) { m_listener = std::move(listener); }

    /// An entry was written. Without content it could not be read and names no target to use.
    void onEntryWritten(const std::string& id, std::optional<TargetEntry>, TimePoint now);
    void onEntryRemoved(const std::string& id, TimePoint now);

    /// The target itself, or a peer that asked it, says that this life of it leaves.
    /// Entries of the same life that still call it ready are older news.
    void onDrainingReported(const std::string& id, std::int64_t startedAt, TimePoint now);

    /// The whole list was read anew; what it lacks is gone.
    void onSnapshot(const std::vector<TargetEntry>&, TimePoint now);

    /// Contact with the store was lost or is back. Entries that lapsed in between
    /// stay in use until their targets had time to write them again.
    void onStoreLost(TimePoint now);
    void onStoreRegained(TimePoint now);

    /// Drops lapsed entries whose time to come back is over.
    void onTick(TimePoint now);

    /// Targets of a service that take new work.
    std::vector<const TargetEntry*> usableTargets(const std::string& service) const;
    const TargetEntry* find(const std::string& id) const;
    bool isUsable(const std::string& id) const;
    std::size_t size() const { return m_targets.size(); }

private:
    struct KnownTarget {
        TargetEntry entry;
        std::optional<TimePoint> rewriteDeadline;
        bool drainingReported = false;
    };

    void removeTarget(std::map<std::string, KnownTarget>::iterator, UnavailableReason, TimePoint now);
    bool mayBeLeaseExpiry(TimePoint now) const;

    std::map<std::string, KnownTarget> m_targets;
    bool m_storeReachable = true;
    std::optional<TimePoint> m_storeRegainedAt;
    UnavailableListener m_listener;
};

}
