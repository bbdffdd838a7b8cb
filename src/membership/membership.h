#pragma once

#include "common/random.h"
#include "membership/membershiptypes.h"

#include <map>
#include <set>

namespace guavaspan {

struct MembershipOptions {
    /// Each interval one ring successor is probed.
    Clock::duration probeInterval = Milliseconds(400);
    Clock::duration probeTimeout = Milliseconds(250);
    int successorCount = 3;
    int indirectProbeCount = 3;
    Clock::duration suspicionTimeout = Milliseconds(1500);
    Clock::duration digestInterval = Seconds(15);
    Clock::duration deadRetention = std::chrono::hours(2);
    int gossipFanout = 3;
    /// Times that one piece of news rides on pings, per doubling of the fleet.
    int transmissionsPerDoubling = 2;
    std::size_t maxUpdatesPerMessage = 12;
};

/// Who is there: probing along a hash ring, suspicion before death, refutation
/// by incarnation, news by gossip. No sockets and no clock.
class Membership {
public:
    Membership(MembershipOptions, Member self, Random);

    void onTick(TimePoint now);
    void onMessage(const std::string& from, const MembershipMessage&, TimePoint now);

    /// Instances that the platform's list names; those unknown or dead here are probed.
    void onInstanceList(const std::vector<Member>&, TimePoint now);

    /// This instance will stop: it owns nothing from now on but still answers.
    void leave(TimePoint now);

    /// The revision that pings carry.
    void setConfigurationRevision(std::int64_t revision) { m_configurationRevision = revision; }

    std::vector<OutgoingMembershipMessage> takeOutgoingMessages();

    /// Grows with every change of who is alive.
    std::uint64_t version() const { return m_version; }
    const Member& self() const { return m_self; }
    const Member* find(const std::string& name) const;
    std::vector<Member> members() const;

    /// Names of instances that may own something, this one included unless it leaves.
    std::vector<std::string> ownerCandidates() const;
    std::vector<std::string> aliveIn(const std::string& failureDomain) const;
    std::vector<Member> randomLivePeers(std::size_t count);

    /// True for one well-defined instance of each partition.
    bool shouldPollInstanceList() const;

    /// Suspicions raised here, for measurement.
    std::uint64_t suspicions() const { return m_suspicions; }

private:
    struct Peer {
        Member member;
        TimePoint suspectSince;
        TimePoint deadSince;
    };
    struct Probe {
        std::string instance;
        TimePoint sentAt;
        bool indirect = false;
        std::string requester;
        std::uint64_t requesterSequence = 0;
    };
    struct PendingUpdate {
        Member member;
        int transmissionsLeft = 0;
    };

    void handle(const std::string& from, const Ping&, TimePoint now);
    void handle(const std::string& from, const Ack&, TimePoint now);
    void handle(const std::string& from, const PingRequest&, TimePoint now);
    void handle(const std::string& from, const IndirectAck&, TimePoint now);
    void handle(const std::string& from, const Gossip&, TimePoint now);
    void handle(const std::string& from, const ViewDigest&, TimePoint now);
    void handle(const std::string& from, const ViewExchange&, TimePoint now);

    void applyUpdates(const std::vector<Member>&, TimePoint now);
    bool applyUpdate(const Member&, TimePoint now);
    void refute(const Member&);
    void setState(Peer&, MemberState, TimePoint now);
    void disseminate(const Member&);
    void sendGossip();
    std::vector<Member> takePiggybackUpdates();
    void probeNext(TimePoint now);
    void checkProbes(TimePoint now);
    void expirePeers(TimePoint now);
    void requestIndirectProbes(const Probe&, std::uint64_t sequence);
    void restartSuspicion(const std::string& name, TimePoint now);
    void send(const std::string& to, MembershipMessage);
    std::vector<std::string> ringSuccessors() const;
    int transmissionsPerUpdate() const;
    std::uint64_t digest() const;

    MembershipOptions m_options;
    Member m_self;
    Random m_random;
    std::map<std::string, Peer> m_peers;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::string, PendingUpdate> m_pendingUpdates;
    std::vector<Member> m_unsentUpdates;
    std::vector<OutgoingMembershipMessage> m_outgoing;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_suspicions = 0;
    std::size_t m_nextSuccessorIndex = 0;
    std::int64_t m_configurationRevision = 0;
    TimePoint m_nextProbeAt;
    TimePoint m_nextDigestAt;
};

}
