#pragma once

#include "placement/fleetlink.h"
#include "quarantine/itrials.h"

#include <unordered_map>

namespace guavaspan {

/// Starts this instance's trials at the owner of the service, which keeps those of all instances apart, and keeps the
/// trials of the services that this instance owns. If no owner answers, this instance decides by the trials that it knows.
class TrialClient : public ITrials {
public:
    TrialClient(asio::io_context&, std::string instance, FleetView&, FleetLink&);

    Awaitable<TrialDecision> start(std::uint64_t number, std::string service, Trial, std::weak_ptr<const void> holder) override;
    void end(std::uint64_t number, TrialEnd) override;

    void onQuery(const TrialQuery&, TimePoint now);
    void onResponse(const TrialResponse&);
    void onRelease(const TrialRelease&, TimePoint now);

    /// Repeats the trials that run, so that their owners keep them.
    void onTick(TimePoint now);

private:
    struct RunningTrial {
        std::string service;
        Trial trial;
        std::string owner;
        std::weak_ptr<const void> holder;
        TimePoint repeatedAt;
    };
    struct PendingQuery {
        explicit PendingQuery(asio::io_context& io)
            : wakeUp(io)
        {
        }
        asio::steady_timer wakeUp;
        std::optional<TrialDecision> decision;
    };

    Awaitable<std::optional<TrialDecision>> queryOwner(std::string owner, std::uint64_t number, const Trial&);
    void repeat(std::uint64_t number, RunningTrial&, TimePoint now);
    bool runsTrialOf(const std::vector<Suspect>&) const;
    TrialId idOf(std::uint64_t number) const { return { .instance = m_instance, .incarnation = m_incarnation, .number = number }; }

    asio::io_context& m_io;
    std::string m_instance;
    std::int64_t m_incarnation;
    FleetView& m_fleet;
    FleetLink& m_link;
    /// Trials of the services that this instance owns.
    TrialLedger m_ledger;
    std::unordered_map<std::uint64_t, RunningTrial> m_running;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingQuery>> m_pending;
};

}
