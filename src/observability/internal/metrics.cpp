#include "observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace guavaspan {

namespace {

    using prometheus::BuildCounter;
    using prometheus::BuildGauge;
    using prometheus::BuildHistogram;
    using prometheus::Histogram;

    const Histogram::BucketBoundaries firstTokenBucketSeconds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.44, 1, 2, 5, 10, 30 };
    const Histogram::BucketBoundaries tokenGapBucketSeconds { 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.072, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

}

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = BuildCounter().Name("guavaspan_requests_total").Help("Requests by organisation and result").Register(registry);
    prometheus::Family<prometheus::Counter>& deliveredTokens = BuildCounter().Name("guavaspan_tokens_delivered_total").Help("Output tokens delivered to callers").Register(registry);
    prometheus::Family<prometheus::Counter>& droppedEvents = BuildCounter().Name("guavaspan_engine_events_dropped_total").Help("Engine events not delivered, by reason").Register(registry);
    prometheus::Family<prometheus::Counter>& claims = BuildCounter().Name("guavaspan_claims_total").Help("Claims of non-idempotent requests by verdict").Register(registry);
    prometheus::Family<prometheus::Counter>& keyValueCalls = BuildCounter().Name("guavaspan_key_value_calls_total").Help("Calls to the key-value service by kind").Register(registry);
    prometheus::Counter& preemptions = BuildCounter().Name("guavaspan_preemptions_total").Help("Generations displaced from an engine").Register(registry).Add({});
    prometheus::Counter& resumes = BuildCounter().Name("guavaspan_stream_resumes_total").Help("Streams resumed on a new connection").Register(registry).Add({});
    prometheus::Counter& restarts = BuildCounter().Name("guavaspan_generation_restarts_total").Help("Generations restarted before anything was delivered").Register(registry).Add({});
    prometheus::Gauge& liveStreams = BuildGauge().Name("guavaspan_live_streams").Help("Generations in flight").Register(registry).Add({});
    prometheus::Gauge& waitingRequests = BuildGauge().Name("guavaspan_waiting_requests").Help("Requests waiting for a permit on this instance's scheduler").Register(registry).Add({});
    prometheus::Gauge& configurationRevision = BuildGauge().Name("guavaspan_configuration_revision").Help("Revision in force").Register(registry).Add({});
    prometheus::Gauge& configurationStaleness = BuildGauge().Name("guavaspan_configuration_staleness_seconds").Help("Time since the configuration was last confirmed").Register(registry).Add({});
    prometheus::Gauge& liveMembers = BuildGauge().Name("guavaspan_live_members").Help("Instances believed to be alive").Register(registry).Add({});
    prometheus::Histogram& firstToken = BuildHistogram().Name("guavaspan_first_token_seconds").Help("Time from request to first token").Register(registry).Add({}, firstTokenBucketSeconds);
    prometheus::Histogram& tokenGap = BuildHistogram().Name("guavaspan_token_gap_seconds").Help("Time between tokens of a stream").Register(registry).Add({}, tokenGapBucketSeconds);
};

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(const std::string& organisation, const std::string& result)
{
    m_families->requests.Add({ { "organisation", organisation }, { "result", result } }).Increment();
}

void Metrics::observeFirstToken(double seconds)
{
    m_families->firstToken.Observe(seconds);
}

void Metrics::observeTokenGap(double seconds)
{
    m_families->tokenGap.Observe(seconds);
}

void Metrics::countDeliveredTokens(const std::string& organisation, int tokens)
{
    m_families->deliveredTokens.Add({ { "organisation", organisation } }).Increment(tokens);
}

void Metrics::countPreemption()
{
    m_families->preemptions.Increment();
}

void Metrics::countResume()
{
    m_families->resumes.Increment();
}

void Metrics::countRestart()
{
    m_families->restarts.Increment();
}

void Metrics::countDroppedEvent(const std::string& reason)
{
    m_families->droppedEvents.Add({ { "reason", reason } }).Increment();
}

void Metrics::addLiveStreams(int change)
{
    m_families->liveStreams.Increment(change);
}

void Metrics::setWaitingRequests(double count)
{
    m_families->waitingRequests.Set(count);
}

void Metrics::setConfigurationRevision(double revision)
{
    m_families->configurationRevision.Set(revision);
}

void Metrics::setConfigurationStaleness(double seconds)
{
    m_families->configurationStaleness.Set(seconds);
}

void Metrics::setLiveMembers(double count)
{
    m_families->liveMembers.Set(count);
}

void Metrics::countClaim(const std::string& verdict)
{
    m_families->claims.Add({ { "verdict", verdict } }).Increment();
}

void Metrics::countKeyValueCall(const std::string& callType)
{
    m_families->keyValueCalls.Add({ { "kind", callType } }).Increment();
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

}
