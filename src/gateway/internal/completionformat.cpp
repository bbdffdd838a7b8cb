#include "gateway/completionformat.h"

#include "scheduling/prefixblocks.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    Error badRequest(std::string detail)
    {
        return Error { .code = ErrorCode::BadRequest, .step = Step::Validate, .detail = std::move(detail), .outcome = Outcome::NotRun };
    }

    std::string quoteJson(const std::string& text)
    {
        return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    Result<std::string> chatPrompt(const json& body)
    {
        auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return badRequest("messages must be a non-empty array");
        std::string prompt;
        for (const auto& message : *messages) {
            bool valid = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content") && message["content"].is_string();
            if (!valid)
                return badRequest("each message must have a role and a content, both strings");
            prompt += message["role"].get<std::string>() + ":" + message["content"].get<std::string>() + "\n";
        }
        return prompt;
    }

    Result<std::string> completionPrompt(const json& body)
    {
        auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string() || prompt->get_ref<const std::string&>().empty())
            return badRequest("prompt must be a non-empty string");
        return prompt->get<std::string>();
    }

    /// Splits "service/model". Without a model the first one of the service is used.
    Result<void> resolveModel(const json& body, const Configuration& configuration, CompletionRequest& request)
    {
        auto name = body.find("model");
        if (name == body.end() || !name->is_string())
            return badRequest("model must be a string");
        request.requestedModel = name->get<std::string>();
        auto slash = request.requestedModel.find('/');
        request.service = request.requestedModel.substr(0, slash);
        auto service = configuration.services.find(request.service);
        if (service == configuration.services.end() || service->second.type != ServiceType::Generation)
            return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no generation service " + request.service };
        const auto& models = service->second.models;
        request.model = slash == std::string::npos ? models.front() : request.requestedModel.substr(slash + 1);
        if (std::find(models.begin(), models.end(), request.model) == models.end())
            return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = fmt::format("service {} does not offer model {}", request.service, request.model) };
        request.maxTokens = service->second.maxOutputTokens;
        return {};
    }

    Result<void> readOptions(const json& body, CompletionRequest& request)
    {
        auto stream = body.find("stream");
        if (stream != body.end() && !stream->is_boolean())
            return badRequest("stream must be true or false");
        request.stream = stream != body.end() && stream->get<bool>();
        auto choiceCount = body.find("n");
        if (choiceCount != body.end() && *choiceCount != 1)
            return badRequest("n must be 1");
        for (const char* name : { "max_tokens", "max_completion_tokens" }) {
            auto limit = body.find(name);
            if (limit == body.end() || limit->is_null())
                continue;
            if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1)
                return badRequest(fmt::format("{} must be a positive integer", name));
            request.maxTokens = static_cast<int>(std::min<std::int64_t>(request.maxTokens, limit->get<std::int64_t>()));
        }
        auto streamOptions = body.find("stream_options");
        if (streamOptions != body.end() && streamOptions->is_object()) {
            auto usage = streamOptions->find("include_usage");
            request.includeUsage = usage != streamOptions->end() && usage->is_boolean() && usage->get<bool>();
        }
        return {};
    }

}

Result<CompletionRequest> parseCompletionRequest(const std::string& text, bool chat, const Configuration& configuration)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return badRequest("the body must be a JSON object");
    CompletionRequest request { .chat = chat, .body = text };
    auto resolved = resolveModel(body, configuration, request);
    if (!resolved)
        return resolved.error();
    auto prompt = chat ? chatPrompt(body) : completionPrompt(body);
    if (!prompt)
        return prompt.error();
    request.prompt = std::move(*prompt);
    request.promptTokens = estimatePromptTokens(request.prompt);
    auto options = readOptions(body, request);
    if (!options)
        return options.error();
    return request;
}

std::string makeEngineRequestBody(const CompletionRequest& request, int priority)
{
    auto body = json::parse(request.body);
    body["model"] = request.model;
    body["stream"] = true;
    body["max_tokens"] = request.maxTokens;
    body["priority"] = priority;
    body.erase("max_completion_tokens");
    body.erase("stream_options");
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

CompletionFormat::CompletionFormat(bool chat, const std::string& requestId, const std::string& model, std::int64_t created)
    : m_chat(chat)
{
    auto id = (chat ? "chatcmpl-" : "cmpl-") + requestId;
    auto commonFields = fmt::format(R"({{"id":{},"created":{},"model":{},)", quoteJson(id), created, quoteJson(model));
    m_chunkPrefix = commonFields + fmt::format(R"("object":"{}",)", chat ? "chat.completion.chunk" : "text_completion");
    m_responsePrefix = commonFields + fmt::format(R"("object":"{}",)", chat ? "chat.completion" : "text_completion");
}

std::string CompletionFormat::tokenEvent(const std::string& eventId, const std::string& text) const
{
    if (m_chat)
        return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{}}},\"finish_reason\":null}}]}}\n\n", eventId, m_chunkPrefix, quoteJson(text));
    return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,\"text\":{},\"logprobs\":null,\"finish_reason\":null}}]}}\n\n", eventId, m_chunkPrefix, quoteJson(text));
}

std::string CompletionFormat::finishEvent(const std::string& eventId, const std::string& finishReason) const
{
    const char* emptyContent = m_chat ? R"("delta":{})" : R"("text":"")";
    return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n", eventId, m_chunkPrefix, emptyContent, quoteJson(finishReason));
}

std::string CompletionFormat::usageEvent(int promptTokens, int outputTokens) const
{
    return fmt::format("data: {}\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{}}}}}\n\n", m_chunkPrefix, promptTokens, outputTokens, promptTokens + outputTokens);
}

std::string CompletionFormat::doneEvent()
{
    return "data: [DONE]\n\n";
}

std::string CompletionFormat::errorEvent(const std::string& problem)
{
    return fmt::format("data: {{\"error\":{}}}\n\n", problem);
}

std::string CompletionFormat::makeResponse(const std::string& text, const std::string& finishReason, int promptTokens, int outputTokens) const
{
    auto content = m_chat ? fmt::format(R"("message":{{"role":"assistant","content":{}}})", quoteJson(text)) : fmt::format(R"("text":{},"logprobs":null)", quoteJson(text));
    return fmt::format(R"({}"choices":[{{"index":0,{},"finish_reason":{}}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}}}})",
        m_responsePrefix, content, quoteJson(finishReason), promptTokens, outputTokens, promptTokens + outputTokens);
}

}
