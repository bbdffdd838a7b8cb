#pragma once

#include "common/time.h"

namespace guavaspan {

struct StallDetectorOptions {
    Clock::duration minTimeout = Seconds(1);
    /// Applies until enough gaps between tokens are known.
    Clock::duration firstTokenTimeout = Seconds(3);
    Clock::duration maxTimeout = Seconds(15);
};

/// Derives a stream's stall timeout from the mean and deviation of the gaps between its tokens.
class StallDetector {
public:
    explicit StallDetector(StallDetectorOptions);

    void onToken(TimePoint);

    /// Handles a reopened link: the time until its first token is not counted as a gap.
    void onReopened(TimePoint);

    /// Time without a token after which the link counts as stalled.
    Clock::duration silenceTimeout() const;

private:
    StallDetectorOptions m_options;
    TimePoint m_lastTokenAt;
    double m_meanSeconds = 0;
    double m_deviationSeconds = 0;
    int m_gapCount = 0;
};

}
