#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// One choice made for a request: what, why, and the inputs that mattered.
struct DecisionRecord {
    std::chrono::system_clock::time_point time;
    std::string step;
    std::string reason;
    std::string peer;
    std::string detail;
};

/// The latest requests' decisions, bounded in number.
class DecisionLog {
public:
    explicit DecisionLog(std::size_t maxRequests = 5000);

    void record(const std::string& requestId, std::string step, std::string reason, std::string peer = {}, std::string detail = {});
    const std::vector<DecisionRecord>* find(const std::string& requestId) const;

private:
    std::size_t m_maxRequests;
    std::deque<std::string> m_insertionOrder;
    std::unordered_map<std::string, std::vector<DecisionRecord>> m_recordsByRequest;
};

}
