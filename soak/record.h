#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavaspan::soak {

/// Milliseconds on a clock that all processes of the soak share.
using SoakTime = std::int64_t;

SoakTime soakNow();

enum class RequestType {
    Stream,
    Order,
    Lookup,
};

/// One attempt as its caller saw it.
struct Attempt {
    std::string id;
    RequestType type = RequestType::Lookup;
    std::string path;
    std::string apiKey;
    std::string instance;
    /// Counts the starts of the instance's process.
    int incarnation = 0;
    SoakTime sentAt = 0;
    SoakTime endedAt = 0;
    /// The whole request was written.
    bool requestSent = false;
    /// 0 if no answer came.
    unsigned status = 0;
    bool sealed = false;
    bool responseComplete = false;
    /// What is wrong with the answer itself; empty if nothing is.
    std::string contentError;
};

/// One thing that an engine did.
struct EngineRecord {
    enum class Event {
        Run,
        /// A run goes on from a copy of its memory.
        Resume,
    };
    Event event = Event::Run;
    std::string attemptId;
    std::string engineId;
    std::string organisation;
    SoakTime recordedAt = 0;
};

/// A span in which something was done to a process or its links.
struct Disturbance {
    std::string subject;
    SoakTime startedAt = 0;
    SoakTime endedAt = 0;
    bool planned = false;
};

inline constexpr const char* storeSubject = "store";
inline constexpr const char* enginesSubject = "engines";

/// Everything that the checks look at.
struct SoakRecord {
    std::vector<Attempt> attempts;
    std::vector<EngineRecord> engineRecords;
    std::vector<Disturbance> disturbances;
    /// When the store acknowledged that a path exists, or no longer does.
    std::map<std::string, SoakTime> addedPaths;
    std::map<std::string, SoakTime> removedPaths;
    std::map<std::string, SoakTime> revokedKeys;
    std::map<std::string, std::string> organisationByKey;
    /// When the store acknowledged that an engine leaves.
    std::map<std::string, SoakTime> drainingEngines;
    /// Requests that instances put on record for each organisation, read after all of them stopped.
    std::map<std::string, std::int64_t> recordedRequests;
    /// No process ended but by a planned stop, so every record is complete.
    bool usageComplete = false;
    /// When the last fault was over.
    SoakTime faultsEndedAt = 0;
};

std::string encodeEngineRecord(const EngineRecord&);
/// Reads what engines wrote; a line that a kill cut off is left out.
std::vector<EngineRecord> readEngineRecords(const std::string& path);

}
