#pragma once

#include "targets/targettypes.h"

#include <map>
#include <optional>

namespace guavaspan {

/// Tracks the request limits that targets state in their answers.
class TargetLimits {
public:
    /// An answer of this target arrived; without a limit it takes any number of requests.
    void onAnswer(const TargetEntry&, std::optional<double> requestsPerSecond, TimePoint now);

    std::size_t size() const { return m_limits.size(); }

private:
    struct StatedLimit {
        std::int64_t targetStartedAt = 0;
        double requestsPerSecond = 0;
        TimePoint statedAt;
    };

    std::map<std::string, StatedLimit> m_limits;
};

}
