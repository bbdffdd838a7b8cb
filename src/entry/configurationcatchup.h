#pragma once

#include "common/random.h"
#include "entry/storeschema.h"
#include "fleet/fleetview.h"
#include "fleet/storereplica.h"
#include "net/nettypes.h"
#include "routing/activeconfiguration.h"

namespace guavaspan {

struct ConfigurationCatchUpOptions {
    asio::io_context& io;
    std::string instance;
    const StoreSchema& schema;
    const FleetView& fleet;
    StoreReplica& replica;
    ActiveConfiguration& configuration;
    Random& random;
};

/// Takes from peers a configuration that is newer than the one in the store, which may have lost it.
class ConfigurationCatchUp {
public:
    explicit ConfigurationCatchUp(ConfigurationCatchUpOptions);

    /// Asks registered peers before the first listing of the store is applied, and puts a newer configuration into it.
    Awaitable<> completeFirstListing(StoreListing&);

    /// A peer has this version in force. Asks it if this instance has been behind its peers for longer than a configuration takes to
    /// spread.
    void onPeerVersion(const std::string& peer, std::int64_t version, TimePoint now);

private:
    Awaitable<std::optional<std::string>> fetchFrom(InstanceRecord peer, Milliseconds timeout);
    Awaitable<> takeFrom(InstanceRecord peer);
    std::vector<InstanceRecord> peersIn(const StoreListing&);

    ConfigurationCatchUpOptions m_options;
    std::optional<TimePoint> m_behindSince;
};

}
