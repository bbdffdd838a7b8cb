#pragma once

#include "common/error.h"

#include <string>
#include <variant>

namespace guavaspan {

/// One generation on one life of one target.
struct GenerationIdentity {
    std::string target;
    std::string incarnation;
    std::string generation;

    friend bool operator==(const GenerationIdentity&, const GenerationIdentity&) = default;
};

/// One token as a target sent it.
struct TokenReceived {
    GenerationIdentity identity;
    int offset = 0;
    std::string text;

    friend bool operator==(const TokenReceived&, const TokenReceived&) = default;
};

/// The target says that the generation is complete.
struct GenerationEnded {
    GenerationIdentity identity;
    int total = 0;
    std::string finishReason;

    friend bool operator==(const GenerationEnded&, const GenerationEnded&) = default;
};

/// The target pushed the generation out of memory and will compute it again.
struct GenerationPreempted {
    GenerationIdentity identity;

    friend bool operator==(const GenerationPreempted&, const GenerationPreempted&) = default;
};

using EngineEvent = std::variant<TokenReceived, GenerationEnded, GenerationPreempted>;

/// Hand this token to the caller.
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

/// Go on with the same generation from this offset.
struct ResumeStream {
    int offset = 0;

    friend bool operator==(const ResumeStream&, const ResumeStream&) = default;
};

/// Start a new generation elsewhere; the old one is to be cancelled.
struct RestartGeneration {
    friend bool operator==(const RestartGeneration&, const RestartGeneration&) = default;
};

struct CompleteStream {
    int tokens = 0;
    std::string finishReason;

    friend bool operator==(const CompleteStream&, const CompleteStream&) = default;
};

/// End with an error that says how many tokens were delivered.
struct FailStream {
    Error error;
    int delivered = 0;

    friend bool operator==(const FailStream&, const FailStream&) = default;
};

using StreamAction = std::variant<DeliverToken, DropEvent, ResumeStream, RestartGeneration, CompleteStream, FailStream>;

}
