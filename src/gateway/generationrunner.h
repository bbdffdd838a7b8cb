#pragma once

#include "gateway/completionformat.h"
#include "gateway/gatewaycontext.h"
#include "streams/stalldetector.h"
#include "streams/streamsession.h"

namespace guavaspan {

/// Carries one generation from permit to last token, over restarts and resumes.
class GenerationRunner {
public:
    GenerationRunner(GatewayContext&, HttpExchange&, const RequestScope&, CompletionRequest, Fingerprint);

    /// A new generation.
    Awaitable<std::string> run();

    /// Goes on with a generation that another connection began.
    Awaitable<std::string> resume(ResumeHandle, int firstOffset);

private:
    enum class Attempt {
        Completed,
        Failed,
        Restart,
        CallerGone,
    };

    Awaitable<Result<Grant>> acquire();
    Awaitable<Attempt> runOn(Grant);
    Awaitable<Attempt> follow(std::unique_ptr<IEngineStream>);
    StreamAction noteEvent(const EngineEvent&);
    std::optional<StreamAction> collectTokens(StreamAction, IEngineStream&, std::vector<DeliverToken>&);
    Awaitable<Attempt> act(StreamAction, std::unique_ptr<IEngineStream>&);
    Awaitable<Attempt> reopen(ResumeStream, std::unique_ptr<IEngineStream>&);
    Awaitable<Result<void>> deliver(std::vector<DeliverToken>);
    Awaitable<> complete(CompleteStream);
    Awaitable<> fail(FailStream);
    Awaitable<Result<void>> begin();
    void noteToken();
    void noteDeath(const GenerationIdentity&, const Error&);
    void noteStartDeath(const std::string& target, const Error&);
    void cancelGeneration();
    void raisePriority(int priority);
    void reportProgress(bool preempted);
    GenerationOutcome finishKindOf(Attempt) const;

    GatewayContext& m_context;
    HttpExchange& m_exchange;
    const RequestScope& m_scope;
    CompletionRequest m_request;
    Fingerprint m_fingerprint;
    StreamSession m_session;
    StallDetector m_stalls;
    CompletionFormat m_format;
    std::shared_ptr<IEngine> m_engine;
    PermitId m_permit;
    int m_grantedPriority = 0;
    std::vector<std::string> m_failedEngines;
    std::string m_sealed;
    std::string m_text;
    std::string m_result = "failed";
    TimePoint m_lastTokenAt;
    TimePoint m_reportedAt;
    IEngineStream* m_open = nullptr;
    bool m_begun = false;
    bool m_engineFailed = false;
    bool m_hasPermit = false;
    bool m_displaced = false;
    bool m_linkBroke = false;
    int m_deaths = 0;
};

}
