#include "soak/instancefaults.h"

#include "soak/constants.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace guavaspan::soak {

namespace {

    constexpr auto restartDelay = Milliseconds(300);

}

Awaitable<> InstanceFaults::restartEndedInstances()
{
    while (m_context.restarting) {
        for (auto& instance : m_context.deployment.instances()) {
            if (instance->restarting || m_context.deployment.processes().isRunning(instance->name))
                continue;
            instance->restarting = true;
            asio::co_spawn(m_context.io, restartInstance(*instance), asio::detached);
        }
        co_await sleepFor(Milliseconds(50));
    }
}

Awaitable<> InstanceFaults::restartInstance(Deployment::Instance& instance)
{
    auto endedAt = soakNow();
    auto partOfStop = instance.stopping;
    co_await sleepFor(restartDelay);
    m_context.deployment.startInstance(instance);
    instance.restarting = false;
    m_context.record.disturbances.push_back({ .subject = instance.name, .startedAt = endedAt, .endedAt = soakNow(), .partOfStop = partOfStop });
}

Awaitable<> InstanceFaults::stopInstance(Deployment::Instance& instance)
{
    auto startedAt = soakNow();
    auto incarnation = instance.incarnation;
    m_context.deployment.processes().signal(instance.name, SIGTERM);
    m_context.record.plannedStops.push_back({ .instance = instance.name, .incarnation = incarnation, .signalledAt = startedAt });
    while (instance.incarnation == incarnation && soakNow() < startedAt + stopTimeout.count())
        co_await sleepFor(Milliseconds(20));
    if (instance.incarnation == incarnation && m_context.deployment.processes().signal(instance.name, SIGKILL)) {
        ++m_context.counts["instance killed at the stop limit"];
        m_context.record.disturbances.push_back({ .subject = instance.name, .startedAt = soakNow(), .endedAt = soakNow(), .partOfStop = true });
    }
    while (instance.incarnation == incarnation && m_context.restarting)
        co_await sleepFor(Milliseconds(20));
    m_context.recordDisturbance(instance.name, startedAt, soakNow(), true);
    instance.stopping = false;
}

/// Starts a planned stop unless one is in progress.
bool InstanceFaults::startStop(Deployment::Instance& instance)
{
    if (instance.stopping || instance.restarting || !m_context.injecting)
        return false;
    instance.stopping = true;
    ++m_context.counts["instance stopped"];
    asio::co_spawn(m_context.io, stopInstance(instance), asio::detached);
    return true;
}

Awaitable<> InstanceFaults::stopInstancesInTurn(Milliseconds interval)
{
    for (auto& instance : m_context.deployment.instances()) {
        if (!m_context.injecting)
            co_return;
        startStop(*instance);
        co_await sleepFor(interval);
    }
}

Awaitable<> InstanceFaults::stopAgainAfterRestart(Deployment::Instance& instance)
{
    constexpr int stops = 3;
    for (int i = 0; i < stops && startStop(instance); ++i) {
        while (instance.stopping)
            co_await sleepFor(Milliseconds(20));
        auto pause = m_context.randomDuration(20, 400);
        co_await sleepFor(pause);
    }
}

Awaitable<> InstanceFaults::signalDuringStop(Deployment::Instance& instance, int signalNumber)
{
    if (!startStop(instance))
        co_return;
    auto incarnation = instance.incarnation;
    auto delay = m_context.randomDuration(10, 3000);
    co_await sleepFor(delay);
    if (instance.incarnation != incarnation || instance.restarting)
        co_return;
    ++m_context.counts[signalNumber == SIGHUP ? "settings reloaded during a stop" : "stop signal repeated"];
    m_context.deployment.processes().signal(instance.name, signalNumber);
}

Awaitable<> InstanceFaults::freezeInstancesPeriodically()
{
    while (m_context.injecting) {
        asio::co_spawn(m_context.io, freezeAroundStop(m_context.deployment.randomInstance()), asio::detached);
        auto pause = m_context.randomDuration(300, 3000);
        co_await sleepFor(pause);
    }
}

/// SIGTERM comes at any time of a standstill, or just after it.
Awaitable<> InstanceFaults::freezeAroundStop(Deployment::Instance& instance)
{
    if (instance.stopping || instance.restarting || !m_context.injecting)
        co_return;
    ++m_context.counts["instance frozen around a stop"];
    auto incarnation = instance.incarnation;
    auto startedAt = soakNow();
    auto timeUntilSignal = m_context.randomDuration(0, 4000);
    auto timeAfterSignal = m_context.randomDuration(-200, 2000);
    m_context.deployment.processes().signal(instance.name, SIGSTOP);
    co_await sleepFor(timeUntilSignal);
    bool signalledLater = timeAfterSignal.count() < 0;
    if (!signalledLater)
        startStop(instance);
    co_await sleepFor(std::max(Milliseconds(0), timeAfterSignal));
    if (instance.incarnation == incarnation)
        m_context.deployment.processes().signal(instance.name, SIGCONT);
    m_context.recordDisturbance(instance.name, startedAt, soakNow());
    if (!signalledLater)
        co_return;
    co_await sleepFor(-timeAfterSignal);
    startStop(instance);
}

/// Restarts all instances in turn or at once, or one several times; the operations may overlap.
Awaitable<> InstanceFaults::stopInstancesPeriodically()
{
    constexpr std::array<std::pair<int, int>, 3> intervalRanges { { { 10, 300 }, { 300, 3000 }, { 3000, 9000 } } };
    while (m_context.injecting) {
        auto& instance = m_context.deployment.randomInstance();
        const auto& [minInterval, maxInterval] = intervalRanges[m_context.random() % intervalRanges.size()];
        auto interval = m_context.randomDuration(minInterval, maxInterval);
        switch (m_context.random() % 6) {
        case 0:
        case 1:
            ++m_context.counts["instances stopped in turn"];
            co_await stopInstancesInTurn(interval);
            break;
        case 2:
            ++m_context.counts["instances stopped at once"];
            co_await stopInstancesInTurn(Milliseconds(0));
            break;
        case 3:
            asio::co_spawn(m_context.io, stopAgainAfterRestart(instance), asio::detached);
            break;
        case 4:
            asio::co_spawn(m_context.io, signalDuringStop(instance, m_context.options.repeatedSignals ? SIGTERM : SIGHUP), asio::detached);
            break;
        default:
            startStop(m_context.options.silentStore ? m_context.deployment.randomInstance() : instance);
            if (m_context.options.silentStore)
                asio::co_spawn(m_context.io, m_silenceStore(), asio::detached);
        }
        auto pause = m_context.randomDuration(200, 3000);
        co_await sleepFor(pause);
    }
}

}
