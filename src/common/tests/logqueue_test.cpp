#include "common/logqueue.h"

#include <criterion/criterion.h>

using namespace guavaspan;

Test(LogQueue, flush_readerNeverReads_memoryIsBoundedAndDropsAreCounted)
{
    LogQueue queue({ .maxQueuedBytes = 1000, .linesPerSecond = 1e9 });
    for (int i = 0; i < 100; ++i) {
        queue.push(std::string(50, 'x'));
        queue.flush([](std::string_view) { return std::size_t(0); });
    }
    cr_expect(queue.queuedBytes() <= 1000);
    cr_expect(queue.takeDropped() == 80);
    cr_expect(queue.takeDropped() == 0);
}

Test(LogQueue, flush_partialWrites_everyByteArrivesInOrder)
{
    LogQueue queue({});
    queue.push("first\n");
    queue.push("second\n");
    std::string received;
    for (int i = 0; i < 10; ++i) {
        bool written = false;
        queue.flush([&](std::string_view bytes) -> std::size_t {
            if (written)
                return 0;
            written = true;
            received += bytes.substr(0, 2);
            return std::min<std::size_t>(2, bytes.size());
        });
    }
    cr_expect(received == "first\nsecond\n");
    cr_expect(queue.queuedBytes() == 0);
}

Test(LogQueue, admit_eventAboveRate_isDroppedWithoutAffectingOthers)
{
    LogQueue queue({ .linesPerSecond = 10 });
    TimePoint now { Seconds(5) };
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += queue.admit("noisy", now) ? 1 : 0;
    cr_expect(admitted == 10);
    cr_expect(queue.admit("quiet", now));
    cr_expect(queue.admit("noisy", now + Seconds(1)));
}
