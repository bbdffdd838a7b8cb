#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavaspan::soak {

/// Milliseconds of the machine's steady clock, so times of all processes can be compared.
using SoakTime = std::int64_t;

SoakTime soakNow();

enum class RequestType {
    /// A generation, answered as an event stream. Not idempotent.
    Stream,
    /// A non-idempotent POST request.
    Order,
    /// An idempotent GET request.
    Lookup,
};

/// One request and its response as recorded by the caller.
struct Attempt {
    std::string id;
    RequestType type = RequestType::Lookup;
    std::string path;
    std::string apiKey;
    std::string instance;
    /// Number of times the instance's process had been started.
    int incarnation = 0;
    SoakTime sentAt = 0;
    SoakTime endedAt = 0;
    /// The request was written in full.
    bool requestSent = false;
    /// HTTP status; 0 if no response arrived.
    unsigned status = 0;
    /// The response has the header that engines set (sealHeader).
    bool sealed = false;
    /// The response was read to its end.
    bool responseComplete = false;
    /// Describes an error in the response body; empty if there is none.
    std::string contentError;
};

/// An execution of a request as recorded by the engine.
struct EngineRecord {
    enum class Event {
        /// Execution started from the beginning.
        Run,
        /// A generation continued from a copy of its cached state.
        Resume,
    };
    Event event = Event::Run;
    std::string attemptId;
    std::string engineId;
    std::string organisation;
    SoakTime recordedAt = 0;
};

/// Period during which a process or its network links were subject to a fault or a planned stop.
struct Disturbance {
    /// Name of an instance, storeSubject or enginesSubject.
    std::string subject;
    SoakTime startedAt = 0;
    SoakTime endedAt = 0;
    bool planned = false;
};

inline constexpr const char* storeSubject = "store";
inline constexpr const char* enginesSubject = "engines";

/// Period in which an engine states a limit of requests per second in its answers.
struct StatedLimit {
    std::string engineId;
    double requestsPerSecond = 0;
    SoakTime startedAt = 0;
    SoakTime endedAt = 0;
};

/// Input of the checks.
struct SoakRecord {
    std::vector<Attempt> attempts;
    std::vector<EngineRecord> engineRecords;
    std::vector<Disturbance> disturbances;
    /// Times at which the store acknowledged a configuration that adds or removes a path, or revokes a key.
    std::map<std::string, SoakTime> addedPaths;
    std::map<std::string, SoakTime> removedPaths;
    std::map<std::string, SoakTime> revokedKeys;
    std::map<std::string, std::string> organisationByKey;
    /// For each engine id, the time by which the store lists the engine as draining.
    std::map<std::string, SoakTime> drainingEngines;
    std::vector<StatedLimit> statedLimits;
    /// For each organisation, the number of requests in its usage records, read after all instances have stopped.
    std::map<std::string, std::int64_t> recordedRequests;
    /// Processes ended only by planned stops, so no usage record was lost.
    bool usageComplete = false;
    /// Time at which the last fault had ended.
    SoakTime faultsEndedAt = 0;
};

std::string encodeEngineRecord(const EngineRecord&);
/// Reads the records that engines wrote; skips lines truncated by the kill of an engine.
std::vector<EngineRecord> readEngineRecords(const std::string& path);

}
