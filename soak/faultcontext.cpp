#include "soak/faultcontext.h"

namespace guavaspan::soak {

Milliseconds FaultContext::randomDuration(int minMilliseconds, int maxMilliseconds)
{
    return Milliseconds(minMilliseconds + static_cast<int>(random() % static_cast<std::uint64_t>(maxMilliseconds - minMilliseconds)));
}

void FaultContext::recordDisturbance(const std::string& subject, SoakTime startedAt, SoakTime endedAt, bool planned)
{
    record.disturbances.push_back({ .subject = subject, .startedAt = startedAt, .endedAt = endedAt, .planned = planned });
}

}
