#include "membership/membership.h"

#include "common/hash.h"

#include <algorithm>
#include <bit>

namespace guavaspan {

namespace {

    constexpr const char* ringKey = "membership-ring";

    bool overrides(const Member& fresh, const Member& known)
    {
        if (fresh.incarnation != known.incarnation)
            return fresh.incarnation > known.incarnation;
        return fresh.state > known.state;
    }

    bool mayOwn(const Member& member)
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
        if (mayOwn(member))
            names.push_back(member.name);
    }
    return names;
}

std::vector<std::string> Membership::aliveIn(const std::string& failureDomain) const
{
    std::vector<std::string> names;
    for (const auto& member : members()) {
        if (mayOwn(member) && member.failureDomain == failureDomain)
            names.push_back(member.name);
    }
    return names;
}

std::vector<Member> Membership::randomLivePeers(std::size_t count)
{
    std::vector<Member> alive;
    for (const auto& [name, peer] : m_peers) {
        if (peer.member.state != MemberState::Dead)
            alive.push_back(peer.member);
    }
    std::shuffle(alive.begin(), alive.end(), m_random);
    if (alive.size() > count)
        alive.resize(count);
    return alive;
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
    // A stranger's address is not known, but its connection may be open.
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

/// All that was learnt since the last send goes out in one message to a few.
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
    std::vector<Member> riding;
    for (auto entry = m_pendingUpdates.begin(); entry != m_pendingUpdates.end() && riding.size() < m_options.maxUpdatesPerMessage;) {
        riding.push_back(entry->second.member);
        entry = --entry->second.transmissionsLeft <= 0 ? m_pendingUpdates.erase(entry) : std::next(entry);
    }
    return riding;
}

std::vector<std::string> Membership::ringSuccessors() const
{
    auto own = rendezvousWeight(m_self.name, ringKey);
    std::vector<std::pair<std::uint64_t, std::string>> ring;
    for (const auto& [name, peer] : m_peers) {
        if (peer.member.state != MemberState::Dead)
            ring.emplace_back(rendezvousWeight(name, ringKey) - own, name);
    }
    auto count = std::min(ring.size(), static_cast<std::size_t>(m_options.successors));
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
    const auto& target = successors[m_nextSuccessorIndex++ % successors.size()];
    auto sequence = ++m_lastSequence;
    m_probes[sequence] = { .target = target, .sentAt = now };
    send(target, Ping { .sequence = sequence, .updates = takePiggybackUpdates(), .revision = m_configurationRevision });
}

/// A direct probe without answer is tried through others before anybody is
/// suspected, since a link between two may fail while both are well.
void Membership::checkProbes(TimePoint now)
{
    std::vector<std::pair<std::uint64_t, Probe>> late;
    for (const auto& [sequence, probe] : m_probes) {
        auto limit = probe.indirect ? 3 * m_options.probeTimeout : m_options.probeTimeout;
        if (probe.sentAt + limit <= now)
            late.emplace_back(sequence, probe);
    }
    for (const auto& [sequence, probe] : late) {
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
        auto found = m_peers.find(probe.target);
        bool trusted = found != m_peers.end() && (found->second.member.state == MemberState::Alive || found->second.member.state == MemberState::Leaving);
        if (!trusted)
            continue;
        ++m_suspicions;
        setState(found->second, MemberState::Suspect, now);
    }
}

void Membership::requestIndirectProbes(const Probe& probe, std::uint64_t sequence)
{
    for (const auto& helper : randomLivePeers(static_cast<std::size_t>(m_options.helpers) + 1)) {
        if (helper.name != probe.target)
            send(helper.name, PingRequest { .sequence = sequence, .target = probe.target });
    }
}

void Membership::expirePeers(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        auto& peer = entry->second;
        if (peer.member.state == MemberState::Suspect && peer.suspectSince + m_options.suspicionTimeout <= now)
            setState(peer, MemberState::Dead, now);
        bool forgotten = peer.member.state == MemberState::Dead && peer.deadSince + m_options.deadRetention <= now;
        entry = forgotten ? m_peers.erase(entry) : std::next(entry);
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

/// Direct evidence clears a suspicion here; elsewhere only a higher incarnation does,
/// and the suspect raises it when it hears what is said of it.
void Membership::alive(const std::string& name, TimePoint now)
{
    auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.member.state != MemberState::Suspect)
        return;
    found->second.suspectSince = now;
    send(name, Gossip { .updates = { found->second.member } });
}

void Membership::refute(const Member& claim)
{
    if (claim.incarnation < m_self.incarnation || claim.state <= m_self.state)
        return;
    m_self.incarnation = claim.incarnation + 1;
    disseminate(m_self);
}

bool Membership::applyUpdate(const Member& fresh, TimePoint now)
{
    if (fresh.name == m_self.name) {
        refute(fresh);
        return false;
    }
    auto found = m_peers.find(fresh.name);
    if (found == m_peers.end()) {
        Peer peer { .member = fresh, .suspectSince = now, .deadSince = now };
        m_peers.emplace(fresh.name, std::move(peer));
        disseminate(fresh);
        return true;
    }
    auto& peer = found->second;
    if (!overrides(fresh, peer.member))
        return false;
    peer.member = fresh;
    setState(peer, fresh.state, now);
    return true;
}

void Membership::applyUpdates(const std::vector<Member>& updates, TimePoint now)
{
    for (const auto& member : updates)
        applyUpdate(member, now);
}

void Membership::onMessage(const std::string& from, const MembershipMessage& message, TimePoint now)
{
    std::visit([&](const auto& each) { handle(from, each, now); }, message);
}

void Membership::handle(const std::string& from, const Ping& ping, TimePoint now)
{
    applyUpdates(ping.updates, now);
    alive(from, now);
    send(from, Ack { .sequence = ping.sequence, .updates = takePiggybackUpdates(), .revision = m_configurationRevision });
    // A stranger or somebody taken for dead is shown the whole view.
    const auto* known = find(from);
    if (!known || known->state == MemberState::Dead)
        send(from, ViewExchange { .members = members(), .reply = true });
}

void Membership::handle(const std::string& from, const Ack& ack, TimePoint now)
{
    applyUpdates(ack.updates, now);
    alive(from, now);
    auto found = m_probes.find(ack.sequence);
    if (found == m_probes.end() || found->second.target != from)
        return;
    if (!found->second.requester.empty())
        send(found->second.requester, IndirectAck { .sequence = found->second.requesterSequence, .target = from });
    m_probes.erase(found);
}

void Membership::handle(const std::string& from, const PingRequest& request, TimePoint now)
{
    auto sequence = ++m_lastSequence;
    m_probes[sequence] = { .target = request.target, .sentAt = now, .requester = from, .requesterSequence = request.sequence };
    send(request.target, Ping { .sequence = sequence, .revision = m_configurationRevision });
}

void Membership::handle(const std::string&, const IndirectAck& ack, TimePoint)
{
    auto found = m_probes.find(ack.sequence);
    if (found != m_probes.end() && found->second.target == ack.target)
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

/// The list lags, so it only says whom to ask: a probe with our own view, to
/// which whoever is there answers with its own.
void Membership::onInstanceList(const std::vector<Member>& listed, TimePoint now)
{
    for (const auto& member : listed) {
        if (member.name == m_self.name)
            continue;
        const auto* known = find(member.name);
        if (known && known->state != MemberState::Dead && known->peerEndpoint == member.peerEndpoint)
            continue;
        auto sequence = ++m_lastSequence;
        m_probes[sequence] = { .target = member.name, .sentAt = now, .requester = m_self.name };
        m_outgoing.push_back({ .to = member.name, .endpoint = member.peerEndpoint, .message = Ping { .sequence = sequence, .updates = { m_self }, .revision = m_configurationRevision } });
        m_outgoing.push_back({ .to = member.name, .endpoint = member.peerEndpoint, .message = ViewExchange { .members = members(), .reply = true } });
    }
}

void Membership::leave(TimePoint)
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
