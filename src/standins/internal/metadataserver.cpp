#include "standins/metadataserver.h"

#include "common/encoding.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

    constexpr std::size_t pageItems = 50;
    constexpr std::size_t historyLimit = 1000;
    constexpr auto watchStep = Milliseconds(5);
    constexpr auto longSilence = std::chrono::hours(1);

    Reply answer(const json& body, unsigned status = 200)
    {
        return { .status = status, .body = body.dump() };
    }

    std::int64_t numberAt(HttpExchange& exchange, const char* name)
    {
        auto text = exchange.query(name);
        return text.empty() ? 0 : std::stoll(text);
    }

    /// Query values of this protocol escape few characters.
    std::string unescaped(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                result += text[i];
                continue;
            }
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return result;
    }

}

MetadataServer::MetadataServer(asio::io_context& context)
    : m_server(context, HttpLimits { .maxBodyBytes = 8 << 20 }, [this](HttpExchange& exchange) { return handle(exchange); })
{
}

Result<Endpoint> MetadataServer::listen(const Endpoint& endpoint)
{
    return m_server.listen(endpoint);
}

void MetadataServer::store(const std::string& key, const std::string& value, LeaseId lease)
{
    ++m_revision;
    auto& item = m_items[key];
    if (item.created == 0)
        item.created = m_revision;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_history.push_back({ .key = key, .revision = m_revision });
    while (m_history.size() > historyLimit) {
        m_historyStart = m_history.front().revision;
        m_history.pop_front();
    }
}

void MetadataServer::put(const std::string& key, const std::string& value)
{
    store(key, value, noLease);
}

void MetadataServer::remove(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_history.push_back({ .key = key, .revision = m_revision, .removed = true });
}

void MetadataServer::compactHistory()
{
    m_history.clear();
    m_historyStart = m_revision;
}

void MetadataServer::expireLeases()
{
    auto now = Clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.endsAt > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
        lease = m_leases.erase(lease);
    }
}

std::string MetadataServer::itemJson(const std::string& key, const Item& item) const
{
    return json { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease }, { "at", m_revision } }.dump();
}

Reply MetadataServer::get(HttpExchange& exchange)
{
    auto key = unescaped(exchange.query("key"));
    auto found = m_items.find(key);
    if (found == m_items.end())
        return answer({ { "at", m_revision } }, 404);
    return { .body = itemJson(key, found->second) };
}

Reply MetadataServer::range(HttpExchange& exchange)
{
    auto prefix = unescaped(exchange.query("path_prefix"));
    auto after = unescaped(exchange.query("after"));
    json entries = json::array();
    bool more = false;
    for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (entries.size() == pageItems) {
            more = true;
            break;
        }
        entries.push_back(json::parse(itemJson(item->first, item->second)));
    }
    return answer({ { "entries", entries }, { "has_more", more }, { "at", m_revision } });
}

std::string MetadataServer::changesAfter(std::int64_t revision, const std::string& prefix) const
{
    json events = json::array();
    for (const auto& change : m_history) {
        if (change.revision <= revision || !change.key.starts_with(prefix))
            continue;
        auto item = m_items.find(change.key);
        if (change.removed)
            events.push_back({ { "key", change.key }, { "revision", change.revision }, { "deleted", true } });
        else if (item != m_items.end() && item->second.revision == change.revision)
            events.push_back(json::parse(itemJson(change.key, item->second)));
    }
    if (events.empty())
        return {};
    return json { { "events", events }, { "at", m_revision } }.dump();
}

Awaitable<Reply> MetadataServer::watch(HttpExchange& exchange)
{
    auto prefix = unescaped(exchange.query("path_prefix"));
    auto after = numberAt(exchange, "after");
    auto until = Clock::now() + Milliseconds(numberAt(exchange, "wait_ms"));
    while (true) {
        if (after < m_historyStart)
            co_return answer(json::object(), 410);
        auto changes = changesAfter(after, prefix);
        if (!changes.empty())
            co_return Reply { .body = std::move(changes) };
        if (Clock::now() >= until)
            co_return answer({ { "events", json::array() }, { "at", m_revision } });
        co_await sleepFor(watchStep);
        expireLeases();
    }
}

Reply MetadataServer::transact(const std::string& body)
{
    auto call = json::parse(body);
    json current = json::array();
    bool holds = true;
    for (const auto& row : call.at("expected")) {
        auto key = row.at("key").get<std::string>();
        auto found = m_items.find(key);
        auto revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").get<std::int64_t>();
        if (found != m_items.end())
            current.push_back(json::parse(itemJson(key, found->second)));
    }
    if (!holds)
        return answer({ { "entries", current } }, 412);
    for (const auto& put : call.at("puts")) {
        auto lease = put.value("lease", noLease);
        if (lease != noLease && !m_leases.contains(lease))
            return answer(json::object(), 404);
    }
    for (const auto& put : call.at("puts"))
        store(put.at("key"), fromBase64(put.at("value").get<std::string>()).value_or(""), put.value("lease", noLease));
    for (const auto& key : call.at("delete"))
        remove(key);
    return answer({ { "revision", m_revision } });
}

Reply MetadataServer::grantLease(const std::string& body)
{
    Milliseconds time(json::parse(body).at("ttl_ms").get<std::int64_t>());
    m_leases[++m_lastLease] = { .timeToLive = time, .endsAt = Clock::now() + time };
    return answer({ { "lease", m_lastLease }, { "ttl_ms", time.count() } });
}

Reply MetadataServer::keepLease(LeaseId id)
{
    auto found = m_leases.find(id);
    if (found == m_leases.end())
        return answer(json::object(), 404);
    found->second.endsAt = Clock::now() + found->second.timeToLive;
    return answer({ { "ttl_ms", found->second.timeToLive.count() } });
}

Reply MetadataServer::control(const std::string& path, const std::string& body)
{
    auto call = json::parse(body);
    if (path == "/standin/put") {
        put(call.at("key"), call.at("value"));
    } else if (path == "/standin/remove") {
        remove(call.at("key"));
    } else if (path == "/standin/compact") {
        compactHistory();
    } else {
        m_faults.silent = call.value("silent", false);
        m_faults.refusing = call.value("refusing", false);
        m_faults.delay = Milliseconds(call.value("delay_ms", 0));
        m_faults.responsesToDrop = call.value("lose_answers", 0);
    }
    return answer({ { "revision", m_revision } });
}

Awaitable<> MetadataServer::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    auto body = exchange.request().body();
    Reply reply;
    if (path.starts_with("/standin/")) {
        reply = control(path, body);
        co_await exchange.send(std::move(reply));
        co_return;
    }
    ++m_calls;
    expireLeases();
    if (m_faults.delay.count() > 0)
        co_await sleepFor(m_faults.delay);
    if (m_faults.silent)
        co_await sleepFor(longSilence);
    if (m_faults.refusing)
        reply = answer(json::object(), 503);
    else if (path == "/kv-key")
        reply = get(exchange);
    else if (path == "/kv-range")
        reply = range(exchange);
    else if (path == "/kv-watch")
        reply = co_await watch(exchange);
    else if (path == "/kv-txn")
        reply = transact(body);
    else if (path == "/kv-lease")
        reply = grantLease(body);
    else if (path.starts_with("/kv-keep/"))
        reply = keepLease(std::stoll(path.substr(std::string("/kv-keep/").size())));
    else
        reply = answer(json::object(), 404);
    bool writes = path == "/kv-txn" || path == "/kv-lease";
    if (writes && m_faults.responsesToDrop > 0) {
        --m_faults.responsesToDrop;
        exchange.abort();
        co_return;
    }
    co_await exchange.send(std::move(reply));
}

}
