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

Awaitable<int> handOverUsage(std::vector<UsageRecord> records, std::vector<Endpoint> peers)
{
    int accepted = 0;
    auto body = encodeUsageRecords(records);
    for (std::size_t call = 0; call < std::min(maxCalls, peers.size()) && accepted < custodians; ++call) {
        HttpCall request { .endpoint = peers[call], .method = "POST", .target = usageHandoverPath, .body = body, .timeout = callTimeout };
        auto response = co_await callHttp(std::move(request));
        if (response && response->result_int() == 200)
            ++accepted;
    }
    logEvent(LogLevel::Info, "usage_handed_over", { { "records", std::int64_t(records.size()) }, { "accepted", std::int64_t(accepted) }, { "peers", std::int64_t(peers.size()) } });
    co_return accepted;
}

Awaitable<> receiveUsage(HttpExchange& exchange, UsageCustodian& custodian)
{
    Reply reply;
    if (auto records = decodeUsageRecords(exchange.request().body())) {
        for (const auto& record : *records)
            custodian.accept(record, Clock::now());
    } else {
        reply.status = 400;
        logEvent(LogLevel::Warning, "usage_records_unreadable", { { "peer", toString(exchange.remote()) }, { "bytes", std::int64_t(exchange.request().body().size()) } });
    }
    co_await exchange.send(std::move(reply));
}

}
