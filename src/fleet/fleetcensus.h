#pragma once

#include "common/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// Registered instances, as one instance sees them in its copy of the shared store.
struct RegistrationView {
    std::vector<std::string> instances;
    /// True if the entry of this instance's own process is among them.
    bool includesSelf = false;
    /// When the copy was last known to be current.
    BootTime confirmedAt;
};

/// How far an instance may rely on its view of the registrations.
enum class CensusState {
    /// Other instances may not know this one yet, or this one may not know all others.
    Unknown,
    /// The view was complete once, and has not been confirmed lately.
    Outdated,
    /// Every instance that spends a share is in the view of every other one that does.
    Current,
};

/// Counts the instances among which a budget of the whole fleet is divided.
class FleetCensus {
public:
    /// `budgetWindow` is the span in which the shares that are spent must not add up to more than the budget.
    FleetCensus(std::string self, Milliseconds budgetWindow);

    void onView(const RegistrationView&, BootTime now);

    /// Number of instances that may spend a share, this one included. Empty while this instance may not spend one.
    std::optional<int> sharers(BootTime now) const;

    CensusState state(BootTime now) const;

    /// Names of the instances seen lately, this one included.
    std::vector<std::string> instances() const;

    /// Number of instances seen lately, this one included, whether it may spend a share or not.
    int instancesSeen() const { return static_cast<int>(m_lastSeen.size()); }

private:
    bool isCurrent(BootTime now) const;

    std::string m_self;
    Milliseconds m_budgetWindow;
    std::optional<BootTime> m_confirmedAt;
    /// Since when each view has included this instance.
    std::optional<BootTime> m_registeredSince;
    /// The view has been complete since this instance registered.
    bool m_wasCurrent = false;
    std::map<std::string, BootTime> m_lastSeen;
};

}
