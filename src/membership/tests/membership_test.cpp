#include "membership/membership.h"

#include <criterion/criterion.h>
#include <functional>
#include <queue>

using namespace guavaspan;

namespace {

/// Instances joined by a message queue in virtual time; links may be cut.
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
        Member self { .name = name, .incarnation = incarnation, .peerEndpoint = { .address = "127.0.0.1", .port = static_cast<std::uint16_t>(2000 + m_nodes.size()) }, .failureDomain = "d" };
        m_nodes.insert_or_assign(name, Membership({}, self, Random(m_nodes.size() + 1)));
    }

    void stop(const std::string& name) { m_stopped.insert(name); }
    void restart(const std::string& name, std::int64_t incarnation)
    {
        m_stopped.erase(name);
        start(name, incarnation);
    }
    void cut(std::function<bool(const std::string&, const std::string&)> blocked) { m_blocked = std::move(blocked); }

    /// Advances; the platform's list names everybody and is read by those who should.
    void run(Clock::duration duration)
    {
        auto end = m_now + duration;
        while (m_now < end) {
            m_now += Milliseconds(10);
            deliver();
            bool tick = m_now.time_since_epoch() % Milliseconds(50) == Clock::duration {};
            bool list = m_now.time_since_epoch() % Milliseconds(1000) == Clock::duration {};
            for (auto& [name, node] : m_nodes) {
                if (m_stopped.contains(name))
                    continue;
                if (tick)
                    node.onTick(m_now);
                if (list && node.shouldPollInstanceList()) {
                    ++listReads;
                    node.onInstanceList(listed(), m_now);
                }
                post(name, node);
            }
        }
    }

    Membership& node(const std::string& name) { return m_nodes.at(name); }

    /// Number of running instances whose view of the name is this.
    int viewing(const std::string& name, MemberState state) const
    {
        int count = 0;
        for (const auto& [observer, node] : m_nodes) {
            const auto* member = node.find(name);
            count += observer != name && !m_stopped.contains(observer) && member && member->state == state;
        }
        return count;
    }

    bool everybodySeesEverybody() const
    {
        for (const auto& [name, node] : m_nodes) {
            if (!m_stopped.contains(name) && node.ownerCandidates().size() != m_nodes.size() - m_stopped.size())
                return false;
        }
        return true;
    }

    std::uint64_t suspicions() const
    {
        std::uint64_t sum = 0;
        for (const auto& [name, node] : m_nodes)
            sum += node.suspicions();
        return sum;
    }

    int listReads = 0;

private:
    struct Flight {
        TimePoint at;
        std::string from;
        OutgoingMembershipMessage send;
    };

    std::vector<Member> listed() const
    {
        std::vector<Member> members;
        for (const auto& [name, node] : m_nodes)
            members.push_back({ .name = name, .peerEndpoint = node.self().peerEndpoint });
        return members;
    }

    void post(const std::string& from, Membership& node)
    {
        for (auto& send : node.takeOutgoingMessages())
            m_flights.push_back({ .at = m_now + Milliseconds(10), .from = from, .send = std::move(send) });
    }

    void deliver()
    {
        auto flights = std::exchange(m_flights, {});
        for (auto& flight : flights) {
            if (flight.at > m_now) {
                m_flights.push_back(std::move(flight));
                continue;
            }
            bool lost = m_stopped.contains(flight.send.to) || m_stopped.contains(flight.from) || (m_blocked && m_blocked(flight.from, flight.send.to));
            if (lost)
                continue;
            auto& node = m_nodes.at(flight.send.to);
            node.onMessage(flight.from, flight.send.message, m_now);
            post(flight.send.to, node);
        }
    }

    std::map<std::string, Membership> m_nodes;
    std::set<std::string> m_stopped;
    std::function<bool(const std::string&, const std::string&)> m_blocked;
    std::vector<Flight> m_flights;
    TimePoint m_now = TimePoint {} + Seconds(1);
};

}

Test(Membership, strangersOnTheList_findEachOther)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    cr_expect(f.everybodySeesEverybody());
    cr_expect(f.suspicions() == 0);
}

Test(Membership, listReads_needOneInstanceOnly)
{
    MembershipFixture f(16);
    f.run(Seconds(5));
    f.listReads = 0;
    f.run(Seconds(10));
    cr_expect(f.listReads <= 11, "reads %d", f.listReads);
}

Test(Membership, stoppedInstance_isDeadEverywhereWithinFiveSeconds)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-3");
    f.run(Seconds(5));
    cr_expect(f.viewing("instance-3", MemberState::Dead) == 7);
    cr_expect(f.everybodySeesEverybody());
}

Test(Membership, oneBrokenLink_killsNobody)
{
    // [GIVEN] two that cannot reach each other though both reach the rest
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.cut([](const std::string& a, const std::string& b) {
        return (a == "instance-1" && b == "instance-2") || (a == "instance-2" && b == "instance-1");
    });
    f.run(Seconds(30));
    cr_expect(f.viewing("instance-1", MemberState::Dead) == 0);
    cr_expect(f.viewing("instance-2", MemberState::Dead) == 0);
}

Test(Membership, oneWayLink_killsNobody)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.cut([](const std::string& a, const std::string& b) { return a == "instance-1" && b == "instance-2"; });
    f.run(Seconds(30));
    cr_expect(f.viewing("instance-1", MemberState::Dead) == 0);
    cr_expect(f.viewing("instance-2", MemberState::Dead) == 0);
}

Test(Membership, shortPause_isRefutedAndForgotten)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-5");
    f.run(Milliseconds(1500));
    cr_expect(f.viewing("instance-5", MemberState::Suspect) > 0);
    f.cut(nullptr);
    auto incarnation = f.node("instance-5").self().incarnation;
    // [WHEN] it goes on where it stopped
    MembershipFixture* fixture = &f;
    (void)fixture;
    f.run(Milliseconds(10));
    f.restart("instance-5", incarnation);
    f.run(Seconds(6));
    cr_expect(f.everybodySeesEverybody());
    cr_expect(f.viewing("instance-5", MemberState::Alive) == 7);
}

Test(Membership, replacedInstance_returnsUnderTheSameNameWithNothing)
{
    MembershipFixture f(8);
    f.run(Seconds(3));
    f.stop("instance-2");
    f.run(Seconds(5));
    f.restart("instance-2", 500);
    f.run(Seconds(5));
    cr_expect(f.everybodySeesEverybody(), "also when its clock is behind that of its former life");
}

Test(Membership, partition_healsWithoutOperator)
{
    // [GIVEN] two halves apart until each takes the other for dead
    MembershipFixture f(10);
    f.run(Seconds(3));
    auto half = [](const std::string& name) { return name.back() < '5'; };
    f.cut([half](const std::string& a, const std::string& b) { return half(a) != half(b); });
    f.run(Seconds(60));
    cr_expect(f.node("instance-0").ownerCandidates().size() == 5);
    cr_expect(f.node("instance-9").ownerCandidates().size() == 5);
    // [WHEN] the link returns
    f.cut(nullptr);
    f.run(Seconds(10));
    // [THEN] everybody is alive for everybody
    cr_expect(f.everybodySeesEverybody());
}

Test(Membership, leavingInstance_ownsNothingYetIsNotDead)
{
    MembershipFixture f(6);
    f.run(Seconds(3));
    f.node("instance-4").leave({});
    f.run(Seconds(2));
    cr_expect(f.viewing("instance-4", MemberState::Leaving) == 5);
    auto candidates = f.node("instance-0").ownerCandidates();
    cr_expect(std::find(candidates.begin(), candidates.end(), "instance-4") == candidates.end());
}

Test(Membership, halfOfTheFleetDies_restAgree)
{
    MembershipFixture f(12);
    f.run(Seconds(3));
    for (int i = 0; i < 6; ++i)
        f.stop(MembershipFixture::nameOf(i));
    f.run(Seconds(15));
    cr_expect(f.everybodySeesEverybody());
}
