#pragma once

#include "common/random.h"
#include "membership/membershiptypes.h"

#include <map>
#include <set>

namespace guavaspan {

struct MembershipOptions {
    /// One ring successor is probed per interval.
    Clock::duration probeInterval = Milliseconds(400);
    Clock::duration probeTimeout = Milliseconds(250);
    int successorCount = 3;
    /// Number of peers that are asked to probe an instance that did not answer.
    int indirectProbeCount = 3;
    Clock::duration suspicionTimeout = Milliseconds(1500);
    Clock::duration digestInterval = Seconds(15);
    Clock::duration deadRetention = std::chrono::hours(2);
    int gossipFanout = 3;
    /// Times that an update is sent with pings and acks, per doubling of the fleet size.
    int transmissionsPerDoubling = 2;
    std::size_t maxUpdatesPerMessage = 12;
};

/// Detects which instances are alive, in the manner of SWIM: probes along a hash ring, suspicion
/// before death, refutation by incarnation, updates by gossip. Uses no sockets and no clock.
class Membership {
public:
    Membership(MembershipOptions, Member self, Random);

    void onTick(TimePoint now);
    void onMessage(const std::string& from, const MembershipMessage&, TimePoint now);

    /// Probes the instances on the platform's list that are unknown, dead or known at another endpoint.
    void onInstanceList(const std::vector<Member>&, TimePoint now);

    /// Announces that this instance is stopping: it is no longer an owner but still answers messages.
    void announceLeaving(TimePoint now);

    /// Sets the configuration revision that pings and acks carry.
    void setConfigurationRevision(std::int64_t revision) { m_configurationRevision = revision; }

    std::vector<OutgoingMembershipMessage> takeOutgoingMessages();

    /// Increases with every change of the membership view.
    std::uint64_t version() const { return m_version; }
    const Member& self() const { return m_self; }
    const Member* find(const std::string& name) const;
    std::vector<Member> members() const;

    /// Names of all alive instances, including this one unless it is leaving; only these may be owners.
    std::vector<std::string> ownerCandidates() const;
    std::vector<std::string> aliveIn(const std::string& failureDomain) const;
    /// Returns random peers that are not dead; they may be suspect or leaving.
    std::vector<Member> randomLivePeers(std::size_t count);

    /// True for one instance of each network partition: the one with the lowest name among those
    /// that are alive or leaving.
    bool shouldPollInstanceList() const;

    /// Number of suspicions that this instance raised.
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
        /// Instance that requested this probe; if set, a timeout raises no suspicion.
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
