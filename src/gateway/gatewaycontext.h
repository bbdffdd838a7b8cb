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

/// State that the request handlers of an instance share.
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

/// Counts a request as in flight while the guard exists.
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

/// Identity, trace and deadline of a request. Its id and trace id are the same on every hop.
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

/// Returns the organisation to which the caller's API key belongs.
Result<std::string> authenticate(const GatewayContext&, const HttpExchange&);

/// Writes the span, the metrics and the log line of a finished request.
void endRequest(GatewayContext&, const RequestScope&, const std::string& name, const std::string& result);

}
