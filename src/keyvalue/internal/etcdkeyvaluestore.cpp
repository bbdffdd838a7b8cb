#include "keyvalue/etcdkeyvaluestore.h"

#include "common/encoding.h"
#include "net/httpclient.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    /// The gateway writes 64-bit numbers as strings and leaves zeros out.
    std::int64_t readNumber(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end())
            return 0;
        if (found->is_string())
            return std::strtoll(found->get_ref<const std::string&>().c_str(), nullptr, 10);
        return found->is_number() ? found->get<std::int64_t>() : 0;
    }

    std::string readBytes(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end() || !found->is_string())
            return {};
        return fromBase64(found->get_ref<const std::string&>()).value_or("");
    }

    KeyValueEntry parseEntry(const json& object)
    {
        return KeyValueEntry { .key = readBytes(object, "key"), .value = readBytes(object, "value"), .version = readNumber(object, "mod_revision") };
    }

    std::vector<KeyValueEntry> parseEntries(const json& reply)
    {
        std::vector<KeyValueEntry> entries;
        for (const auto& item : reply.value("kvs", json::array()))
            entries.push_back(parseEntry(item));
        return entries;
    }

    /// First key after all that start with the prefix.
    std::string rangeEnd(std::string prefix)
    {
        while (!prefix.empty()) {
            auto last = static_cast<unsigned char>(prefix.back());
            if (last < 0xff) {
                prefix.back() = static_cast<char>(last + 1);
                return prefix;
            }
            prefix.pop_back();
        }
        return std::string(1, '\0');
    }

    Error badReplyError(const Endpoint& endpoint, std::string detail)
    {
        return Error { .code = ErrorCode::BadReply, .step = Step::KeyValue, .peer = toString(endpoint), .detail = std::move(detail), .outcome = Outcome::Unknown };
    }

}

EtcdKeyValueStore::EtcdKeyValueStore(Endpoint endpoint, Clock::duration timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

Awaitable<Result<std::string>> EtcdKeyValueStore::call(std::string path, std::string body)
{
    HttpCall request { .endpoint = m_endpoint, .method = "POST", .target = std::move(path), .body = std::move(body), .timeout = m_timeout };
    auto response = co_await callHttp(std::move(request));
    if (!response) {
        auto error = response.error();
        error.step = Step::KeyValue;
        co_return error;
    }
    if (response->result_int() == 429)
        co_return Error { .code = ErrorCode::RateLimited, .step = Step::KeyValue, .peer = toString(m_endpoint), .detail = "call rate exceeded", .outcome = Outcome::NotRun };
    if (response->result_int() != 200)
        co_return Error { .code = ErrorCode::Unavailable, .step = Step::KeyValue, .peer = toString(m_endpoint), .detail = response->body(), .outcome = Outcome::Unknown };
    if (!json::accept(response->body()))
        co_return badReplyError(m_endpoint, "reply is not JSON");
    co_return std::move(response->body());
}

Awaitable<Result<std::optional<KeyValueEntry>>> EtcdKeyValueStore::get(std::string key)
{
    json body { { "key", toBase64(key) } };
    auto reply = co_await call("/v3/kv/range", body.dump());
    if (!reply)
        co_return reply.error();
    auto entries = parseEntries(json::parse(*reply));
    if (entries.empty())
        co_return std::optional<KeyValueEntry> {};
    co_return std::optional<KeyValueEntry> { entries.front() };
}

Awaitable<Result<std::vector<KeyValueEntry>>> EtcdKeyValueStore::list(std::string prefix)
{
    json body { { "key", toBase64(prefix) }, { "range_end", toBase64(rangeEnd(prefix)) } };
    auto reply = co_await call("/v3/kv/range", body.dump());
    if (!reply)
        co_return reply.error();
    co_return parseEntries(json::parse(*reply));
}

Awaitable<Result<SwapResult>> EtcdKeyValueStore::compareAndSwap(SwapOptions options)
{
    auto key = toBase64(options.key);
    json put { { "key", key }, { "value", toBase64(options.value) } };
    if (options.lease != noLease)
        put["lease"] = std::to_string(options.lease);
    json compare { { "key", key }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(options.expectedVersion) } };
    json body {
        { "compare", json::array({ compare }) },
        { "success", json::array({ json { { "request_put", put } } }) },
    };
    auto reply = co_await call("/v3/kv/txn", body.dump());
    if (!reply)
        co_return reply.error();
    auto answer = json::parse(*reply);
    bool swapped = answer.value("succeeded", false);
    auto header = answer.value("header", json::object());
    co_return SwapResult { .swapped = swapped, .version = swapped ? readNumber(header, "revision") : absentVersion };
}

Awaitable<Result<LeaseId>> EtcdKeyValueStore::grantLease(Seconds timeToLive)
{
    json body { { "TTL", std::to_string(timeToLive.count()) } };
    auto reply = co_await call("/v3/lease/grant", body.dump());
    if (!reply)
        co_return reply.error();
    auto lease = readNumber(json::parse(*reply), "ID");
    if (lease == noLease)
        co_return badReplyError(m_endpoint, "lease without ID");
    co_return lease;
}

Awaitable<Result<void>> EtcdKeyValueStore::keepLeaseAlive(LeaseId lease)
{
    json body { { "ID", std::to_string(lease) } };
    auto reply = co_await call("/v3/lease/keepalive", body.dump());
    if (!reply)
        co_return reply.error();
    auto answer = json::parse(*reply);
    auto result = answer.value("result", answer);
    if (readNumber(result, "TTL") <= 0)
        co_return Error { .code = ErrorCode::NotFound, .step = Step::KeyValue, .peer = toString(m_endpoint), .detail = "lease has ended" };
    co_return Result<void> {};
}

}
