#include "settings/settings.h"

#include "settings/internal/settingsreader.h"

#include <fstream>
#include <sstream>

namespace guavaspan {

namespace {

    constexpr std::int64_t maxMilliseconds = 86'400'000;

    void readInstance(MapReader reader, InstanceSettings& settings)
    {
        reader.readRequiredString("name", settings.name);
        reader.readRequiredString("failure_domain", settings.failureDomain);
        reader.readString("region", settings.region);
        reader.checkUnknownKeys();
    }

    void readListen(MapReader reader, ListenSettings& settings)
    {
        reader.readRequiredEndpoint("callers", settings.callers);
        reader.readRequiredEndpoint("peers", settings.peers);
        reader.checkUnknownKeys();
    }

    void readPlatform(MapReader reader, PlatformSettings& settings)
    {
        reader.readRequiredEndpoint("key_value_service", settings.keyValueService);
        reader.readRequiredEndpoint("instance_list", settings.instanceList);
        reader.readMilliseconds("timeout_ms", settings.timeout, 10, maxMilliseconds);
        reader.readMilliseconds("configuration_poll_ms", settings.configurationPollInterval, 10, maxMilliseconds);
        reader.readMilliseconds("list_poll_ms", settings.instanceListPollInterval, 10, maxMilliseconds);
        reader.checkUnknownKeys();
    }

    void readPeers(MapReader reader, PeerSettings& settings)
    {
        constexpr std::size_t minKeyLength = 16;
        reader.readRequiredString("key", settings.key);
        if (!settings.key.empty() && settings.key.size() < minKeyLength)
            reader.addFault("key", "must have at least 16 characters");
        reader.checkUnknownKeys();
    }

    void readOperators(MapReader reader, OperatorSettings& settings)
    {
        reader.readStrings("key_hashes", settings.keyHashes);
        reader.checkUnknownKeys();
    }

    void readScheduling(MapReader reader, SchedulingSettings& settings)
    {
        reader.readChoice("policy", settings.policy, { { "granter", SchedulingPolicy::Granter }, { "round_robin", SchedulingPolicy::RoundRobin }, { "least_reported", SchedulingPolicy::LeastReported }, { "two_choices", SchedulingPolicy::TwoChoices } });
        reader.readChoice("profile", settings.profile, { { "stalls_first", SchedulingProfile::StallsFirst }, { "preemptions_first", SchedulingProfile::PreemptionsFirst } });
        reader.readMilliseconds("load_poll_ms", settings.loadPollInterval, 20, maxMilliseconds);
        reader.readMilliseconds("max_wait_ms", settings.maxWait, 1, maxMilliseconds);
        reader.checkUnknownKeys();
    }

    void readStreams(MapReader reader, StreamSettings& settings)
    {
        reader.readNumber("max_restarts", settings.maxRestarts, 0, 100);
        reader.readNumber("max_resumes", settings.maxResumes, 0, 100);
        reader.readMilliseconds("shortest_silence_ms", settings.minSilenceTimeout, 50, maxMilliseconds);
        reader.readMilliseconds("first_token_silence_ms", settings.firstTokenSilenceTimeout, 50, maxMilliseconds);
        reader.checkUnknownKeys();
    }

    void readStopping(MapReader reader, StoppingSettings& settings)
    {
        reader.readMilliseconds("balancer_notice_ms", settings.balancerDetectionTime, 0, maxMilliseconds);
        reader.readMilliseconds("longest_drain_ms", settings.maxDrainTime, 0, maxMilliseconds);
        reader.checkUnknownKeys();
    }

    void readClaims(MapReader reader, ClaimSettings& settings)
    {
        std::int64_t retention = settings.retention.count();
        reader.readNumber("retention_s", retention, 60, std::int64_t(365) * 86400);
        settings.retention = Seconds(retention);
        reader.readMilliseconds("batch_window_ms", settings.batchWindow, 0, 1000);
        reader.checkUnknownKeys();
    }

    void readUsage(MapReader reader, UsageSettings& settings)
    {
        reader.readMilliseconds("flush_interval_ms", settings.flushInterval, 100, maxMilliseconds);
        reader.checkUnknownKeys();
    }

    void readTraces(MapReader reader, TraceSettings& settings)
    {
        reader.readString("file", settings.file);
        reader.checkUnknownKeys();
    }

    void readLimits(MapReader reader, HttpLimits& limits)
    {
        reader.readNumber("max_body_bytes", limits.maxBodyBytes, 1024, std::int64_t(1) << 30);
        reader.readNumber("max_header_bytes", limits.maxHeaderBytes, 1024, 1 << 20);
        Milliseconds headerTimeout = std::chrono::duration_cast<Milliseconds>(limits.headerTimeout);
        Milliseconds writeTimeout = std::chrono::duration_cast<Milliseconds>(limits.writeTimeout);
        Milliseconds idleTimeout = std::chrono::duration_cast<Milliseconds>(limits.idleTimeout);
        reader.readMilliseconds("read_timeout_ms", headerTimeout, 10, maxMilliseconds);
        reader.readMilliseconds("write_timeout_ms", writeTimeout, 10, maxMilliseconds);
        reader.readMilliseconds("idle_timeout_ms", idleTimeout, 10, maxMilliseconds);
        limits.headerTimeout = headerTimeout;
        limits.writeTimeout = writeTimeout;
        limits.idleTimeout = idleTimeout;
        reader.checkUnknownKeys();
    }

    void readLog(MapReader reader, LogLevel& level)
    {
        reader.readChoice("level", level, { { "debug", LogLevel::Debug }, { "info", LogLevel::Info }, { "warning", LogLevel::Warning }, { "error", LogLevel::Error } });
        reader.checkUnknownKeys();
    }

}

boost::leaf::result<Settings> parseSettings(const std::string& yaml)
{
    SettingsFaults faults;
    YAML::Node root;
    try {
        root = YAML::Load(yaml);
    } catch (const YAML::Exception& exception) {
        faults.faults.push_back({ .line = exception.mark.line + 1, .location = "", .message = exception.msg });
        return boost::leaf::new_error(std::move(faults));
    }
    Settings settings;
    MapReader reader(root, "", faults.faults);
    readInstance(reader.readMap("instance", true), settings.instance);
    readListen(reader.readMap("listen", true), settings.listen);
    readPlatform(reader.readMap("platform", true), settings.platform);
    readPeers(reader.readMap("peers", true), settings.peers);
    readOperators(reader.readMap("operators"), settings.operators);
    readScheduling(reader.readMap("scheduling"), settings.scheduling);
    readStreams(reader.readMap("streams"), settings.streams);
    readStopping(reader.readMap("stopping"), settings.stopping);
    readClaims(reader.readMap("claims"), settings.claims);
    readUsage(reader.readMap("usage"), settings.usage);
    readTraces(reader.readMap("traces"), settings.traces);
    readLimits(reader.readMap("limits"), settings.limits);
    readLog(reader.readMap("log"), settings.logLevel);
    reader.checkUnknownKeys();
    if (!faults.faults.empty())
        return boost::leaf::new_error(std::move(faults));
    return settings;
}

boost::leaf::result<Settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return boost::leaf::new_error(SettingsFaults { { { .line = 0, .location = path, .message = "cannot be opened" } } });
    std::ostringstream yaml;
    yaml << file.rdbuf();
    return parseSettings(yaml.str());
}

}
