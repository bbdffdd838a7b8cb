#pragma once

#include "claims/claimcommitter.h"
#include "configuration/configurationstore.h"
#include "engines/enginedirectory.h"
#include "observability/decisionlog.h"
#include "observability/metrics.h"
#include "observability/tracing.h"
#include "permits/ipermitservice.h"
#include "quarantine/quarantineservice.h"
#include "settings/settings.h"
#include "streams/resumehandle.h"
#include "usage/usageledger.h"

namespace guavaspan {

/// What the request handlers of one instance share.
struct GatewayContext {
    asio::io_context& io;
    const Settings& settings;
    std::shared_ptr<IKeyValueStore> keyValue;
    ConfigurationHolder& configuration;
    ConfigurationStore& configurationStore;
    EngineDirectory& engines;
    IPermitService& permits;
    ClaimCommitter& claims;
    QuarantineService& quarantine;
    UsageLedger& usage;
    Metrics& metrics;
    DecisionLog& decisions;
    SpanWriter& spans;
    HandleSealer& sealer;
    Random& random;
    std::map<std::string, int> inFlightByOrganisation;
    int inFlight = 0;
    bool stopping = false;
};

/// Counts a request in flight for as long as it lives.
class InFlightGuard {
public:
    InFlightGuard(GatewayContext&, std::string organisation);
    ~InFlightGuard();
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;

private:
    GatewayContext& m_context;
    std::string m_organisation;
};

/// One request's identity over all its hops.
struct RequestScope {
    std::string id;
    std::string organisation;
    TraceContext trace;
    std::string parentSpanId;
    std::chrono::system_clock::time_point wallStartTime;
    TimePoint startTime;
    TimePoint deadline;
};

RequestScope beginRequest(GatewayContext&, const HttpExchange&);

/// Finds the organisation that the caller's key belongs to.
Result<std::string> authenticate(const GatewayContext&, const HttpExchange&);

/// Writes span, metrics and the log line of a request that has ended.
void endRequest(GatewayContext&, const RequestScope&, const std::string& name, const std::string& result);

}
