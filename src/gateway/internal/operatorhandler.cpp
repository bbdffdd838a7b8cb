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

    Reply ticketFaultsReply(const std::vector<TicketFault>& faults)
    {
        json faultList = json::array();
        for (const auto& fault : faults)
            faultList.push_back({ { "place", fault.place }, { "message", fault.message } });
        json body { { "status", 400 }, { "code", "bad_request" }, { "outcome", "not_run" }, { "detail", "the ticket is invalid; nothing was changed" }, { "faults", faultList } };
        return Reply { .status = 400, .contentType = "application/problem+json", .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
    }

    Reply jsonReply(unsigned status, const json& body)
    {
        return Reply { .status = status, .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
    }

    Reply usageReply(const UsageByOrganisation& usage)
    {
        json rows = json::array();
        for (const auto& [organisation, totals] : usage)
            rows.push_back({ { "organisation", organisation }, { "prompt_tokens", totals.promptTokens }, { "output_tokens", totals.outputTokens }, { "requests", totals.requests } });
        return jsonReply(200, { { "usage", rows } });
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

OperatorHandler::OperatorHandler(GatewayContext& context, HttpExchange& exchange, const StatusProvider& statusProvider)
    : m_context(context)
    , m_exchange(exchange)
    , m_statusProvider(statusProvider)
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
        reply = problemReply(Error { .code = ErrorCode::Unauthorised, .step = Step::Authenticate, .detail = "an operator key is required" }, {});
    else if (path == "/v1/tickets" && isPost)
        reply = co_await submitTicket();
    else if (path == "/v1/tickets")
        reply = listTickets("");
    else if (path.starts_with("/v1/tickets/"))
        reply = listTickets(path.substr(std::string("/v1/tickets/").size()));
    else if (path == "/v1/configuration")
        reply = showConfiguration();
    else if (path == "/v1/status")
        reply = Reply { .body = m_statusProvider() };
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

Reply OperatorHandler::makeTicketReply(const TicketResult& result) const
{
    return std::visit(Overloaded {
                          [](const TicketAccepted& accepted) { return jsonReply(200, { { "state", "accepted" }, { "revision", accepted.revision }, { "repeated", accepted.repeated } }); },
                          [](const TicketConflict& conflict) { return jsonReply(409, { { "state", "conflict" }, { "code", "conflict" }, { "outcome", "not_run" }, { "detail", "the ticket number is already used by another ticket" }, { "revision", conflict.revision } }); },
                          [](const TicketStale& stale) { return jsonReply(409, { { "state", "stale" }, { "code", "stale" }, { "outcome", "not_run" }, { "detail", "a later ticket has set " + stale.item }, { "later_ticket", stale.laterTicket } }); },
                          [](const TicketOutcomeUnknown& unknown) { return jsonReply(502, { { "state", "unknown" }, { "code", "outcome_unknown" }, { "outcome", "unknown" }, { "detail", "the key-value service did not answer (" + describe(unknown.error) + "); submit the same ticket again to query its state" } }); },
                          [](const TicketNotWritten& notWritten) { return problemReply(notWritten.error, { .retryAfter = Seconds(1) }); },
                          [](const std::vector<TicketFault>& faults) { return ticketFaultsReply(faults); },
                      },
        result);
}

Awaitable<Reply> OperatorHandler::submitTicket()
{
    auto parsed = parseTicket(m_exchange.request().body());
    if (auto* faults = std::get_if<std::vector<TicketFault>>(&parsed))
        co_return ticketFaultsReply(*faults);
    auto ticket = std::get<Ticket>(std::move(parsed));
    auto number = ticket.number;
    auto knownRecord = m_context.configuration.record();
    auto result = co_await m_context.configurationStore.submit(std::move(ticket), std::move(knownRecord));
    auto reply = makeTicketReply(result);
    logEvent(LogLevel::Info, "ticket_answered", { { "ticket", number }, { "status", std::int64_t(reply.status) } });
    if (std::holds_alternative<TicketAccepted>(result)) {
        auto newerRecord = co_await m_context.configurationStore.fetchNewer(m_context.configuration.record());
        if (newerRecord && *newerRecord)
            m_context.configuration.adopt(**newerRecord);
    }
    co_return reply;
}

Reply OperatorHandler::listTickets(const std::string& number) const
{
    json tickets = json::array();
    for (const auto& ticket : m_context.configuration.record().head.recentTickets) {
        if (number.empty() || std::to_string(ticket.number) == number)
            tickets.push_back({ { "ticket", ticket.number }, { "revision", ticket.revision }, { "digest", ticket.digest } });
    }
    if (tickets.empty() && !number.empty())
        return jsonReply(404, { { "code", "not_found" }, { "detail", "this instance has no recent ticket with this number" } });
    return jsonReply(200, { { "revision", m_context.configuration.current().revision }, { "tickets", tickets } });
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
    return jsonReply(200, { { "revision", m_context.configuration.current().revision }, { "items", items } });
}

Reply OperatorHandler::explain(const std::string& requestId) const
{
    const auto* records = m_context.decisions.find(requestId);
    if (!records)
        return jsonReply(404, { { "code", "not_found" }, { "detail", "this instance has no records of the request; query the instance whose name the id starts with" } });
    json decisions = json::array();
    for (const auto& record : *records) {
        auto wholeSeconds = std::chrono::floor<std::chrono::seconds>(record.time);
        auto milliseconds = std::chrono::duration_cast<Milliseconds>(record.time - wholeSeconds).count();
        auto time = fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(std::chrono::system_clock::to_time_t(wholeSeconds)), milliseconds);
        decisions.push_back({ { "time", time }, { "step", record.step }, { "reason", record.reason }, { "peer", record.peer }, { "detail", record.detail } });
    }
    return jsonReply(200, { { "request_id", requestId }, { "instance", m_context.settings.instance.name }, { "decisions", decisions } });
}

Reply OperatorHandler::pardon(const std::string& fingerprint) const
{
    constexpr int hexadecimalBase = 16;
    char* end = nullptr;
    auto value = std::strtoull(fingerprint.c_str(), &end, hexadecimalBase);
    if (fingerprint.empty() || *end != 0)
        return jsonReply(400, { { "code", "bad_request" }, { "detail", "a fingerprint has 16 hexadecimal digits" } });
    bool wasKnown = m_context.quarantine.pardon(value, Clock::now());
    return jsonReply(200, { { "state", "pardoned" }, { "known_here", wasKnown } });
}

Awaitable<Reply> OperatorHandler::showClaim()
{
    ClaimKey key { .organisation = m_exchange.query("organisation"), .service = m_exchange.query("service"), .key = m_exchange.query("key") };
    auto record = co_await m_context.claims.lookUp(key);
    if (!record)
        co_return problemReply(record.error(), { .retryAfter = Seconds(1) });
    if (!*record)
        co_return jsonReply(404, { { "code", "not_found" }, { "detail", "there is no claim for this key" } });
    co_return jsonReply(200, { { "state", std::string(nameOf((*record)->state)) }, { "claimed_at_unix_ms", (*record)->claimedAtMs }, { "deadline_unix_ms", (*record)->deadlineMs } });
}

Awaitable<Reply> OperatorHandler::settleClaim()
{
    auto body = json::parse(m_exchange.request().body(), nullptr, false);
    bool valid = body.is_object();
    for (const char* name : { "organisation", "service", "key", "outcome" })
        valid = valid && body.contains(name) && body[name].is_string();
    auto outcome = valid ? body["outcome"].get<std::string>() : "";
    if (outcome != "ran" && outcome != "not_run")
        co_return jsonReply(400, { { "code", "bad_request" }, { "detail", "organisation, service, key and an outcome of ran or not_run are required" } });
    ClaimSettlement settlement { .key = { .organisation = body["organisation"], .service = body["service"], .key = body["key"] } };
    settlement.outcome = outcome == "ran" ? Outcome::Ran : Outcome::NotRun;
    settlement.reply = { .status = 200, .contentType = "application/json", .body = R"({"detail":"settled by an operator as ran"})" };
    auto record = co_await m_context.claims.lookUp(settlement.key);
    if (!record)
        co_return problemReply(record.error(), { .retryAfter = Seconds(1) });
    if (!*record)
        co_return jsonReply(404, { { "code", "not_found" }, { "detail", "there is no claim for this key" } });
    auto now = unixMilliseconds();
    if ((*record)->state == ClaimState::Claimed && (*record)->deadlineMs > now)
        co_return jsonReply(409, { { "code", "in_progress" }, { "detail", "the request may still be running" }, { "deadline_unix_ms", (*record)->deadlineMs } });
    bool settled = co_await m_context.claims.settle(settlement);
    co_return jsonReply(settled ? 200 : 503, { { "state", settled ? "settled" : "unknown" } });
}

}
