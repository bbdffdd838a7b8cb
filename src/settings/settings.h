#pragma once

#include "common/log.h"
#include "net/httpserver.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace guavaspan {

/// How requests are given to engines.
enum class SchedulingPolicy {
    Granter,
    RoundRobin,
    LeastReported,
    TwoChoices,
};

/// Which measure the operators weigh most.
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
    int maxRestarts = 2;
    int maxResumes = 4;
    Milliseconds minSilenceTimeout { 1000 };
    Milliseconds firstTokenSilenceTimeout { 3000 };
};

struct StoppingSettings {
    Milliseconds balancerDetectionTime { 1000 };
    /// Zero waits for running work without limit.
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

/// A fault in the settings with its line, counted from 1.
struct SettingsFault {
    int line = 0;
    std::string location;
    std::string message;

    friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

/// Every fault found; travels as the error object of a failed load.
struct SettingsFaults {
    std::vector<SettingsFault> faults;
};

boost::leaf::result<Settings> parseSettings(const std::string& yaml);
boost::leaf::result<Settings> loadSettings(const std::string& path);

}
