#pragma once

#include "common/time.h"
#include "streams/streamtypes.h"

#include <optional>

namespace guavaspan {

struct StreamSessionOptions {
    /// Nothing reaches the caller before the end, so that a restart stays free.
    bool bufferedAnswer = false;
    int maxRestarts = 2;
    /// Resumes without a token in between.
    int maxResumes = 4;
    /// Where a restart is free, no more resumes than this are tried first.
    int resumesBeforeRestart = 1;
    /// First offset owed to the caller; above zero when it resumes.
    int firstOffset = 0;
    /// A caller's resume is bound to the generation that it began with.
    std::optional<GenerationIdentity> resumedGeneration;
};

/// Holds an answer to its promise: each token once, in order, from one generation.
class StreamSession {
public:
    explicit StreamSession(StreamSessionOptions);

    void onOpened(const GenerationIdentity&);
    StreamAction onEvent(const EngineEvent&);

    /// The link broke or fell silent, or the target ended the body early.
    StreamAction onLinkFailure(const Error&);

    /// The target does not know the generation any more, or cannot be reached.
    StreamAction onResumeRefused(const Error&);

    /// The request was not started, or its start is in doubt.
    StreamAction onStartFailed(const Error&);

    /// Tokens that the caller has or, for a whole answer, will have.
    int nextOffset() const { return m_nextOffset; }
    int deliveredToCaller() const { return m_options.bufferedAnswer ? 0 : m_nextOffset; }
    const std::optional<GenerationIdentity>& identity() const { return m_identity; }
    int restarts() const { return m_restarts; }

private:
    bool canRestart() const;
    StreamAction restartOrFail(const Error&);
    StreamAction fail(const Error&) const;
    StreamAction onToken(const TokenReceived&);
    StreamAction onEnd(const GenerationEnded&);

    StreamSessionOptions m_options;
    std::optional<GenerationIdentity> m_identity;
    int m_nextOffset = 0;
    int m_restarts = 0;
    int m_resumes = 0;
    bool m_ended = false;
};

}
