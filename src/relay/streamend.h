#pragma once

namespace guavaspan {

/// How the body of an engine's event stream ended.
struct StreamEnd {
    /// The last event is incomplete.
    bool hasPartialFrame = false;
    /// Only the end of the connection marks the end of the body.
    bool endsAtClose = false;
    /// The generation was stopped and can be resumed elsewhere.
    bool hasPendingMove = false;
    /// The engine was requested to stop the generation.
    bool isStopping = false;
    /// The engine takes new requests, so it does not shut down.
    bool isTargetUsable = true;
};

/// True if the generation is complete. An engine that stops a generation, or shuts down, closes its stream without the end.
bool isComplete(const StreamEnd&);

}
