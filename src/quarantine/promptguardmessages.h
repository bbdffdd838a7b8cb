#pragma once

#include "common/time.h"
#include "quarantine/promptpart.h"

#include <variant>

namespace guavaspan {

/// Reports that a target broke off an answer before its first event; it may have crashed.
struct PromptInterruptionReport {
    std::vector<PromptPart> parts;
    std::string target;
    std::int64_t targetStartedAt = 0;
    /// Time from the sending of the request to this report.
    Milliseconds sentAgo { 0 };
    /// The request ran on trial.
    bool onTrial = false;

    friend bool operator==(const PromptInterruptionReport&, const PromptInterruptionReport&) = default;
};

/// Asks peers whether an answer to a request with the part has begun in the given time.
struct PromptPartInquiry {
    std::string instance;
    PromptPart part = 0;
    Milliseconds since { 0 };

    friend bool operator==(const PromptPartInquiry&, const PromptPartInquiry&) = default;
};

/// Tells that an answer to a request with the part has begun, so it does not crash targets.
struct PromptPartClearance {
    PromptPart part = 0;
    Milliseconds age { 0 };

    friend bool operator==(const PromptPartClearance&, const PromptPartClearance&) = default;
};

/// Asks all instances to refuse requests with the part, unless an answer to one has begun in the given time.
struct PromptPartConviction {
    std::string instance;
    PromptPart part = 0;
    Milliseconds since { 0 };

    friend bool operator==(const PromptPartConviction&, const PromptPartConviction&) = default;
};

/// Messages that the prompt guards of all instances exchange.
using PromptGuardMessage = std::variant<PromptInterruptionReport, PromptPartInquiry, PromptPartClearance, PromptPartConviction>;

/// A conviction in the shared store.
struct PromptPartRecord {
    PromptPart part = 0;

    friend auto operator<=>(const PromptPartRecord&, const PromptPartRecord&) = default;
};

}
