#pragma once

#include "common/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace guavaspan {

/// Limit on retries, shared by all instances of the fleet.
struct RetryBudgetOptions {
    /// Retries allowed per request of the window.
    double ratio = 0.2;
    /// Retries allowed in addition, for the whole fleet.
    int fleetAllowance = 0;
    Milliseconds window { 10000 };
};

/// Whether a retry may be sent, and the figures that decided it.
struct RetryDecision {
    bool allowed = false;
    /// Retries taken within the window, including this one.
    int taken = 0;
    /// Retries that this instance may take within the window.
    double limit = 0;
    /// Requests that this instance received within the window.
    int requests = 0;

    friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

/// Spends this instance's share of the fleet's retry budget. The shares of all processes add up to no more than the
/// budget in any window, so instances need no coordination.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options)
    {
    }

    void onRequest(const std::string& service, BootTime now);

    /// Takes one retry if this instance's share has one left. `sharers` is the number of instances among which the
    /// allowance is divided; without it only the retries per request are used.
    RetryDecision tryTake(const std::string& service, std::optional<int> sharers, BootTime now);

private:
    struct Window {
        std::deque<BootTime> requests;
        std::deque<BootTime> retries;
    };

    void expire(Window&, BootTime now) const;

    RetryBudgetOptions m_options;
    std::map<std::string, Window> m_windows;
};

}
