#include "fleet/peerfeed.h"

#include "net/httpclient.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr auto listTimeout = Milliseconds(1500);
    /// Added to the time that a watch was asked to wait.
    constexpr auto watchSlack = Milliseconds(600);
    constexpr Milliseconds longestWait { 5000 };

    std::int64_t milliseconds(Clock::duration duration)
    {
        return std::chrono::ceil<Milliseconds>(duration).count();
    }

    json binary(const std::string& bytes)
    {
        return json::binary({ bytes.begin(), bytes.end() });
    }

    std::string bytesOf(const json& value)
    {
        const auto& binary = value.get_binary();
        return { binary.begin(), binary.end() };
    }

    std::string toBytes(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

    std::string encode(const StoreListing& listing)
    {
        json entries = json::array();
        for (const auto& entry : listing.entries)
            entries.push_back(json::array({ entry.key, entry.version, binary(entry.value) }));
        return toBytes(json::array({ listing.revision, milliseconds(listing.age), entries }));
    }

    std::string encode(const StoreChanges& changes)
    {
        json list = json::array();
        for (const auto& change : changes.changes)
            list.push_back(json::array({ change.key, change.revision, change.value ? binary(*change.value) : json() }));
        return toBytes(json::array({ changes.revision, milliseconds(changes.age), changes.historyLost, list }));
    }

    StoreListing listingFrom(const json& fields)
    {
        StoreListing listing { .revision = fields.at(0), .age = Milliseconds(fields.at(1).get<std::int64_t>()) };
        for (const auto& entry : fields.at(2))
            listing.entries.push_back({ .key = entry.at(0), .value = bytesOf(entry.at(2)), .version = entry.at(1) });
        return listing;
    }

    StoreChanges changesFrom(const json& fields)
    {
        StoreChanges changes { .revision = fields.at(0), .historyLost = fields.at(2), .age = Milliseconds(fields.at(1).get<std::int64_t>()) };
        for (const auto& item : fields.at(3)) {
            StoreChange change { .key = item.at(0), .revision = item.at(1) };
            if (!item.at(2).is_null())
                change.value = bytesOf(item.at(2));
            changes.changes.push_back(std::move(change));
        }
        return changes;
    }

    std::int64_t numberOf(const std::string& text)
    {
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

}

Awaitable<Result<std::string>> PeerFeedClient::fetch(std::string target, Clock::duration timeout)
{
    HttpCall call { .endpoint = m_peer, .target = std::move(target), .timeout = timeout };
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    if (response->result_int() != 200)
        co_return Error { .code = ErrorCode::Unavailable, .step = Step::Peer, .peer = toString(m_peer), .detail = fmt::format("status {}", response->result_int()) };
    co_return std::move(response->body());
}

Awaitable<Result<StoreListing>> PeerFeedClient::listAll(std::string)
{
    auto body = co_await fetch("/fleet/entries", listTimeout);
    if (!body)
        co_return body.error();
    try {
        co_return listingFrom(json::from_cbor(*body));
    } catch (const json::exception& exception) {
        co_return Error { .code = ErrorCode::BadReply, .step = Step::Peer, .peer = toString(m_peer), .detail = exception.what() };
    }
}

Awaitable<Result<StoreChanges>> PeerFeedClient::watch(std::string, std::int64_t after, Milliseconds wait)
{
    auto target = fmt::format("/fleet/changes?after={}&wait_ms={}", after, wait.count());
    auto body = co_await fetch(target, wait + watchSlack);
    if (!body)
        co_return body.error();
    try {
        co_return changesFrom(json::from_cbor(*body));
    } catch (const json::exception& exception) {
        co_return Error { .code = ErrorCode::BadReply, .step = Step::Peer, .peer = toString(m_peer), .detail = exception.what() };
    }
}

Awaitable<StoreChanges> PeerFeedServer::waitForChanges(std::int64_t after, Milliseconds wait)
{
    auto until = Clock::now() + std::min(wait, longestWait);
    asio::steady_timer news(co_await asio::this_coro::executor);
    auto waiting = m_waiting.insert(m_waiting.end(), &news);
    auto changes = m_replica.changesAfter(after, BootClock::now());
    while (!changes.historyLost && changes.changes.empty() && Clock::now() < until) {
        news.expires_at(until);
        co_await news.async_wait(asTuple);
        changes = m_replica.changesAfter(after, BootClock::now());
    }
    m_waiting.erase(waiting);
    co_return changes;
}

void PeerFeedServer::onReplicaChanged()
{
    for (auto* news : m_waiting)
        news->cancel();
}

Awaitable<> PeerFeedServer::handle(HttpExchange& exchange)
{
    Reply reply { .status = 404, .contentType = "application/cbor" };
    auto path = exchange.path();
    if (!m_replica.loaded()) {
        reply.status = 503;
    } else if (path == "/fleet/entries") {
        reply.status = 200;
        reply.body = encode(m_replica.listing(BootClock::now()));
    } else if (path == "/fleet/changes") {
        auto after = numberOf(exchange.query("after"));
        auto wait = Milliseconds(numberOf(exchange.query("wait_ms")));
        auto changes = co_await waitForChanges(after, wait);
        reply.status = 200;
        reply.body = encode(changes);
    }
    co_await exchange.send(std::move(reply));
}

}
