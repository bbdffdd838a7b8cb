#include "fleet/peerfeed.h"

#include "common/cbor.h"
#include "net/httpclient.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    /// Added to the wait of a watch to get the time within which the peer begins its answer.
    constexpr auto watchTimeoutMargin = Milliseconds(600);
    /// Time for the rest of an answer; a link of 10 Mbit/s takes a megabyte in 0.8 s.
    constexpr Milliseconds answerTimeout { 2500 };
    constexpr Milliseconds maxWatchWait { 5000 };

    std::int64_t toMilliseconds(Clock::duration duration)
    {
        return std::chrono::ceil<Milliseconds>(duration).count();
    }

    json toOptionalMilliseconds(const std::optional<Clock::duration>& duration)
    {
        return duration ? json(std::chrono::floor<Milliseconds>(*duration).count()) : json();
    }

    /// Peers of older versions do not send the field.
    std::optional<Clock::duration> optionalMillisecondsAt(const json& fields, std::size_t index)
    {
        if (fields.size() <= index || fields.at(index).is_null())
            return std::nullopt;
        return Milliseconds(fields.at(index).get<std::int64_t>());
    }

    json toBinary(const std::string& bytes)
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
            entries.push_back(json::array({ entry.key, entry.version, toBinary(entry.value) }));
        return toBytes(json::array({ listing.revision.number, toMilliseconds(listing.age), entries, listing.revision.era, toOptionalMilliseconds(listing.sinceOutage) }));
    }

    std::string encode(const StoreChanges& changes)
    {
        json list = json::array();
        for (const auto& change : changes.changes) {
            auto fields = json::array({ change.key, change.revision, change.value ? toBinary(*change.value) : json() });
            if (change.lastValue)
                fields.push_back(toBinary(*change.lastValue));
            list.push_back(std::move(fields));
        }
        return toBytes(json::array({ changes.revision.number, toMilliseconds(changes.age), changes.historyLost, list, changes.revision.era, toOptionalMilliseconds(changes.sinceOutage), toOptionalMilliseconds(changes.waited) }));
    }

    /// The number is the first field. Peers of older versions know no eras; era 0 makes what they offer older than any stated era.
    StoreRevision revisionFrom(const json& fields, std::size_t eraIndex)
    {
        return { .era = fields.size() > eraIndex ? fields.at(eraIndex).get<std::int64_t>() : 0, .number = fields.at(0) };
    }

    StoreListing listingFrom(const json& fields)
    {
        constexpr std::size_t eraIndex = 3;
        StoreListing listing { .revision = revisionFrom(fields, eraIndex), .age = Milliseconds(fields.at(1).get<std::int64_t>()), .sinceOutage = optionalMillisecondsAt(fields, eraIndex + 1) };
        for (const auto& entry : fields.at(2))
            listing.entries.push_back({ .key = entry.at(0), .value = bytesOf(entry.at(2)), .version = entry.at(1) });
        return listing;
    }

    StoreChanges changesFrom(const json& fields)
    {
        constexpr std::size_t eraIndex = 4;
        // Peers of older versions do not send the field.
        constexpr std::size_t lastValueIndex = 3;
        StoreChanges changes { .revision = revisionFrom(fields, eraIndex), .historyLost = fields.at(2), .age = Milliseconds(fields.at(1).get<std::int64_t>()), .sinceOutage = optionalMillisecondsAt(fields, eraIndex + 1), .waited = optionalMillisecondsAt(fields, eraIndex + 2).value_or(Clock::duration {}) };
        for (const auto& changeFields : fields.at(3)) {
            StoreChange change { .key = changeFields.at(0), .revision = changeFields.at(1) };
            if (!changeFields.at(2).is_null())
                change.value = bytesOf(changeFields.at(2));
            if (changeFields.size() > lastValueIndex)
                change.lastValue = bytesOf(changeFields.at(lastValueIndex));
            changes.changes.push_back(std::move(change));
        }
        return changes;
    }

    std::int64_t parseNumber(const std::string& text)
    {
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

}

Awaitable<Result<std::string>> PeerFeedClient::fetch(std::string requestTarget, Clock::duration timeout)
{
    HttpCall call { .endpoint = m_peer, .target = std::move(requestTarget), .timeout = timeout, .bodyTimeout = answerTimeout };
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    if (response->result_int() != 200)
        co_return Error { .code = ErrorCode::Unavailable, .step = Step::Peer, .peer = toString(m_peer), .detail = fmt::format("status {}", response->result_int()) };
    co_return std::move(response->body());
}

Error PeerFeedClient::unreadableAnswer(std::string detail) const
{
    return { .code = ErrorCode::BadReply, .step = Step::Peer, .peer = toString(m_peer), .detail = std::move(detail) };
}

template <typename Answer>
Result<Answer> PeerFeedClient::decode(const Result<std::string>& body, Answer (*answerFrom)(const json&)) const
{
    if (!body)
        return body.error();
    auto document = parseCbor(*body);
    if (!document)
        return unreadableAnswer("no CBOR document");
    try {
        return answerFrom(*document);
    } catch (const json::exception& exception) {
        return unreadableAnswer(exception.what());
    }
}

Awaitable<Result<StoreListing>> PeerFeedClient::listAll(std::string prefix)
{
    // Peers of older versions ignore the prefix.
    std::string requestTarget = prefix.empty() ? "/fleet/entries" : "/fleet/entries?prefix=" + prefix;
    co_return decode(co_await fetch(std::move(requestTarget), m_listTimeout), listingFrom);
}

Awaitable<Result<StoreChanges>> PeerFeedClient::watch(std::string, StoreRevision after, Milliseconds wait)
{
    auto requestTarget = fmt::format("/fleet/changes?after={}&era={}&wait_ms={}", after.number, after.era, wait.count());
    co_return decode(co_await fetch(std::move(requestTarget), wait + watchTimeoutMargin), changesFrom);
}

Awaitable<StoreChanges> PeerFeedServer::waitForChanges(StoreRevision after, Milliseconds wait)
{
    auto calledAt = Clock::now();
    auto deadline = calledAt + std::min(wait, maxWatchWait);
    asio::steady_timer wakeUp(co_await asio::this_coro::executor);
    auto position = m_waitingTimers.insert(m_waitingTimers.end(), &wakeUp);
    auto changes = m_replica.changesAfter(after, BootClock::now());
    while (!changes.historyLost && changes.changes.empty() && Clock::now() < deadline) {
        wakeUp.expires_at(deadline);
        co_await wakeUp.async_wait(asTuple);
        changes = m_replica.changesAfter(after, BootClock::now());
    }
    m_waitingTimers.erase(position);
    changes.sinceOutage = sinceOutage(BootClock::now());
    changes.waited = Clock::now() - calledAt;
    co_return changes;
}

std::optional<Clock::duration> PeerFeedServer::sinceOutage(BootTime now) const
{
    auto outageEnd = m_outageEnd ? m_outageEnd() : std::nullopt;
    return outageEnd ? std::optional<Clock::duration>(now - *outageEnd) : std::nullopt;
}

void PeerFeedServer::onReplicaChanged()
{
    for (auto* wakeUp : m_waitingTimers)
        wakeUp->cancel();
}

Awaitable<> PeerFeedServer::handle(HttpExchange& exchange)
{
    Reply reply { .status = 404, .contentType = "application/cbor" };
    auto path = exchange.path();
    if (!m_replica.loaded()) {
        reply.status = 503;
    } else if (path == "/fleet/entries") {
        reply.status = 200;
        auto now = BootClock::now();
        auto listing = m_replica.listing(now, exchange.query("prefix"));
        listing.sinceOutage = sinceOutage(now);
        reply.body = encode(listing);
    } else if (path == "/fleet/changes") {
        StoreRevision after { .era = m_replica.revision().era, .number = parseNumber(exchange.query("after")) };
        // Peers of older versions state no era.
        if (auto era = exchange.query("era"); !era.empty())
            after.era = parseNumber(era);
        auto wait = Milliseconds(parseNumber(exchange.query("wait_ms")));
        auto changes = co_await waitForChanges(after, wait);
        reply.status = 200;
        reply.body = encode(changes);
    }
    co_await exchange.send(std::move(reply));
}

}
