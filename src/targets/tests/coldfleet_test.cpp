#include "fleet/fleetcensus.h"
#include "targets/targetlimits.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <random>
#include <set>

using namespace guavaspan;

namespace {

constexpr double coldRequestsPerSecond = 31;
constexpr ColdBounds bounds { .overrun = 1.5, .slack = 5 };
constexpr double maxInOneSecond = coldRequestsPerSecond * bounds.overrun + bounds.slack;
constexpr int fleetSizes[] { 1, 3, 30, 70, 300 };

constexpr auto step = Milliseconds(5);
constexpr auto viewInterval = Milliseconds(500);
/// Registrations of processes that ended or do not reach the store stay for this time.
constexpr auto leaseTime = Milliseconds(2000);
constexpr auto maxRegistrationTime = Milliseconds(300);
constexpr auto maxViewDelay = Milliseconds(2000);
constexpr auto censusWindow = Milliseconds(1000);

const TargetEntry coldTarget { .id = "engine-1", .service = "model", .startedAt = 1, .warmUpRemaining = Seconds(600) };

/// Instances that all want to send far more requests than a cold target tolerates. Each knows the others from registrations in
/// a store, of which it sees a state that is up to some seconds old.
struct ColdFleetFixture {
    struct Registration {
        TimePoint from;
        TimePoint until = TimePoint::max();
    };
    struct Process {
        std::string name;
        int number = 0;
        FleetCensus census;
        TargetLimits limits;
        TimePoint viewedUpTo;
        TimePoint nextViewAt;
        bool reachesStore = true;
        int sent = 0;
    };

    TimePoint now { Seconds(100) };
    std::mt19937 random { 11 };
    int lastNumber = 0;
    /// By name and number of the process.
    std::map<std::pair<std::string, int>, Registration> registrations;
    std::deque<Process> processes;
    std::deque<TimePoint> sent;
    std::size_t mostInOneSecond = 0;
    std::size_t totalSent = 0;

    explicit ColdFleetFixture(int count)
    {
        grow(count);
    }

    Milliseconds upTo(Milliseconds most) { return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, most.count())(random)); }

    void start(const std::string& name)
    {
        ++lastNumber;
        registrations[{ name, lastNumber }] = { .from = now + upTo(maxRegistrationTime) };
        processes.push_back({ .name = name, .number = lastNumber, .census = FleetCensus(name, censusWindow), .limits = TargetLimits(name, bounds), .viewedUpTo = now, .nextViewAt = now + upTo(viewInterval) });
        auto& limits = processes.back().limits;
        limits.setColdServices({ { coldTarget.service, coldRequestsPerSecond } }, now);
        limits.onEntry(coldTarget, now);
    }

    void grow(int count)
    {
        while (static_cast<int>(processes.size()) < count)
            start("instance-" + std::to_string(processes.size()));
    }

    void endRegistration(const Process& process) { registrations[{ process.name, process.number }].until = now + leaseTime; }

    void kill(std::size_t index)
    {
        endRegistration(processes[index]);
        processes.erase(processes.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void restart(std::size_t index)
    {
        auto name = processes[index].name;
        kill(index);
        start(name);
    }

    void restartAll()
    {
        for (auto left = processes.size(); left > 0; --left)
            restart(0);
    }

    void cutOffFromStore(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            processes[i].reachesStore = false;
            endRegistration(processes[i]);
        }
    }

    void updateView(Process& process)
    {
        if (process.reachesStore)
            process.viewedUpTo = std::max<TimePoint>(process.viewedUpTo, now - upTo(maxViewDelay));
        auto asBoot = [](TimePoint time) { return BootTime(time.time_since_epoch()); };
        RegistrationView view { .confirmedAt = asBoot(process.viewedUpTo) };
        std::set<std::string> names;
        for (const auto& [key, registration] : registrations) {
            if (registration.from > process.viewedUpTo || registration.until <= process.viewedUpTo)
                continue;
            names.insert(key.first);
            if (key.second == process.number)
                view.includesSelf = true;
        }
        view.instances.assign(names.begin(), names.end());
        process.census.onView(view, asBoot(now));
        auto state = process.census.state(asBoot(now));
        std::optional<ColdSharers> sharers;
        if (state != CensusState::Unknown)
            sharers = ColdSharers { .instances = process.census.instances(), .outdated = state == CensusState::Outdated };
        process.limits.onColdSharers(std::move(sharers), now);
    }

    void run(Clock::duration duration)
    {
        for (auto end = now + duration; now < end; now += step) {
            for (auto& process : processes) {
                if (process.nextViewAt <= now) {
                    updateView(process);
                    process.nextViewAt += viewInterval;
                }
                if (!process.limits.tryTake(coldTarget, now))
                    continue;
                sent.push_back(now);
                ++process.sent;
                ++totalSent;
            }
            while (!sent.empty() && sent.front() <= now - Seconds(1))
                sent.pop_front();
            mostInOneSecond = std::max(mostInOneSecond, sent.size());
        }
    }

    void expectWithinBound(const char* what, int count) const
    {
        cr_expect(static_cast<double>(mostInOneSecond) <= maxInOneSecond, "%s, %d instances: %zu in 1 s", what, count, mostInOneSecond);
    }
};

}

/// Guards against an overloaded cold target: every instance sends a cold target as much as it tolerates from all together, or the target gets next to nothing.
Test(ColdFleet, fleetsOfAllSizes_stayWithinTheBoundAndUseMostOfTheRate)
{
    for (int count : fleetSizes) {
        ColdFleetFixture f(count);
        f.run(Seconds(20));
        f.totalSent = 0;
        f.run(Seconds(10));
        f.expectWithinBound("constant fleet", count);
        cr_expect(f.totalSent >= 10 * 0.75 * coldRequestsPerSecond, "%d instances: %zu in 10 s, less than the target tolerates", count, f.totalSent);
    }
}

/// Guards against an overloaded cold target: new processes that do not know each other yet take the whole limit each.
Test(ColdFleet, allInstancesRestartAtOnce_stayWithinTheBound)
{
    for (int count : fleetSizes) {
        ColdFleetFixture f(count);
        f.run(Seconds(15));
        for (auto pause : { Milliseconds(400), Milliseconds(3000), Milliseconds(12000) }) {
            f.restartAll();
            f.run(pause);
        }
        f.expectWithinBound("restart of all", count);
    }
}

/// Guards against an overloaded cold target: the process that ended and its successor each spend a share within the same second.
Test(ColdFleet, instancesRestartOneAfterTheOther_stayWithinTheBound)
{
    for (int count : fleetSizes) {
        ColdFleetFixture f(count);
        f.run(Seconds(15));
        for (int restarts = 0; restarts < 40; ++restarts) {
            f.restart(f.random() % f.processes.size());
            f.run(Milliseconds(300));
        }
        f.run(Seconds(10));
        f.expectWithinBound("restarts", count);
    }
}

/// Guards against an overloaded cold target: instances that know the small fleet only keep their large shares while others join.
Test(ColdFleet, fleetGrowsAndShrinks_staysWithinTheBound)
{
    ColdFleetFixture f(1);
    for (int count : { 3, 30, 300 }) {
        f.run(Seconds(12));
        f.grow(count);
    }
    f.run(Seconds(15));
    while (f.processes.size() > 3) {
        f.kill(f.random() % f.processes.size());
        if (f.processes.size() % 10 == 0)
            f.run(Milliseconds(200));
    }
    f.run(Seconds(30));
    f.expectWithinBound("changing membership", 300);
    f.totalSent = 0;
    f.run(Seconds(10));
    cr_expect(f.totalSent >= 10 * 0.75 * coldRequestsPerSecond, "%zu in 10 s: the instances that are left take over", f.totalSent);
}

/// Guards against an overloaded cold target: instances that lost the store go on with shares that other instances have taken over.
Test(ColdFleet, instancesCutOffFromTheStoreWhileOthersJoin_stayWithinTheBound)
{
    for (int count : { 3, 30, 70, 300 }) {
        ColdFleetFixture f(count);
        f.run(Seconds(15));
        auto cutOff = std::max<std::size_t>(1, f.processes.size() / 3);
        f.cutOffFromStore(cutOff);
        for (auto left = f.processes.size(); left > cutOff; --left)
            f.restart(cutOff);
        f.run(Seconds(20));
        f.expectWithinBound("lost store", count);
        for (auto& process : f.processes)
            process.sent = 0;
        f.run(Seconds(5));
        auto sharers = std::count_if(f.processes.begin(), f.processes.end(), [](const auto& process) { return process.sent > 0; });
        cr_expect(sharers > 0, "%d instances", count);
        for (std::size_t i = 0; i < cutOff; ++i)
            f.processes[i].reachesStore = true;
        f.run(Seconds(15));
        f.expectWithinBound("regained store", count);
    }
}

/// Guards against an overloaded cold target: an instance that was alone when it lost the store keeps the whole limit, which the others share too.
Test(ColdFleet, onlyInstanceIsCutOffAndOthersJoin_fallsBackToTheReserve)
{
    for (int count : { 2, 30, 300 }) {
        ColdFleetFixture f(1);
        f.run(Seconds(15));
        f.cutOffFromStore(1);
        f.grow(count);
        f.run(Seconds(20));
        f.expectWithinBound("outdated view", count);
        f.processes.front().sent = 0;
        f.run(Seconds(5));
        cr_expect(f.processes.front().sent >= 3, "%d instances: the one without the store sent %d in 5 s", count, f.processes.front().sent);
    }
}

/// Guards against an overloaded cold target: two instances that both take themselves for the owner of a pool, and those with an outdated view, place more on a
/// cold engine than it tolerates.
Test(ColdFleet, twoOwnersAndInstancesWithOutdatedViews_stayWithinTheBound)
{
    TimePoint now { Seconds(100) };
    std::vector<std::string> names;
    for (int number = 0; number < 70; ++number)
        names.push_back("instance-" + std::to_string(number));
    std::vector<TargetLimits> instances;
    for (std::size_t number = 0; number < names.size(); ++number) {
        auto& limits = instances.emplace_back(names[number], bounds);
        limits.setColdServices({ { coldTarget.service, coldRequestsPerSecond } }, now);
        limits.setPooledServices({ coldTarget.service }, now);
        bool owner = number < 2;
        bool outdated = number >= 40;
        limits.onColdSharers(ColdSharers { .instances = names, .outdated = outdated, .ownedPools = owner ? std::set { coldTarget.service } : std::set<std::string> {} }, now);
        limits.onEntry(coldTarget, now);
    }
    std::deque<TimePoint> placed;
    std::size_t mostInOneSecond = 0;
    std::size_t total = 0;
    for (auto end = now + Seconds(10); now < end; now += step) {
        for (auto& limits : instances) {
            if (limits.exhaustedForPlacement(now).contains(coldTarget.id))
                continue;
            limits.onPlaced(coldTarget.id, now);
            placed.push_back(now);
            ++total;
        }
        while (!placed.empty() && placed.front() <= now - Seconds(1))
            placed.pop_front();
        mostInOneSecond = std::max(mostInOneSecond, placed.size());
    }
    cr_expect(static_cast<double>(mostInOneSecond) <= maxInOneSecond, "%zu in 1 s", mostInOneSecond);
    cr_expect(total >= 10 * coldRequestsPerSecond, "%zu in 10 s", total);
}

/// Guards against grants that are useless because the requester has no share of a cold engine.
Test(ColdFleet, requestPlacedByTheOwner_needsNoShareWhereItIsSent)
{
    TimePoint now { Seconds(100) };
    TargetLimits requester("requester", bounds);
    requester.setColdServices({ { coldTarget.service, coldRequestsPerSecond } }, now);
    requester.setPooledServices({ coldTarget.service }, now);
    requester.onColdSharers(ColdSharers { .instances = { "owner", "requester" } }, now);
    requester.onEntry(coldTarget, now);
    now += Seconds(10);
    cr_expect(requester.tryTake(coldTarget, now));
    cr_expect(requester.exhaustedTargets(now).empty());
    cr_expect(requester.exhaustedForPlacement(now).contains(coldTarget.id), "only the owner places requests there");
}
