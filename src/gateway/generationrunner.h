#pragma once

#include "gateway/completionformat.h"
#include "gateway/gatewaycontext.h"
#include "streams/stalldetector.h"
#include "streams/streamsession.h"

namespace guavaspan {

/// Acquires a permit for one generation, runs it with restarts and resumes, and relays the tokens to
/// the caller.
class GenerationRunner {
public:
    GenerationRunner(GatewayContext&, HttpExchange&, const RequestScope&, CompletionRequest, Fingerprint);

    /// Runs a new generation. Returns the result for logs and metrics.
    Awaitable<std::string> run();

    /// Resumes a generation that another connection started, from the token at `firstOffset`.
    Awaitable<std::string> resume(ResumeHandle, int firstOffset);

private:
    enum class AttemptResult {
        Completed,
        Failed,
        Restart,
        CallerGone,
    };

    Awaitable<Result<Grant>> acquirePermit();
    Awaitable<AttemptResult> runAttempt(Grant);
    Awaitable<AttemptResult> relayEvents(std::unique_ptr<IEngineStream>);
    StreamAction handleEvent(const EngineEvent&);
    std::optional<StreamAction> collectTokens(StreamAction, IEngineStream&, std::vector<DeliverToken>&);
    Awaitable<AttemptResult> performAction(StreamAction, std::unique_ptr<IEngineStream>&);
    Awaitable<AttemptResult> reopenStream(ResumeStream, std::unique_ptr<IEngineStream>&);
    Awaitable<Result<void>> deliverTokens(std::vector<DeliverToken>);
    Awaitable<> sendCompletion(CompleteStream);
    Awaitable<> sendFailure(FailStream);
    Awaitable<Result<void>> beginResponse();
    void recordToken();
    void recordCrashAfterResume(const GenerationIdentity&, const Error&);
    void recordCrashOnStart(const std::string& target, const Error&);
    void cancelGeneration();
    void raisePriority(int priority);
    void reportProgress(bool preempted);
    GenerationOutcome generationOutcomeOf(AttemptResult) const;

    GatewayContext& m_context;
    HttpExchange& m_exchange;
    const RequestScope& m_scope;
    CompletionRequest m_request;
    Fingerprint m_fingerprint;
    StreamSession m_session;
    StallDetector m_stallDetector;
    CompletionFormat m_format;
    std::shared_ptr<IEngine> m_engine;
    PermitId m_permit;
    int m_grantedPriority = 0;
    std::vector<std::string> m_failedEngines;
    std::string m_sealedHandle;
    std::string m_bufferedText;
    std::string m_result = "failed";
    TimePoint m_lastTokenAt;
    TimePoint m_progressReportedAt;
    IEngineStream* m_openStream = nullptr;
    bool m_responseBegun = false;
    bool m_engineFailed = false;
    bool m_hasPermit = false;
    bool m_preempted = false;
    bool m_linkBroken = false;
    int m_targetCrashes = 0;
};

}
