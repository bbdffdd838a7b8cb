#pragma once

#include "net/httprequest.h"
#include "quarantine/promptpart.h"
#include "targets/targettypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaspan {

/// Metadata of a caller's request, read from its headers.
struct CallerRequest {
    std::string requestId;
    /// API key that identifies the caller's organisation.
    std::string key;
    /// Time until the caller's deadline.
    std::optional<Milliseconds> timeLeft;
    int promptTokens = 0;
    int maxOutputTokens = 0;
    /// The caller's estimate of the output length: correct at the median, but often far off.
    std::optional<int> guessedOutputTokens;
    /// Hash of the request's content; the caller's retries of a request have the same hash.
    std::uint64_t contentHash = 0;
    /// Parts of the prompt that other requests share, in order.
    std::vector<PromptPart> sharedParts;
    /// Tokens of each of them; 0 if not stated.
    std::vector<int> sharedPartTokens;
    /// Version of the configuration by which another instance, which reaches no target, relayed the request. Such a request must not
    /// be relayed to a further one.
    std::optional<std::int64_t> relayedUnderVersion;
};

/// Identifies a stopped generation so that an engine can resume it.
struct Continuation {
    /// The engine that issued the handle.
    Endpoint issuer;
    std::string handle;
    /// Id of the last event relayed to the caller.
    std::string lastEventId;

    friend bool operator==(const Continuation&, const Continuation&) = default;
};

/// Values added to a caller's request when it is forwarded to a target.
struct ForwardOptions {
    const TargetEntry& target;
    std::string organisation;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; absent to use the target's default.
    std::optional<int> urgency;
    std::optional<Continuation> continuation;
};

/// Values added to a caller's request when it is relayed to another instance.
struct PeerForwardOptions {
    Milliseconds timeLeft { 0 };
    /// Version of the configuration that admitted the request.
    std::int64_t configurationVersion = 0;
};

/// Fields that the relay reads from the header of a target's answer.
struct TargetResponseHead {
    unsigned status = 0;
    /// The target states that it did not start the request.
    bool notRun = false;
    /// The answer has the target's seal header; an unsealed answer is treated as broken.
    bool sealed = false;
    /// The body has a content encoding that the request did not ask for.
    bool encoded = false;
    std::string requestId;
    /// The target states that it is shutting down.
    bool draining = false;
    /// Requests per second that the target takes from all instances together, if it states a limit.
    std::optional<double> requestLimit;
    bool requestLimitUnreadable = false;
    /// Time for which the target stays cold, if the answer states it.
    std::optional<Milliseconds> warmUpRemaining;
    bool warmUpRemainingUnreadable = false;
    /// Rejections per second for lack of room that the target survives, if it states that it is brittle.
    std::optional<double> survivedRejections;
    bool survivedRejectionsUnreadable = false;
    /// Another target uses the address now.
    bool fromOtherTarget = false;
    /// Time for which the target wants no request from this instance, if it refused one with status 503.
    std::optional<double> retryAfterSeconds;
    bool retryAfterUnreadable = false;
};

/// Reads callers' requests, builds requests to targets and reads the header of their answers.
class IWireFormat {
public:
    virtual ~IWireFormat() = default;

    virtual CallerRequest parseCallerRequest(const HttpRequest&) const = 0;

    /// Builds the request to a target. Omits hop-by-hop headers, the caller's key
    /// and headers that only instances may set.
    virtual HttpRequest buildTargetRequest(const HttpRequest&, const ForwardOptions&) const = 0;

    /// Builds the request to another instance, which handles it as its caller's.
    virtual HttpRequest buildPeerRequest(const HttpRequest&, const PeerForwardOptions&) const = 0;

    virtual TargetResponseHead parseResponseHead(const http::response_header<>&) const = 0;
};

}
