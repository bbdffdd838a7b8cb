#pragma once

#include "common/time.h"
#include "streams/streamtypes.h"

#include <optional>

namespace guavaspan {

struct StreamSessionOptions {
    /// The answer is sent only when it is complete, so that a restart stays invisible to the caller.
    bool bufferedAnswer = false;
    int maxRestarts = 2;
    /// Limit of consecutive resumes that yield no token.
    int maxResumes = 4;
    /// While a restart is possible, it follows after this many resumes without a token.
    int resumesBeforeRestart = 1;
    /// Offset of the first token to deliver; above zero if the caller resumes a stream.
    int firstOffset = 0;
    /// Set if the caller resumes a stream; then only tokens of this generation are delivered.
    std::optional<GenerationIdentity> resumedGeneration;
};

/// Decides what to do on each event of a token stream, so that the caller receives every token
/// exactly once, in order and from a single generation.
class StreamSession {
public:
    explicit StreamSession(StreamSessionOptions);

    void onOpened(const GenerationIdentity&);
    StreamAction onEvent(const EngineEvent&);

    /// Handles a link that broke or stalled, or a response body that ended early.
    StreamAction onLinkFailure(const Error&);

    /// Handles a resume that failed because the target lost the generation or cannot be reached.
    StreamAction onResumeRefused(const Error&);

    /// Handles a start that failed or whose outcome is unknown.
    StreamAction onStartFailed(const Error&);

    /// Number of tokens delivered to the caller or, for a buffered answer, collected for it.
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
