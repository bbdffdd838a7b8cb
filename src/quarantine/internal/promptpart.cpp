#include "quarantine/promptpart.h"

#include "common/hash.h"

namespace guavaspan {

std::string describe(const std::vector<PromptPart>& parts)
{
    std::string text;
    for (auto part : parts)
        text += (text.empty() ? "" : ",") + hexOf(part);
    return text;
}

}
