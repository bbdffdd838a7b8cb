#pragma once

#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// What one instance logged.
struct InstanceLog {
    std::string instance;
    /// Log lines; whatever is no JSON object, or stands before one on its line, is skipped.
    std::string text;
};

/// One line that concerns a request, or what the instance knew meanwhile.
struct TimelineEntry {
    std::string time;
    std::string instance;
    std::string event;
    std::string fields;

    friend bool operator==(const TimelineEntry&, const TimelineEntry&) = default;
};

/// What happened to a request, in order, and why it ended as it did.
struct RequestExplanation {
    std::vector<TimelineEntry> lines;
    /// The step and the peer at which it ended, in a sentence.
    std::string cause;
};

/// Finds a request in the logs of any number of instances; nothing if none names it.
std::optional<RequestExplanation> explainRequest(const std::string& requestId, const std::vector<InstanceLog>&);

std::string toText(const RequestExplanation&);

}
