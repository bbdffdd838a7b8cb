#include "streams/stalldetector.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    constexpr double meanGain = 0.125;
    constexpr double deviationGain = 0.25;
    // Gaps are skewed by other requests' prefills, hence the wide band.
    constexpr double deviationFactor = 12;
    constexpr int minGapCount = 4;

}

StallDetector::StallDetector(StallDetectorOptions options)
    : m_options(options)
{
}

void StallDetector::onToken(TimePoint now)
{
    if (m_lastTokenAt != TimePoint {}) {
        double gap = secondsBetween(m_lastTokenAt, now);
        if (m_gapCount == 0)
            m_meanSeconds = gap;
        m_deviationSeconds += deviationGain * (std::abs(gap - m_meanSeconds) - m_deviationSeconds);
        m_meanSeconds += meanGain * (gap - m_meanSeconds);
        ++m_gapCount;
    }
    m_lastTokenAt = now;
}

void StallDetector::onReopened(TimePoint)
{
    m_lastTokenAt = {};
}

Clock::duration StallDetector::silenceTimeout() const
{
    if (m_gapCount < minGapCount)
        return m_options.firstTokenTimeout;
    auto estimate = fromSeconds(m_meanSeconds + deviationFactor * m_deviationSeconds);
    return std::clamp(estimate, m_options.minTimeout, m_options.maxTimeout);
}

}
