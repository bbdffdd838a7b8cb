#include "dispatch/retrybudget.h"

namespace guavaspan {

namespace {

    /// Time that a retry may wait for a target and a connection. The budget counts it when it reaches the target.
    constexpr auto maxSendDelay = Milliseconds(2000);
    /// Instances spend at different times, each for its requests until then. So the retries of one window may be
    /// based on the requests of two windows, while the budget counts those of one.
    constexpr double usableRatio = 0.5;

}

void RetryBudget::expire(Window& window, BootTime now) const
{
    auto oldestRequest = now - (m_options.window - maxSendDelay);
    while (!window.requests.empty() && window.requests.front() < oldestRequest)
        window.requests.pop_front();
    auto oldestRetry = now - (m_options.window + maxSendDelay);
    while (!window.retries.empty() && window.retries.front() < oldestRetry)
        window.retries.pop_front();
}

void RetryBudget::onRequest(const std::string& service, BootTime now)
{
    auto& window = m_windows[service];
    expire(window, now);
    window.requests.push_back(now);
}

RetryDecision RetryBudget::tryTake(const std::string& service, std::optional<int> sharers, BootTime now)
{
    auto& window = m_windows[service];
    expire(window, now);
    double limit = usableRatio * m_options.ratio * static_cast<double>(window.requests.size());
    if (sharers)
        limit += static_cast<double>(m_options.fleetAllowance) / std::max(1, *sharers);
    bool allowed = static_cast<double>(window.retries.size()) + 1 <= limit;
    if (allowed)
        window.retries.push_back(now);
    return { .allowed = allowed, .taken = static_cast<int>(window.retries.size()), .limit = limit, .requests = static_cast<int>(window.requests.size()) };
}

}
