#pragma once

#include "common/log.h"
#include "net/httpserver.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace guavaspan {

/// How engines are selected for requests; all but Granter have no queue and serve as baselines for
/// comparison.
enum class SchedulingPolicy {
    /// The owner of a pool grants permits and queues requests that exceed its capacity.
    Granter,
    RoundRobin,
    /// Selects the engine with the fewest requests in its last load report.
    LeastReported,
    /// Draws two engines at random and selects the one that reported fewer requests.
    TwoChoices,
};

/// Which effect the scheduler avoids first: stalls of streams or preemptions.
enum class SchedulingProfile {
    StallsFirst,
    PreemptionsFirst,
};

struct InstanceSettings {
    std::string name;
    std::string failureDomain;
    std::string region;
};

struct ListenSettings {
    Endpoint callers;
    Endpoint peers;
};

struct PlatformSettings {
    Endpoint keyValueService;
    Endpoint instanceList;
    Milliseconds timeout { 1000 };
    Milliseconds configurationPollInterval { 250 };
    Milliseconds instanceListPollInterval { 1000 };
};

struct PeerSettings {
    std::string key;
};

struct OperatorSettings {
    std::vector<std::string> keyHashes;
};

struct SchedulingSettings {
    SchedulingPolicy policy = SchedulingPolicy::Granter;
    SchedulingProfile profile = SchedulingProfile::StallsFirst;
    Milliseconds loadPollInterval { 250 };
    Milliseconds maxWait { 30000 };
};

struct StreamSettings {
    /// Maximum number of restarts of a generation before the caller has received any of its output.
    int maxRestarts = 2;
    /// Maximum number of consecutive resumes of a stream that yield no token.
    int maxResumes = 4;
    /// Lower bound of the stall timeout that is derived from the gaps between tokens.
    Milliseconds minSilenceTimeout { 1000 };
    /// Stall timeout until enough gaps between tokens are known.
    Milliseconds firstTokenSilenceTimeout { 3000 };
};

struct StoppingSettings {
    /// Time for which connections are still accepted after readiness became false.
    Milliseconds balancerDetectionTime { 1000 };
    /// Maximum time that a stopping instance waits for running requests; zero means no limit.
    Milliseconds maxDrainTime { 0 };
};

struct ClaimSettings {
    Seconds retention { 86400 };
    Milliseconds batchWindow { 5 };
};

struct UsageSettings {
    Milliseconds flushInterval { 10000 };
};

struct TraceSettings {
    std::string file;
};

/// All settings of one instance.
struct Settings {
    InstanceSettings instance;
    ListenSettings listen;
    PlatformSettings platform;
    PeerSettings peers;
    OperatorSettings operators;
    SchedulingSettings scheduling;
    StreamSettings streams;
    StoppingSettings stopping;
    ClaimSettings claims;
    UsageSettings usage;
    TraceSettings traces;
    HttpLimits limits;
    LogLevel logLevel = LogLevel::Info;
};

/// A fault in the settings.
struct SettingsFault {
    /// Counted from 1; 0 if unknown.
    int line = 0;
    /// Path of the key, for example "streams.max_restarts", or of the file.
    std::string location;
    std::string message;

    friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

/// All faults found in a settings file; the error object of a failed load.
struct SettingsFaults {
    std::vector<SettingsFault> faults;
};

boost::leaf::result<Settings> parseSettings(const std::string& yaml);
boost::leaf::result<Settings> loadSettings(const std::string& path);

}
