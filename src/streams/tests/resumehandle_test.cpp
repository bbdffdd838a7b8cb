#include "streams/resumehandle.h"
#include "streams/stalldetector.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

const ResumeHandle handle { .identity = { .target = "engine-1", .incarnation = "i", .generation = "g" }, .organisation = "o", .service = "s", .model = "s/m", .requestId = "r", .promptTokens = 5, .chat = true };

}

Test(HandleSealer, sameKey_opensSealedHandle)
{
    HandleSealer firstSealer("key");
    HandleSealer secondSealer("key");
    auto opened = secondSealer.open(firstSealer.seal(handle, "r"));
    cr_assert(opened.has_value());
    cr_expect(*opened == handle);
    cr_expect(firstSealer.seal(handle, "r") != firstSealer.seal(handle, "r"));
}

Test(HandleSealer, alteredHandleOrOtherKey_isRejected)
{
    HandleSealer sealer("key");
    auto sealedHandle = sealer.seal(handle, "r");
    for (std::size_t i = 0; i < sealedHandle.size(); ++i) {
        auto altered = sealedHandle;
        altered[i] = altered[i] == 'A' ? 'B' : 'A';
        auto opened = sealer.open(altered);
        // The last character may carry unused bits, which change nothing.
        cr_expect(!opened || *opened == handle);
        cr_expect(!opened || i + 1 == sealedHandle.size());
    }
    cr_expect_not(HandleSealer("other").open(sealedHandle).has_value());
    cr_expect_not(sealer.open("").has_value());
    cr_expect_not(sealer.open("!!!").has_value());
}

Test(EventId, textForm_parsesToSameId)
{
    auto id = parseEventId(eventIdOf("abc", 17));
    cr_assert(id.has_value());
    cr_expect(id->sealedHandle == "abc" && id->offset == 17);
    for (const char* malformed : { "", "abc", "abc.", "abc.x", "abc.-1", "abc.99999999999" })
        cr_expect_not(parseEventId(malformed).has_value(), "%s", malformed);
}

Test(StallDetector, tokenGaps_determineSilenceTimeout)
{
    StallDetector detector({});
    cr_expect(detector.silenceTimeout() == Clock::duration(Seconds(3)));
    TimePoint now = TimePoint {} + Seconds(1);
    for (int i = 0; i < 50; ++i)
        detector.onToken(now += Milliseconds(20));
    cr_expect(detector.silenceTimeout() == Clock::duration(Seconds(1)), "the floor");
    // [WHEN] gaps vary widely [THEN] patience grows
    for (int i = 0; i < 50; ++i)
        detector.onToken(now += Milliseconds(i % 5 == 0 ? 1500 : 20));
    cr_expect(detector.silenceTimeout() > Clock::duration(Seconds(2)));
}
