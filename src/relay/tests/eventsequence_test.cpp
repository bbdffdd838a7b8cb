#include "relay/eventsequence.h"

#include <criterion/criterion.h>
#include <initializer_list>

using namespace guavaspan;

namespace {

struct EventSequenceFixture {
    EventSequence events;

    bool areNext(std::initializer_list<std::int64_t> numbers)
    {
        bool next = true;
        for (auto number : numbers)
            next = next && events.add(number) == EventPosition::Next;
        return next;
    }
};

}

/// Guards against ORDER: a stream whose numbers increase by more than 1 was cut after its first event.
Test(EventSequence, numbersIncreaseByAnyStep_eventsAreNext)
{
    cr_expect(EventSequenceFixture {}.areNext({ 1, 2, 3, 4 }));
    cr_expect(EventSequenceFixture {}.areNext({ 4, 8, 12, 16 }));
    cr_expect(EventSequenceFixture {}.areNext({ 0, 1, 5, 6, 20 }));
}

Test(EventSequence, resumedWithTheSameStep_repeatedEventsAreDroppedAndTheNextFollows)
{
    EventSequenceFixture f;
    cr_assert(f.areNext({ 4, 8, 12 }));
    f.events.onResumed();
    cr_expect(f.events.add(8) == EventPosition::Repeated);
    cr_expect(f.events.add(12) == EventPosition::Repeated);
    cr_expect(f.areNext({ 16, 20 }));
}

/// Guards against ORDER: an engine that resumes a generation left events out.
Test(EventSequence, resumedBehindMissingEvents_isAfterGap)
{
    for (std::int64_t step : { 1, 4 }) {
        EventSequenceFixture f;
        cr_assert(f.areNext({ step, 2 * step, 3 * step }));
        f.events.onResumed();
        cr_expect(f.events.add(5 * step) == EventPosition::AfterGap);
    }
    EventSequenceFixture afterOne;
    cr_assert(afterOne.areNext({ 1 }));
    afterOne.events.onResumed();
    cr_expect(afterOne.events.add(3) == EventPosition::AfterGap);
}

Test(EventSequence, resumedAfterOneEvent_consecutiveNumbersOrOneStepFollow)
{
    for (std::int64_t next : { 5, 8 }) {
        EventSequenceFixture f;
        cr_assert(f.areNext({ 4 }));
        f.events.onResumed();
        cr_expect(f.areNext({ next }));
    }
}

Test(EventSequence, stepsVary_resumedEventsAreNextIfTheyIncrease)
{
    EventSequenceFixture f;
    cr_assert(f.areNext({ 1, 4, 5 }));
    f.events.onResumed();
    cr_expect(f.events.add(5) == EventPosition::Repeated);
    cr_expect(f.areNext({ 9 }));
}
