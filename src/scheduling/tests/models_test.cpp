#include "common/random.h"
#include "scheduling/lengthmodel.h"
#include "scheduling/memoryprofile.h"
#include "scheduling/prefixblocks.h"
#include "scheduling/prefixindex.h"
#include "scheduling/sharedprefixes.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

double survival(const LengthModel& model, int produced, int more)
{
    std::array<int, 1> ahead { more };
    std::array<double, 1> chance {};
    model.survivalProbabilities("s", "o", produced, ahead, chance);
    return chance[0];
}

void observe(LengthModel& model, int length)
{
    model.observeGrowth("s", "o", 0, length);
    model.observeEnd("s", "o", length);
}

}

Test(LengthModel, withoutObservations_expectsLongOutputs)
{
    LengthModel model;
    cr_expect(survival(model, 0, 1024) > 0.5);
}

Test(LengthModel, observedLengths_areLearntWithinTenPercent)
{
    // [GIVEN] lengths with median 200 and a heavy tail
    LengthModel model;
    Random random(1);
    std::lognormal_distribution<double> lengths(std::log(200.0), 1.0);
    int above = 0;
    constexpr int count = 3000;
    for (int i = 0; i < count; ++i) {
        int length = std::max(1, static_cast<int>(lengths(random)));
        above += length > 800;
        observe(model, length);
    }
    cr_expect(std::abs(survival(model, 0, 200) - 0.5) < 0.1, "median %f", survival(model, 0, 200));
    cr_expect(std::abs(survival(model, 0, 800) - static_cast<double>(above) / count) < 0.1);
}

Test(LengthModel, runningGenerations_countForWhatTheySurvived)
{
    // [GIVEN] short outputs that ended, and as many long ones that still run
    LengthModel model;
    for (int i = 0; i < 200; ++i) {
        observe(model, 20);
        model.observeGrowth("s", "o", 0, 2000);
    }
    // [THEN] the unfinished half is not forgotten
    cr_expect(survival(model, 0, 1000) > 0.4, "survival %f", survival(model, 0, 1000));
}

Test(LengthModel, survival_neverGrowsWithDistance)
{
    LengthModel model;
    for (int i = 1; i < 500; ++i)
        observe(model, i * 7 % 900 + 1);
    double last = 1;
    for (int more = 0; more < 20000; more += 50) {
        double now = survival(model, 100, more);
        cr_expect(now <= last + 1e-9);
        last = now;
    }
}

Test(MemoryProfile, certainFit_hasNoRisk)
{
    MemoryProfile profile;
    Footprint footprint { .tokens = 1000 };
    footprint.survival[0] = 1;
    profile.add(footprint);
    cr_expect(profile.overflowRisk(footprint, 10000) < 1e-6);
    cr_expect(profile.overflowRisk(footprint, 1500) > 0.99);
}

Test(MemoryProfile, growthAhead_isForeseen)
{
    MemoryProfile profile;
    Footprint growing { .tokens = 1000 };
    growing.survival.fill(1);
    profile.add(growing);
    cr_expect(profile.overflowRisk(growing, 6000) > 0.99, "two outputs of thousands of tokens do not fit");
}

Test(PrefixIndex, gap_lowersTrustAndEventsRestoreIt)
{
    PrefixIndex index;
    index.onStored(1);
    index.onEventsLost();
    double afterGap = index.confidence();
    cr_expect(afterGap < 1);
    for (std::uint64_t i = 0; i < 200; ++i)
        index.onStored(i);
    cr_expect(index.confidence() > afterGap);
    index.onRemoved(2);
    cr_expect(index.leadingBlocks({ 0, 1, 2, 3 }) == 2);
}

Test(PrefixIndex, bound_forgetsOldest)
{
    PrefixIndex index(3);
    for (std::uint64_t i = 1; i <= 4; ++i)
        index.onStored(i);
    cr_expect(index.leadingBlocks({ 1 }) == 0);
    cr_expect(index.leadingBlocks({ 4 }) == 1);
}

Test(SharedPrefixes, commonBlocks_areCountedOnce)
{
    SharedPrefixes shared;
    shared.add({ 1, 2, 3 });
    shared.add({ 1, 2, 4 });
    cr_expect(shared.distinctSharedBlocks() == 2);
    cr_expect(shared.sharedBlocks({ 1, 2, 3 }) == 2);
    cr_expect(shared.heldBlocks({ 1, 2, 3, 9 }) == 3);
    shared.remove({ 1, 2, 4 });
    cr_expect(shared.distinctSharedBlocks() == 0);
    cr_expect(shared.sharedBlocks({ 1, 2, 3 }) == 0);
}

Test(PrefixBlocks, equalBeginnings_giveEqualBlocks)
{
    std::string common(200, 'a');
    auto one = prefixBlockHashes(common + std::string(100, 'b'));
    auto two = prefixBlockHashes(common + std::string(100, 'c'));
    cr_assert(one.size() == 4 && two.size() == 4);
    cr_expect(one[2] == two[2]);
    cr_expect(one[3] != two[3]);
}
