#pragma once

#include "common/time.h"

#include <deque>

namespace guavaspan {

/// Whether an engine may be given work.
enum class EngineCondition {
    Healthy,
    Ejected,
    Probing,
};

/// Ejects an engine on evidence of failure or slowness and readmits it by one probe.
class EngineHealth {
public:
    void onSuccess(TimePoint);
    void onFailure(TimePoint);

    /// Step time against the median of the engine's pool.
    void onStepTime(double seconds, double poolMedianSeconds, TimePoint);

    /// The probe generation was handed out.
    void onProbeStarted(TimePoint);

    EngineCondition condition(TimePoint) const;

private:
    void eject(TimePoint);

    std::deque<TimePoint> m_failures;
    int m_slowReports = 0;
    bool m_ejected = false;
    bool m_probeRunning = false;
    TimePoint m_probeAllowedAt;
    Clock::duration m_ejectionDuration {};
};

}
