#pragma once

#include "net/nettypes.h"
#include "targets/targettypes.h"

#include <optional>
#include <string>

namespace guavaspan {

/// What a caller says of its request besides method, path and body.
struct CallerRequest {
    std::string requestId;
    std::string key;
    /// Time that the caller will still wait.
    std::optional<Milliseconds> timeLeft;
    int promptTokens = 0;
    int maxOutputTokens = 0;
    /// The caller's own guess of the output, right at the median and often far off.
    std::optional<int> guessedOutputTokens;
    /// Hash of what is wanted, the same for each of the caller's attempts.
    std::uint64_t content = 0;
};

/// Where a stopped generation can be taken up again.
struct Continuation {
    /// The engine that gave the handle.
    Endpoint issuer;
    std::string handle;
    /// Last event that the caller has.
    std::string lastEventId;

    friend bool operator==(const Continuation&, const Continuation&) = default;
};

/// What is added to a caller's request for one target.
struct ForwardOptions {
    const TargetEntry& target;
    std::string organisation;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; absent where the target's default serves.
    std::optional<int> urgency;
    std::optional<Continuation> continuation;
};

/// What the header of a target's answer says.
struct TargetResponseHead {
    unsigned status = 0;
    /// The target itself says that it did not start the request.
    bool notRun = false;
    /// The target vouches for its answer.
    bool sealed = false;
    /// The body is encoded in a way that nobody asked for.
    bool encoded = false;
    std::string requestId;
};

/// How requests and answers are spelled between callers, this instance and targets.
class IWireFormat {
public:
    virtual ~IWireFormat() = default;

    virtual CallerRequest parseCallerRequest(const HttpRequest&) const = 0;

    /// The caller's request as the target gets it: what concerns one connection,
    /// the key, and what only instances may set is left out.
    virtual HttpRequest buildTargetRequest(const HttpRequest&, const ForwardOptions&) const = 0;

    virtual TargetResponseHead parseResponseHead(const http::response_header<>&) const = 0;
};

}
