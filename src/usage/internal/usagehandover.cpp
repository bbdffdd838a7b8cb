#include "usage/usagehandover.h"

#include "common/log.h"
#include "net/httpclient.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// A second one keeps the records if the first one ends.
    constexpr int custodians = 2;
    constexpr auto callTimeout = Milliseconds(250);
    /// Limits the time that peers which do not respond can take.
    constexpr std::size_t maxCalls = 3;

}

Awaitable<int> handOverUsage(UsageHandover handover, std::vector<Endpoint> peers)
{
    int accepted = 0;
    auto heldRecords = handover.held.size();
    auto usage = std::move(handover.held);
    if (!handover.own.totals.empty())
        usage.push_back({ .record = handover.own });
    for (std::size_t call = 0; call < std::min(maxCalls, peers.size()) && accepted < custodians && !usage.empty(); ++call) {
        HttpCall request { .endpoint = peers[call], .method = "POST", .target = usageHandoverPath, .body = encodeHandedUsage(usage), .timeout = callTimeout };
        auto response = co_await callHttp(std::move(request));
        if (!response || response->result_int() != 200)
            continue;
        ++accepted;
        // Other instances that hold these records are their second custodians.
        std::erase_if(usage, [&](const HandedUsage& handed) { return handed.record.key != handover.own.key; });
    }
    logEvent(LogLevel::Info, "usage_handed_over", { { "held_records", std::int64_t(heldRecords) }, { "accepted", std::int64_t(accepted) }, { "peers", std::int64_t(peers.size()) } });
    co_return accepted;
}

Awaitable<> receiveUsage(HttpExchange& exchange, UsageCustodian& custodian)
{
    Reply reply;
    if (auto usage = decodeHandedUsage(exchange.request().body())) {
        for (const auto& handed : *usage)
            custodian.accept(handed, Clock::now());
    } else {
        reply.status = 400;
        logEvent(LogLevel::Warning, "usage_records_unreadable", { { "peer", toString(exchange.remote()) }, { "bytes", std::int64_t(exchange.request().body().size()) } });
    }
    co_await exchange.send(std::move(reply));
}

}
