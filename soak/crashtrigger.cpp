#include "soak/crashtrigger.h"

#include "soak/constants.h"

#include <fmt/format.h>
#include <regex>

namespace guavaspan::soak {

std::string encode(const CrashTrigger& trigger)
{
    return fmt::format("{}{}-from{}-after{}", trigger.silent ? "silent-crash" : "crash", trigger.number, trigger.from, trigger.delay.count());
}

std::optional<CrashTrigger> parseCrashTrigger(const std::string& path)
{
    static const std::regex pattern("(silent-)?crash([0-9]+)-from([0-9]+)-after([0-9]+)");
    std::smatch match;
    if (!std::regex_search(path, match, pattern))
        return std::nullopt;
    return CrashTrigger { .number = std::stoll(match[2]), .from = std::stoll(match[3]), .delay = Milliseconds(std::stoll(match[4])), .silent = match[1].matched };
}

std::string listPromptParts(const std::string& part, Random& random)
{
    // The first digit keeps the last part from being taken for a crashing one.
    return fmt::format("{}:79,{}:350,1{:015x}:71", commonPromptPart, part, random() >> 4);
}

bool hasCrashingPart(const std::string& promptParts)
{
    return promptParts.find(fmt::format(",{}", crashingPromptPart)) != std::string::npos;
}

}
