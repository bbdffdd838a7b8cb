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
        reader.text("region", settings.region);
        reader.finish();
    }

    void readListen(MapReader reader, ListenSettings& settings)
    {
        reader.readRequiredEndpoint("callers", settings.callers);
        reader.readRequiredEndpoint("peers", settings.peers);
        reader.finish();
    }

    void readPlatform(MapReader reader, PlatformSettings& settings)
    {
        reader.readRequiredEndpoint("key_value_service", settings.keyValueService);
        reader.readRequiredEndpoint("instance_list", settings.instanceList);
        reader.milliseconds("timeout_ms", settings.timeout, 10, maxMilliseconds);
        reader.milliseconds("configuration_poll_ms", settings.configurationPollInterval, 10, maxMilliseconds);
        reader.milliseconds("list_poll_ms", settings.instanceListPollInterval, 10, maxMilliseconds);
        reader.finish();
    }

    void readPeers(MapReader reader, PeerSettings& settings)
    {
        constexpr std::size_t minKeyLength = 16;
        reader.readRequiredString("key", settings.key);
        if (!settings.key.empty() && settings.key.size() < minKeyLength)
            reader.addFault("key", "must have at least 16 characters");
        reader.finish();
    }

    void readOperators(MapReader reader, OperatorSettings& settings)
    {
        reader.readStrings("key_hashes", settings.keyHashes);
        reader.finish();
    }

    void readScheduling(MapReader reader, SchedulingSettings& settings)
    {
        reader.choice("policy", settings.policy, { { "granter", SchedulingPolicy::Granter }, { "round_robin", SchedulingPolicy::RoundRobin }, { "least_reported", SchedulingPolicy::LeastReported }, { "two_choices", SchedulingPolicy::TwoChoices } });
        reader.choice("profile", settings.profile, { { "stalls_first", SchedulingProfile::StallsFirst }, { "preemptions_first", SchedulingProfile::PreemptionsFirst } });
        reader.milliseconds("load_poll_ms", settings.loadPollInterval, 20, maxMilliseconds);
        reader.milliseconds("max_wait_ms", settings.maxWait, 1, maxMilliseconds);
        reader.finish();
    }

    void readStreams(MapReader reader, StreamSettings& settings)
    {
        reader.number("max_restarts", settings.maxRestarts, 0, 100);
        reader.number("max_resumes", settings.maxResumes, 0, 100);
        reader.milliseconds("shortest_silence_ms", settings.minSilenceTimeout, 50, maxMilliseconds);
        reader.milliseconds("first_token_silence_ms", settings.firstTokenSilenceTimeout, 50, maxMilliseconds);
        reader.finish();
    }

    void readStopping(MapReader reader, StoppingSettings& settings)
    {
        reader.milliseconds("balancer_notice_ms", settings.balancerDetectionTime, 0, maxMilliseconds);
        reader.milliseconds("longest_drain_ms", settings.maxDrainTime, 0, maxMilliseconds);
        reader.finish();
    }

    void readClaims(MapReader reader, ClaimSettings& settings)
    {
        std::int64_t retention = settings.retention.count();
        reader.number("retention_s", retention, 60, std::int64_t(365) * 86400);
        settings.retention = Seconds(retention);
        reader.milliseconds("batch_window_ms", settings.batchWindow, 0, 1000);
        reader.finish();
    }

    void readUsage(MapReader reader, UsageSettings& settings)
    {
        reader.milliseconds("flush_interval_ms", settings.flushInterval, 100, maxMilliseconds);
        reader.finish();
    }

    void readTraces(MapReader reader, TraceSettings& settings)
    {
        reader.text("file", settings.file);
        reader.finish();
    }

    void readLimits(MapReader reader, HttpLimits& limits)
    {
        reader.number("max_body_bytes", limits.maxBodyBytes, 1024, std::int64_t(1) << 30);
        reader.number("max_header_bytes", limits.maxHeaderBytes, 1024, 1 << 20);
        Milliseconds header = std::chrono::duration_cast<Milliseconds>(limits.headerTimeout);
        Milliseconds write = std::chrono::duration_cast<Milliseconds>(limits.writeTimeout);
        Milliseconds idle = std::chrono::duration_cast<Milliseconds>(limits.idleTimeout);
        reader.milliseconds("read_timeout_ms", header, 10, maxMilliseconds);
        reader.milliseconds("write_timeout_ms", write, 10, maxMilliseconds);
        reader.milliseconds("idle_timeout_ms", idle, 10, maxMilliseconds);
        limits.headerTimeout = header;
        limits.writeTimeout = write;
        limits.idleTimeout = idle;
        reader.finish();
    }

    void readLog(MapReader reader, LogLevel& level)
    {
        reader.choice("level", level, { { "debug", LogLevel::Debug }, { "info", LogLevel::Info }, { "warning", LogLevel::Warning }, { "error", LogLevel::Error } });
        reader.finish();
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
    readInstance(reader.map("instance", true), settings.instance);
    readListen(reader.map("listen", true), settings.listen);
    readPlatform(reader.map("platform", true), settings.platform);
    readPeers(reader.map("peers", true), settings.peers);
    readOperators(reader.map("operators"), settings.operators);
    readScheduling(reader.map("scheduling"), settings.scheduling);
    readStreams(reader.map("streams"), settings.streams);
    readStopping(reader.map("stopping"), settings.stopping);
    readClaims(reader.map("claims"), settings.claims);
    readUsage(reader.map("usage"), settings.usage);
    readTraces(reader.map("traces"), settings.traces);
    readLimits(reader.map("limits"), settings.limits);
    readLog(reader.map("log"), settings.logLevel);
    reader.finish();
    if (!faults.faults.empty())
        return boost::leaf::new_error(std::move(faults));
    return settings;
}

boost::leaf::result<Settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return boost::leaf::new_error(SettingsFaults { { { .line = 0, .location = path, .message = "cannot be opened" } } });
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str());
}

}
