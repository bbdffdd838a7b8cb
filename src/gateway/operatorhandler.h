#pragma once

#include "gateway/gateway.h"

namespace guavaspan {

/// Serves operators: tickets, configuration, usage, claims, status, explanations.
class OperatorHandler {
public:
    OperatorHandler(GatewayContext&, HttpExchange&, const StatusSource&);
    Awaitable<> run();

private:
    bool authorised() const;
    Awaitable<Reply> submitTicket();
    Reply listTickets(const std::string& number) const;
    Reply showConfiguration() const;
    Reply explain(const std::string& requestId) const;
    Reply pardon(const std::string& fingerprint) const;
    Awaitable<Reply> showClaim();
    Awaitable<Reply> settleClaim();
    Reply answerTo(const TicketResult&) const;

    GatewayContext& m_context;
    HttpExchange& m_exchange;
    const StatusSource& m_status;
};

}
