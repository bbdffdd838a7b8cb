#include "membership/membership.h"

#include <criterion/criterion.h>
#include <functional>
#include <queue>

using namespace guavaspan;

namespace {

/// Simulates instances in virtual time; messages pass through a queue and links can be blocked.
class MembershipFixture {
public:
    explicit MembershipFixture(int count)
    {
        for (int i = 0; i < count; ++i)
            start(nameOf(i), 1000);
    }

    static std::string nameOf(int i) { return "instance-" + std::to_string(i); }

    void start(const std::string& name, std::int64_t incarnation)
    {
        Member self { .name = name, .incarnation = incarnation, .peerEndpoint = { .address = "127.0.0.1", .port = static_cast<std::uint16_t>(2000 + m_instances.size()) }, .failureDomain = "d" };
        m_instances.insert_or_assign(name, Membership({}, self, Random(m_instances.size() + 1)));
    }

    void stop(const std::string& name) { m_stopped.insert(name); }
    void restart(const std::string& name, std::int64_t incarnation)
    {
        m_stopped.erase(name);
        start(name, incarnation);
    }
    void blockLinks(std::function<bool(const std::string&, const std::string&)> blocked) { m_blocked = std::move(blocked); }

    /// Advances the virtual time. The platform's list contains all instances and is polled by those
    /// for which shouldPollInstanceList() is true.
    void run(Clock::duration duration)
    {
        auto end = m_now + duration;
        while (m_now < end) {
            m_now += Milliseconds(10);
            deliver();
            bool tickDue = m_now.time_since_epoch() % Milliseconds(50) == Clock::duration {};
            bool instanceListPollDue = m_now.time_since_epoch() % Milliseconds(1000) == Clock::duration {};
            for (auto& [name, instance] : m_instances) {
                if (m_stopped.contains(name))
                    continue;
                if (tickDue)
                    instance.onTick(m_now);
                if (instanceListPollDue && instance.shouldPollInstanceList()) {
                    ++instanceListPolls;
                    instance.onInstanceList(listedMembers(), m_now);
                }
                enqueueOutgoing(name, instance);
            }
        }
    }

    Membership& membershipOf(const std::string& name) { return m_instances.at(name); }

    /// Counts the other running instances whose view has the named instance in this state.
    int countObservers(const std::string& name, MemberState state) const
    {
        int count = 0;
        for (const auto& [observer, instance] : m_instances) {
            const auto* member = instance.find(name);
            count += observer != name && !m_stopped.contains(observer) && member && member->state == state;
        }
        return count;
    }

    bool allViewsAreComplete() const
    {
        for (const auto& [name, instance] : m_instances) {
            if (!m_stopped.contains(name) && instance.ownerCandidates().size() != m_instances.size() - m_stopped.size())
                return false;
        }
        return true;
    }

    std::uint64_t suspicions() const
    {
        std::uint64_t sum = 0;
        for (const auto& [name, instance] : m_instances)
            sum += instance.suspicions();
        return sum;
    }

    int instanceListPolls = 0;

private:
    struct InFlightMessage {
        TimePoint deliverAt;
        std::string from;
        OutgoingMembershipMessage outgoing;
    };

    std::vector<Member> listedMembers() const
    {
        std::vector<Member> members;
        for (const auto& [name, instance] : m_instances)
            members.push_back({ .name = name, .peerEndpoint = instance.self().peerEndpoint });
        return members;
    }

    void enqueueOutgoing(const std::string& from, Membership& instance)
    {
        for (auto& outgoing : instance.takeOutgoingMessages())
            m_inFlight.push_back({ .deliverAt = m_now + Milliseconds(10), .from = from, .outgoing = std::move(outgoing) });
    }

    void deliver()
    {
        auto messages = std::exchange(m_inFlight, {});
        for (auto& message : messages) {
            if (message.deliverAt > m_now) {
                m_inFlight.push_back(std::move(message));
                continue;
            }
            bool dropped = m_stopped.contains(message.outgoing.to) || m_stopped.contains(message.from) || (m_blocked && m_blocked(message.from, message.outgoing.to));
            if (dropped)
                continue;
            auto& instance = m_instances.at(message.outgoing.to);
            instance.onMessage(message.from, message.outgoing.message, m_now);
            enqueueOutgoing(message.outgoing.to, instance);
        }
    }

    std::map<std::string, Membership> m_instances;
    std::set<std::string> m_stopped;
    std::function<bool(const std::string&, const std::string&)> m_blocked;
    std::vector<InFlightMessage> m_inFlight;
    TimePoint m_now = TimePoint {} + Seconds(1);
};

}

Test(Membership, instancesKnownOnlyFromInstanceList_discoverEachOther)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    cr_expect(f.allViewsAreComplete());
    cr_expect(f.suspicions() == 0);
}

Test(Membership, stableFleet_oneInstancePollsInstanceList)
{
    MembershipFixture f(16);
    f.run(Seconds(5));
    f.instanceListPolls = 0;
    f.run(Seconds(10));
    cr_expect(f.instanceListPolls <= 11, "%d list polls", f.instanceListPolls);
}

Test(Membership, stoppedInstance_isDeadEverywhereWithinFiveSeconds)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-3");
    f.run(Seconds(5));
    cr_expect(f.countObservers("instance-3", MemberState::Dead) == 7);
    cr_expect(f.allViewsAreComplete());
}

Test(Membership, linkBrokenBothWays_noInstanceIsDeclaredDead)
{
    // [GIVEN] two instances that cannot reach each other although both reach all others
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.blockLinks([](const std::string& a, const std::string& b) {
        return (a == "instance-1" && b == "instance-2") || (a == "instance-2" && b == "instance-1");
    });
    f.run(Seconds(30));
    cr_expect(f.countObservers("instance-1", MemberState::Dead) == 0);
    cr_expect(f.countObservers("instance-2", MemberState::Dead) == 0);
}

Test(Membership, linkBrokenOneWay_noInstanceIsDeclaredDead)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.blockLinks([](const std::string& a, const std::string& b) { return a == "instance-1" && b == "instance-2"; });
    f.run(Seconds(30));
    cr_expect(f.countObservers("instance-1", MemberState::Dead) == 0);
    cr_expect(f.countObservers("instance-2", MemberState::Dead) == 0);
}

Test(Membership, suspectedInstanceThatReturns_isAliveEverywhere)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-5");
    f.run(Milliseconds(1500));
    cr_expect(f.countObservers("instance-5", MemberState::Suspect) > 0);
    f.blockLinks(nullptr);
    auto incarnation = f.membershipOf("instance-5").self().incarnation;
    // [WHEN] it returns with the same incarnation
    MembershipFixture* fixture = &f;
    (void)fixture;
    f.run(Milliseconds(10));
    f.restart("instance-5", incarnation);
    f.run(Seconds(6));
    cr_expect(f.allViewsAreComplete());
    cr_expect(f.countObservers("instance-5", MemberState::Alive) == 7);
}

Test(Membership, replacementWithLowerIncarnation_isAliveEverywhere)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-2");
    f.run(Seconds(5));
    f.restart("instance-2", 500);
    f.run(Seconds(5));
    cr_expect(f.allViewsAreComplete(), "the replacement was not accepted with an incarnation lower than that of its predecessor");
}

Test(Membership, partitionThatEnds_viewsConvergeWithoutOperator)
{
    // [GIVEN] two halves that are disconnected until each considers the other dead
    MembershipFixture f(10);
    f.run(Seconds(3));
    auto inFirstHalf = [](const std::string& name) { return name.back() < '5'; };
    f.blockLinks([inFirstHalf](const std::string& a, const std::string& b) { return inFirstHalf(a) != inFirstHalf(b); });
    f.run(Seconds(60));
    cr_expect(f.membershipOf("instance-0").ownerCandidates().size() == 5);
    cr_expect(f.membershipOf("instance-9").ownerCandidates().size() == 5);
    // [WHEN] the halves are connected again
    f.blockLinks(nullptr);
    f.run(Seconds(10));
    // [THEN] every instance has all instances as alive
    cr_expect(f.allViewsAreComplete());
}

Test(Membership, leavingInstance_isNeitherOwnerCandidateNorDead)
{
    MembershipFixture f(6);
    f.run(Seconds(3));
    f.membershipOf("instance-4").announceLeaving({});
    f.run(Seconds(2));
    cr_expect(f.countObservers("instance-4", MemberState::Leaving) == 5);
    auto candidates = f.membershipOf("instance-0").ownerCandidates();
    cr_expect(std::find(candidates.begin(), candidates.end(), "instance-4") == candidates.end());
}

Test(Membership, halfOfTheFleetStops_remainingInstancesAgree)
{
    MembershipFixture f(12);
    f.run(Seconds(3));
    for (int i = 0; i < 6; ++i)
        f.stop(MembershipFixture::nameOf(i));
    f.run(Seconds(15));
    cr_expect(f.allViewsAreComplete());
}
