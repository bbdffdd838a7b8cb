#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"
#include "routing/activeconfiguration.h"

#include <map>

namespace guavaspan {

/// Places the requests of peers for pools that this instance owns, in one waiting queue for the whole fleet.
class PlacementServer {
public:
    PlacementServer(asio::io_context&, std::string instance, Dispatcher&, ActiveConfiguration&, FleetLink&);

    void onQuery(const PlacementQuery&);
    void onRelease(const PlacementRelease&);

    /// Drops the local load estimate of grants that the peer's report now includes.
    void onLoadReport(const InstanceLoadReport&);

    /// Removes waiting queries that requesters no longer repeat and granted ones past their timeout.
    void onTick(TimePoint now);

    std::size_t queryCount() const { return m_queries.size(); }

private:
    struct QueryKey {
        std::string requester;
        std::int64_t incarnation = 0;
        WorkId id = 0;

        friend auto operator<=>(const QueryKey&, const QueryKey&) = default;
    };
    struct TrackedQuery {
        WorkId workId = 0;
        PlacementResponse response;
        TimePoint lastReceived;
        /// The requester's load reports include this work.
        bool reported = false;
    };

    static bool returnsGrant(const PlacementQuery&, const TrackedQuery&);
    Awaitable<> decide(QueryKey, PlacementRequest);
    void removeQuery(std::map<QueryKey, TrackedQuery>::iterator);

    asio::io_context& m_io;
    std::string m_instance;
    Dispatcher& m_dispatcher;
    ActiveConfiguration& m_configuration;
    FleetLink& m_link;
    std::map<QueryKey, TrackedQuery> m_queries;
    std::map<std::string, std::int64_t> m_lastGrantNumbers;
};

}
