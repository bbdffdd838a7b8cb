#include "soak/childprocesses.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace guavaspan::soak {

ChildProcesses::~ChildProcesses()
{
    for (const auto& [name, pid] : m_pids) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

bool ChildProcesses::start(const std::string& name, const std::vector<std::string>& commandLine)
{
    std::vector<char*> arguments;
    arguments.reserve(commandLine.size() + 1);
    for (const auto& argument : commandLine)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    auto logPath = m_logFolder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    bool spawned = ::posix_spawn(&pid, commandLine.front().c_str(), &actions, nullptr, arguments.data(), environ) == 0;
    ::posix_spawn_file_actions_destroy(&actions);
    if (spawned)
        m_pids.insert_or_assign(name, pid);
    return spawned;
}

bool ChildProcesses::isRunning(const std::string& name)
{
    auto found = m_pids.find(name);
    if (found == m_pids.end())
        return false;
    int status = 0;
    if (::waitpid(found->second, &status, WNOHANG) == 0)
        return true;
    std::ofstream log(m_logFolder + "/" + name + ".log", std::ios::app);
    log << "process ended, " << (WIFSIGNALED(status) ? "signal " : "exit code ") << (WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)) << "\n";
    m_pids.erase(found);
    return false;
}

bool ChildProcesses::signal(const std::string& name, int signalNumber)
{
    // The kernel does not reuse the id of an ended process before waitpid, so no unrelated process is signalled.
    return isRunning(name) && ::kill(m_pids.at(name), signalNumber) == 0;
}

}
