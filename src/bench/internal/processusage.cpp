#include "bench/internal/processusage.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace guavaspan::bench {

ProcessUsage readProcessUsage(const std::string& pidFile)
{
    ProcessUsage usage;
    std::string pid;
    std::ifstream(pidFile) >> pid;
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    auto afterName = text.rfind(')');
    if (afterName == std::string::npos)
        return usage;
    // The process name is followed by the process state and ten more fields, then by the user and system times.
    constexpr int fieldsBeforeTimes = 11;
    std::istringstream fields(text.substr(afterName + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeTimes; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.processorSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + pid + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            usage.residentKib = std::stod(line.substr(6));
    }
    return usage;
}

}
