#include "streams/stalldetector.h"

#include <algorithm>
#include <cmath>

namespace guavaspan {

namespace {

    constexpr double meanGain = 0.125;
    constexpr double deviationGain = 0.25;
    // Gaps are skewed by other requests' prefills, hence the wide band.
    constexpr double deviationsAllowed = 12;
    constexpr int gapsBeforeTrust = 4;

}

StallDetector::StallDetector(StallDetectorOptions options)
    : m_options(options)
{
}

void StallDetector::onToken(TimePoint now)
{
    if (m_last != TimePoint {}) {
        double gap = secondsBetween(m_last, now);
        if (m_gaps == 0)
            m_meanSeconds = gap;
        m_deviationSeconds += deviationGain * (std::abs(gap - m_meanSeconds) - m_deviationSeconds);
        m_meanSeconds += meanGain * (gap - m_meanSeconds);
        ++m_gaps;
    }
    m_last = now;
}

void StallDetector::onReopened(TimePoint)
{
    m_last = {};
}

Clock::duration StallDetector::limit() const
{
    if (m_gaps < gapsBeforeTrust)
        return m_options.firstTokenLimit;
    auto learned = fromSeconds(m_meanSeconds + deviationsAllowed * m_deviationSeconds);
    return std::clamp(learned, m_options.shortestLimit, m_options.longestLimit);
}

}
