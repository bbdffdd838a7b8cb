#pragma once

#include "common/time.h"

#include <deque>
#include <map>
#include <string>

namespace guavaspan {

/// Bound on repeats, common to all instances of the fleet.
struct RetryBudgetOptions {
    /// Repeats allowed for each request of the window.
    double ratio = 0.2;
    /// Repeats allowed besides, summed over the fleet.
    int fleetAllowance = 0;
    Milliseconds window { 10000 };
};

/// Spends this instance's part of the budget. Parts add up to less than the
/// whole whoever is alive, so nothing has to be agreed on.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options)
    {
    }

    void onRequest(const std::string& service, TimePoint now);

    /// Takes one repeat if this instance's part has one left.
    bool tryTake(const std::string& service, int instanceCount, TimePoint now);

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
