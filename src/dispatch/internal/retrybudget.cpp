#include "dispatch/retrybudget.h"

namespace guavaspan {

namespace {

    /// Share of the budget that may be spent; the rest is a margin for requests that count towards
    /// a different window than their retries.
    constexpr double usableShare = 0.7;

}

void RetryBudget::expire(Window& window, TimePoint now) const
{
    auto oldest = now - m_options.window;
    while (!window.requests.empty() && window.requests.front() < oldest)
        window.requests.pop_front();
    while (!window.retries.empty() && window.retries.front() < oldest)
        window.retries.pop_front();
}

void RetryBudget::onRequest(const std::string& service, TimePoint now)
{
    auto& window = m_windows[service];
    expire(window, now);
    window.requests.push_back(now);
}

RetryDecision RetryBudget::tryTake(const std::string& service, int instanceCount, TimePoint now)
{
    auto& window = m_windows[service];
    expire(window, now);
    double allowance = static_cast<double>(m_options.fleetAllowance) / std::max(1, instanceCount);
    double limit = usableShare * (m_options.ratio * static_cast<double>(window.requests.size()) + allowance);
    bool allowed = static_cast<double>(window.retries.size()) + 1 <= limit;
    if (allowed)
        window.retries.push_back(now);
    return { .allowed = allowed, .taken = static_cast<int>(window.retries.size()), .limit = limit, .requests = static_cast<int>(window.requests.size()) };
}

}
