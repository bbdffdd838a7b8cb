#pragma once

#include "common/error.h"

#include <string>
#include <variant>

namespace guavaspan {

/// Identifies a generation on one incarnation of a target.
struct GenerationIdentity {
    std::string target;
    std::string incarnation;
    std::string generation;

    friend bool operator==(const GenerationIdentity&, const GenerationIdentity&) = default;
};

/// A token that a target sent.
struct TokenReceived {
    GenerationIdentity identity;
    int offset = 0;
    std::string text;

    friend bool operator==(const TokenReceived&, const TokenReceived&) = default;
};

/// A generation that its target reported as complete.
struct GenerationEnded {
    GenerationIdentity identity;
    int total = 0;
    std::string finishReason;

    friend bool operator==(const GenerationEnded&, const GenerationEnded&) = default;
};

/// The target evicted the generation from memory and will recompute it later.
struct GenerationPreempted {
    GenerationIdentity identity;

    friend bool operator==(const GenerationPreempted&, const GenerationPreempted&) = default;
};

using EngineEvent = std::variant<TokenReceived, GenerationEnded, GenerationPreempted>;

/// Sends this token to the caller.
struct DeliverToken {
    int offset = 0;
    std::string text;

    friend bool operator==(const DeliverToken&, const DeliverToken&) = default;
};

/// Why an event was not delivered.
enum class DropReason {
    Duplicate,
    OtherGeneration,
    AfterEnd,
    Informational,
};

struct DropEvent {
    DropReason reason = DropReason::Duplicate;

    friend bool operator==(const DropEvent&, const DropEvent&) = default;
};

/// Reopens the stream of the same generation at this offset.
struct ResumeStream {
    int offset = 0;

    friend bool operator==(const ResumeStream&, const ResumeStream&) = default;
};

/// Cancels the generation and starts a new one on another target.
struct RestartGeneration {
    friend bool operator==(const RestartGeneration&, const RestartGeneration&) = default;
};

struct CompleteStream {
    int tokens = 0;
    std::string finishReason;

    friend bool operator==(const CompleteStream&, const CompleteStream&) = default;
};

/// Ends the stream with an error that reports how many tokens were delivered.
struct FailStream {
    Error error;
    int delivered = 0;

    friend bool operator==(const FailStream&, const FailStream&) = default;
};

using StreamAction = std::variant<DeliverToken, DropEvent, ResumeStream, RestartGeneration, CompleteStream, FailStream>;

}
