#pragma once

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaspan {

/// One decision made for a request, with its reason and inputs.
struct DecisionRecord {
    std::chrono::system_clock::time_point time;
    std::string step;
    std::string reason;
    std::string peer;
    std::string detail;
};

/// The decisions of the latest requests; the oldest request is evicted when the log is full.
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
