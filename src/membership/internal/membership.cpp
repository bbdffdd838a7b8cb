#include "membership/membership.h"

#include "common/hash.h"

#include <algorithm>
#include <bit>

namespace guavaspan {

namespace {

    constexpr const char* ringKey = "membership-ring";

    bool overrides(const Member& update, const Member& current)
    {
        if (update.incarnation != current.incarnation)
            return update.incarnation > current.incarnation;
        return update.state > current.state;
    }

    bool isAlive(const Member& member)
    {
        return member.state == MemberState::Alive;
    }

}

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

Membership::Membership(MembershipOptions options, Member self, Random random)
    : m_options(options)
    , m_self(std::move(self))
    , m_random(random)
{
}

const Member* Membership::find(const std::string& name) const
{
    if (name == m_self.name)
        return &m_self;
    auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second.member;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all { m_self };
    for (const auto& [name, peer] : m_peers)
        all.push_back(peer.member);
    return all;
}

std::vector<std::string> Membership::ownerCandidates() const
{
    std::vector<std::string> names;
    for (const auto& member : members()) {
        if (isAlive(member))
            names.push_back(member.name);
    }
    return names;
}

std::vector<std::string> Membership::aliveIn(const std::string& failureDomain) const
{
    std::vector<std::string> names;
    for (const auto& member : members()) {
        if (isAlive(member) && member.failureDomain == failureDomain)
            names.push_back(member.name);
    }
    return names;
}

std::vector<Member> Membership::randomLivePeers(std::size_t count)
{
    std::vector<Member> livePeers;
    for (const auto& [name, peer] : m_peers) {
        if (peer.member.state != MemberState::Dead)
            livePeers.push_back(peer.member);
    }
    std::shuffle(livePeers.begin(), livePeers.end(), m_random);
    if (livePeers.size() > count)
        livePeers.resize(count);
    return livePeers;
}

bool Membership::shouldPollInstanceList() const
{
    for (const auto& [name, peer] : m_peers) {
        bool reachable = peer.member.state == MemberState::Alive || peer.member.state == MemberState::Leaving;
        if (reachable && name < m_self.name)
            return false;
    }
    return true;
}

std::vector<OutgoingMembershipMessage> Membership::takeOutgoingMessages()
{
    sendGossip();
    return std::exchange(m_outgoing, {});
}

void Membership::send(const std::string& to, MembershipMessage message)
{
    // The endpoint of an unknown instance is left empty; the transport can still use a connection
    // that the instance opened.
    auto found = m_peers.find(to);
    auto endpoint = found == m_peers.end() ? Endpoint {} : found->second.member.peerEndpoint;
    if (to != m_self.name)
        m_outgoing.push_back({ .to = to, .endpoint = endpoint, .message = std::move(message) });
}

int Membership::transmissionsPerUpdate() const
{
    return m_options.transmissionsPerDoubling * static_cast<int>(std::bit_width(m_peers.size() + 1));
}

void Membership::disseminate(const Member& member)
{
    m_pendingUpdates[member.name] = { .member = member, .transmissionsLeft = transmissionsPerUpdate() };
    m_unsentUpdates.push_back(member);
    ++m_version;
}

/// Sends all updates since the last call in one message to a few random peers.
void Membership::sendGossip()
{
    if (m_unsentUpdates.empty())
        return;
    auto updates = std::exchange(m_unsentUpdates, {});
    for (const auto& member : randomLivePeers(static_cast<std::size_t>(m_options.gossipFanout)))
        send(member.name, Gossip { .updates = updates });
}

std::vector<Member> Membership::takePiggybackUpdates()
{
    std::vector<Member> updates;
    for (auto entry = m_pendingUpdates.begin(); entry != m_pendingUpdates.end() && updates.size() < m_options.maxUpdatesPerMessage;) {
        updates.push_back(entry->second.member);
        entry = --entry->second.transmissionsLeft <= 0 ? m_pendingUpdates.erase(entry) : std::next(entry);
    }
    return updates;
}

std::vector<std::string> Membership::ringSuccessors() const
{
    // Unsigned subtraction of the local weight wraps around, so the ring starts at this instance.
    auto localWeight = rendezvousWeight(m_self.name, ringKey);
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    for (const auto& [name, peer] : m_peers) {
        if (peer.member.state != MemberState::Dead)
            ring.emplace_back(rendezvousWeight(name, ringKey) - localWeight, name);
    }
    auto count = std::min(ring.size(), static_cast<std::size_t>(m_options.successorCount));
    std::partial_sort(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(count), ring.end());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(ring[i].second);
    return names;
}

void Membership::onTick(TimePoint now)
{
    checkProbes(now);
    expirePeers(now);
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + m_options.probeInterval;
        probeNext(now);
    }
    if (now >= m_nextDigestAt) {
        m_nextDigestAt = now + m_options.digestInterval;
        for (const auto& member : randomLivePeers(1))
            send(member.name, ViewDigest { .digest = digest() });
    }
}

void Membership::probeNext(TimePoint now)
{
    auto successors = ringSuccessors();
    if (successors.empty())
        return;
    const auto& instance = successors[m_nextSuccessorIndex++ % successors.size()];
    auto sequence = ++m_lastSequence;
    m_probes[sequence] = { .instance = instance, .sentAt = now };
    send(instance, Ping { .sequence = sequence, .updates = takePiggybackUpdates(), .revision = m_configurationRevision });
}

/// When a direct probe times out, other peers probe the instance before it is suspected, since the
/// link between two healthy instances may fail.
void Membership::checkProbes(TimePoint now)
{
    std::vector<std::pair<std::uint64_t, Probe>> timedOut;
    for (const auto& [sequence, probe] : m_probes) {
        auto timeout = probe.indirect ? 3 * m_options.probeTimeout : m_options.probeTimeout;
        if (probe.sentAt + timeout <= now)
            timedOut.emplace_back(sequence, probe);
    }
    for (const auto& [sequence, probe] : timedOut) {
        if (!probe.requester.empty()) {
            m_probes.erase(sequence);
            continue;
        }
        if (!probe.indirect) {
            m_probes[sequence].indirect = true;
            requestIndirectProbes(probe, sequence);
            continue;
        }
        m_probes.erase(sequence);
        auto found = m_peers.find(probe.instance);
        bool unsuspected = found != m_peers.end() && (found->second.member.state == MemberState::Alive || found->second.member.state == MemberState::Leaving);
        if (!unsuspected)
            continue;
        ++m_suspicions;
        setState(found->second, MemberState::Suspect, now);
    }
}

void Membership::requestIndirectProbes(const Probe& probe, std::uint64_t sequence)
{
    for (const auto& prober : randomLivePeers(static_cast<std::size_t>(m_options.indirectProbeCount) + 1)) {
        if (prober.name != probe.instance)
            send(prober.name, PingRequest { .sequence = sequence, .instance = probe.instance });
    }
}

void Membership::expirePeers(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        auto& peer = entry->second;
        if (peer.member.state == MemberState::Suspect && peer.suspectSince + m_options.suspicionTimeout <= now)
            setState(peer, MemberState::Dead, now);
        bool retentionExpired = peer.member.state == MemberState::Dead && peer.deadSince + m_options.deadRetention <= now;
        entry = retentionExpired ? m_peers.erase(entry) : std::next(entry);
    }
}

void Membership::setState(Peer& peer, MemberState state, TimePoint now)
{
    peer.member.state = state;
    if (state == MemberState::Suspect)
        peer.suspectSince = now;
    if (state == MemberState::Dead)
        peer.deadSince = now;
    disseminate(peer.member);
}

/// A message from a suspect restarts its suspicion timeout on this instance. Only a higher
/// incarnation ends the suspicion everywhere, so the suspect is notified and raises its incarnation.
void Membership::restartSuspicion(const std::string& name, TimePoint now)
{
    auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.member.state != MemberState::Suspect)
        return;
    found->second.suspectSince = now;
    send(name, Gossip { .updates = { found->second.member } });
}

void Membership::refute(const Member& update)
{
    if (update.incarnation < m_self.incarnation || update.state <= m_self.state)
        return;
    m_self.incarnation = update.incarnation + 1;
    disseminate(m_self);
}

bool Membership::applyUpdate(const Member& update, TimePoint now)
{
    if (update.name == m_self.name) {
        refute(update);
        return false;
    }
    auto found = m_peers.find(update.name);
    if (found == m_peers.end()) {
        Peer peer { .member = update, .suspectSince = now, .deadSince = now };
        m_peers.emplace(update.name, std::move(peer));
        disseminate(update);
        return true;
    }
    auto& peer = found->second;
    if (!overrides(update, peer.member))
        return false;
    peer.member = update;
    setState(peer, update.state, now);
    return true;
}

void Membership::applyUpdates(const std::vector<Member>& updates, TimePoint now)
{
    for (const auto& member : updates)
        applyUpdate(member, now);
}

void Membership::onMessage(const std::string& from, const MembershipMessage& message, TimePoint now)
{
    std::visit([&](const auto& content) { handle(from, content, now); }, message);
}

void Membership::handle(const std::string& from, const Ping& ping, TimePoint now)
{
    applyUpdates(ping.updates, now);
    restartSuspicion(from, now);
    send(from, Ack { .sequence = ping.sequence, .updates = takePiggybackUpdates(), .revision = m_configurationRevision });
    // A sender that is unknown or considered dead receives the complete view.
    const auto* sender = find(from);
    if (!sender || sender->state == MemberState::Dead)
        send(from, ViewExchange { .members = members(), .reply = true });
}

void Membership::handle(const std::string& from, const Ack& ack, TimePoint now)
{
    applyUpdates(ack.updates, now);
    restartSuspicion(from, now);
    auto found = m_probes.find(ack.sequence);
    if (found == m_probes.end() || found->second.instance != from)
        return;
    if (!found->second.requester.empty())
        send(found->second.requester, IndirectAck { .sequence = found->second.requesterSequence, .instance = from });
    m_probes.erase(found);
}

void Membership::handle(const std::string& from, const PingRequest& request, TimePoint now)
{
    auto sequence = ++m_lastSequence;
    m_probes[sequence] = { .instance = request.instance, .sentAt = now, .requester = from, .requesterSequence = request.sequence };
    send(request.instance, Ping { .sequence = sequence, .revision = m_configurationRevision });
}

void Membership::handle(const std::string&, const IndirectAck& ack, TimePoint)
{
    auto found = m_probes.find(ack.sequence);
    if (found != m_probes.end() && found->second.instance == ack.instance)
        m_probes.erase(found);
}

void Membership::handle(const std::string&, const Gossip& gossip, TimePoint now)
{
    applyUpdates(gossip.updates, now);
}

void Membership::handle(const std::string& from, const ViewDigest& message, TimePoint)
{
    if (message.digest != digest())
        send(from, ViewExchange { .members = members(), .reply = true });
}

void Membership::handle(const std::string& from, const ViewExchange& exchange, TimePoint now)
{
    applyUpdates(exchange.members, now);
    if (exchange.reply)
        send(from, ViewExchange { .members = members() });
}

/// The platform's list may be outdated, so a listed instance is not added but only contacted: it
/// receives a probe and this instance's view, and replies with its view if it is running.
void Membership::onInstanceList(const std::vector<Member>& listedMembers, TimePoint now)
{
    for (const auto& member : listedMembers) {
        if (member.name == m_self.name)
            continue;
        const auto* current = find(member.name);
        if (current && current->state != MemberState::Dead && current->peerEndpoint == member.peerEndpoint)
            continue;
        auto sequence = ++m_lastSequence;
        m_probes[sequence] = { .instance = member.name, .sentAt = now, .requester = m_self.name };
        m_outgoing.push_back({ .to = member.name, .endpoint = member.peerEndpoint, .message = Ping { .sequence = sequence, .updates = { m_self }, .revision = m_configurationRevision } });
        m_outgoing.push_back({ .to = member.name, .endpoint = member.peerEndpoint, .message = ViewExchange { .members = members(), .reply = true } });
    }
}

void Membership::announceLeaving(TimePoint)
{
    m_self.state = MemberState::Leaving;
    disseminate(m_self);
}

std::uint64_t Membership::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& member : members()) {
        if (member.state != MemberState::Dead)
            sum += stableHash(member.name, static_cast<std::uint64_t>(member.incarnation) * 4 + static_cast<std::uint64_t>(member.state));
    }
    return sum;
}

}
