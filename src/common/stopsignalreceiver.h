#pragma once

#include "common/standstilllog.h"

#include <optional>

namespace guavaspan {

struct StopSignal {
    int number = 0;
    BootTime arrivedAt;
    /// The host may have sent the signal up to this much earlier, while the process stood still.
    BootClock::duration maxAge {};

    friend bool operator==(const StopSignal&, const StopSignal&) = default;
};

/// Tells when the first stop signal of this process arrived, before the event loop handles it, and how old it may be.
class StopSignalReceiver {
public:
    /// Created after the handlers of SIGTERM and SIGINT, which are still called.
    explicit StopSignalReceiver(BootClock::duration minStandstill);

    /// Called at intervals while the process runs; logs standstills.
    void onRunning();

    /// The first stop signal, once. The event loop names the one that it handles.
    std::optional<StopSignal> take(std::optional<int> handledSignal = std::nullopt);

private:
    StandstillLog m_standstills;
    bool m_taken = false;
};

}
