#include "standins/metadataserver.h"

#include "common/encoding.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavaspan::standins {

namespace {

    using nlohmann::json;

    constexpr std::size_t pageSize = 50;
    constexpr std::size_t maxHistoryChanges = 1000;
    constexpr auto watchPollInterval = Milliseconds(5);
    constexpr auto unresponsiveDelay = std::chrono::hours(1);
    /// Age of the oldest copy that the store can be restored from.
    constexpr auto maxCopyAge = Seconds(30);
    constexpr const char* eraHeader = "Store-Era";

    Reply jsonReply(const json& body, unsigned status = 200)
    {
        return { .status = status, .body = body.dump() };
    }

    std::int64_t queryNumber(HttpExchange& exchange, const char* name)
    {
        auto text = exchange.query(name);
        return text.empty() ? 0 : std::stoll(text);
    }

    /// Decodes the percent escapes of a query value; all other characters are literal.
    std::string percentDecoded(const std::string& text)
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
    , m_rejectableServer(context, HttpLimits { .maxBodyBytes = 8 << 20 }, [this](HttpExchange& exchange) { return handleRejectable(exchange); })
{
}

Result<Endpoint> MetadataServer::listen(const Endpoint& endpoint)
{
    return m_server.listen(endpoint);
}

Result<Endpoint> MetadataServer::listenRejectably(const Endpoint& endpoint)
{
    return m_rejectableServer.listen(endpoint);
}

Awaitable<> MetadataServer::handleRejectable(HttpExchange& exchange)
{
    if (!m_faults.rejecting) {
        co_await handle(exchange);
        co_return;
    }
    Reply rejection { .status = 503, .body = "{}" };
    co_await exchange.send(std::move(rejection));
}

void MetadataServer::rememberReplacedItem(const std::string& key)
{
    auto now = Clock::now();
    auto found = m_items.find(key);
    m_replacedItems.push_back({ .changedAt = now, .previousRevision = m_revision, .key = key, .item = found == m_items.end() ? std::nullopt : std::optional(found->second) });
    while (m_replacedItems.front().changedAt + maxCopyAge < now)
        m_replacedItems.pop_front();
}

void MetadataServer::restoreFromCopy(Clock::duration age)
{
    auto copiedAt = Clock::now() - age;
    while (!m_replacedItems.empty() && m_replacedItems.back().changedAt > copiedAt) {
        auto& replaced = m_replacedItems.back();
        if (replaced.item)
            m_items[replaced.key] = std::move(*replaced.item);
        else
            m_items.erase(replaced.key);
        m_revision = replaced.previousRevision;
        m_replacedItems.pop_back();
    }
    std::erase_if(m_leases, [&](const auto& lease) { return lease.second.grantedAt > copiedAt; });
    m_lastLeaseId = m_leases.empty() ? 0 : m_leases.rbegin()->first;
    while (!m_changes.empty() && m_changes.back().revision > m_revision)
        m_changes.pop_back();
    m_compactedRevision = std::min(m_compactedRevision, m_revision);
    ++m_era;
}

void MetadataServer::store(const std::string& key, const std::string& value, LeaseId lease)
{
    rememberReplacedItem(key);
    ++m_revision;
    auto& item = m_items[key];
    if (item.createdRevision == 0)
        item.createdRevision = m_revision;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_changes.push_back({ .key = key, .revision = m_revision });
    while (m_changes.size() > maxHistoryChanges) {
        m_compactedRevision = m_changes.front().revision;
        m_changes.pop_front();
    }
}

void MetadataServer::put(const std::string& key, const std::string& value)
{
    store(key, value, noLease);
}

void MetadataServer::remove(const std::string& key)
{
    if (!m_items.contains(key))
        return;
    rememberReplacedItem(key);
    m_items.erase(key);
    ++m_revision;
    m_changes.push_back({ .key = key, .revision = m_revision, .removed = true });
}

void MetadataServer::compactHistory()
{
    m_changes.clear();
    m_compactedRevision = m_revision;
}

void MetadataServer::expireLeases()
{
    auto now = Clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.expiresAt > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> expiredKeys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                expiredKeys.push_back(key);
        }
        for (const auto& key : expiredKeys)
            remove(key);
        lease = m_leases.erase(lease);
    }
}

std::string MetadataServer::itemJson(const std::string& key, const Item& item) const
{
    return json { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision }, { "created", item.createdRevision }, { "lease", item.lease }, { "at", m_revision } }.dump();
}

Reply MetadataServer::get(HttpExchange& exchange)
{
    auto key = percentDecoded(exchange.query("key"));
    auto found = m_items.find(key);
    if (found == m_items.end())
        return jsonReply({ { "at", m_revision } }, 404);
    return { .body = itemJson(key, found->second) };
}

Reply MetadataServer::range(HttpExchange& exchange)
{
    auto prefix = percentDecoded(exchange.query("path_prefix"));
    auto after = percentDecoded(exchange.query("after"));
    json entries = json::array();
    bool hasMore = false;
    for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (entries.size() == pageSize) {
            hasMore = true;
            break;
        }
        entries.push_back(json::parse(itemJson(item->first, item->second)));
    }
    return jsonReply({ { "entries", entries }, { "has_more", hasMore }, { "at", m_revision } });
}

std::string MetadataServer::changesJson(std::int64_t revision, const std::string& prefix) const
{
    json events = json::array();
    for (const auto& change : m_changes) {
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
    auto prefix = percentDecoded(exchange.query("path_prefix"));
    auto afterRevision = queryNumber(exchange, "after");
    auto deadline = Clock::now() + Milliseconds(queryNumber(exchange, "wait_ms"));
    while (true) {
        if (afterRevision < m_compactedRevision || afterRevision > m_revision)
            co_return jsonReply(json::object(), 410);
        auto changes = changesJson(afterRevision, prefix);
        if (!changes.empty())
            co_return Reply { .body = std::move(changes) };
        if (Clock::now() >= deadline)
            co_return jsonReply({ { "events", json::array() }, { "at", m_revision } });
        co_await sleepFor(watchPollInterval);
        expireLeases();
    }
}

Reply MetadataServer::transact(const std::string& body)
{
    auto request = json::parse(body);
    json currentItems = json::array();
    bool revisionsMatch = true;
    for (const auto& condition : request.at("expected")) {
        auto key = condition.at("key").get<std::string>();
        auto found = m_items.find(key);
        auto revision = found == m_items.end() ? 0 : found->second.revision;
        revisionsMatch = revisionsMatch && revision == condition.at("revision").get<std::int64_t>();
        if (found != m_items.end())
            currentItems.push_back(json::parse(itemJson(key, found->second)));
    }
    if (!revisionsMatch)
        return jsonReply({ { "entries", currentItems } }, 412);
    for (const auto& put : request.at("puts")) {
        auto lease = put.value("lease", noLease);
        if (lease != noLease && !m_leases.contains(lease))
            return jsonReply(json::object(), 404);
    }
    for (const auto& put : request.at("puts"))
        store(put.at("key"), fromBase64(put.at("value").get<std::string>()).value_or(""), put.value("lease", noLease));
    for (const auto& key : request.at("delete"))
        remove(key);
    return jsonReply({ { "revision", m_revision } });
}

Reply MetadataServer::grantLease(const std::string& body)
{
    Milliseconds timeToLive(json::parse(body).at("ttl_ms").get<std::int64_t>());
    m_leases[++m_lastLeaseId] = { .timeToLive = timeToLive, .expiresAt = Clock::now() + timeToLive, .grantedAt = Clock::now() };
    return jsonReply({ { "lease", m_lastLeaseId }, { "ttl_ms", timeToLive.count() } });
}

Reply MetadataServer::renewLease(LeaseId id)
{
    auto found = m_leases.find(id);
    if (found == m_leases.end())
        return jsonReply(json::object(), 404);
    found->second.expiresAt = Clock::now() + found->second.timeToLive;
    return jsonReply({ { "ttl_ms", found->second.timeToLive.count() } });
}

Reply MetadataServer::handleControl(const std::string& path, const std::string& body)
{
    auto request = json::parse(body);
    if (path == "/standin/put") {
        put(request.at("key"), request.at("value"));
    } else if (path == "/standin/remove") {
        remove(request.at("key"));
    } else if (path == "/standin/compact") {
        compactHistory();
    } else if (path == "/standin/restore") {
        restoreFromCopy(Milliseconds(request.at("age_ms").get<std::int64_t>()));
    } else {
        m_faults.silent = request.value("silent", false);
        m_faults.refusing = request.value("refusing", false);
        m_faults.delay = Milliseconds(request.value("delay_ms", 0));
        m_faults.responsesToDrop = request.value("lose_answers", 0);
    }
    return jsonReply({ { "revision", m_revision } });
}

Awaitable<> MetadataServer::handle(HttpExchange& exchange)
{
    auto path = exchange.path();
    auto body = exchange.request().body();
    Reply reply;
    if (path.starts_with("/standin/")) {
        reply = handleControl(path, body);
        co_await exchange.send(std::move(reply));
        co_return;
    }
    ++m_calls;
    expireLeases();
    if (m_faults.delay.count() > 0)
        co_await sleepFor(m_faults.delay);
    if (m_faults.silent)
        co_await sleepFor(unresponsiveDelay);
    if (m_faults.refusing)
        reply = jsonReply(json::object(), 503);
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
        reply = renewLease(std::stoll(path.substr(std::string("/kv-keep/").size())));
    else
        reply = jsonReply(json::object(), 404);
    bool isWrite = path == "/kv-txn" || path == "/kv-lease";
    if (isWrite && m_faults.responsesToDrop > 0) {
        --m_faults.responsesToDrop;
        exchange.abort();
        co_return;
    }
    reply.headers[eraHeader] = std::to_string(m_era);
    co_await exchange.send(std::move(reply));
}

}
