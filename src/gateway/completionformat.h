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
    std::string requestedModel;
    std::string prompt;
    int promptTokens = 0;
    int maxTokens = 0;
    std::string body;
};

/// Reads and checks a request in the OpenAI-compatible shape.
Result<CompletionRequest> parseCompletionRequest(const std::string& body, bool chat, const Configuration&);

/// The request as it is sent to an engine.
std::string makeEngineRequestBody(const CompletionRequest&, int priority);

/// Shapes answers in the OpenAI-compatible form.
class CompletionFormat {
public:
    CompletionFormat(bool chat, const std::string& requestId, const std::string& model, std::int64_t created);

    /// One server-sent event for one token.
    std::string tokenEvent(const std::string& eventId, const std::string& text) const;
    std::string finishEvent(const std::string& eventId, const std::string& finishReason) const;
    std::string usageEvent(int promptTokens, int outputTokens) const;
    static std::string doneEvent();
    static std::string errorEvent(const std::string& problem);
    std::string makeResponse(const std::string& text, const std::string& finishReason, int promptTokens, int outputTokens) const;

private:
    std::string m_chunkPrefix;
    std::string m_responsePrefix;
    bool m_chat;
};

}
