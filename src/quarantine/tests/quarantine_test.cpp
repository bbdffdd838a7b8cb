#include "common/random.h"
#include "quarantine/quarantine.h"

#include <criterion/criterion.h>
#include <utility>

using namespace guavaspan;

namespace {

const TimePoint start = TimePoint {} + Seconds(1);

/// A pool in which one request crashes every target that runs it, and its caller retries it.
struct CrashingRequestFixture {
    Quarantine quarantine { {} };
    Random random;
    TimePoint now = start;
    int incarnation = 0;
    Fingerprint crashingRequest = 1;
    Fingerprint nextHarmlessRequest = 100;
    std::vector<Fingerprint> requestsToRetry;

    explicit CrashingRequestFixture(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Crashes a target that runs the crashing request together with new harmless requests.
    void crash(int concurrentRequests)
    {
        ++incarnation;
        now += Seconds(1);
        std::vector<Fingerprint> onTarget { crashingRequest };
        for (int i = 0; i < concurrentRequests; ++i)
            onTarget.push_back(nextHarmlessRequest++);
        auto incarnationName = "incarnation-" + std::to_string(incarnation);
        for (auto fingerprint : onTarget)
            quarantine.onCrash({ .fingerprint = fingerprint, .target = "engine", .incarnation = incarnationName }, now);
        requestsToRetry.insert(requestsToRetry.end(), onTarget.begin() + 1, onTarget.end());
    }

    /// Retries the harmless requests on other targets, where they complete.
    void completeHarmlessRequests()
    {
        for (auto fingerprint : std::exchange(requestsToRetry, {}))
            quarantine.onCompleted(fingerprint, now);
    }
};

}

Test(Quarantine, crashingRequest_isConvictedAtItsSecondCrash)
{
    CrashingRequestFixture f(1);
    f.crash(20);
    cr_expect(f.quarantine.standing(f.crashingRequest, f.now) == Standing::Suspect);
    f.completeHarmlessRequests();
    f.crash(20);
    cr_expect(f.quarantine.standing(f.crashingRequest, f.now) == Standing::Convicted);
    for (const auto& entry : f.quarantine.entries(f.now))
        cr_expect(entry.fingerprint == f.crashingRequest || entry.standing == Standing::Suspect);
}

Test(Quarantine, repeatedReportOfOneCrash_countsOnce)
{
    Quarantine quarantine({});
    cr_expect(quarantine.onCrash({ .fingerprint = 5, .target = "e", .incarnation = "a" }, start));
    for (int i = 0; i < 10; ++i)
        cr_expect_not(quarantine.onCrash({ .fingerprint = 5, .target = "e", .incarnation = "a" }, start));
    cr_expect(quarantine.standing(5, start) == Standing::Suspect);
}

Test(Quarantine, harmlessRequestInTwoSharedCrashes_isNotConvicted)
{
    // [GIVEN] a harmless request that was running concurrently with the crashing request in both crashes
    Quarantine quarantine({});
    for (const char* incarnation : { "a", "b" }) {
        quarantine.onCrash({ .fingerprint = 1, .target = "e", .incarnation = incarnation }, start);
        quarantine.onCrash({ .fingerprint = 2, .target = "e", .incarnation = incarnation }, start);
    }
    cr_expect(quarantine.standing(2, start) == Standing::Suspect);
    // [WHEN] the crashing request crashes a target without it [THEN] only the crashing request is convicted
    quarantine.onCrash({ .fingerprint = 1, .target = "e", .incarnation = "c" }, start);
    cr_expect(quarantine.standing(1, start) == Standing::Convicted);
    cr_expect(quarantine.standing(2, start) == Standing::Suspect);
}

Test(Quarantine, randomWorkloads_convictOnlyTheCrashingRequest)
{
    int convictedHarmlessRequests = 0;
    int missedCrashingRequests = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CrashingRequestFixture f(seed);
        for (int crash = 0; crash < 2; ++crash) {
            f.crash(static_cast<int>(f.random() % 40));
            f.completeHarmlessRequests();
        }
        missedCrashingRequests += f.quarantine.standing(f.crashingRequest, f.now) != Standing::Convicted;
        for (const auto& entry : f.quarantine.entries(f.now))
            convictedHarmlessRequests += entry.fingerprint != f.crashingRequest && entry.standing == Standing::Convicted;
    }
    cr_expect(convictedHarmlessRequests == 0, "%d harmless requests convicted", convictedHarmlessRequests);
    cr_expect(missedCrashingRequests == 0, "%d crashing requests not convicted", missedCrashingRequests);
}

Test(Quarantine, pardonAndExpiry_endConviction)
{
    Quarantine quarantine({});
    auto convict = [&] {
        quarantine.onCrash({ .fingerprint = 1, .target = "e", .incarnation = "a" }, start);
        quarantine.onCrash({ .fingerprint = 1, .target = "e", .incarnation = "b" }, start);
    };
    convict();
    cr_expect(quarantine.standing(1, start) == Standing::Convicted);
    cr_expect(quarantine.pardon(1));
    cr_expect(quarantine.standing(1, start) == Standing::Clear);
    convict();
    cr_expect(quarantine.standing(1, start + std::chrono::hours(7)) == Standing::Clear);
}
