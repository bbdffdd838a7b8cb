#pragma once

#include "configuration/configurationstore.h"
#include "membership/membership.h"
#include "peers/peermessage.h"
#include "peers/websockettransport.h"
#include "permits/ipermittransport.h"

namespace guavaspan {

struct PeerNetworkOptions {
    std::string name;
    std::string failureDomain;
    std::string key;
    Endpoint listen;
    MembershipOptions membership;
};

/// Exchanges messages with other instances and maintains this instance's membership view.
class PeerNetwork : public IPermitTransport, public IQuarantineTransport {
public:
    using PermitReceiver = std::function<void(const std::string& from, const PermitMessage&)>;

    PeerNetwork(asio::io_context&, PeerNetworkOptions, ConfigurationHolder&, Random);

    /// Starts to listen for peers and returns the bound endpoint; peers receive `callerEndpoint`.
    Result<Endpoint> start(const Endpoint& callerEndpoint);

    void onPermitMessage(PermitReceiver receiver) { m_permitReceiver = std::move(receiver); }
    void onQuarantineMessage(std::function<void(const QuarantineMessage&)> receiver) { m_quarantineReceiver = std::move(receiver); }
    void onOwnersChanged(std::function<void()> listener) { m_ownersChangedListener = std::move(listener); }

    void onInstanceList(const std::vector<Member>&);
    void announceLeaving();

    /// Announces to peers that this instance adopted a configuration.
    void announceConfiguration(std::int64_t revision);

    PoolOwner ownerOf(const std::string& model) const override;
    bool send(const std::string& instance, const PermitMessage&) override;
    std::string quarantineOwnerOf(Fingerprint) const override;
    void send(const std::string& instance, const QuarantineMessage&) override;
    std::vector<std::string> randomPeers(std::size_t count) override;

    /// True if this instance watches the key-value service for its failure domain.
    bool isWatcher() const;

    const Membership& membership() const { return *m_membership; }
    const TransportCounters& counters() const { return m_transport.counters(); }

private:
    Awaitable<> tickLoop();
    void onPayload(const std::string& from, const std::string& payload);
    void onConfigurationMessage(const std::string& from, const ConfigurationMessage&);
    void reportRevision(const std::string& from, const MembershipMessage&);
    /// Sends queued messages and notifies the listener if the owner candidates changed.
    void flush();
    std::map<std::string, std::int64_t> currentOwnerCandidates() const;
    PoolOwner ownerOfKey(const std::string& key) const;
    bool sendTo(const std::string& instance, const PeerMessage&);
    bool transmit(const std::string& to, const Endpoint&, const PeerMessage&);

    asio::io_context& m_context;
    PeerNetworkOptions m_options;
    ConfigurationHolder& m_configuration;
    ConfigurationPropagator m_configurationPropagator;
    Random m_random;
    std::optional<Membership> m_membership;
    WebSocketTransport m_transport;
    PermitReceiver m_permitReceiver;
    std::function<void(const QuarantineMessage&)> m_quarantineReceiver;
    std::function<void()> m_ownersChangedListener;
    std::map<std::string, std::int64_t> m_ownerCandidates;
    std::uint64_t m_processedMembershipVersion = 0;
};

}
