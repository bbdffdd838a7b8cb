#pragma once

#include "dispatch/dispatcher.h"
#include "placement/fleetlink.h"

#include <memory>
#include <unordered_map>

namespace guavaspan {

/// Gets targets for this instance's requests: from the owner of the pool where
/// memory is short and shared, and by itself for plain services or without an owner.
class PlacementClient {
public:
    PlacementClient(asio::io_context&, std::string instance, FleetView&, Dispatcher&, TargetDirectory&, OutputEstimator&, FleetLink&);

    Awaitable<PlacementOutcome> place(PlacementRequest);

    /// Ends the wait of a request whose caller left.
    void cancel(WorkId);

    /// The work is over, or never began.
    void ended(WorkId);

    /// The work goes on at another target.
    void moved(WorkId, const std::string& target);

    void onAnswer(const PlacementResponse&);

    /// The instance that decides for a service's pool now; this one if no other can be reached.
    std::string ownerOf(const std::string& service);

    /// An owner did not answer.
    void suspect(const std::string& owner);

    std::int64_t incarnation() const { return m_incarnation; }

    /// Tells peers what changed, or everything.
    void sendLoadReport(bool complete);

    /// A peer's report.
    void onLoadReport(const InstanceLoadReport&, TimePoint now);

private:
    struct Pending {
        explicit Pending(asio::io_context& io)
            : wakeUp(io)
        {
        }
        asio::steady_timer wakeUp;
        std::optional<PlacementResponse> answer;
        bool cancelled = false;
    };

    Awaitable<std::optional<PlacementOutcome>> askOwner(const std::string& owner, const PlacementRequest&);
    std::optional<PlacementOutcome> settle(const std::string& owner, const PlacementRequest&, const PlacementResponse&, TimePoint askedAt);
    std::set<std::string> suspects(TimePoint now);

    asio::io_context& m_io;
    std::string m_instance;
    std::int64_t m_incarnation;
    FleetView& m_fleet;
    Dispatcher& m_dispatcher;
    TargetDirectory& m_directory;
    OutputEstimator& m_outputs;
    FleetLink& m_link;
    std::int64_t m_sequence;
    std::unordered_map<WorkId, std::shared_ptr<Pending>> m_pending;
    /// Who decided on a piece of work at an engine.
    std::unordered_map<WorkId, std::string> m_grantedBy;
    std::map<std::string, std::int64_t> m_grantsTaken;
    std::map<std::string, TimePoint> m_suspectUntil;
};

}
