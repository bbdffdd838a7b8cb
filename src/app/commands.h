#pragma once

#include <string>
#include <vector>

namespace guavaspan {

/// Runs one command of the program; gives the process's exit code.
int runCommand(const std::vector<std::string>& arguments);

}
