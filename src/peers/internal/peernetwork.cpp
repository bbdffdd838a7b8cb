#include "peers/peernetwork.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"
#include "net/eventloop.h"

#include <algorithm>

namespace guavaspan {

namespace {

    constexpr auto tickInterval = Milliseconds(50);
    constexpr auto idleCheckInterval = Seconds(10);
    constexpr std::size_t announceFanout = 4;
    constexpr std::size_t watchersPerFailureDomain = 2;

}

PeerNetwork::PeerNetwork(asio::io_context& context, PeerNetworkOptions options, ConfigurationHolder& configuration, Random random)
    : m_context(context)
    , m_options(std::move(options))
    , m_configuration(configuration)
    , m_random(random)
    , m_transport(context, { .name = m_options.name, .key = m_options.key }, [this](const std::string& from, const std::string& payload) { onPayload(from, payload); })
{
    auto processIncarnation = unixMilliseconds();
    Member self { .name = m_options.name, .incarnation = processIncarnation, .processIncarnation = processIncarnation, .failureDomain = m_options.failureDomain };
    m_membership.emplace(m_options.membership, std::move(self), m_random);
    m_ownerCandidates = currentOwnerCandidates();
}

Result<Endpoint> PeerNetwork::start(const Endpoint& callerEndpoint)
{
    auto port = m_transport.listen(m_options.listen.address, m_options.listen.port);
    if (port == 0)
        return Error { .code = ErrorCode::Unavailable, .step = Step::Peer, .peer = toString(m_options.listen), .detail = "cannot listen for peer connections" };
    Endpoint bound { .address = m_options.listen.address, .port = port };
    auto processIncarnation = unixMilliseconds();
    Member self { .name = m_options.name, .incarnation = processIncarnation, .processIncarnation = processIncarnation, .peerEndpoint = bound, .callerEndpoint = callerEndpoint, .failureDomain = m_options.failureDomain };
    m_membership.emplace(m_options.membership, std::move(self), m_random);
    asio::co_spawn(m_context, tickLoop(), reportFailedHandler);
    return bound;
}

Awaitable<> PeerNetwork::tickLoop()
{
    auto nextIdleCheck = Clock::now() + idleCheckInterval;
    while (true) {
        co_await sleepFor(tickInterval);
        m_membership->onTick(Clock::now());
        flush();
        if (Clock::now() < nextIdleCheck)
            continue;
        m_transport.closeIdle();
        nextIdleCheck = Clock::now() + idleCheckInterval;
    }
}

bool PeerNetwork::transmit(const std::string& to, const Endpoint& endpoint, const PeerMessage& message)
{
    return m_transport.send(to, endpoint.address, endpoint.port, encodePeerMessage(message));
}

void PeerNetwork::flush()
{
    for (const auto& outgoing : m_membership->takeOutgoingMessages())
        transmit(outgoing.to, outgoing.endpoint, outgoing.message);
    for (const auto& outgoing : m_configurationPropagator.takeOutgoingMessages()) {
        const auto* member = m_membership->find(outgoing.to);
        transmit(outgoing.to, member ? member->peerEndpoint : Endpoint {}, outgoing.message);
    }
    if (m_membership->version() == m_processedMembershipVersion)
        return;
    m_processedMembershipVersion = m_membership->version();
    auto owners = currentOwnerCandidates();
    if (owners == m_ownerCandidates)
        return;
    logEvent(LogLevel::Info, "owners_changed", { { "count", std::int64_t(owners.size()) } });
    m_ownerCandidates = std::move(owners);
    if (m_ownersChangedListener)
        m_ownersChangedListener();
}

void PeerNetwork::onPayload(const std::string& from, const std::string& payload)
{
    auto message = decodePeerMessage(payload);
    if (!message) {
        logEvent(LogLevel::Warning, "peer_message_unreadable", { { "peer", from }, { "bytes", std::int64_t(payload.size()) } });
        return;
    }
    std::visit(Overloaded {
                   [&](const MembershipMessage& membershipMessage) {
                       m_membership->onMessage(from, membershipMessage, Clock::now());
                       reportRevision(from, membershipMessage);
                   },
                   [&](const PermitMessage& permitMessage) { m_permitReceiver(from, permitMessage); },
                   [&](const ConfigurationMessage& configurationMessage) { onConfigurationMessage(from, configurationMessage); },
                   [&](const QuarantineMessage& quarantineMessage) { m_quarantineReceiver(quarantineMessage); },
               },
        *message);
    flush();
}

void PeerNetwork::reportRevision(const std::string& from, const MembershipMessage& message)
{
    std::int64_t revision = 0;
    if (const auto* ping = std::get_if<Ping>(&message))
        revision = ping->revision;
    if (const auto* ack = std::get_if<Ack>(&message))
        revision = ack->revision;
    m_configurationPropagator.onRevisionReported(from, revision, m_configuration.record(), Clock::now());
}

void PeerNetwork::onConfigurationMessage(const std::string& from, const ConfigurationMessage& message)
{
    std::visit(Overloaded {
                   [&](const RevisionAnnouncement& announcement) { m_configurationPropagator.onRevisionReported(from, announcement.revision, m_configuration.record(), Clock::now()); },
                   [&](const RevisionRequest& request) { m_configurationPropagator.onRevisionRequest(from, request, m_configuration.record()); },
                   [&](const RevisionResponse& response) {
                       auto record = ConfigurationPropagator::assemble(response, m_configuration.record());
                       if (record)
                           m_configuration.adopt(*record);
                   },
               },
        message);
}

void PeerNetwork::announceConfiguration(std::int64_t revision)
{
    m_membership->setConfigurationRevision(revision);
    m_configurationPropagator.onAdopted(revision, randomPeers(announceFanout));
    flush();
}

void PeerNetwork::onInstanceList(const std::vector<Member>& listedMembers)
{
    m_membership->onInstanceList(listedMembers, Clock::now());
    flush();
}

void PeerNetwork::announceLeaving()
{
    m_membership->announceLeaving(Clock::now());
    flush();
}

std::map<std::string, std::int64_t> PeerNetwork::currentOwnerCandidates() const
{
    std::map<std::string, std::int64_t> candidates;
    for (const auto& name : m_membership->ownerCandidates())
        candidates[name] = m_membership->find(name)->processIncarnation;
    return candidates;
}

PoolOwner PeerNetwork::ownerOfKey(const std::string& key) const
{
    PoolOwner owner;
    std::uint64_t bestWeight = 0;
    for (const auto& [name, processIncarnation] : m_ownerCandidates) {
        auto weight = rendezvousWeight(name, key);
        if (owner.name.empty() || weight > bestWeight) {
            owner = { .name = name, .incarnation = processIncarnation };
            bestWeight = weight;
        }
    }
    return owner.name == m_options.name ? PoolOwner {} : owner;
}

PoolOwner PeerNetwork::ownerOf(const std::string& model) const
{
    return ownerOfKey("pool/" + model);
}

std::string PeerNetwork::quarantineOwnerOf(Fingerprint fingerprint) const
{
    return ownerOfKey("quarantine/" + hexOf(fingerprint)).name;
}

std::vector<std::string> PeerNetwork::randomPeers(std::size_t count)
{
    std::vector<std::string> names;
    for (const auto& member : m_membership->randomLivePeers(count))
        names.push_back(member.name);
    return names;
}

bool PeerNetwork::send(const std::string& instance, const PermitMessage& message)
{
    return sendTo(instance, message);
}

void PeerNetwork::send(const std::string& instance, const QuarantineMessage& message)
{
    sendTo(instance, message);
}

bool PeerNetwork::sendTo(const std::string& instance, const PeerMessage& message)
{
    const auto* member = m_membership->find(instance);
    if (!member || member->state == MemberState::Dead)
        return false;
    return transmit(instance, member->peerEndpoint, message);
}

bool PeerNetwork::isWatcher() const
{
    auto names = m_membership->aliveIn(m_options.failureDomain);
    auto key = "watcher/" + m_options.failureDomain;
    auto localWeight = rendezvousWeight(m_options.name, key);
    auto higherRanked = std::count_if(names.begin(), names.end(), [&](const std::string& name) { return rendezvousWeight(name, key) > localWeight; });
    return static_cast<std::size_t>(higherRanked) < watchersPerFailureDomain;
}

}
