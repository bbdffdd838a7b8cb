#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavaspan::soak {

/// The processes that the soak started, by name. Only these are ever signalled.
class ChildProcesses {
public:
    explicit ChildProcesses(std::string logFolder)
        : m_logFolder(std::move(logFolder))
    {
    }
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    /// Starts a program with its output going to a file named after it.
    bool start(const std::string& name, const std::vector<std::string>& commandLine);
    bool signal(const std::string& name, int signalNumber);
    bool isRunning(const std::string& name);
    std::size_t count() const { return m_pids.size(); }

private:
    std::string m_logFolder;
    std::map<std::string, pid_t> m_pids;
};

}
