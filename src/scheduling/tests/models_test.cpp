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

double survivalProbability(const LengthModel& model, int producedTokens, int additionalTokens)
{
    std::array<int, 1> tokensAhead { additionalTokens };
    std::array<double, 1> probability {};
    model.survivalProbabilities("s", "o", producedTokens, tokensAhead, probability);
    return probability[0];
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
    cr_expect(survivalProbability(model, 0, 1024) > 0.5);
}

Test(LengthModel, observedLengths_areEstimatedWithinTenPercent)
{
    // [GIVEN] lengths with median 200 and a heavy tail
    LengthModel model;
    Random random(1);
    std::lognormal_distribution<double> lengths(std::log(200.0), 1.0);
    int longerThan800 = 0;
    constexpr int sampleCount = 3000;
    for (int i = 0; i < sampleCount; ++i) {
        int length = std::max(1, static_cast<int>(lengths(random)));
        longerThan800 += length > 800;
        observe(model, length);
    }
    cr_expect(std::abs(survivalProbability(model, 0, 200) - 0.5) < 0.1, "median %f", survivalProbability(model, 0, 200));
    cr_expect(std::abs(survivalProbability(model, 0, 800) - static_cast<double>(longerThan800) / sampleCount) < 0.1);
}

Test(LengthModel, runningGenerations_countUpToTheirCurrentLength)
{
    // [GIVEN] short outputs that completed and as many long ones that are still running
    LengthModel model;
    for (int i = 0; i < 200; ++i) {
        observe(model, 20);
        model.observeGrowth("s", "o", 0, 2000);
    }
    // [THEN] the running half still raises the survival probability
    cr_expect(survivalProbability(model, 0, 1000) > 0.4, "survival %f", survivalProbability(model, 0, 1000));
}

Test(LengthModel, survival_neverIncreasesWithLength)
{
    LengthModel model;
    for (int i = 1; i < 500; ++i)
        observe(model, i * 7 % 900 + 1);
    double previous = 1;
    for (int additionalTokens = 0; additionalTokens < 20000; additionalTokens += 50) {
        double current = survivalProbability(model, 100, additionalTokens);
        cr_expect(current <= previous + 1e-9);
        previous = current;
    }
}

Test(MemoryProfile, knownMemory_givesCertainRisk)
{
    MemoryProfile profile;
    Footprint footprint { .tokens = 1000 };
    footprint.survival[0] = 1;
    profile.add(footprint);
    cr_expect(profile.overflowRisk(footprint, 10000) < 1e-6);
    cr_expect(profile.overflowRisk(footprint, 1500) > 0.99);
}

Test(MemoryProfile, laterGrowth_isPredicted)
{
    MemoryProfile profile;
    Footprint growing { .tokens = 1000 };
    growing.survival.fill(1);
    profile.add(growing);
    cr_expect(profile.overflowRisk(growing, 6000) > 0.99, "two outputs of thousands of tokens do not fit");
}

Test(PrefixIndex, lostEvents_lowerConfidenceUntilNewEventsArrive)
{
    PrefixIndex index;
    index.onStored(1);
    index.onEventsLost();
    double confidenceAfterLoss = index.confidence();
    cr_expect(confidenceAfterLoss < 1);
    for (std::uint64_t i = 0; i < 200; ++i)
        index.onStored(i);
    cr_expect(index.confidence() > confidenceAfterLoss);
    index.onRemoved(2);
    cr_expect(index.leadingBlocks({ 0, 1, 2, 3 }) == 2);
}

Test(PrefixIndex, fullIndex_evictsLeastRecentlyStoredBlock)
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

Test(PrefixBlocks, commonPrefix_givesEqualLeadingHashes)
{
    std::string common(200, 'a');
    auto first = prefixBlockHashes(common + std::string(100, 'b'));
    auto second = prefixBlockHashes(common + std::string(100, 'c'));
    cr_assert(first.size() == 4 && second.size() == 4);
    cr_expect(first[2] == second[2]);
    cr_expect(first[3] != second[3]);
}
