#pragma once

#include "common/time.h"
#include "quarantine/quarantineservice.h"

#include <variant>

namespace guavaspan {

/// Reports that a target stopped answering while it was running a request; it may have crashed.
struct InterruptionReport {
    Fingerprint fingerprint = 0;
    std::string target;
    std::int64_t targetStartedAt = 0;
    /// Time from the sending of the request to this report.
    Milliseconds sentAgo { 0 };
    /// Time from the interruption to this report.
    Milliseconds interruptedAgo { 0 };
    /// The request ran on trial.
    bool onTrial = false;

    friend bool operator==(const InterruptionReport&, const InterruptionReport&) = default;
};

/// Tells that a request which is convicted was answered after all crashes that the sender knows of.
struct PriorCompletionNotice {
    Fingerprint fingerprint = 0;
    /// Time from the sending of the request that was answered to this notice.
    Milliseconds sentAgo { 0 };

    friend bool operator==(const PriorCompletionNotice&, const PriorCompletionNotice&) = default;
};

/// Tells instances that start that several targets have crashed while they ran the request, so it runs on trial only.
struct SuspicionRecord {
    Fingerprint fingerprint = 0;

    friend auto operator<=>(const SuspicionRecord&, const SuspicionRecord&) = default;
};

/// What the shared store keeps of crashes.
using CrashRecord = std::variant<CrashReport, ConvictionNotice, SuspicionRecord>;

/// Messages that the crash guards of all instances exchange.
using CrashGuardMessage = std::variant<InterruptionReport, PriorCompletionNotice, CrashReport, CompletionReport, ConvictionNotice, PardonNotice>;

}
