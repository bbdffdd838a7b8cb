#include "dispatch/keptprompts.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct KeptPromptsFixture {
    TargetEntry target { .id = "engine-0", .startedAt = 1000 };
    KeptPrompts kept;
    TimePoint now { Seconds(50) };

    void place(const std::vector<std::uint64_t>& ids, int totalTokens) { kept.onPlaced(target, parts(ids), totalTokens, 20000, now); }
    int cached(const std::vector<std::uint64_t>& ids) const { return kept.cachedTokens(target, parts(ids), now); }

    static std::vector<LeadingPart> parts(const std::vector<std::uint64_t>& ids) { return leadingParts(ids, std::vector<int>(ids.size(), 200)); }
};

}

/// Guards against counting a part that the engine must process again, because another part comes before it.
Test(KeptPrompts, sharedLeadingParts_onlyThoseInOrderCount)
{
    KeptPromptsFixture f;
    f.place({ 1, 2, 3 }, 1000);
    cr_expect(f.cached({ 1, 2, 4 }) == 400);
    cr_expect(f.cached({ 2, 3 }) == 0);
    cr_expect(f.cached({ 1, 3 }) == 200);
}

/// Guards against sending requests to an engine whose memory other prompts have taken since.
Test(KeptPrompts, muchPlacedSince_leastRecentlyUsedPartsAreGone)
{
    KeptPromptsFixture f;
    f.place({ 1 }, 1000);
    f.place({ 2 }, 6000);
    f.place({ 1, 5 }, 1000);
    f.place({ 7 }, 5000);
    cr_expect(f.cached({ 1 }) == 200, "it was used again");
    f.place({ 7 }, 4500);
    cr_expect(f.cached({ 2 }) == 0);
    f.now += Seconds(61);
    cr_expect(f.cached({ 1 }) == 0);
}

Test(KeptPrompts, restartedTarget_cachesNothing)
{
    KeptPromptsFixture f;
    f.place({ 1 }, 1000);
    f.target.startedAt += 1;
    cr_expect(f.cached({ 1 }) == 0);
}
