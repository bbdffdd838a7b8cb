#include "quarantine/promptguard.h"

#include <criterion/criterion.h>
#include <memory>
#include <set>

using namespace guavaspan;

namespace {

constexpr std::size_t instanceCount = 3;
constexpr PromptPart common = 1;
constexpr PromptPart crashing = 2;
constexpr PromptPart rare = 3;

/// Instances that exchange messages at once, and a shared store.
struct PromptGuardFixture {
    struct Link : IPromptGuardTransport {
        void sendToAll(const PromptGuardMessage& message) override
        {
            for (std::size_t peer = 0; peer < instanceCount; ++peer)
                sendTo(peer, message);
        }

        void send(const std::string& name, const PromptGuardMessage& message) override { sendTo(std::stoul(name), message); }

        void sendTo(std::size_t peer, const PromptGuardMessage& message)
        {
            if (peer != self && fixture->connected)
                fixture->guards[peer]->onPeerMessage(message, fixture->now);
        }

        PromptGuardFixture* fixture = nullptr;
        std::size_t self = 0;
    };

    PromptGuardFixture()
    {
        for (std::size_t instance = 0; instance < instanceCount; ++instance) {
            links[instance].fixture = this;
            links[instance].self = instance;
            restart(instance);
        }
    }

    void restart(std::size_t instance)
    {
        guards[instance] = std::make_unique<PromptGuard>(std::to_string(instance), links[instance], [this](const PromptPartRecord& record) { stored.insert(record); });
        for (const auto& record : stored)
            guards[instance]->onStoredRecord(record, now);
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// A request that was sent half a second ago breaks.
    void interrupt(std::size_t instance, int engineNumber, const std::vector<PromptPart>& parts)
    {
        guards[instance]->onInterrupted({ .parts = parts, .target = engine(engineNumber), .sentAt = now - Milliseconds(500) }, now);
    }

    /// An engine crashes under a request at one instance, which interrupts some sound ones at another.
    void crash(int engineNumber)
    {
        interrupt(0, engineNumber, { common, crashing });
        if (engineNumber % 2 == 0)
            interrupt(1, engineNumber, { common, rare });
    }

    void crashUntilConvicted()
    {
        for (int engineNumber : { 1, 2, 3 }) {
            crash(engineNumber);
            pass(Seconds(1));
            answer(0, { common });
        }
        pass(Seconds(1));
    }

    void answer(std::size_t instance, const std::vector<PromptPart>& parts) { guards[instance]->onAnswerBegun(parts, now); }

    void pass(Clock::duration duration)
    {
        constexpr auto tick = Milliseconds(100);
        for (auto end = now + duration; now < end; now += tick) {
            for (auto& guard : guards)
                guard->onTick(now);
        }
    }

    bool refuses(std::size_t instance, PromptPart part) const { return guards[instance]->refusedPart({ part }, now).has_value(); }

    bool allRefuse(PromptPart part) const { return refuses(0, part) && refuses(1, part) && refuses(2, part); }
    bool noneRefuses(PromptPart part) const { return !refuses(0, part) && !refuses(1, part) && !refuses(2, part); }

    TimePoint now { Seconds(100) };
    bool connected = true;
    std::array<Link, instanceCount> links;
    std::array<std::unique_ptr<PromptGuard>, instanceCount> guards;
    std::set<PromptPartRecord> stored;
};

}

/// Guards against BUDGET: crashes were counted for whole requests, so that those with one part in common were sent on.
Test(PromptGuard, partInterruptedAtThreeEngines_isRefusedByAllInstances)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3 }) {
        f.crash(engine);
        f.pass(Seconds(1));
        f.answer(2, { common, 9 });
        f.answer(0, { 8 });
    }
    f.pass(Seconds(1));
    cr_expect(f.allRefuse(crashing));
    cr_expect(f.noneRefuses(common));
    cr_expect(f.noneRefuses(9));
}

/// Guards against LOST: a rare part of sound requests was blamed for crashes that interrupted them.
Test(PromptGuard, rarePartInterruptedAtTheSameEngines_isServedOnceTheCauseIsKnown)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3, 4 }) {
        f.interrupt(0, engine, { common, crashing });
        if (engine != 2)
            f.interrupt(1, engine, { common, rare });
        f.pass(Seconds(1));
        for (std::size_t instance : { 0, 1, 2 })
            f.answer(instance, { common, 9 });
    }
    f.pass(Seconds(1));
    cr_expect(f.allRefuse(crashing));
    cr_expect(f.noneRefuses(rare));
}

/// Guards against BUDGET: two parts that were interrupted alike could keep each other from being convicted.
Test(PromptGuard, twoPartsInterruptedAlike_oneMoreCrashTellsThemApart)
{
    PromptGuardFixture f;
    auto interruptBoth = [&](int engine) {
        f.interrupt(0, engine, { common, crashing });
        if (!f.refuses(1, rare))
            f.interrupt(1, engine, { common, rare });
        f.pass(Seconds(1));
        for (std::size_t instance : { 0, 1, 2 })
            f.answer(instance, { common });
    };
    for (int engine : { 1, 2, 3 })
        interruptBoth(engine);
    f.pass(Seconds(1));
    cr_expect(f.refuses(0, rare) != f.refuses(0, crashing));
    interruptBoth(4);
    f.pass(Seconds(1));
    cr_expect(f.allRefuse(crashing));
    cr_expect(f.noneRefuses(rare));
}

/// Guards against LOST: an instance with few requests did not know that a part is answered elsewhere.
Test(PromptGuard, partAnsweredAtAPeerOnly_isNotConvicted)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3, 4, 5 }) {
        f.interrupt(0, engine, { common });
        f.answer(0, { 9 });
        f.pass(Milliseconds(700));
        f.answer(2, { common });
        f.pass(Milliseconds(700));
        cr_expect(f.noneRefuses(common));
    }
}

/// Guards against LOST: an outage of all engines looked like crashes by the part that all requests share.
Test(PromptGuard, noAnswerBeginsAnywhere_nothingIsConvicted)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3, 4, 5 }) {
        f.interrupt(0, engine, { common, rare });
        f.interrupt(1, engine, { common, 9 });
        f.pass(Seconds(2));
    }
    cr_expect(f.noneRefuses(common));
    cr_expect(f.noneRefuses(rare));
}

/// Guards against LOST: in an outage of the engines, answers of services without prompts let the common part be convicted.
Test(PromptGuard, onlyRequestsWithoutPartsAreAnswered_nothingIsConvicted)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3, 4, 5 }) {
        f.interrupt(0, engine, { common, rare });
        f.answer(0, {});
        f.pass(Seconds(2));
    }
    cr_expect(f.noneRefuses(common));
    cr_expect(f.noneRefuses(rare));
}

/// Guards against LOST: engines that are lost or drained together interrupted a part at all of them.
Test(PromptGuard, enginesLostTogetherOrLeavingOrAlive_doNotCountSeparately)
{
    PromptGuardFixture f;
    for (int engine : { 1, 2, 3, 4 })
        f.interrupt(0, engine, { common, rare });
    f.answer(0, { 9 });
    f.pass(Seconds(2));
    f.interrupt(0, 5, { common, rare });
    for (auto& guard : f.guards)
        guard->onTargetUnavailable({ .entry = PromptGuardFixture::engine(5), .reason = UnavailableReason::Announced, .at = f.now + Milliseconds(1) });
    f.pass(Seconds(2));
    f.interrupt(0, 6, { common, rare });
    for (auto& guard : f.guards)
        guard->onTargetAnswered(PromptGuardFixture::engine(6), f.now + Milliseconds(1));
    f.pass(Seconds(2));
    cr_expect(f.noneRefuses(common));
    cr_expect(f.noneRefuses(rare));
}

Test(PromptGuard, answerBeginsAfterTheConviction_partIsServedEverywhere)
{
    PromptGuardFixture f;
    f.crashUntilConvicted();
    cr_assert(f.allRefuse(crashing));
    f.answer(1, { common, crashing });
    f.pass(Seconds(2));
    f.answer(0, { common, crashing });
    cr_expect(f.noneRefuses(crashing));
}

Test(PromptGuard, instanceStartsAfterTheConviction_learnsItFromTheStore)
{
    PromptGuardFixture f;
    f.crashUntilConvicted();
    for (std::size_t instance : { 0, 1, 2 })
        f.restart(instance);
    cr_expect(f.allRefuse(crashing));
}

Test(PromptGuard, recordInTheStoreIsOutdated_peerWithAnAnswerLiftsIt)
{
    PromptGuardFixture f;
    f.stored.insert({ .part = rare });
    f.answer(1, { rare });
    f.pass(Milliseconds(100));
    f.restart(0);
    cr_expect(!f.refuses(0, rare));
}

Test(PromptGuard, convictionIsOld_partMayBeTriedAgain)
{
    PromptGuardFixture f;
    f.guards[0]->onPeerMessage(PromptPartConviction { .instance = "1", .part = crashing, .since = Seconds(3) }, f.now);
    cr_expect(f.refuses(0, crashing));
    f.now += std::chrono::minutes(11);
    cr_expect(!f.refuses(0, crashing));
}

/// Guards against BUDGET: requests with the part that came at the same time ended all engines of a small service wave after wave.
Test(PromptGuard, partThatSeveralEnginesBrokeOff_runsOnTrialUntilAnAnswerWithItBegins)
{
    PromptGuardFixture f;
    std::vector<PromptPart> parts { common, crashing };
    f.interrupt(0, 1, parts);
    cr_expect(f.guards[0]->partsThatNeedTrial(parts).empty());
    f.interrupt(1, 2, parts);
    for (auto& guard : f.guards)
        cr_expect(guard->partsThatNeedTrial(parts) == parts);
    f.pass(Milliseconds(100));
    f.answer(2, { common, rare });
    std::vector<PromptPart> crashingPart { crashing };
    for (auto& guard : f.guards)
        cr_expect(guard->partsThatNeedTrial(parts) == crashingPart, "peers learn of the answer");
}

/// Guards against BUDGET: engines that end at the same time count as one incident, so the verdict took three waves of them.
Test(PromptGuard, partOfAWaveBreaksTwoTrials_isRefusedByAllInstances)
{
    PromptGuardFixture f;
    std::vector<PromptPart> parts { common, crashing };
    for (int engine : { 1, 2, 3 })
        f.interrupt(engine % 2, engine, parts);
    f.pass(Seconds(3));
    for (int engine : { 4, 5 }) {
        f.answer(0, { common });
        f.guards[0]->onInterrupted({ .parts = parts, .target = PromptGuardFixture::engine(engine), .sentAt = f.now - Milliseconds(80), .onTrial = true }, f.now);
        f.pass(Milliseconds(200));
        f.answer(0, { common });
    }
    f.pass(Seconds(1));
    cr_expect(f.allRefuse(crashing));
    cr_expect(f.noneRefuses(common));
}
