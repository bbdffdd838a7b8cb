#include "fleet/fleetcensus.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// The census of instance "self", whose budget has a window of 10 s, in a fleet with one peer.
struct CensusFixture {
    FleetCensus census { "self", Milliseconds(10000) };
    BootTime now { Seconds(100) };

    RegistrationView view() const { return { .instances = { "self", "peer" }, .includesSelf = true, .confirmedAt = now }; }

    /// Takes a view every second.
    void run(Seconds duration)
    {
        for (auto end = now + duration; now < end; now += Seconds(1))
            census.onView(view(), now);
    }
};

}

/// Guards against BUDGET: a process that just started spends the whole allowance, or what its predecessor spent.
Test(FleetCensus, newProcess_hasNoShareUntilAWindowPassed)
{
    CensusFixture f;
    cr_expect(!f.census.sharers(f.now));
    f.run(Seconds(11));
    cr_expect(!f.census.sharers(f.now));
    f.run(Seconds(6));
    cr_expect(f.census.sharers(f.now) == 2);
}

Test(FleetCensus, ownEntryMissing_waitsAgain)
{
    CensusFixture f;
    f.run(Seconds(20));
    auto withoutSelf = f.view();
    withoutSelf.includesSelf = false;
    f.census.onView(withoutSelf, f.now);
    cr_expect(!f.census.sharers(f.now));
    f.run(Seconds(11));
    cr_expect(!f.census.sharers(f.now), "the entry may be a new one, which others do not know yet");
    f.run(Seconds(6));
    cr_expect(f.census.sharers(f.now) == 2);
}

Test(FleetCensus, viewNotConfirmed_hasNoShareUntilItIs)
{
    CensusFixture f;
    f.run(Seconds(20));
    auto lastView = f.view();
    f.census.onView(lastView, f.now);
    f.now += Seconds(4);
    f.census.onView(lastView, f.now);
    cr_expect(!f.census.sharers(f.now), "another instance may have joined");
    f.census.onView(f.view(), f.now);
    cr_expect(f.census.sharers(f.now) == 2);
}

Test(FleetCensus, viewLostForAWindow_waitsAgain)
{
    CensusFixture f;
    f.run(Seconds(20));
    f.now += Seconds(11);
    f.census.onView(f.view(), f.now);
    cr_expect(!f.census.sharers(f.now), "another instance may have joined, spent its share and left");
}

Test(FleetCensus, instanceThatLeft_countsForAWindow)
{
    CensusFixture f;
    f.run(Seconds(20));
    auto withoutPeer = [&] {
        auto view = f.view();
        view.instances = { "self", "other" };
        return view;
    };
    f.census.onView(withoutPeer(), f.now);
    cr_expect(f.census.sharers(f.now) == 3, "one left, another one joined");
    f.now += Seconds(8);
    f.census.onView(withoutPeer(), f.now);
    cr_expect(f.census.sharers(f.now) == 3);
    for (int i = 0; i < 14; ++i, f.now += Seconds(1))
        f.census.onView(withoutPeer(), f.now);
    cr_expect(f.census.sharers(f.now - Seconds(1)) == 2);
}

/// Guards against an overloaded cold target: with a budget of one second each distance between views counts as a gap, so that no instance ever has a share.
Test(FleetCensus, shortWindowAndViewsSomeSecondsApart_hasAShare)
{
    FleetCensus census("self", Milliseconds(1000));
    BootTime now { Seconds(100) };
    for (int view = 0; view < 6; ++view, now += Milliseconds(2500))
        census.onView({ .instances = { "self", "peer" }, .includesSelf = true, .confirmedAt = now }, now);
    cr_expect(census.state(now) == CensusState::Current);
    cr_expect(census.sharers(now) == 2);
    now += Seconds(10);
    cr_expect(census.state(now) == CensusState::Outdated);
    census.onView({ .instances = { "self", "peer", "other" }, .includesSelf = true, .confirmedAt = now }, now);
    cr_expect(census.state(now) == CensusState::Outdated, "others may have joined and left in between");
    census.onView({ .instances = { "peer", "other" }, .includesSelf = false, .confirmedAt = now }, now);
    cr_expect(census.state(now) == CensusState::Unknown, "the others do not know this instance");
}
