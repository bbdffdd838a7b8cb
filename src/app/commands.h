#pragma once

#include <string>
#include <vector>

namespace guavaspan {

/// Runs the command that the first argument names; returns the process's exit code.
int runCommand(const std::vector<std::string>& arguments);

}
