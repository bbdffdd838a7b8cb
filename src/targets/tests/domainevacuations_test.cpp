#include "targets/targetdirectory.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Two failure domains with one target each.
struct EvacuationFixture {
    TargetDirectory directory;
    DomainEvacuations& evacuations = directory.evacuations();
    TimePoint now { Seconds(1000) };
    std::vector<EvacuationChanged> changes;
    std::vector<std::string> unavailable;

    EvacuationFixture()
    {
        evacuations.setListener([this](const EvacuationChanged& event) { changes.push_back(event); });
        directory.setUnavailableListener([this](const TargetUnavailable& event) { unavailable.push_back(event.entry.id); });
        write(north());
        write(south());
    }

    static TargetEntry north() { return { .id = "n", .service = "writer", .failureDomain = "north", .startedAt = 1 }; }
    static TargetEntry south() { return { .id = "s", .service = "writer", .failureDomain = "south", .startedAt = 1 }; }

    void write(const TargetEntry& entry) { directory.onEntryWritten(entry.id, entry, now); }

    std::vector<std::string> usable() const
    {
        std::vector<std::string> ids;
        for (const auto* target : directory.usableTargets("writer"))
            ids.push_back(target->id);
        return ids;
    }
};

}

/// Guards against requests to an evacuated domain, and against moves of the generations that run there.
Test(DomainEvacuations, domainEvacuated_itsTargetsAreReadyButNotUsable)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    cr_expect(f.usable() == std::vector<std::string> { "s" });
    cr_expect(f.directory.usableTargets().size() == 1);
    cr_expect(!f.directory.isUsable("n") && !f.directory.isIncarnationUsable(f.north()));
    cr_expect(f.directory.isReady("n") && f.directory.isIncarnationReady(f.north()));
    cr_expect(f.unavailable.empty());
    f.evacuations.onEnded("north", f.now);
    cr_expect(f.usable().size() == 2 && f.directory.isIncarnationUsable(f.north()));
}

/// Guards against a target that becomes ready, restarts or moves to an evacuated domain and gets requests.
Test(DomainEvacuations, targetAppearsInEvacuatedDomain_isNotUsable)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    auto restarted = f.north();
    restarted.startedAt = 2;
    f.write(restarted);
    f.write({ .id = "n2", .service = "writer", .failureDomain = "north", .startedAt = 1 });
    auto moved = f.south();
    moved.failureDomain = "north";
    f.write(moved);
    cr_expect(f.usable().empty());
    cr_expect(!f.directory.isIncarnationUsable(restarted));
}

/// Guards against generations that are lost with an evacuated target that shuts down.
Test(DomainEvacuations, evacuatedTargetDrains_isReportedUnavailable)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    auto draining = f.north();
    draining.state = TargetState::Draining;
    f.write(draining);
    cr_expect(f.unavailable == std::vector<std::string> { "n" });
}

/// Guards against an evacuation that ends with another one, or that never ends because its key was written twice.
Test(DomainEvacuations, severalDomainsAndRepeatedKeys_eachStartsAndEndsOnce)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    f.evacuations.onEvacuated("north", f.now + Seconds(1));
    f.evacuations.onEvacuated("south", f.now + Seconds(1));
    f.evacuations.onEvacuated("nowhere", f.now);
    cr_expect(f.directory.allEvacuated("writer"));
    cr_expect(f.evacuations.evacuatedSince("north") == f.now);
    f.evacuations.onEnded("north", f.now + Seconds(2));
    f.evacuations.onEnded("north", f.now + Seconds(2));
    cr_expect(f.usable() == std::vector<std::string> { "n" });
    std::vector<EvacuationChanged> expected { { "north", true }, { "south", true }, { "nowhere", true }, { "north", false } };
    cr_expect(f.changes == expected);
}

Test(DomainEvacuations, snapshot_startsAndEndsWhatHasChanged)
{
    EvacuationFixture f;
    f.evacuations.onSnapshot({ "north" }, f.now);
    f.evacuations.onSnapshot({ "south" }, f.now);
    std::set<std::string> expected { "south" };
    cr_expect(f.evacuations.domains() == expected);
}

/// Guards against refusals where targets are missing, drain or are usable.
Test(DomainEvacuations, allEvacuated_countsReadyTargetsOnly)
{
    EvacuationFixture f;
    cr_expect(!f.directory.allEvacuated("writer"));
    f.evacuations.onEvacuated("north", f.now);
    cr_expect(!f.directory.allEvacuated("writer") && !f.directory.allEvacuated("unknown"));
    auto draining = f.south();
    draining.state = TargetState::Draining;
    f.write(draining);
    cr_expect(f.directory.allEvacuated("writer"));
    f.directory.onEntryRemoved("n", f.now);
    cr_expect(!f.directory.allEvacuated("writer"));
}

/// Guards against requests to a domain whose evacuation the store lost, and against a domain that stays out of use for good.
Test(DomainEvacuations, evacuationLostByRestoredStore_holdsUntilItCouldBeWrittenAgain)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    f.evacuations.onEvacuated("south", f.now);
    f.directory.onStoreRestored(f.now);
    f.evacuations.onEnded("north", f.now);
    f.evacuations.onEnded("south", f.now);
    cr_expect(f.usable().empty());
    f.evacuations.onEvacuated("south", f.now + Seconds(1));
    f.directory.onTick(f.now + Milliseconds(1900));
    cr_expect(f.usable().empty());
    f.directory.onTick(f.now + Milliseconds(2000));
    cr_expect(f.usable() == std::vector<std::string> { "n" });
    f.evacuations.onEnded("south", f.now + Milliseconds(2100));
    cr_expect(f.usable().size() == 2);
}

/// Guards against grants of an owner that learns of the evacuation later, and against queries that name a whole domain for hours.
Test(DomainEvacuations, lateEvacuatedTargets_areThoseOfTheLastSeconds)
{
    EvacuationFixture f;
    f.evacuations.onEvacuated("north", f.now);
    cr_expect(f.directory.lateEvacuatedTargets("writer", f.now + Seconds(4)) == std::set<std::string> { "n" });
    cr_expect(f.directory.lateEvacuatedTargets("other", f.now).empty());
    cr_expect(f.directory.lateEvacuatedTargets("writer", f.now + Seconds(5)).empty());
}
