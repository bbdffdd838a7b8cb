#include "engines/httpengine.h"

#include "net/eventstreamreader.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr auto connectTimeout = Seconds(2);
    constexpr auto controlCallTimeout = Seconds(2);
    constexpr const char* incarnationHeader = "X-Engine-Incarnation";
    constexpr const char* generationHeader = "X-Generation-Id";

    Error badEventError(const GenerationIdentity& identity, std::string detail)
    {
        return Error { .code = ErrorCode::BadReply, .step = Step::Relay, .peer = identity.target, .detail = std::move(detail), .outcome = Outcome::Unknown };
    }

    /// Takes "incarnation/generation/offset" apart.
    bool parseEngineEventId(const std::string& id, GenerationIdentity& identity, int& offset)
    {
        auto firstSlash = id.find('/');
        auto secondSlash = id.find('/', firstSlash + 1);
        if (firstSlash == std::string::npos || secondSlash == std::string::npos)
            return false;
        identity.incarnation = id.substr(0, firstSlash);
        identity.generation = id.substr(firstSlash + 1, secondSlash - firstSlash - 1);
        auto [end, parseError] = std::from_chars(id.data() + secondSlash + 1, id.data() + id.size(), offset);
        return parseError == std::errc {} && end == id.data() + id.size();
    }

    std::string readText(const json& choice)
    {
        if (auto text = choice.find("text"); text != choice.end() && text->is_string())
            return text->get<std::string>();
        auto delta = choice.find("delta");
        if (delta == choice.end() || !delta->is_object())
            return {};
        return delta->value("content", "");
    }

    Result<EngineEvent> parseEvent(const ServerSentEvent& event, const std::string& target)
    {
        GenerationIdentity identity { .target = target };
        int offset = 0;
        if (!parseEngineEventId(event.id, identity, offset))
            return badEventError(identity, "event without a usable id");
        if (event.event == "preempted")
            return EngineEvent { GenerationPreempted { .identity = identity } };
        auto data = json::parse(event.data, nullptr, false);
        auto choices = data.is_object() ? data.find("choices") : data.end();
        if (!data.is_object() || choices == data.end() || !choices->is_array() || choices->empty())
            return badEventError(identity, "event without choices");
        const auto& choice = choices->front();
        auto finish = choice.find("finish_reason");
        if (finish != choice.end() && finish->is_string())
            return EngineEvent { GenerationEnded { .identity = identity, .total = offset, .finishReason = finish->get<std::string>() } };
        return EngineEvent { TokenReceived { .identity = identity, .offset = offset, .text = readText(choice) } };
    }

    class HttpEngineStream : public IEngineStream {
    public:
        HttpEngineStream(std::unique_ptr<EventStreamReader> reader, GenerationIdentity identity)
            : m_reader(std::move(reader))
            , m_identity(std::move(identity))
        {
        }

        const GenerationIdentity& identity() const override { return m_identity; }

        Awaitable<Result<EngineEvent>> next(Clock::duration silenceLimit) override
        {
            auto event = co_await m_reader->next(silenceLimit);
            if (!event) {
                auto error = event.error();
                error.peer = m_identity.target;
                co_return error;
            }
            bool bodyEnded = !*event || (*event)->data == "[DONE]";
            if (bodyEnded)
                co_return Error { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = m_identity.target, .detail = "body ended before the generation", .outcome = Outcome::Unknown };
            co_return parseEvent(**event, m_identity.target);
        }

        std::optional<EngineEvent> buffered() override
        {
            auto event = m_reader->buffered();
            if (!event || event->data == "[DONE]")
                return std::nullopt;
            auto parsed = parseEvent(*event, m_identity.target);
            if (!parsed)
                return std::nullopt;
            return std::move(*parsed);
        }

        void cancelWait() override { m_reader->cancel(); }

    private:
        std::unique_ptr<EventStreamReader> m_reader;
        GenerationIdentity m_identity;
    };

    /// What a status other than 200 says about the request.
    Error refusalError(unsigned status, const std::string& body, const std::string& target, Step step)
    {
        auto parsed = json::parse(body, nullptr, false);
        bool reportsNotRun = parsed.is_object() && parsed.value("outcome", "") == "not_run";
        auto outcome = reportsNotRun || (status >= 400 && status < 500) ? Outcome::NotRun : Outcome::Unknown;
        auto code = status == 404 ? ErrorCode::NotFound : (status == 400 ? ErrorCode::BadRequest : (status == 503 || status == 429 ? ErrorCode::Overloaded : ErrorCode::Refused));
        return Error { .code = code, .step = step, .peer = target, .detail = fmt::format("status {}", status), .outcome = outcome };
    }

}

HttpEngine::HttpEngine(std::string name, Endpoint endpoint)
    : m_name(std::move(name))
    , m_endpoint(std::move(endpoint))
{
}

Awaitable<Result<std::unique_ptr<IEngineStream>>> HttpEngine::start(GenerationRequest request)
{
    auto reader = std::make_unique<EventStreamReader>(co_await asio::this_coro::executor);
    HttpCall call { .endpoint = m_endpoint, .method = "POST", .target = request.chat ? "/v1/chat/completions" : "/v1/completions", .body = std::move(request.body), .timeout = connectTimeout };
    call.headers["traceparent"] = request.traceparent;
    auto status = co_await reader->open(std::move(call));
    if (!status) {
        auto error = status.error();
        error.peer = m_name;
        co_return error;
    }
    if (*status != 200)
        co_return refusalError(*status, reader->errorBody(), m_name, Step::SendRequest);
    GenerationIdentity identity { .target = m_name, .incarnation = reader->header(incarnationHeader), .generation = reader->header(generationHeader) };
    co_return std::unique_ptr<IEngineStream>(std::make_unique<HttpEngineStream>(std::move(reader), std::move(identity)));
}

Awaitable<Result<std::unique_ptr<IEngineStream>>> HttpEngine::resume(GenerationIdentity identity, int offset)
{
    auto reader = std::make_unique<EventStreamReader>(co_await asio::this_coro::executor);
    HttpCall call { .endpoint = m_endpoint, .method = "GET", .target = fmt::format("/v1/generations/{}?from={}", identity.generation, offset), .timeout = connectTimeout };
    call.headers[incarnationHeader] = identity.incarnation;
    auto status = co_await reader->open(std::move(call));
    if (!status) {
        auto error = status.error();
        error.peer = m_name;
        error.step = Step::Resume;
        co_return error;
    }
    if (*status != 200)
        co_return refusalError(*status, reader->errorBody(), m_name, Step::Resume);
    co_return std::unique_ptr<IEngineStream>(std::make_unique<HttpEngineStream>(std::move(reader), std::move(identity)));
}

Awaitable<Result<void>> HttpEngine::cancel(GenerationIdentity identity)
{
    HttpCall call { .endpoint = m_endpoint, .method = "DELETE", .target = "/v1/generations/" + identity.generation, .timeout = controlCallTimeout };
    call.headers[incarnationHeader] = identity.incarnation;
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    co_return Result<void> {};
}

Awaitable<Result<void>> HttpEngine::setPriority(GenerationIdentity identity, int priority)
{
    HttpCall call { .endpoint = m_endpoint, .method = "PATCH", .target = "/v1/generations/" + identity.generation, .body = json { { "priority", priority } }.dump(), .timeout = controlCallTimeout };
    call.headers[incarnationHeader] = identity.incarnation;
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    co_return Result<void> {};
}

Awaitable<Result<LoadReport>> HttpEngine::load()
{
    HttpCall call { .endpoint = m_endpoint, .target = "/load", .timeout = controlCallTimeout };
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    auto body = json::parse(response->body(), nullptr, false);
    if (response->result_int() != 200 || !body.is_object())
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = m_name, .detail = "load report cannot be read" };
    try {
        auto age = fromSeconds(body.value("age_seconds", 0.0));
        co_return LoadReport { .measuredAt = Clock::now() - age, .tokensCapacity = body.at("tokens_capacity"), .tokensUsed = body.at("tokens_used"), .running = body.at("running"), .waiting = body.at("waiting"), .stepSeconds = body.value("step_seconds", 0.0) };
    } catch (const json::exception& exception) {
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = m_name, .detail = exception.what() };
    }
}

Awaitable<Result<CacheEvents>> HttpEngine::fetchCacheEvents(std::uint64_t afterSequence)
{
    HttpCall call { .endpoint = m_endpoint, .target = fmt::format("/cache-events?after={}", afterSequence), .timeout = controlCallTimeout };
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    auto body = json::parse(response->body(), nullptr, false);
    if (response->result_int() != 200 || !body.is_object())
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = m_name, .detail = "cache events cannot be read" };
    try {
        CacheEvents cacheEvents { .lastSequence = afterSequence };
        for (const auto& event : body.at("events")) {
            auto sequence = event.at("sequence").get<std::uint64_t>();
            cacheEvents.gap = cacheEvents.gap || sequence != cacheEvents.lastSequence + 1;
            cacheEvents.lastSequence = sequence;
            auto block = event.at("block").get<std::uint64_t>();
            (event.at("stored").get<bool>() ? cacheEvents.stored : cacheEvents.removed).push_back(block);
        }
        co_return cacheEvents;
    } catch (const json::exception& exception) {
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = m_name, .detail = exception.what() };
    }
}

}
