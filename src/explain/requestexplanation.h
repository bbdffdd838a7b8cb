#pragma once

#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// The log of one instance.
struct InstanceLog {
    std::string instance;
    /// One JSON object per line. Text before an object and lines without an object are skipped.
    std::string text;
};

/// A log line about a request, or about its targets or the state of the instance while it ran.
struct TimelineEntry {
    std::string time;
    std::string instance;
    std::string event;
    std::string fields;

    friend bool operator==(const TimelineEntry&, const TimelineEntry&) = default;
};

/// The events of a request in order of time, and the cause of its result.
struct RequestExplanation {
    std::vector<TimelineEntry> timeline;
    /// A sentence that names the step and the target or instance at which the request ended.
    std::string cause;
};

/// Explains a request from the logs of any number of instances. Empty if no log line names it.
std::optional<RequestExplanation> explainRequest(const std::string& requestId, const std::vector<InstanceLog>&);

std::string toText(const RequestExplanation&);

}
