#include "soak/childprocesses.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace guavaspan::soak {

Processes::~Processes()
{
    for (const auto& [name, id] : m_ids) {
        ::kill(id, SIGCONT);
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
}

bool Processes::start(const std::string& name, const std::vector<std::string>& command)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    auto log = m_logFolder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t id = 0;
    bool started = ::posix_spawn(&id, command.front().c_str(), &actions, nullptr, arguments.data(), environ) == 0;
    ::posix_spawn_file_actions_destroy(&actions);
    if (started)
        m_ids.insert_or_assign(name, id);
    return started;
}

bool Processes::running(const std::string& name)
{
    auto found = m_ids.find(name);
    if (found == m_ids.end())
        return false;
    if (::waitpid(found->second, nullptr, WNOHANG) == 0)
        return true;
    m_ids.erase(found);
    return false;
}

bool Processes::signal(const std::string& name, int number)
{
    // An ended process keeps its id until it was waited for, so no stranger is hit.
    return running(name) && ::kill(m_ids.at(name), number) == 0;
}

}
