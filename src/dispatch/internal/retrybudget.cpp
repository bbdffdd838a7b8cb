#include "dispatch/retrybudget.h"

namespace guavaspan {

namespace {

    /// Part of the budget that is spent; the rest covers requests that count in another window.
    constexpr double spentShare = 0.7;

}

void RetryBudget::expire(Window& window, TimePoint now) const
{
    auto oldest = now - m_options.window;
    while (!window.requests.empty() && window.requests.front() < oldest)
        window.requests.pop_front();
    while (!window.repeats.empty() && window.repeats.front() < oldest)
        window.repeats.pop_front();
}

void RetryBudget::onRequest(const std::string& service, TimePoint now)
{
    auto& window = m_services[service];
    expire(window, now);
    window.requests.push_back(now);
}

bool RetryBudget::take(const std::string& service, int instances, TimePoint now)
{
    auto& window = m_services[service];
    expire(window, now);
    double allowance = static_cast<double>(m_options.fleetAllowance) / std::max(1, instances);
    double limit = spentShare * (m_options.ratio * static_cast<double>(window.requests.size()) + allowance);
    if (static_cast<double>(window.repeats.size()) + 1 > limit)
        return false;
    window.repeats.push_back(now);
    return true;
}

}
