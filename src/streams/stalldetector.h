#pragma once

#include "common/time.h"

namespace guavaspan {

struct StallDetectorOptions {
    Clock::duration minTimeout = Seconds(1);
    Clock::duration firstTokenTimeout = Seconds(3);
    Clock::duration maxTimeout = Seconds(15);
};

/// Learns a stream's own gaps between tokens and says which silence is too long.
class StallDetector {
public:
    explicit StallDetector(StallDetectorOptions);

    void onToken(TimePoint);

    /// The link was renewed; the next token is owed as if the stream just began.
    void onReopened(TimePoint);

    /// Silence after which the link is taken to be stalled.
    Clock::duration silenceTimeout() const;

private:
    StallDetectorOptions m_options;
    TimePoint m_lastTokenAt;
    double m_meanSeconds = 0;
    double m_deviationSeconds = 0;
    int m_gapCount = 0;
};

}
