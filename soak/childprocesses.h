#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace guavaspan::soak {

/// The processes that the soak started, by name. Only these are ever signalled.
class Processes {
public:
    explicit Processes(std::string logFolder)
        : m_logFolder(std::move(logFolder))
    {
    }
    ~Processes();
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;

    /// Starts a program with its output going to a file named after it.
    bool start(const std::string& name, const std::vector<std::string>& command);
    bool signal(const std::string& name, int number);
    bool running(const std::string& name);
    std::size_t count() const { return m_ids.size(); }

private:
    std::string m_logFolder;
    std::map<std::string, pid_t> m_ids;
};

}
