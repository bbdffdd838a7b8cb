// A small deployment: one entry process, started as the deploy file says, with a store and engines.
#pragma once

#include "engine.h"

#include <filesystem>

namespace rig {

constexpr const char* host = "ficu95.example";
constexpr const char* streamPath = "/lohu930/2f";
constexpr const char* orderPath = "/pule252/2f";
constexpr const char* lookupPath = "/puxa403/2f";
constexpr const char* callerKey = "xd9dnn2ctnfzs989anu6";
/// A second key of the same tenant.
constexpr const char* otherKey = "wsjnbanfqasnmgkcuyj8";

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

class Deployment {
public:
    explicit Deployment(const Options& options)
        : m_record(options.text("record"))
        , m_program(options.text("program"))
        , m_rig(options.text("rig"))
        , m_folder(options.text("folder"))
        , m_recordPath(options.text("record"))
        , m_storePort(freePort())
        , m_store(m_storePort)
    {
        putConfiguration();
    }

    ~Deployment()
    {
        for (auto pid : m_running)
            ::kill(pid, SIGKILL);
        for (auto pid : m_running)
            ::waitpid(pid, nullptr, 0);
    }

    void putConfiguration(bool withOtherKey = true)
    {
        auto route = [&](const char* name, const char* path, const char* type, const char* service, int timeout, int goal, int priority) {
            return json { { "name", name }, { "hostname", host }, { "path_prefix", std::string(path).substr(0, 9) }, { "type", type }, { "timeout_ms", timeout }, { "goal_ms", goal }, { "priority", priority }, { "service", service }, { "max_attempts", 1 }, { "public", false }, { "sticky", std::string(type) == "streaming" }, { "resumable", false }, { "gap_target_ms", 180 } };
        };
        json routes = json::array({ route("r-stream", streamPath, "streaming", "huvo11a", 39000, 1800, 1), route("r-order", orderPath, "unsafe", "wuno96b", 4000, 300, 2), route("r-lookup", lookupPath, "safe", "wuno96b", 4000, 300, 2) });
        json engine { { "slots", 24 }, { "kv_capacity", 34256 }, { "kv_bytes", 262144 }, { "bandwidth_mbps", 38000.0 }, { "migrations", true }, { "backups", true }, { "stride", 4 }, { "most", 12 }, { "pin_ms", 4000.0 }, { "hold_ms", 2000.0 }, { "session_ttl_s", 5.0 }, { "models", json::array({ { { "name", "m" } } }) } };
        json services = json::array({ { { "name", "huvo11a" }, { "health_path", "/healthz" }, { "max_connections", 252 }, { "protocol", "h1" }, { "tls", false }, { "engine", engine } }, { { "name", "wuno96b" }, { "health_path", "/healthz" }, { "max_connections", 110 }, { "protocol", "h1" }, { "tls", false } } });
        json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
        json keys = json::array({ callerKey });
        if (withOtherKey)
            keys.push_back(otherKey);
        json tenants = json::array({ { { "name", "huka270" }, { "api_keys", keys }, { "priority", 1 } } });
        m_store.put("op/config", json { { "version", ++m_version }, { "routes", routes }, { "services", services }, { "limits", limits }, { "tenants", tenants } }.dump());
    }

    void writeSettings(int graceSeconds, int revokeMs = 5000)
    {
        auto at = [](int port) { return std::string(loopback) + ":" + std::to_string(port); };
        json settings { { "node_name", "frontend-zone-a-1" }, { "role", "entry" }, { "machine_class", "frontend" }, { "serves", { "frontend" } }, { "ip", loopback }, { "zone", "zone-a" }, { "region", "region-a" }, { "zones", { { "zone-a", "region-a" } } },
            { "listen", { { "frontend", at(m_callerPort) }, { "ready", at(m_readyPort) } } }, { "port_range", { m_peerPort, m_peerPort } }, { "seed_nodes", json::array() }, { "bootstrap", true }, { "counts_as_loss", false },
            { "limits", { { "cpu_quota", 0.25 }, { "cpu_cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 }, { "bandwidth_mbps", 1000.0 }, { "disk_mb", 0 } } }, { "data_path", nullptr }, { "discovery", "platform" }, { "ingress", "vip" }, { "heartbeat_ms", 1200 },
            { "bounds", { { "seed_lag_s", 3 }, { "reuse_after_s", 2 }, { "contact_ms", 3000 }, { "ack_timeout_ms", 4000 }, { "catch_up_s", 4 }, { "drain_ms", 2000 }, { "grace_s", graceSeconds }, { "loss_slack_ms", 200 }, { "config_apply_ms", 2000 }, { "rollback_slack_ms", 250 }, { "outer_bound_ms", 5000 }, { "strict_revocation", true }, { "revoke_ms", revokeMs }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "retry_slack", 56 }, { "recovery_s", 12 }, { "iteration_ms", 120 }, { "reuse_window_s", 5.8 } } },
            { "platform", { { "address", at(m_storePort) }, { "form", "kv" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 }, { "history_s", 20 }, { "value_bytes", 1048576 }, { "min_ttl_ms", 1000 } } } };
        auto path = settingsPath();
        std::ofstream(path + ".new") << settings.dump();
        std::filesystem::rename(path + ".new", path);
    }

    pid_t startEngine(const std::string& id, const std::string& service, std::vector<std::string> more)
    {
        std::vector<std::string> command { m_rig, "engine", "--id", id, "--service", service, "--port", std::to_string(freePort()), "--store", std::to_string(m_storePort), "--record", m_recordPath };
        command.insert(command.end(), more.begin(), more.end());
        auto pid = startProcess(command, m_folder + "/engines.log");
        m_running.push_back(pid);
        m_engines[id] = pid;
        return pid;
    }

    /// False if the entry process did not become ready.
    bool start(int graceSeconds = 8)
    {
        writeSettings(graceSeconds);
        m_entry = startProcess({ m_program, "entry" }, m_folder + "/entry.log", settingsPath());
        m_running.push_back(m_entry);
        for (int i = 0; i < 200; ++i) {
            sleepMs(50);
            if (isReady()) {
                sleepMs(1500);
                return true;
            }
        }
        m_record.line("the entry process is not ready");
        return false;
    }

    bool isReady()
    {
        int socket = connectTo(m_readyPort);
        if (socket < 0)
            return false;
        sendAll(socket, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        auto answer = Reader(socket).read(1000, true);
        ::close(socket);
        return answer && answer->status() == 200;
    }

    void kill(pid_t pid, int signal)
    {
        ::kill(pid, signal);
        if (signal != SIGKILL)
            return;
        ::waitpid(pid, nullptr, 0);
        std::erase(m_running, pid);
    }

    static std::string requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMs, const std::string& headers, const std::string& body, const char* key = callerKey)
    {
        auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nX-Key: " + key + "\r\n" + headers;
        if (method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + body;
    }

    std::string settingsPath() const { return m_folder + "/boot.json"; }
    int callerPort() const { return m_callerPort; }
    pid_t entry() const { return m_entry; }
    pid_t engine(const std::string& id) const { return m_engines.at(id); }
    Record& record() { return m_record; }
    Store& store() { return m_store; }

    /// Lines of the record that begin with a word, after the time.
    std::vector<std::string> recorded(const std::string& word) const
    {
        std::vector<std::string> lines;
        std::ifstream file(m_recordPath);
        for (std::string line; std::getline(file, line);) {
            auto text = line.substr(std::min(line.size(), line.find(' ') + 1));
            if (text.starts_with(word + " "))
                lines.push_back(text);
        }
        return lines;
    }

private:
    Record m_record;
    std::string m_program;
    std::string m_rig;
    std::string m_folder;
    std::string m_recordPath;
    int m_storePort;
    int m_callerPort = freePort();
    int m_readyPort = freePort();
    int m_peerPort = freePort();
    Store m_store;
    std::int64_t m_version = 0;
    pid_t m_entry = 0;
    std::vector<pid_t> m_running;
    std::map<std::string, pid_t> m_engines;
};

/// Value of a field NAME=VALUE in a line of the record.
inline std::string fieldOf(const std::string& line, const std::string& name)
{
    auto start = line.find(" " + name + "=");
    if (start == std::string::npos)
        return {};
    start += name.size() + 2;
    return line.substr(start, line.find(' ', start) - start);
}

}
