#pragma once

#include "common/error.h"
#include "configuration/configurationtypes.h"

#include <string>

namespace guavaspan {

/// A completion request after validation.
struct CompletionRequest {
    bool chat = false;
    bool stream = false;
    bool includeUsage = false;
    std::string service;
    std::string model;
    /// As given by the caller: "service/model" or "service".
    std::string requestedModel;
    std::string prompt;
    int promptTokens = 0;
    int maxTokens = 0;
    std::string body;
};

/// Parses and validates an OpenAI-compatible request.
Result<CompletionRequest> parseCompletionRequest(const std::string& body, bool chat, const Configuration&);

/// Returns the body of the request to an engine. Fields unknown to the gateway are passed on.
std::string makeEngineRequestBody(const CompletionRequest&, int priority);

/// Formats OpenAI-compatible responses, streamed or complete.
class CompletionFormat {
public:
    CompletionFormat(bool chat, const std::string& requestId, const std::string& model, std::int64_t created);

    /// Returns one server-sent event with one token.
    std::string tokenEvent(const std::string& eventId, const std::string& text) const;
    std::string finishEvent(const std::string& eventId, const std::string& finishReason) const;
    std::string usageEvent(int promptTokens, int outputTokens) const;
    static std::string doneEvent();
    static std::string errorEvent(const std::string& problem);
    /// Returns the body of a response that is not streamed.
    std::string makeResponse(const std::string& text, const std::string& finishReason, int promptTokens, int outputTokens) const;

private:
    std::string m_chunkPrefix;
    std::string m_responsePrefix;
    bool m_chat;
};

}
