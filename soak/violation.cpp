#include "soak/violation.h"

#include <fmt/format.h>

namespace guavaspan::soak {

Violation makeViolation(const char* guarantee, const Attempt& attempt, const std::string& detail)
{
    return { .guarantee = guarantee, .evidence = fmt::format("{} {} at {} incarnation {} sent {} ended {} status {}: {}", attempt.id, attempt.path, attempt.instance, attempt.incarnation, attempt.sentAt, attempt.endedAt, attempt.status, detail) };
}

}
