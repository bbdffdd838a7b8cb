#include "targets/targetlimits.h"

#include <criterion/criterion.h>
#include <deque>

using namespace guavaspan;

namespace {

const TargetEntry target { .id = "engine-1", .startedAt = 1 };
constexpr auto reportInterval = Milliseconds(500);
constexpr auto step = Milliseconds(5);

/// Instances that all want to send far more requests than a target takes.
struct LimitedFleetFixture {
    TimePoint now { Seconds(100) };
    std::vector<std::string> names;
    std::vector<TargetLimits> instances;
    std::optional<double> limit;
    std::deque<TimePoint> sent;
    std::size_t mostInFourSeconds = 0;
    std::size_t totalSent = 0;

    explicit LimitedFleetFixture(int count)
    {
        for (int i = 0; i < count; ++i)
            names.push_back("instance-" + std::to_string(i));
        for (const auto& name : names)
            instances.emplace_back(name);
        exchangeReports();
    }

    void exchangeReports()
    {
        for (auto& sender : instances) {
            auto limits = sender.ownLimits(now);
            for (auto& receiver : instances) {
                receiver.onInstances(names, now);
                if (&receiver != &sender)
                    receiver.onPeerLimits(limits, now);
            }
        }
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < names.size(); ++i)
            instances[i] = TargetLimits(names[i]);
    }

    void run(Clock::duration duration)
    {
        auto end = now + duration;
        auto nextReport = now + reportInterval;
        for (; now < end; now += step) {
            for (auto& instance : instances) {
                if (!instance.tryTake(target, now))
                    continue;
                sent.push_back(now);
                ++totalSent;
                instance.onAnswer(target, limit, now);
            }
            while (!sent.empty() && sent.front() <= now - Seconds(4))
                sent.pop_front();
            mostInFourSeconds = std::max(mostInFourSeconds, sent.size());
            if (now < nextReport)
                continue;
            nextReport += reportInterval;
            exchangeReports();
        }
    }

    void resetCounts()
    {
        sent.clear();
        mostInFourSeconds = 0;
        totalSent = 0;
    }
};

}

/// Guards against LIMIT: no instance read the limit that a target states, and it got several times as many requests.
Test(TargetLimits, fleetsOfAllSizes_sendNoMoreThanTheStatedLimitTogether)
{
    for (int count : { 1, 2, 6, 8, 60 }) {
        for (double limit : { 0.0, 0.3, 1.0, 2.0, 4.1, 6.5, 20.0 }) {
            LimitedFleetFixture f(count);
            f.limit = limit;
            f.run(Seconds(3));
            f.resetCounts();
            f.run(Seconds(20));
            double allowed = 1.5 * 4 * limit + 5;
            cr_expect(static_cast<double>(f.mostInFourSeconds) <= allowed, "%d instances, limit %.1f: %zu in 4 s", count, limit, f.mostInFourSeconds);
            cr_expect(static_cast<double>(f.totalSent) >= 0.8 * 20 * limit, "%d instances, limit %.1f: %zu in 20 s, less than the target takes", count, limit, f.totalSent);
        }
    }
}

Test(TargetLimits, instancesThatStartAndStop_keepTheLimit)
{
    LimitedFleetFixture f(8);
    f.limit = 4.1;
    f.run(Seconds(3));
    f.resetCounts();
    for (std::size_t restarted = 0; restarted < 8; ++restarted) {
        f.instances[restarted] = TargetLimits(f.names[restarted]);
        f.exchangeReports();
        f.run(Seconds(3));
    }
    cr_expect(f.mostInFourSeconds <= 29, "%zu in 4 s", f.mostInFourSeconds);
}

Test(TargetLimits, limitThatIsNoLongerStated_endsAtAllInstances)
{
    LimitedFleetFixture f(60);
    f.limit = 2;
    f.run(Seconds(4));
    f.limit = std::nullopt;
    f.run(Seconds(4));
    for (auto& instance : f.instances)
        cr_expect(instance.tryTake(target, f.now));
    for (auto& instance : f.instances)
        cr_expect(instance.tryTake(target, f.now), "requests are not counted any more");
}

/// One wrong answer must not keep requests from a target.
Test(TargetLimits, limitOfZeroStatedOnce_isLiftedByTheNextAnswer)
{
    LimitedFleetFixture f(8);
    f.instances.front().onAnswer(target, 0.0, f.now);
    f.exchangeReports();
    f.limit = std::nullopt;
    f.run(Seconds(10));
    for (auto& instance : f.instances)
        cr_expect(instance.waitTime(target.id, f.now) == Clock::duration::zero());
}

Test(TargetLimits, otherIncarnation_hasNoLimit)
{
    TargetLimits limits("self");
    TimePoint now { Seconds(100) };
    limits.onInstances({}, now);
    limits.onAnswer(target, 1.0, now);
    cr_expect(limits.waitTime(target.id, now) > Clock::duration::zero());
    TargetEntry restarted { .id = target.id, .startedAt = 2 };
    limits.onAnswer(restarted, std::nullopt, now);
    cr_expect(limits.waitTime(target.id, now) == Clock::duration::zero());
    limits.onPeerLimits({ { target.id, { .targetStartedAt = 1, .requestsPerSecond = 1.0 } } }, now);
    cr_expect(limits.waitTime(target.id, now) == Clock::duration::zero(), "a late report of the earlier incarnation changes nothing");
}

Test(TargetLimits, silenceOfAllInstances_endsTheLimit)
{
    TargetLimits limits("self");
    TimePoint now { Seconds(100) };
    limits.onAnswer(target, 1.0, now);
    now += Seconds(31);
    limits.onInstances({}, now);
    cr_expect(limits.size() == 0);
}

Test(TargetLimits, runningGenerationThatMoves_countsAgainstTheShare)
{
    TargetLimits limits("self");
    TimePoint now { Seconds(100) };
    limits.onInstances({}, now);
    limits.onAnswer(target, 1.0, now);
    limits.take(target, now);
    now += Milliseconds(1500);
    cr_expect(!limits.tryTake(target, now));
    cr_expect(limits.exhaustedTargets(now) == std::set<std::string> { target.id });
    now += Seconds(1);
    cr_expect(limits.tryTake(target, now));
}

/// Guards against LIMIT: instances that just started, and do not know each other yet, take the whole limit each.
Test(TargetLimits, allInstancesRestart_sendNoMoreThanTheStatedLimitTogether)
{
    for (int count : { 2, 6, 8 }) {
        for (double requestsPerSecond : { 5.0, 20.0 }) {
            LimitedFleetFixture f(count);
            f.limit = requestsPerSecond;
            f.run(Seconds(10));
            f.resetCounts();
            for (int restart = 0; restart < 3; ++restart) {
                f.restartAll();
                f.run(Seconds(10));
            }
            auto allowed = static_cast<std::size_t>(6 * requestsPerSecond + 5);
            cr_expect(f.mostInFourSeconds <= allowed, "%d instances, limit %.0f: %zu requests in 4 s, %zu allowed", count, requestsPerSecond, f.mostInFourSeconds, allowed);
        }
    }
}

/// Guards against BUDGET: a target that refused a request for some time got others meanwhile.
Test(TargetLimits, targetThatRequestsAPause_getsNothingUntilItsEnd)
{
    TargetLimits limits("self");
    TimePoint now { Seconds(100) };
    limits.onPauseRequested(target, Milliseconds(2500), now);
    cr_expect(limits.waitTime(target.id, now) == Milliseconds(2500));
    cr_expect(limits.exhaustedTargets(now) == std::set<std::string> { target.id });
    limits.onPauseRequested(target, Milliseconds(500), now);
    cr_expect(!limits.tryTake(target, now + Milliseconds(2400)), "a shorter pause does not end a longer one");
    cr_expect(limits.tryTake(target, now + Milliseconds(2500)));
    limits.onPauseRequested(target, Clock::duration::zero(), now);
    limits.onPauseRequested(target, Milliseconds(-1), now);
    cr_expect(limits.tryTake(target, now + Milliseconds(2500)));
}

Test(TargetLimits, pausedTargetThatRestarts_isUsedAtOnce)
{
    TargetLimits limits("self");
    TimePoint now { Seconds(100) };
    limits.onPauseRequested(target, Seconds(60), now);
    limits.onTargetGone(target.id);
    cr_expect(limits.tryTake(target, now));
    cr_expect(limits.size() == 0);
}
