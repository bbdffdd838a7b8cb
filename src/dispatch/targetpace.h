#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace guavaspan {

/// Pace of one incarnation of a target; 0 stands for values that are not known.
struct TargetPace {
    /// Milliseconds per event of a stream that runs alone. The values of the instances that observed the target lie around this range; it
    /// is a single value unless two of them are in the middle.
    double minEventMs = 0;
    double maxEventMs = 0;
    double promptTokensPerMs = 0;
    /// Milliseconds per plain answer: the median, and the difference between the quartiles.
    double answerMs = 0;
    double answerSpreadMs = 0;
    /// Instances that observed it; this instance's own observations count as two.
    int sources = 0;

    /// Milliseconds between two events of a stream beside other running requests and prompts that are being processed.
    static double eventGap(double eventMs, int running, double prompts);

    friend bool operator==(const TargetPace&, const TargetPace&) = default;
};

/// A pace as instances report it, in units that keep messages short.
struct ReportedPace {
    /// The lowest bits of the time at which the target started.
    std::uint16_t incarnation = 0;
    int halfMsPerEvent = 0;
    int promptTokensPer10Ms = 0;

    friend auto operator<=>(const ReportedPace&, const ReportedPace&) = default;
};

using ReportedPaces = std::map<std::string, ReportedPace>;

}
