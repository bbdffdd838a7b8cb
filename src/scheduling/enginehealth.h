#pragma once

#include "common/time.h"

#include <deque>

namespace guavaspan {

/// Whether an engine may receive new generations.
enum class EngineCondition {
    Healthy,
    Ejected,
    Probing,
};

/// Outlier ejection: ejects a failing or slow engine and readmits it after one successful probe.
class EngineHealth {
public:
    void onSuccess(TimePoint);
    void onFailure(TimePoint);

    /// Compares the engine's step time with the median of its pool.
    void onStepTime(double seconds, double poolMedianSeconds, TimePoint);

    /// Records that the probe generation was granted.
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
