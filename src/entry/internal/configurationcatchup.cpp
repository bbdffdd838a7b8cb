#include "entry/configurationcatchup.h"

#include "common/log.h"
#include "fleet/peerfeed.h"
#include "net/eventloop.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Longer than a configuration takes from one instance to all others by way of the store.
    constexpr auto spreadTime = Milliseconds(1000);
    /// Peers that a new instance asks, and the time for each answer.
    constexpr std::size_t peersAskedAtStart = 2;
    constexpr auto startQueryTimeout = Milliseconds(200);

}

ConfigurationCatchUp::ConfigurationCatchUp(ConfigurationCatchUpOptions options)
    : m_options(std::move(options))
{
}

std::vector<InstanceRecord> ConfigurationCatchUp::peersIn(const StoreListing& listing)
{
    std::vector<InstanceRecord> peers;
    for (const auto& entry : listing.entries) {
        auto record = entry.key.starts_with(m_options.schema.instancePrefix) ? decodeInstanceRecord(entry.value) : std::nullopt;
        if (record && record->name != m_options.instance)
            peers.push_back(std::move(*record));
    }
    return peers;
}

/// A store that came back from a copy may have an older configuration until the operator writes again; instances that ran
/// before know the newer one, and the keys that it revokes.
Awaitable<> ConfigurationCatchUp::completeFirstListing(StoreListing& listing)
{
    const auto& schema = m_options.schema;
    auto configuration = std::find_if(listing.entries.begin(), listing.entries.end(), [&](const KeyValueEntry& entry) { return entry.key == schema.configurationKey; });
    bool mayBeRestored = listing.revision.era > 0;
    if (!mayBeRestored || configuration == listing.entries.end())
        co_return;
    auto peers = peersIn(listing);
    std::shuffle(peers.begin(), peers.end(), m_options.random);
    peers.resize(std::min(peers.size(), peersAskedAtStart));
    for (const auto& peer : peers) {
        auto offered = co_await fetchFrom(peer, startQueryTimeout);
        if (!offered || schema.compareWriteOrder(configuration->key, *offered, configuration->value) != std::strong_ordering::greater)
            continue;
        logEvent(LogLevel::Warning, "peer_has_newer_configuration", { { "peer", peer.name }, { "era", listing.revision.era }, { "revision", listing.revision.number } });
        configuration->value = std::move(*offered);
    }
}

Awaitable<std::optional<std::string>> ConfigurationCatchUp::fetchFrom(InstanceRecord peer, Milliseconds timeout)
{
    PeerFeedClient client(peer.peerEndpoint, timeout);
    auto offered = co_await client.listAll(m_options.schema.configurationKey);
    if (!offered) {
        logEvent(LogLevel::Info, "peer_configuration_not_read", { { "peer", peer.name }, { "detail", describe(offered.error()) } });
        co_return std::nullopt;
    }
    for (auto& entry : offered->entries) {
        if (entry.key == m_options.schema.configurationKey)
            co_return std::move(entry.value);
    }
    co_return std::nullopt;
}

void ConfigurationCatchUp::onPeerVersion(const std::string& peer, std::int64_t version, TimePoint now)
{
    auto& configuration = m_options.configuration;
    configuration.onVersionKnown(version);
    if (!configuration.knowsNewerVersion()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const auto* record = m_options.fleet.find(peer);
    bool peerIsAhead = version > configuration.version();
    if (!record || !peerIsAhead || now < *m_behindSince + spreadTime)
        return;
    m_behindSince = now;
    logEvent(LogLevel::Warning, "peer_has_newer_configuration", { { "peer", peer }, { "version", version }, { "in_force", configuration.version() } });
    asio::co_spawn(m_options.io, takeFrom(*record), reportFailedHandler);
}

Awaitable<> ConfigurationCatchUp::takeFrom(InstanceRecord peer)
{
    auto offered = co_await fetchFrom(std::move(peer), PeerFeedClient::defaultListTimeout);
    if (offered)
        m_options.replica.adoptNewer(m_options.schema.configurationKey, *offered);
}

}
