#include "bench/fleetexperiment.h"

#include "common/random.h"
#include "fleet/fleetview.h"
#include "placement/placementmessages.h"
#include "placement/summaryrounds.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <optional>

namespace guavaspan::bench {

namespace {

    constexpr auto tickInterval = Milliseconds(100);
    constexpr auto reportInterval = Milliseconds(500);
    /// Pause between two restarts of a rolling restart.
    constexpr auto restartInterval = Milliseconds(20);
    constexpr auto returnDelay = Milliseconds(3000);
    constexpr int addedInstances = 60;
    /// Time for the instances to find each other, which is not measured.
    constexpr auto startTime = Milliseconds(3000);
    constexpr const char* service = "writer";

    struct Traffic {
        std::int64_t messages = 0;
        std::int64_t bytes = 0;
    };

    struct Instance {
        Instance(InstanceRecord instanceRecord, int reportPhase)
            : record(std::move(instanceRecord))
            , view(record.name, record.cpuMillicores, record.failureDomain)
            , phase(reportPhase)
        {
        }

        InstanceRecord record;
        FleetView view;
        std::optional<SummaryRounds> rounds { std::in_place, view, 0 };
        std::int64_t sequence = 0;
        std::vector<std::string> reportedAggregators;
        /// Tick within the report interval at which this instance reports.
        int phase = 0;
        bool alive = true;
        Traffic traffic;

        /// A new process, which knows the registrations only.
        void restart(const std::vector<std::unique_ptr<Instance>>& fleet, TimePoint now)
        {
            view = FleetView(record.name, record.cpuMillicores, record.failureDomain);
            rounds.emplace(view, std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count());
            reportedAggregators.clear();
            for (const auto& peer : fleet)
                view.onRegistered(peer->record.name, peer->record, now);
        }
    };

    class FleetExperiment {
    public:
        explicit FleetExperiment(FleetExperimentOptions options)
            : m_options(options)
            , m_random(options.seed)
        {
            for (int number = 0; number < m_options.instances; ++number)
                m_instances.push_back(makeInstance(number));
            for (const auto& instance : m_instances) {
                for (const auto& peer : m_instances)
                    instance->view.onRegistered(peer->record.name, peer->record, m_now);
            }
        }

        FleetExperimentResult run()
        {
            auto begin = m_now;
            for (int tick = 0; m_now < begin + m_options.length; ++tick, m_now += tickInterval) {
                if (m_now == begin + startTime)
                    resetTraffic();
                if (m_options.fault != FleetFault::None && m_now == begin + m_options.faultAt)
                    injectFault();
                for (const auto& instance : m_instances) {
                    if (instance->alive)
                        tickInstance(*instance, tick);
                }
                if (m_faultAt)
                    continueFault();
                if (m_faultAt)
                    checkDetection();
                else if (m_now > begin + startTime)
                    checkViews();
            }
            return summarise();
        }

    private:
        std::unique_ptr<Instance> makeInstance(int number)
        {
            int domain = number % m_options.failureDomains;
            bool strong = number / m_options.failureDomains < m_options.strongPerDomain;
            InstanceRecord record { .name = fmt::format("entry-{}", number), .failureDomain = fmt::format("d{}", domain), .cpuMillicores = strong ? 500 : 125, .readsSummaries = m_options.summaries };
            return std::make_unique<Instance>(std::move(record), static_cast<int>(m_random() % (reportInterval / tickInterval)));
        }

        Instance& named(const std::string& name)
        {
            return *m_instances[static_cast<std::size_t>(std::stoi(name.substr(name.find('-') + 1)))];
        }

        bool arrives(const Instance& sender, const Instance& receiver)
        {
            bool muted = m_faultAt && m_options.fault == FleetFault::DomainMuted && isAffected(sender) && !isAffected(receiver);
            bool lost = m_options.loss > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss;
            return receiver.alive && !muted && !lost;
        }

        void count(Instance& instance, std::size_t bytes)
        {
            ++instance.traffic.messages;
            instance.traffic.bytes += static_cast<std::int64_t>(bytes);
        }

        void tickInstance(Instance& instance, int tick)
        {
            instance.view.onTick(m_now);
            bool reports = tick % (reportInterval / tickInterval) == instance.phase;
            if (reports || instance.view.ownAggregators() != instance.reportedAggregators)
                report(instance);
            if (reports || instance.rounds->isDue(m_now))
                summarise(instance);
        }

        void report(Instance& instance)
        {
            InstanceLoadReport report { .instance = instance.record.name, .sequence = ++instance.sequence, .relaysForPeers = true, .storeEra = 1, .configurationVersion = 1, .aggregators = instance.view.ownAggregators() };
            report.loads.emplace("engine", TargetLoad { .requests = 1, .tokens = 2000 });
            instance.view.takeUnresponsivePeers(m_now);
            auto bytes = encodeFleetMessage(report).size();
            for (const auto& name : instance.view.reportRecipients(m_now)) {
                auto& receiver = named(name);
                count(instance, bytes);
                if (!arrives(instance, receiver))
                    continue;
                count(receiver, bytes);
                if (!receiver.view.onReport(report, m_now))
                    continue;
                if (auto summary = receiver.rounds->onReport(report, m_now))
                    sendSummary(receiver, instance, *summary);
            }
            instance.reportedAggregators = report.aggregators;
        }

        void sendSummary(Instance& sender, Instance& member, const FleetSummary& summary)
        {
            auto bytes = encodeFleetMessage(summary).size();
            count(sender, bytes);
            if (!arrives(sender, member))
                return;
            count(member, bytes);
            member.view.onSummary(summary, m_now);
        }

        void summarise(Instance& instance)
        {
            for (const auto& [name, summary] : instance.rounds->begin(m_now))
                sendSummary(instance, named(name), summary);
        }

        void resetTraffic()
        {
            for (const auto& instance : m_instances)
                instance->traffic = {};
            m_measuredSince = m_now;
        }

        std::string owner() { return m_instances.back()->view.ownerOf(service, {}, m_now); }

        void injectFault()
        {
            m_measuredTraffic = measure();
            m_faultAt = m_now;
            if (m_options.fault == FleetFault::OwnerEnds || m_options.fault == FleetFault::OwnerReturns)
                m_affected.insert(owner());
            if (m_options.fault == FleetFault::OtherEnds)
                m_affected.insert(m_instances.back()->record.name);
            for (const auto& instance : m_instances) {
                if (m_options.fault == FleetFault::HalfEnds && m_random() % 2 == 0)
                    m_affected.insert(instance->record.name);
                if (m_options.fault == FleetFault::DomainMuted && instance->record.failureDomain == "d0")
                    m_affected.insert(instance->record.name);
            }
            if (m_options.fault == FleetFault::SixtyAdded)
                addInstances();
            for (const auto& name : m_affected)
                named(name).alive = m_options.fault == FleetFault::DomainMuted;
        }

        void addInstances()
        {
            for (int added = 0; added < addedInstances; ++added)
                m_instances.push_back(makeInstance(static_cast<int>(m_instances.size())));
            for (std::size_t number = 0; number < m_instances.size(); ++number) {
                auto& instance = *m_instances[number];
                bool isNew = number + addedInstances >= m_instances.size();
                if (isNew)
                    instance.restart(m_instances, m_now);
                for (std::size_t added = m_instances.size() - addedInstances; !isNew && added < m_instances.size(); ++added)
                    instance.view.onRegistered(m_instances[added]->record.name, m_instances[added]->record, m_now);
            }
        }

        /// Restarts as many instances as are due, and notes the busiest second.
        void continueFault()
        {
            bool all = m_options.fault == FleetFault::AllRestart;
            bool rolling = m_options.fault == FleetFault::RollingRestart;
            for (auto due = static_cast<std::size_t>((m_now - *m_faultAt) / restartInterval) + 1; (all || (rolling && m_restarted < due)) && m_restarted < m_instances.size(); ++m_restarted)
                m_instances[m_restarted]->restart(m_instances, m_now);
            if (m_options.fault == FleetFault::OwnerReturns && !m_restartsEndedAt && m_now >= *m_faultAt + returnDelay)
                returnOwner();
            auto second = static_cast<std::size_t>((m_now - *m_faultAt) / Seconds(1));
            m_messagesBySecond.resize(second + 1, messageCount());
        }

        void returnOwner()
        {
            auto& owner = named(*m_affected.begin());
            m_affected.clear();
            m_restartsEndedAt = m_now;
            owner.alive = true;
            owner.restart(m_instances, m_now);
            for (const auto& instance : m_instances)
                instance->view.onRegistered(owner.record.name + "/2", owner.record, m_now);
        }

        std::int64_t messageCount() const
        {
            std::int64_t messages = 0;
            for (const auto& instance : m_instances)
                messages += instance->traffic.messages;
            return messages / 2;
        }

        bool restartsGoOn() const { return m_options.fault == FleetFault::RollingRestart && m_restarted < m_instances.size(); }

        bool isAffected(const Instance& instance) const { return m_affected.contains(instance.record.name); }

        /// All others take the affected instances to be silent, and none of the rest.
        bool isDetectedBy(const Instance& instance) const
        {
            return !m_affected.contains(instance.view.ownerOf(service, {}, m_now)) && instance.view.silentInstances(m_now) == m_affected;
        }

        /// In a very large fleet every eighth instance is checked.
        bool allCheckedDetect() const
        {
            constexpr std::size_t maxChecked = 400;
            std::size_t step = m_instances.size() > maxChecked ? 8 : 1;
            for (std::size_t number = 0; number < m_instances.size(); number += step) {
                const auto& instance = *m_instances[number];
                if (!isAffected(instance) && !isDetectedBy(instance))
                    return false;
            }
            return true;
        }

        void checkDetection()
        {
            bool detected = !restartsGoOn() && agreeOnOwner() && allCheckedDetect();
            if (restartsGoOn())
                m_restartsEndedAt = m_now;
            if (!detected)
                m_detectedAt.reset();
            else if (!m_detectedAt)
                m_detectedAt = m_now;
        }

        bool agreeOnOwner() const
        {
            std::set<std::string> owners;
            for (const auto& instance : m_instances) {
                if (!isAffected(*instance))
                    owners.insert(instance->view.ownerOf(service, {}, m_now));
            }
            return owners.size() == 1;
        }

        void checkViews()
        {
            for (const auto& instance : m_instances)
                m_falselySilent += static_cast<int>(instance->view.silentInstances(m_now).size());
            m_ownerDisagreements += agreeOnOwner() ? 0 : 1;
        }

        FleetExperimentResult measure()
        {
            double seconds = secondsBetween(m_measuredSince, m_now);
            FleetExperimentResult result;
            std::vector<double> rates;
            std::int64_t bytes = 0;
            std::int64_t messages = 0;
            for (const auto& instance : m_instances) {
                messages += instance->traffic.messages;
                bytes += instance->traffic.bytes;
                rates.push_back(static_cast<double>(instance->traffic.messages) / seconds);
            }
            std::sort(rates.begin(), rates.end());
            // Each message is counted where it is sent and where it arrives.
            result.messagesPerSecond = static_cast<double>(messages) / 2 / seconds;
            result.bytesPerSecond = static_cast<double>(bytes) / 2 / seconds;
            result.mostMessagesPerSecond = rates.back();
            result.medianMessagesPerSecond = rates[rates.size() / 2];
            return result;
        }

        FleetExperimentResult summarise()
        {
            auto result = m_faultAt ? m_measuredTraffic : measure();
            result.falselySilent = m_falselySilent;
            result.ownerDisagreements = m_ownerDisagreements;
            if (m_faultAt && m_detectedAt)
                result.detectionTime = std::chrono::duration_cast<Milliseconds>(*m_detectedAt - m_restartsEndedAt.value_or(*m_faultAt));
            for (std::size_t second = 1; second < m_messagesBySecond.size(); ++second)
                result.peakMessagesPerSecond = std::max(result.peakMessagesPerSecond, static_cast<double>(m_messagesBySecond[second] - m_messagesBySecond[second - 1]));
            return result;
        }

        FleetExperimentOptions m_options;
        Random m_random;
        TimePoint m_now { Seconds(100) };
        TimePoint m_measuredSince;
        std::vector<std::unique_ptr<Instance>> m_instances;
        std::optional<TimePoint> m_faultAt;
        std::optional<TimePoint> m_detectedAt;
        std::optional<TimePoint> m_restartsEndedAt;
        std::size_t m_restarted = 0;
        /// Messages up to the begin of each second after the fault.
        std::vector<std::int64_t> m_messagesBySecond;
        std::set<std::string> m_affected;
        FleetExperimentResult m_measuredTraffic;
        int m_falselySilent = 0;
        int m_ownerDisagreements = 0;
    };

    void printTraffic(int instances, bool summaries)
    {
        auto result = runFleetExperiment({ .instances = instances, .summaries = summaries, .length = Milliseconds(5000) });
        fmt::print("{:>9}  {:<11} {:>12.0f} {:>12.1f} {:>14.1f} {:>14.1f}\n", instances, summaries ? "aggregators" : "all to all", result.messagesPerSecond, result.bytesPerSecond / instances / 1000, result.medianMessagesPerSecond, result.mostMessagesPerSecond);
        std::fflush(stdout);
    }

    void printDetection(int instances, bool summaries)
    {
        fmt::print("{:>9}  {:<11}", instances, summaries ? "aggregators" : "all to all");
        for (auto fault : { FleetFault::OwnerEnds, FleetFault::OtherEnds, FleetFault::HalfEnds, FleetFault::DomainMuted }) {
            auto result = runFleetExperiment({ .instances = instances, .summaries = summaries, .fault = fault });
            fmt::print(" {:>6} ms ({})", result.detectionTime.count(), toString(fault));
        }
        fmt::print("\n");
        std::fflush(stdout);
    }

    void printRecovery(int instances)
    {
        fmt::print("{:>9}", instances);
        for (auto fault : { FleetFault::OwnerReturns, FleetFault::AllRestart, FleetFault::RollingRestart, FleetFault::SixtyAdded }) {
            auto result = runFleetExperiment({ .instances = instances, .fault = fault, .length = Milliseconds(14000) + instances * restartInterval });
            fmt::print("  {}: {} ms, {:.0f} messages in the busiest second", toString(fault), result.detectionTime.count(), result.peakMessagesPerSecond);
        }
        fmt::print("\n");
    }

}

std::string_view toString(FleetFault fault)
{
    switch (fault) {
    case FleetFault::None:
        return "none";
    case FleetFault::OwnerEnds:
        return "owner ends";
    case FleetFault::OtherEnds:
        return "other ends";
    case FleetFault::HalfEnds:
        return "half ends";
    case FleetFault::DomainMuted:
        return "domain muted";
    case FleetFault::OwnerReturns:
        return "owner returns";
    case FleetFault::AllRestart:
        return "all restart";
    case FleetFault::RollingRestart:
        return "rolling restart";
    case FleetFault::SixtyAdded:
        return "sixty added";
    }
    return "none";
}

FleetExperimentResult runFleetExperiment(const FleetExperimentOptions& options)
{
    return FleetExperiment(options).run();
}

int runFleet()
{
    fmt::print("reports and summaries in virtual time\n");
    fmt::print("{:>9}  {:<11} {:>12} {:>12} {:>14} {:>14}\n", "instances", "", "messages/s", "KB/s each", "median each/s", "most each/s");
    for (int instances : { 30, 100, 300 }) {
        for (bool summaries : { false, true })
            printTraffic(instances, summaries);
    }
    printTraffic(1600, true);
    fmt::print("time until all others know that instances have gone silent\n");
    for (int instances : { 30, 100, 300 }) {
        for (bool summaries : { false, true })
            printDetection(instances, summaries);
    }
    printDetection(1600, true);
    fmt::print("time until all agree again\n");
    for (int instances : { 60, 300 })
        printRecovery(instances);
    return 0;
}

}
