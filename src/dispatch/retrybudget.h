#pragma once

#include "common/time.h"

#include <deque>
#include <map>
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

/// Spends this instance's share of the fleet's retry budget. The shares of any set of live instances add up to
/// less than the budget, so instances need no coordination.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options)
    {
    }

    void onRequest(const std::string& service, TimePoint now);

    /// Takes one retry if this instance's share has one left.
    RetryDecision tryTake(const std::string& service, int instanceCount, TimePoint now);

private:
    struct Window {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void expire(Window&, TimePoint now) const;

    RetryBudgetOptions m_options;
    std::map<std::string, Window> m_windows;
};

}
