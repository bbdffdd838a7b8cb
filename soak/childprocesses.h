#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavaspan::soak {

/// The processes that the soak program started, by name. It signals no others.
class ChildProcesses {
public:
    explicit ChildProcesses(std::string logFolder)
        : m_logFolder(std::move(logFolder))
    {
    }
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    /// Starts a program and appends its output to NAME.log in the log folder.
    bool start(const std::string& name, const std::vector<std::string>& commandLine);
    /// Returns false if the process has ended.
    bool signal(const std::string& name, int signalNumber);
    bool isRunning(const std::string& name);
    std::size_t count() const { return m_pids.size(); }

private:
    std::string m_logFolder;
    std::map<std::string, pid_t> m_pids;
};

}
