#include "standins/enginemodel.h"

#include <criterion/criterion.h>
#include <map>

using namespace guavaspan::standins;

namespace {

/// Steps the model until it is idle; returns the token offsets of each generation in the order of emission.
std::map<std::uint64_t, std::vector<int>> runUntilIdle(EngineModel& model, int& preemptions)
{
    std::map<std::uint64_t, std::vector<int>> offsets;
    while (model.hasWork()) {
        auto result = model.step();
        preemptions += static_cast<int>(result.preempted.size());
        for (const auto& token : result.tokens)
            offsets[token.generation].push_back(token.offset);
    }
    return offsets;
}

}

Test(EngineModel, step_insufficientMemory_preemptsAndEmitsEachTokenOnce)
{
    // [GIVEN] generations that together need more memory than the engine has
    EngineModel model({ .memoryBlocks = 40 });
    for (std::uint64_t id = 1; id <= 6; ++id)
        model.submit({ .id = id, .promptTokens = 50, .outputTokens = 200 });
    int preemptions = 0;
    auto offsets = runUntilIdle(model, preemptions);
    cr_expect(preemptions > 0);
    for (const auto& [id, tokenOffsets] : offsets) {
        cr_assert(tokenOffsets.size() == 200);
        for (int i = 0; i < 200; ++i)
            cr_expect(tokenOffsets[static_cast<std::size_t>(i)] == i);
    }
    cr_expect(model.load().blocksUsed == 0);
}

Test(EngineModel, step_insufficientMemory_preemptsLowPriorityFirst)
{
    EngineModel model({ .memoryBlocks = 30 });
    model.submit({ .id = 1, .promptTokens = 50, .outputTokens = 300, .priority = 1 });
    model.submit({ .id = 2, .promptTokens = 50, .outputTokens = 300, .priority = 9 });
    while (model.hasWork()) {
        for (auto id : model.step().preempted)
            cr_expect(id == 1);
    }
}

Test(EngineModel, load_sharedPrefix_countsItsBlocksOnce)
{
    EngineModel model({ .memoryBlocks = 100 });
    std::vector<std::uint64_t> prefix { 1, 2, 3, 4 };
    model.submit({ .id = 1, .promptTokens = 70, .outputTokens = 50, .prefixBlocks = prefix });
    model.submit({ .id = 2, .promptTokens = 70, .outputTokens = 50, .prefixBlocks = prefix });
    model.step();
    cr_expect(model.load().blocksUsed == 4 + 2 + 0, "used %d", model.load().blocksUsed);
    int preemptions = 0;
    runUntilIdle(model, preemptions);
    cr_expect(model.load().blocksUsed == 0);
}
