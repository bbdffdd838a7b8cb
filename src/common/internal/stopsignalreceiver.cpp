#include "common/stopsignalreceiver.h"

#include "common/log.h"
#include "common/signalarrivals.h"

#include <csignal>
#include <utility>

namespace guavaspan {

StopSignalReceiver::StopSignalReceiver(BootClock::duration minStandstill)
    : m_standstills(minStandstill, BootClock::now())
{
    SignalArrivals::watch(SIGTERM);
    SignalArrivals::watch(SIGINT);
}

void StopSignalReceiver::onRunning()
{
    auto standstill = m_standstills.onRunning(BootClock::now());
    if (standstill)
        logEvent(LogLevel::Info, "process_stood_still", { { "at_most_ms", std::chrono::duration_cast<Milliseconds>(standstill->length()).count() } });
}

/// The interval since the last sign of life may have been a standstill, too.
std::optional<StopSignal> StopSignalReceiver::take(std::optional<int> handledSignal)
{
    auto arrival = SignalArrivals::first();
    // It arrived before this object was created.
    if (!arrival && handledSignal)
        arrival = SignalArrival { .signal = *handledSignal, .at = BootClock::now() };
    if (!arrival || std::exchange(m_taken, true))
        return std::nullopt;
    onRunning();
    return StopSignal { .number = arrival->signal, .arrivedAt = arrival->at, .maxAge = arrival->at - m_standstills.earliestCauseOf(arrival->at) };
}

}
