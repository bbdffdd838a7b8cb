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
    /// Part of the prompt that other requests share.
    std::string promptPart;
    std::string instance;
    /// Number of times the instance's process had been started.
    int incarnation = 0;
    SoakTime sentAt = 0;
    /// Time at which the last byte of the request was written.
    SoakTime lastByteSentAt = 0;
    SoakTime endedAt = 0;
    /// Time from sentAt that the caller waits, stated in the request.
    SoakTime deadlineMs = 0;
    /// The request was written in full.
    bool requestSent = false;
    /// HTTP status; 0 if no response arrived.
    unsigned status = 0;
    /// The response has the header that engines set (sealHeader).
    bool sealed = false;
    /// The response was read to its end.
    bool responseComplete = false;
    /// The response states that the request crashes engines.
    bool refusedAsCrashing = false;
    /// Describes an error in the response body; empty if there is none.
    std::string contentError;
};

/// A step in the life of a request at an engine, as recorded by the engine.
struct EngineRecord {
    enum class Event {
        /// Execution started from the beginning.
        Run,
        /// A generation continued from a copy of its cached state.
        Resume,
        /// The request was received, whether the engine executes or rejects it.
        Arrival,
        /// The engine stopped work on the request.
        End,
        /// The engine itself ended the connection before the response was complete.
        BreakOff,
        /// The engine ends because it rejected too many requests; it is brittle.
        Overwhelmed,
    };
    Event event = Event::Run;
    std::string attemptId;
    std::string engineId;
    std::string organisation;
    SoakTime recordedAt = 0;
    /// Deadline that the received request stated; noDeadline if it had none.
    SoakTime deadlineMs = noDeadline;

    static constexpr SoakTime noDeadline = -1;

    friend bool operator==(const EngineRecord&, const EngineRecord&) = default;

    bool isExecution() const { return event == Event::Run || event == Event::Resume; }
};

/// Period during which a process or its network links were subject to a fault or a planned stop.
struct Disturbance {
    /// Name of an instance, storeSubject or enginesSubject.
    std::string subject;
    SoakTime startedAt = 0;
    SoakTime endedAt = 0;
    bool planned = false;
    /// The kill at the stop limit or the restart that belongs to a planned stop.
    bool partOfStop = false;
};

/// A SIGTERM that the operator sent to an instance.
struct PlannedStop {
    std::string instance;
    /// Incarnation that received the signal.
    int incarnation = 0;
    SoakTime signalledAt = 0;
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

/// Period from the store's acknowledgement of an evacuation until the operator began to end it.
struct Evacuation {
    std::string failureDomain;
    SoakTime acknowledgedAt = 0;
    SoakTime endedAt = 0;
};

/// Disturbances that excuse a violated guarantee.
enum class Excuse {
    AnyDisturbance,
    UnplannedDisturbance,
    /// The kill at the stop limit and the restart after a planned stop excuse nothing.
    UnplannedDisturbanceOutsideStops,
};

/// Input of the checks.
struct SoakRecord {
    std::vector<Attempt> attempts;
    std::vector<EngineRecord> engineRecords;
    std::vector<Disturbance> disturbances;
    std::vector<PlannedStop> plannedStops;
    /// Times at which the store acknowledged a configuration that adds or removes a path, or revokes a key.
    std::map<std::string, SoakTime> addedPaths;
    std::map<std::string, SoakTime> removedPaths;
    std::map<std::string, SoakTime> revokedKeys;
    std::map<std::string, std::string> organisationByKey;
    /// For each engine id, the time by which the store lists the engine as draining.
    std::map<std::string, SoakTime> drainingEngines;
    std::vector<StatedLimit> statedLimits;
    std::map<std::string, std::string> domainByEngine;
    std::vector<Evacuation> evacuations;
    /// Number of engines that are brittle at a time.
    int brittleEngines = 0;
    /// For each organisation, the number of requests in its usage records, read after all instances have stopped.
    std::map<std::string, std::int64_t> recordedRequests;
    /// Processes ended only by planned stops, so no usage record was lost.
    bool usageComplete = false;
    /// Time at which the last fault had ended.
    SoakTime faultsEndedAt = 0;
};

/// True if no disturbance of the subject, including recoveryAllowance after it, overlaps the period.
bool isUndisturbed(const SoakRecord&, const std::string& subject, SoakTime from, SoakTime to, Excuse);

std::string encodeEngineRecord(const EngineRecord&);
/// Reads the records that engines wrote; skips lines truncated by the kill of an engine.
std::vector<EngineRecord> readEngineRecords(const std::string& path);

}
