#include "gateway/completionformat.h"
#include "gateway/problem.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace guavaspan;
using nlohmann::json;

namespace {

Configuration configuration()
{
    Configuration result;
    result.services["reports"] = { .models = { "writer", "other" }, .maxOutputTokens = 500 };
    result.services["valves"] = { .type = ServiceType::Plain };
    return result;
}

}

Test(CompletionFormat, validRequest_isParsed)
{
    auto request = parseCompletionRequest(R"({"model":"reports/other","prompt":"hello","stream":true,"max_tokens":9000,"stream_options":{"include_usage":true}})", false, configuration());
    cr_assert(request.has_value());
    cr_expect(request->service == "reports" && request->model == "other" && request->stream && request->includeUsage);
    cr_expect(request->maxTokens == 500, "max_tokens is capped at the limit of the service");
    auto chat = parseCompletionRequest(R"({"model":"reports","messages":[{"role":"user","content":"hi"}],"max_completion_tokens":7})", true, configuration());
    cr_assert(chat.has_value());
    cr_expect(chat->model == "writer" && chat->maxTokens == 7);
}

Test(CompletionFormat, invalidRequest_failsAsNotRun)
{
    for (const char* body : { "", "[]", "{}", R"({"model":5,"prompt":"x"})", R"({"model":"nowhere","prompt":"x"})", R"({"model":"valves","prompt":"x"})", R"({"model":"reports/no","prompt":"x"})", R"({"model":"reports"})", R"({"model":"reports","prompt":""})", R"({"model":"reports","prompt":"x","max_tokens":0})", R"({"model":"reports","prompt":"x","n":2})", R"({"model":"reports","prompt":"x","stream":"yes"})" }) {
        auto request = parseCompletionRequest(body, false, configuration());
        cr_assert(!request.has_value(), "%s", body);
        cr_expect(request.error().outcome == Outcome::NotRun);
        cr_expect(!request.error().detail.empty());
    }
}

Test(CompletionFormat, engineRequestBody_keepsUnknownFields)
{
    auto request = parseCompletionRequest(R"({"model":"reports","prompt":"x","temperature":0.2,"stream_options":{}})", false, configuration());
    auto body = json::parse(makeEngineRequestBody(*request, 3));
    cr_expect(body["temperature"] == 0.2);
    cr_expect(body["model"] == "writer");
    cr_expect(body["priority"] == 3);
    cr_expect(body["stream"] == true);
    cr_expect(body["max_tokens"] == 500);
}

Test(CompletionFormat, textWithSpecialCharacters_yieldsValidJson)
{
    for (bool chat : { false, true }) {
        CompletionFormat format(chat, "r\"1", "reports", 5);
        auto event = format.tokenEvent("id.1", "line\nwith \"quotes\" and \xff");
        auto data = event.substr(event.find("data: ") + 6);
        cr_expect(event.starts_with("id: id.1\n") && event.ends_with("\n\n"));
        cr_expect(json::accept(data));
        cr_expect(json::accept(format.makeResponse("a\"b", "stop", 3, 4)));
        auto usage = format.usageEvent(3, 4);
        cr_expect(json::parse(usage.substr(6))["usage"]["total_tokens"] == 7);
    }
}

Test(Problem, errorReply_containsCodeStepPeerAndOutcome)
{
    Error error { .code = ErrorCode::Incomplete, .step = Step::Relay, .peer = "engine-1", .detail = "d", .outcome = Outcome::Ran };
    auto reply = problemReply(error, { .requestId = "r", .deliveredTokens = 4, .retryAfter = Milliseconds(1500) });
    auto body = json::parse(reply.body);
    cr_expect(body["code"] == "incomplete" && body["step"] == "relay" && body["peer"] == "engine-1" && body["outcome"] == "ran" && body["delivered_tokens"] == 4);
    cr_expect(reply.headers.at("Retry-After") == "2");
    cr_expect(reply.headers.at("X-Request-Id") == "r");
}
