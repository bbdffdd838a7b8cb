#include "relay/tests/endlessenginesfixture.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Largest answer of a service that does not stream.
constexpr std::uint64_t maxPlainBytes = 16 << 20;

}

/// Guards against a relay that takes all memory, or never answers, because an engine sends without end.
Test(PlainRelay, answerWithoutEnd_callerGetsFailureWithinDeadline)
{
    for (const auto& answer : endlessAnswers(sealedHeader)) {
        EndlessEnginesFixture f(answer);
        auto received = f.ask("/once");
        auto name = answer.name.c_str();
        cr_expect(isFailure(received), "%s: the caller received %.40s", name, received.c_str());
        cr_expect(f.took <= f.timeLimit + endlessTimeMargin, "%s: %s", name, f.timing().c_str());
        cr_expect(f.report.connections == 1 && f.report.abandoned == 0, "%s: %d connections, %d not closed; %s", name, f.report.connections, f.report.abandoned, f.timing().c_str());
        cr_expect(f.memoryGrowth <= maxMemoryGrowth(maxPlainBytes), "%s: memory grew by %lu bytes", name, static_cast<unsigned long>(f.memoryGrowth));
        cr_expect(f.failureRate() > 0, "%s: the engine was not charged with the failure", name);
    }
}

/// Guards against retries of an idempotent request that an answer without end suppresses or multiplies.
Test(PlainRelay, idempotentRequestAnsweredWithoutEnd_isRetriedOnce)
{
    for (const auto& answer : endlessAnswers(sealedHeader)) {
        EndlessEnginesFixture f(answer);
        auto received = f.ask("/idempotent");
        auto name = answer.name.c_str();
        cr_expect(isFailure(received), "%s: the caller received %.40s", name, received.c_str());
        cr_expect(f.report.connections == 2, "%s: %d connections", name, f.report.connections);
        cr_expect(f.report.abandoned == 0, "%s: %d connections were not closed", name, f.report.abandoned);
    }
}

/// Guards against a conviction of the request: the engine sends, so the request has not crashed it.
Test(PlainRelay, answerWithoutEnd_isNoPossibleCrash)
{
    for (const auto& answer : malformedAnswers()) {
        EndlessEnginesFixture f(answer);
        f.ask("/once");
        auto name = answer.name.c_str();
        cr_expect(f.interruptedAnswers() == 0, "%s: %lu possible crashes; %s", name, static_cast<unsigned long>(f.interruptedAnswers()), f.timing().c_str());
        cr_expect(f.failureRate() > 0, "%s: the engine was not charged with the failure", name);
    }
}
