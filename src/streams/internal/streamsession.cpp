#include "streams/streamsession.h"

#include "common/overloaded.h"

#include <algorithm>

namespace guavaspan {

StreamSession::StreamSession(StreamSessionOptions options)
    : m_options(std::move(options))
    , m_identity(m_options.resumedGeneration)
    , m_nextOffset(m_options.firstOffset)
{
}

void StreamSession::onOpened(const GenerationIdentity& identity)
{
    if (!m_identity)
        m_identity = identity;
}

StreamAction StreamSession::onEvent(const EngineEvent& event)
{
    if (m_ended)
        return DropEvent { .reason = DropReason::AfterEnd };
    return std::visit(Overloaded {
                          [this](const TokenReceived& token) { return onToken(token); },
                          [this](const GenerationEnded& end) { return onEnd(end); },
                          [](const GenerationPreempted&) -> StreamAction { return DropEvent { .reason = DropReason::Informational }; },
                      },
        event);
}

StreamAction StreamSession::onToken(const TokenReceived& token)
{
    if (!m_identity || token.identity != *m_identity)
        return DropEvent { .reason = DropReason::OtherGeneration };
    if (token.offset < m_nextOffset)
        return DropEvent { .reason = DropReason::Duplicate };
    if (token.offset > m_nextOffset) {
        Error gap { .code = ErrorCode::BadReply, .step = Step::Relay, .peer = token.identity.target, .detail = "tokens are missing", .outcome = Outcome::Ran };
        return onLinkFailure(gap);
    }
    ++m_nextOffset;
    m_resumes = 0;
    return DeliverToken { .offset = token.offset, .text = token.text };
}

StreamAction StreamSession::onEnd(const GenerationEnded& end)
{
    if (!m_identity || end.identity != *m_identity)
        return DropEvent { .reason = DropReason::OtherGeneration };
    if (end.total > m_nextOffset) {
        Error gap { .code = ErrorCode::BadReply, .step = Step::Relay, .peer = end.identity.target, .detail = "tokens are missing at the end", .outcome = Outcome::Ran };
        return onLinkFailure(gap);
    }
    m_ended = true;
    return CompleteStream { .tokens = m_nextOffset, .finishReason = end.finishReason };
}

bool StreamSession::canRestart() const
{
    // A restart is free only while the caller has seen nothing of this generation.
    bool nothingDelivered = m_options.bufferedAnswer || m_nextOffset == 0;
    return nothingDelivered && !m_options.resumedGeneration && m_restarts < m_options.maxRestarts;
}

StreamAction StreamSession::fail(const Error& cause) const
{
    Error error = cause;
    if (deliveredToCaller() > 0 || m_options.resumedGeneration) {
        error.code = ErrorCode::Incomplete;
        error.outcome = Outcome::Ran;
    }
    return FailStream { .error = error, .delivered = deliveredToCaller() };
}

StreamAction StreamSession::restartOrFail(const Error& cause)
{
    if (!canRestart()) {
        m_ended = true;
        return fail(cause);
    }
    ++m_restarts;
    m_resumes = 0;
    m_nextOffset = 0;
    m_identity.reset();
    return RestartGeneration {};
}

StreamAction StreamSession::onLinkFailure(const Error& cause)
{
    if (m_ended)
        return DropEvent { .reason = DropReason::AfterEnd };
    int maxResumes = canRestart() ? std::min(m_options.resumesBeforeRestart, m_options.maxResumes) : m_options.maxResumes;
    if (m_identity && m_resumes < maxResumes) {
        ++m_resumes;
        return ResumeStream { .offset = m_nextOffset };
    }
    return restartOrFail(cause);
}

StreamAction StreamSession::onResumeRefused(const Error& cause)
{
    if (m_ended)
        return DropEvent { .reason = DropReason::AfterEnd };
    if (cause.code == ErrorCode::ConnectFailed || cause.code == ErrorCode::LinkBroken || cause.code == ErrorCode::LinkStalled)
        return onLinkFailure(cause);
    return restartOrFail(cause);
}

StreamAction StreamSession::onStartFailed(const Error& cause)
{
    return restartOrFail(cause);
}

}
