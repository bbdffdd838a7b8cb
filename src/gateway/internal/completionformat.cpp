#include "gateway/completionformat.h"

#include "scheduling/prefixblocks.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    Error invalid(std::string detail)
    {
        return Error { .code = ErrorCode::BadRequest, .step = Step::Validate, .detail = std::move(detail), .outcome = Outcome::NotRun };
    }

    std::string jsonText(const std::string& text)
    {
        return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    Result<std::string> chatPrompt(const json& body)
    {
        auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return invalid("messages must be a list with at least one entry");
        std::string prompt;
        for (const auto& message : *messages) {
            bool valid = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content") && message["content"].is_string();
            if (!valid)
                return invalid("each message needs a role and a text content");
            prompt += message["role"].get<std::string>() + ":" + message["content"].get<std::string>() + "\n";
        }
        return prompt;
    }

    Result<std::string> plainPrompt(const json& body)
    {
        auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string() || prompt->get_ref<const std::string&>().empty())
            return invalid("prompt must be a text that is not empty");
        return prompt->get<std::string>();
    }

    /// Splits "service/model"; the model may be left out.
    Result<void> resolveModel(const json& body, const Configuration& configuration, CompletionRequest& request)
    {
        auto name = body.find("model");
        if (name == body.end() || !name->is_string())
            return invalid("model must be a text");
        request.modelName = name->get<std::string>();
        auto slash = request.modelName.find('/');
        request.service = request.modelName.substr(0, slash);
        auto service = configuration.services.find(request.service);
        if (service == configuration.services.end() || service->second.kind != ServiceType::Generation)
            return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no generation service " + request.service };
        const auto& models = service->second.models;
        request.model = slash == std::string::npos ? models.front() : request.modelName.substr(slash + 1);
        if (std::find(models.begin(), models.end(), request.model) == models.end())
            return Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = fmt::format("service {} does not offer model {}", request.service, request.model) };
        request.maxTokens = service->second.maxOutputTokens;
        return {};
    }

    Result<void> readOptions(const json& body, CompletionRequest& request)
    {
        auto stream = body.find("stream");
        if (stream != body.end() && !stream->is_boolean())
            return invalid("stream must be true or false");
        request.stream = stream != body.end() && stream->get<bool>();
        auto choices = body.find("n");
        if (choices != body.end() && *choices != 1)
            return invalid("n must be 1");
        for (const char* name : { "max_tokens", "max_completion_tokens" }) {
            auto limit = body.find(name);
            if (limit == body.end() || limit->is_null())
                continue;
            if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1)
                return invalid(fmt::format("{} must be a whole number above zero", name));
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

Result<CompletionRequest> parseCompletion(const std::string& text, bool chat, const Configuration& configuration)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return invalid("the body must be a JSON object");
    CompletionRequest request { .chat = chat, .body = text };
    auto resolved = resolveModel(body, configuration, request);
    if (!resolved)
        return resolved.error();
    auto prompt = chat ? chatPrompt(body) : plainPrompt(body);
    if (!prompt)
        return prompt.error();
    request.prompt = std::move(*prompt);
    request.promptTokens = estimatePromptTokens(request.prompt);
    auto options = readOptions(body, request);
    if (!options)
        return options.error();
    return request;
}

std::string engineBody(const CompletionRequest& request, int priority)
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
    auto common = fmt::format(R"({{"id":{},"created":{},"model":{},)", jsonText(id), created, jsonText(model));
    m_prefix = common + fmt::format(R"("object":"{}",)", chat ? "chat.completion.chunk" : "text_completion");
    m_wholePrefix = common + fmt::format(R"("object":"{}",)", chat ? "chat.completion" : "text_completion");
}

std::string CompletionFormat::tokenEvent(const std::string& eventId, const std::string& text) const
{
    if (m_chat)
        return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{}}},\"finish_reason\":null}}]}}\n\n", eventId, m_prefix, jsonText(text));
    return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,\"text\":{},\"logprobs\":null,\"finish_reason\":null}}]}}\n\n", eventId, m_prefix, jsonText(text));
}

std::string CompletionFormat::finishEvent(const std::string& eventId, const std::string& finishReason) const
{
    const char* empty = m_chat ? R"("delta":{})" : R"("text":"")";
    return fmt::format("id: {}\ndata: {}\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n", eventId, m_prefix, empty, jsonText(finishReason));
}

std::string CompletionFormat::usageEvent(int promptTokens, int outputTokens) const
{
    return fmt::format("data: {}\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{}}}}}\n\n", m_prefix, promptTokens, outputTokens, promptTokens + outputTokens);
}

std::string CompletionFormat::doneEvent()
{
    return "data: [DONE]\n\n";
}

std::string CompletionFormat::errorEvent(const std::string& problem)
{
    return fmt::format("data: {{\"error\":{}}}\n\n", problem);
}

std::string CompletionFormat::whole(const std::string& text, const std::string& finishReason, int promptTokens, int outputTokens) const
{
    auto content = m_chat ? fmt::format(R"("message":{{"role":"assistant","content":{}}})", jsonText(text)) : fmt::format(R"("text":{},"logprobs":null)", jsonText(text));
    return fmt::format(R"({}"choices":[{{"index":0,{},"finish_reason":{}}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}}}})",
        m_wholePrefix, content, jsonText(finishReason), promptTokens, outputTokens, promptTokens + outputTokens);
}

}
