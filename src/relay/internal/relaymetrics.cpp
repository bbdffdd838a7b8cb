#include "relay/relaymetrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace guavaspan {

namespace {

    const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1, 1.5, 1.8, 2.5, 5, 10, 20, 40 };

    /// Organisations with time series of their own; the others share one, since each series costs memory for good.
    constexpr std::size_t maxOrganisations = 50;
    constexpr const char* otherOrganisations = "other";

    template <typename Builder>
    auto& family(Builder builder, const char* name, const char* help, prometheus::Registry& registry)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

}

struct RelayMetrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = family(prometheus::BuildCounter(), "guavaspan_entry_requests_total", "Ended requests by route and result", registry);
    prometheus::Family<prometheus::Counter>& cutRequests = family(prometheus::BuildCounter(), "guavaspan_entry_cut_requests_total", "Requests that a stop ended before their deadlines, by route", registry);
    prometheus::Family<prometheus::Histogram>& durations = family(prometheus::BuildHistogram(), "guavaspan_entry_request_seconds", "Time from a request to the end of its answer", registry);
    prometheus::Family<prometheus::Histogram>& firstEvents = family(prometheus::BuildHistogram(), "guavaspan_entry_first_event_seconds", "Time from a request to its first event", registry);
    prometheus::Family<prometheus::Histogram>& pauses = family(prometheus::BuildHistogram(), "guavaspan_entry_pause_seconds", "Time between events of one stream", registry);
    prometheus::Family<prometheus::Counter>& longPauses = family(prometheus::BuildCounter(), "guavaspan_entry_long_pauses_total", "Pauses of streams beyond the objectives of their routes, by the paces of their targets", registry);
    prometheus::Family<prometheus::Histogram>& waits = family(prometheus::BuildHistogram(), "guavaspan_entry_wait_seconds", "Time that requests waited for room", registry);
    prometheus::Family<prometheus::Counter>& admissions = family(prometheus::BuildCounter(), "guavaspan_entry_admissions_total", "Generations by route, organisation and outcome of their admission", registry);
    std::set<std::string> organisations;
    prometheus::Family<prometheus::Counter>& retries = family(prometheus::BuildCounter(), "guavaspan_entry_retries_total", "Repeats by service and cause; denied ones had no budget left", registry);
    prometheus::Family<prometheus::Counter>& resumes = family(prometheus::BuildCounter(), "guavaspan_entry_stream_moves_total", "Streams that went on elsewhere, by result", registry);
    prometheus::Family<prometheus::Counter>& steps = family(prometheus::BuildCounter(), "guavaspan_entry_handover_steps_total", "Calls that move generations, by phase and result", registry);
    prometheus::Family<prometheus::Counter>& unframedAnswers = family(prometheus::BuildCounter(), "guavaspan_entry_unframed_answers_total", "Answers of targets that end with their connections, by how these ended", registry);
    prometheus::Family<prometheus::Counter>& streamEnds = family(prometheus::BuildCounter(), "guavaspan_entry_checked_stream_ends_total", "Streams without an explicit end at engines that leave or were asked to stop them, by the state of their runs", registry);
    prometheus::Family<prometheus::Counter>& unusableGrants = family(prometheus::BuildCounter(), "guavaspan_entry_unusable_grants_total", "Grants of pools' owners that this instance could not use and returned, by reason", registry);
    prometheus::Family<prometheus::Counter>& fleetBytesSent = family(prometheus::BuildCounter(), "guavaspan_fleet_bytes_sent", "Bytes of datagrams sent to other instances, by kind of message", registry);
    prometheus::Family<prometheus::Gauge>& gauges = family(prometheus::BuildGauge(), "guavaspan_entry_state", "State of this instance by name", registry);
    prometheus::Family<prometheus::Gauge>& evacuations = family(prometheus::BuildGauge(), "guavaspan_domain_evacuated", "1 while the failure domain gets no new requests, 0 from the end of its evacuation", registry);
    std::map<std::string, prometheus::Gauge*> evacuationsByDomain;
    prometheus::Family<prometheus::Gauge>& heldBytes = family(prometheus::BuildGauge(), "guavaspan_entry_held_bytes", "Memory that callers' connections hold, by use", registry);
    prometheus::Family<prometheus::Gauge>& heldDescriptors = family(prometheus::BuildGauge(), "guavaspan_entry_held_descriptors", "Descriptors of callers' connections and of the targets' connections for their requests", registry);
    prometheus::Family<prometheus::Counter>& shedConnections = family(prometheus::BuildCounter(), "guavaspan_entry_shed_connections_total", "Callers' connections that were refused or closed for want of memory or descriptors, by state and cause", registry);
};

RelayMetrics::RelayMetrics()
    : m_families(std::make_unique<Families>())
{
}

RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::recordRequest(const std::string& route, const std::string& result, double seconds)
{
    m_families->requests.Add({ { "route", route }, { "result", result } }).Increment();
    m_families->durations.Add({}, secondsBuckets).Observe(seconds);
}

void RelayMetrics::recordCutRequest(const std::string& route)
{
    m_families->cutRequests.Add({ { "route", route } }).Increment();
}

void RelayMetrics::recordFirstEvent(const std::string& route, double seconds)
{
    m_families->firstEvents.Add({ { "route", route } }, secondsBuckets).Observe(seconds);
}

void RelayMetrics::recordPause(double seconds)
{
    m_families->pauses.Add({}, secondsBuckets).Observe(seconds);
}

void RelayMetrics::recordLongPause(const std::string& route, bool slowTarget)
{
    m_families->longPauses.Add({ { "route", route }, { "pace", slowTarget ? "slow" : "usual" } }).Increment();
}

void RelayMetrics::recordRetry(const std::string& service, const std::string& cause, bool allowed)
{
    m_families->retries.Add({ { "service", service }, { "cause", cause }, { "allowed", allowed ? "yes" : "no" } }).Increment();
}

void RelayMetrics::recordWait(double seconds)
{
    m_families->waits.Add({}, secondsBuckets).Observe(seconds);
}

void RelayMetrics::recordAdmission(const std::string& route, const std::string& organisation, const std::string& outcome)
{
    auto& organisations = m_families->organisations;
    if (organisations.size() < maxOrganisations)
        organisations.insert(organisation);
    m_families->admissions.Add({ { "route", route }, { "organisation", organisations.count(organisation) > 0 ? organisation : otherOrganisations }, { "outcome", outcome } }).Increment();
}

void RelayMetrics::recordResume(const std::string& result)
{
    m_families->resumes.Add({ { "result", result } }).Increment();
}

void RelayMetrics::recordUnframedAnswer(const std::string& end)
{
    m_families->unframedAnswers.Add({ { "end", end } }).Increment();
}

void RelayMetrics::recordStreamEnd(const std::string& runState)
{
    m_families->streamEnds.Add({ { "run", runState } }).Increment();
}

void RelayMetrics::recordUnusableGrant(const std::string& reason)
{
    m_families->unusableGrants.Add({ { "reason", reason } }).Increment();
}

void RelayMetrics::setFleetBytesSent(const std::map<std::string_view, std::uint64_t>& bytesByKind)
{
    for (const auto& [kind, bytes] : bytesByKind) {
        auto& counter = m_families->fleetBytesSent.Add({ { "kind", std::string(kind) } });
        counter.Increment(static_cast<double>(bytes) - counter.Value());
    }
}

void RelayMetrics::onHandoverStep(HandoverPhase phase, HandoverResult result)
{
    m_families->steps.Add({ { "phase", std::string(toString(phase)) }, { "result", std::string(toString(result)) } }).Increment();
}

void RelayMetrics::setGauges(const RelayGauges& gauges)
{
    auto set = [&](const char* name, double value) { m_families->gauges.Add({ { "name", name } }).Set(value); };
    set("live_streams", gauges.liveStreams);
    set("waiting_requests", gauges.waitingRequests);
    set("configuration_version", gauges.configurationVersion);
    set("configuration_age_seconds", gauges.configurationAgeSeconds);
    set("peers", gauges.peers);
    set("targets", gauges.targets);
    set("store_calls", gauges.storeCalls);
    set("store_era", gauges.storeEra);
    set("store_revision", gauges.storeRevision);
    set("store_restorations", gauges.storeRestorations);
    set("rejected_store_listings", gauges.rejectedStoreListings);
    set("older_store_entries", gauges.olderStoreEntries);
    set("limited_targets", gauges.limitedTargets);
    set("cold_targets", gauges.coldTargets);
    set("dropped_log_lines", gauges.droppedLogLines);
    set("failed_handlers", gauges.failedHandlers);
    set("interrupted_answers", gauges.interruptedAnswers);
    set("counted_crashes", gauges.countedCrashes);
    set("uncounted_crashes", gauges.uncountedCrashes);
    set("retry_sharers", gauges.retrySharers);
    set("convicted_prompt_parts", gauges.convictedPromptParts);
    set("unreachable_services", gauges.unreachableServices);
    set("summarised_instances", gauges.summarisedInstances);
    set("silent_instances", gauges.silentInstances);
    set("slow_targets", gauges.slowTargets);
}

void RelayMetrics::setEvacuatedDomains(const std::set<std::string>& domains)
{
    for (const auto& domain : domains) {
        auto [gauge, isNew] = m_families->evacuationsByDomain.try_emplace(domain, nullptr);
        if (isNew)
            gauge->second = &m_families->evacuations.Add({ { "domain", domain } });
    }
    for (const auto& [domain, gauge] : m_families->evacuationsByDomain)
        gauge->Set(domains.contains(domain) ? 1 : 0);
}

void RelayMetrics::setMemory(const MemoryBudget& budget)
{
    for (auto use : { MemoryUse::Connection, MemoryUse::Request, MemoryUse::Answer })
        m_families->heldBytes.Add({ { "use", toString(use) } }).Set(static_cast<double>(budget.heldBytes(use)));
    m_families->heldDescriptors.Add({}).Set(static_cast<double>(budget.heldDescriptors()));
    for (auto state : { HolderState::Idle, HolderState::Reading, HolderState::Handling, HolderState::Answering, HolderState::Closing }) {
        for (auto cause : { ShedCause::Memory, ShedCause::Descriptors }) {
            auto& counter = m_families->shedConnections.Add({ { "state", toString(state) }, { "cause", toString(cause) } });
            counter.Increment(static_cast<double>(budget.shedCount(state, cause)) - counter.Value());
        }
    }
}

std::string RelayMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

}
