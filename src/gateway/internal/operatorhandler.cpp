#include "gateway/operatorhandler.h"

#include "common/overloaded.h"

#include "common/hash.h"
#include "configuration/ticketparser.h"
#include "gateway/problem.h"
#include "usage/usagewriter.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    Reply faultsReply(const std::vector<TicketFault>& faults)
    {
        json list = json::array();
        for (const auto& fault : faults)
            list.push_back({ { "place", fault.place }, { "message", fault.message } });
        json body { { "status", 400 }, { "code", "bad_request" }, { "outcome", "not_run" }, { "detail", "the ticket has faults; nothing was changed" }, { "faults", list } };
        return Reply { .status = 400, .contentType = "application/problem+json", .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
    }

    Reply stateReply(unsigned status, const json& body)
    {
        return Reply { .status = status, .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
    }

    Reply usageReply(const UsageByOrganisation& usage)
    {
        json rows = json::array();
        for (const auto& [organisation, item] : usage)
            rows.push_back({ { "organisation", organisation }, { "prompt_tokens", item.promptTokens }, { "output_tokens", item.outputTokens }, { "requests", item.requests } });
        return stateReply(200, { { "usage", rows } });
    }

    std::string_view nameOf(ClaimState state)
    {
        switch (state) {
        case ClaimState::Claimed:
            return "claimed";
        case ClaimState::Done:
            return "done";
        case ClaimState::Unknown:
            return "unknown";
        }
        return "unknown";
    }

}

OperatorHandler::OperatorHandler(GatewayContext& context, HttpExchange& exchange, const StatusSource& status)
    : m_context(context)
    , m_exchange(exchange)
    , m_status(status)
{
}

bool OperatorHandler::authorised() const
{
    const std::string prefix = "Bearer ";
    auto header = m_exchange.header("Authorization");
    if (!header.starts_with(prefix))
        return false;
    const auto& hashes = m_context.settings.operators.keyHashes;
    return std::find(hashes.begin(), hashes.end(), sha256Hex(header.substr(prefix.size()))) != hashes.end();
}

Awaitable<> OperatorHandler::run()
{
    auto path = m_exchange.path();
    bool isPost = m_exchange.request().method() == http::verb::post;
    Reply reply = problemReply(Error { .code = ErrorCode::NotFound, .step = Step::Validate, .detail = "no such path: " + path }, {});
    if (!authorised())
        reply = problemReply(Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "an operator's key is required" }, {});
    else if (path == "/v1/tickets" && isPost)
        reply = co_await submitTicket();
    else if (path == "/v1/tickets")
        reply = listTickets("");
    else if (path.starts_with("/v1/tickets/"))
        reply = listTickets(path.substr(std::string("/v1/tickets/").size()));
    else if (path == "/v1/configuration")
        reply = showConfiguration();
    else if (path == "/v1/status")
        reply = Reply { .body = m_status() };
    else if (path.starts_with("/v1/explain/"))
        reply = explain(path.substr(std::string("/v1/explain/").size()));
    else if (isPost && path.starts_with("/v1/pardon/"))
        reply = pardon(path.substr(std::string("/v1/pardon/").size()));
    else if (path == "/v1/claims" && isPost)
        reply = co_await settleClaim();
    else if (path == "/v1/claims")
        reply = co_await showClaim();
    else if (path == "/v1/usage") {
        auto usage = co_await readUsage(*m_context.keyValue, nativeUsagePrefix);
        auto organisation = m_exchange.query("organisation");
        if (usage && !organisation.empty())
            std::erase_if(*usage, [&](const auto& entry) { return entry.first != organisation; });
        reply = usage ? usageReply(*usage) : problemReply(usage.error(), { .retryAfter = Seconds(1) });
    }
    co_await m_exchange.send(std::move(reply));
}

Reply OperatorHandler::answerTo(const TicketResult& answer) const
{
    return std::visit(Overloaded {
                          [](const TicketAccepted& each) { return stateReply(200, { { "state", "accepted" }, { "revision", each.revision }, { "repeated", each.repeated } }); },
                          [](const TicketConflict& each) { return stateReply(409, { { "state", "conflict" }, { "code", "conflict" }, { "outcome", "not_run" }, { "detail", "the number was used for another ticket" }, { "revision", each.revision } }); },
                          [](const TicketStale& each) { return stateReply(409, { { "state", "stale" }, { "code", "stale" }, { "outcome", "not_run" }, { "detail", "a later ticket has set " + each.item }, { "later_ticket", each.laterTicket } }); },
                          [](const TicketOutcomeUnknown& each) { return stateReply(502, { { "state", "unknown" }, { "code", "outcome_unknown" }, { "outcome", "unknown" }, { "detail", "the key-value service did not answer (" + describe(each.error) + "); send the same ticket again to learn its state" } }); },
                          [](const TicketNotWritten& each) { return problemReply(each.error, { .retryAfter = Seconds(1) }); },
                          [](const std::vector<TicketFault>& each) { return faultsReply(each); },
                      },
        answer);
}

Awaitable<Reply> OperatorHandler::submitTicket()
{
    auto parsed = parseTicket(m_exchange.request().body());
    if (auto* faults = std::get_if<std::vector<TicketFault>>(&parsed))
        co_return faultsReply(*faults);
    auto ticket = std::get<Ticket>(std::move(parsed));
    auto number = ticket.number;
    auto known = m_context.configuration.record();
    auto answer = co_await m_context.configurationStore.submit(std::move(ticket), std::move(known));
    auto reply = answerTo(answer);
    logEvent(LogLevel::Info, "ticket_answered", { { "ticket", number }, { "status", std::int64_t(reply.status) } });
    if (std::holds_alternative<TicketAccepted>(answer)) {
        auto newer = co_await m_context.configurationStore.fetchNewer(m_context.configuration.record());
        if (newer && *newer)
            m_context.configuration.adopt(**newer);
    }
    co_return reply;
}

Reply OperatorHandler::listTickets(const std::string& number) const
{
    json list = json::array();
    for (const auto& ticket : m_context.configuration.record().head.recent) {
        if (number.empty() || std::to_string(ticket.number) == number)
            list.push_back({ { "ticket", ticket.number }, { "revision", ticket.revision }, { "digest", ticket.digest } });
    }
    if (list.empty() && !number.empty())
        return stateReply(404, { { "code", "not_found" }, { "detail", "no recent ticket with this number is in force here" } });
    return stateReply(200, { { "revision", m_context.configuration.current().revision }, { "tickets", list } });
}

Reply OperatorHandler::showConfiguration() const
{
    json items = json::object();
    for (const auto& chunk : m_context.configuration.record().chunks) {
        for (const auto& [key, item] : chunk) {
            if (!item.json.empty())
                items[key] = { { "ticket", item.ticket }, { "value", json::parse(item.json, nullptr, false) } };
        }
    }
    return stateReply(200, { { "revision", m_context.configuration.current().revision }, { "items", items } });
}

Reply OperatorHandler::explain(const std::string& requestId) const
{
    const auto* records = m_context.decisions.find(requestId);
    if (!records)
        return stateReply(404, { { "code", "not_found" }, { "detail", "this instance holds no record of the request; ask the instance that the id begins with" } });
    json list = json::array();
    for (const auto& record : *records) {
        auto whole = std::chrono::floor<std::chrono::seconds>(record.time);
        auto millis = std::chrono::duration_cast<Milliseconds>(record.time - whole).count();
        auto time = fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(std::chrono::system_clock::to_time_t(whole)), millis);
        list.push_back({ { "time", time }, { "step", record.step }, { "reason", record.reason }, { "peer", record.peer }, { "detail", record.detail } });
    }
    return stateReply(200, { { "request_id", requestId }, { "instance", m_context.settings.instance.name }, { "decisions", list } });
}

Reply OperatorHandler::pardon(const std::string& fingerprint) const
{
    constexpr int hexadecimal = 16;
    char* end = nullptr;
    auto value = std::strtoull(fingerprint.c_str(), &end, hexadecimal);
    if (fingerprint.empty() || *end != 0)
        return stateReply(400, { { "code", "bad_request" }, { "detail", "a fingerprint has 16 hexadecimal digits" } });
    bool known = m_context.quarantine.pardon(value, Clock::now());
    return stateReply(200, { { "state", "pardoned" }, { "known_here", known } });
}

Awaitable<Reply> OperatorHandler::showClaim()
{
    ClaimKey key { .organisation = m_exchange.query("organisation"), .service = m_exchange.query("service"), .key = m_exchange.query("key") };
    auto record = co_await m_context.claims.lookUp(key);
    if (!record)
        co_return problemReply(record.error(), { .retryAfter = Seconds(1) });
    if (!*record)
        co_return stateReply(404, { { "code", "not_found" }, { "detail", "no claim is on record for this key" } });
    co_return stateReply(200, { { "state", std::string(nameOf((*record)->state)) }, { "claimed_at_unix_ms", (*record)->claimedAtMs }, { "deadline_unix_ms", (*record)->deadlineMs } });
}

Awaitable<Reply> OperatorHandler::settleClaim()
{
    auto body = json::parse(m_exchange.request().body(), nullptr, false);
    bool valid = body.is_object();
    for (const char* name : { "organisation", "service", "key", "outcome" })
        valid = valid && body.contains(name) && body[name].is_string();
    auto outcome = valid ? body["outcome"].get<std::string>() : "";
    if (outcome != "ran" && outcome != "not_run")
        co_return stateReply(400, { { "code", "bad_request" }, { "detail", "organisation, service, key and an outcome of ran or not_run are required" } });
    ClaimSettlement settlement { .key = { .organisation = body["organisation"], .service = body["service"], .key = body["key"] } };
    settlement.outcome = outcome == "ran" ? Outcome::Ran : Outcome::NotRun;
    settlement.reply = { .status = 200, .contentType = "application/json", .body = R"({"detail":"settled by an operator as ran"})" };
    auto record = co_await m_context.claims.lookUp(settlement.key);
    if (!record)
        co_return problemReply(record.error(), { .retryAfter = Seconds(1) });
    if (!*record)
        co_return stateReply(404, { { "code", "not_found" }, { "detail", "no claim is on record for this key" } });
    auto now = unixMilliseconds();
    if ((*record)->state == ClaimState::Claimed && (*record)->deadlineMs > now)
        co_return stateReply(409, { { "code", "in_progress" }, { "detail", "the request may still be running" }, { "deadline_unix_ms", (*record)->deadlineMs } });
    bool settled = co_await m_context.claims.settle(settlement);
    co_return stateReply(settled ? 200 : 503, { { "state", settled ? "settled" : "unknown" } });
}

}
