#include "common/random.h"
#include "quarantine/quarantine.h"

#include <criterion/criterion.h>
#include <utility>

using namespace guavaspan;

namespace {

const TimePoint start = TimePoint {} + Seconds(1);

/// A pool in which one request kills whatever runs it, and its caller sends it again.
struct KillerFixture {
    Quarantine quarantine { {} };
    Random random;
    TimePoint now = start;
    int life = 0;
    Fingerprint killer = 1;
    Fingerprint nextInnocent = 100;
    std::vector<Fingerprint> retried;

    explicit KillerFixture(std::uint64_t seed)
        : random(seed)
    {
    }

    /// The killer arrives on a target among neighbours, at most one of which is a suspect besides it.
    void strike(int neighbours)
    {
        ++life;
        now += Seconds(1);
        std::vector<Fingerprint> onTarget { killer };
        for (int i = 0; i < neighbours; ++i)
            onTarget.push_back(nextInnocent++);
        auto died = "life-" + std::to_string(life);
        for (auto fingerprint : onTarget)
            quarantine.onDeath({ .fingerprint = fingerprint, .target = "engine", .incarnation = died }, now);
        retried.insert(retried.end(), onTarget.begin() + 1, onTarget.end());
    }

    /// Innocent requests are sent again on other targets and end well, mostly.
    void retryInnocents()
    {
        for (auto fingerprint : std::exchange(retried, {}))
            quarantine.onCompleted(fingerprint, now);
    }
};

}

Test(Quarantine, killer_isConvictedAtItsSecondDeath)
{
    KillerFixture f(1);
    f.strike(20);
    cr_expect(f.quarantine.standing(f.killer, f.now) == Standing::Suspect);
    f.retryInnocents();
    f.strike(20);
    cr_expect(f.quarantine.standing(f.killer, f.now) == Standing::Convicted);
    for (const auto& entry : f.quarantine.entries(f.now))
        cr_expect(entry.fingerprint == f.killer || entry.standing == Standing::Suspect);
}

Test(Quarantine, oneDeathReportedByMany_countsOnce)
{
    Quarantine quarantine({});
    cr_expect(quarantine.onDeath({ .fingerprint = 5, .target = "e", .incarnation = "a" }, start));
    for (int i = 0; i < 10; ++i)
        cr_expect_not(quarantine.onDeath({ .fingerprint = 5, .target = "e", .incarnation = "a" }, start));
    cr_expect(quarantine.standing(5, start) == Standing::Suspect);
}

Test(Quarantine, neighbourStruckTwiceWithTheKiller_isNotConvicted)
{
    // [GIVEN] an innocent that happens to sit beside the killer both times
    Quarantine quarantine({});
    for (const char* life : { "a", "b" }) {
        quarantine.onDeath({ .fingerprint = 1, .target = "e", .incarnation = life }, start);
        quarantine.onDeath({ .fingerprint = 2, .target = "e", .incarnation = life }, start);
    }
    cr_expect(quarantine.standing(2, start) == Standing::Suspect);
    // [WHEN] the killer strikes once without it [THEN] only the killer stands out
    quarantine.onDeath({ .fingerprint = 1, .target = "e", .incarnation = "c" }, start);
    cr_expect(quarantine.standing(1, start) == Standing::Convicted);
    cr_expect(quarantine.standing(2, start) == Standing::Suspect);
}

Test(Quarantine, seededMixes_convictNoInnocent)
{
    int convictedInnocents = 0;
    int killersMissed = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        KillerFixture f(seed);
        for (int strike = 0; strike < 2; ++strike) {
            f.strike(static_cast<int>(f.random() % 40));
            f.retryInnocents();
        }
        killersMissed += f.quarantine.standing(f.killer, f.now) != Standing::Convicted;
        for (const auto& entry : f.quarantine.entries(f.now))
            convictedInnocents += entry.fingerprint != f.killer && entry.standing == Standing::Convicted;
    }
    cr_expect(convictedInnocents == 0, "%d innocents", convictedInnocents);
    cr_expect(killersMissed == 0, "%d missed", killersMissed);
}

Test(Quarantine, pardonAndExpiry_endAConviction)
{
    Quarantine quarantine({});
    auto convict = [&] {
        quarantine.onDeath({ .fingerprint = 1, .target = "e", .incarnation = "a" }, start);
        quarantine.onDeath({ .fingerprint = 1, .target = "e", .incarnation = "b" }, start);
    };
    convict();
    cr_expect(quarantine.standing(1, start) == Standing::Convicted);
    cr_expect(quarantine.pardon(1));
    cr_expect(quarantine.standing(1, start) == Standing::Clear);
    convict();
    cr_expect(quarantine.standing(1, start + std::chrono::hours(7)) == Standing::Clear);
}
