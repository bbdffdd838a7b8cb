#include "standins/platformserver.h"

#include "common/encoding.h"

#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

    std::string bytesAt(const json& object, const char* name)
    {
        return fromBase64(object.value(name, "")).value_or("");
    }

    std::int64_t numberAt(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
    }

    json header(std::int64_t revision)
    {
        return { { "revision", std::to_string(revision) } };
    }

    bool isWrite(const std::string& path)
    {
        return path == "/v3/kv/txn" || path == "/v3/lease/grant" || path == "/v3/lease/keepalive";
    }

}

PlatformServer::PlatformServer(asio::io_context& context)
    : m_server(context, HttpLimits { .maxBodyBytes = 4 << 20 }, [this](HttpExchange& exchange) { return handle(exchange); })
{
}

Result<Endpoint> PlatformServer::listen(const Endpoint& endpoint)
{
    return m_server.listen(endpoint);
}

Awaitable<> PlatformServer::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path.starts_with("/v3/")) {
        co_await handleKeyValue(exchange);
        co_return;
    }
    Reply reply { .status = 404, .body = "{}" };
    if (path == "/instances")
        reply = answerList(exchange);
    else if (path == "/faults")
        reply = setFaults(exchange.request().body());
    else if (path == "/counters")
        reply = counters();
    co_await exchange.send(std::move(reply));
}

Awaitable<> PlatformServer::handleKeyValue(HttpExchange& exchange)
{
    auto path = exchange.path();
    bool write = isWrite(path);
    ++(write ? m_writeCalls : m_readCalls);
    if (m_faults.outage) {
        exchange.abort();
        co_return;
    }
    if (!(write ? m_writes : m_reads).admit(Clock::now())) {
        ++m_limitedCalls;
        Reply limited { .status = 429, .body = "{}" };
        co_await exchange.send(std::move(limited));
        co_return;
    }
    if (m_faults.delay.count() > 0)
        co_await sleepFor(m_faults.delay);
    Reply reply { .body = answerKeyValue(path, exchange.request().body()) };
    if (write && m_faults.responsesToDrop > 0) {
        --m_faults.responsesToDrop;
        exchange.abort();
        co_return;
    }
    co_await exchange.send(std::move(reply));
}

std::string PlatformServer::answerKeyValue(const std::string& path, const std::string& body)
{
    auto now = Clock::now();
    auto request = json::parse(body, nullptr, false);
    if (!request.is_object())
        return R"({"error":"bad request"})";
    if (path == "/v3/kv/range") {
        json entries = json::array();
        for (const auto& entry : m_model.range(bytesAt(request, "key"), bytesAt(request, "range_end"), now))
            entries.push_back({ { "key", toBase64(entry.key) }, { "value", toBase64(entry.value) }, { "mod_revision", std::to_string(entry.version) } });
        return json { { "header", header(m_model.revision()) }, { "kvs", entries } }.dump();
    }
    if (path == "/v3/kv/txn") {
        const auto& compare = request.at("compare").at(0);
        const auto& put = request.at("success").at(0).at("request_put");
        SwapOptions options { .key = bytesAt(put, "key"), .expectedVersion = numberAt(compare, "mod_revision"), .value = bytesAt(put, "value"), .lease = numberAt(put, "lease") };
        auto answer = m_model.swap(options, now);
        return json { { "header", header(m_model.revision()) }, { "succeeded", answer.swapped } }.dump();
    }
    if (path == "/v3/lease/grant") {
        auto lease = m_model.grantLease(Seconds(numberAt(request, "TTL")), now);
        return json { { "ID", std::to_string(lease) }, { "TTL", std::to_string(numberAt(request, "TTL")) } }.dump();
    }
    if (path == "/v3/lease/keepalive") {
        auto lease = numberAt(request, "ID");
        auto alive = m_model.keepAlive(lease, now);
        json result { { "ID", std::to_string(lease) }, { "TTL", std::to_string(alive ? m_model.timeToLive(lease).count() : 0) } };
        return json { { "result", result } }.dump();
    }
    return R"({"error":"unknown call"})";
}

/// The list is answered as it was a while ago.
Reply PlatformServer::answerList(HttpExchange& exchange)
{
    auto now = Clock::now();
    if (exchange.request().method() == http::verb::post) {
        m_lists.emplace_back(now, exchange.request().body());
        return Reply { .body = "{}" };
    }
    while (m_lists.size() > 1 && m_lists[1].first + m_listLag <= now)
        m_lists.pop_front();
    bool visible = !m_lists.empty() && m_lists.front().first + m_listLag <= now;
    return Reply { .body = visible ? m_lists.front().second : R"({"instances":[],"targets":[]})" };
}

Reply PlatformServer::setFaults(const std::string& body)
{
    auto faults = json::parse(body, nullptr, false);
    if (!faults.is_object())
        return Reply { .status = 400, .body = "{}" };
    m_faults.outage = faults.value("outage", m_faults.outage);
    m_faults.delay = Milliseconds(faults.value("delay_ms", m_faults.delay.count()));
    m_faults.responsesToDrop = faults.value("lose_answers", m_faults.responsesToDrop);
    m_listLag = Milliseconds(faults.value("list_lag_ms", m_listLag.count()));
    m_reads = RateLimit(faults.value("reads_per_second", 2000));
    m_writes = RateLimit(faults.value("writes_per_second", 400));
    return Reply { .body = "{}" };
}

Reply PlatformServer::counters() const
{
    json body { { "reads", m_readCalls }, { "writes", m_writeCalls }, { "limited", m_limitedCalls } };
    return Reply { .body = body.dump() };
}

}
