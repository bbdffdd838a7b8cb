#include "claims/claimcommitter.h"

#include "common/log.h"
#include "net/eventloop.h"

#include <fmt/format.h>

namespace guavaspan {

namespace {

    // Larger shards are read again before each batch, which limits memory usage.
    constexpr std::size_t cachedShardBytes = 64 << 10;

    std::string shardKey(std::size_t index)
    {
        return fmt::format("/guavaspan/claims/{:04}", index);
    }

}

ClaimCommitter::ClaimCommitter(asio::io_context& context, std::shared_ptr<IKeyValueStore> keyValue, ClaimCommitterOptions options)
    : m_context(context)
    , m_keyValue(std::move(keyValue))
    , m_options(options)
{
}

void ClaimCommitter::finish(Operation& operation)
{
    operation.done = true;
    operation.completionTimer->cancel();
}

Awaitable<> ClaimCommitter::enqueue(std::size_t index, OperationPtr operation)
{
    operation->completionTimer = std::make_unique<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    auto& shard = m_shards[index];
    shard.pendingOperations.push_back(operation);
    if (!shard.committing) {
        shard.committing = true;
        asio::co_spawn(m_context, commitLoop(index), reportFailedHandler);
    }
    while (!operation->done)
        co_await operation->completionTimer->async_wait(asTuple);
}

Awaitable<ClaimVerdict> ClaimCommitter::claim(ClaimRequest request)
{
    auto index = claimShardOf(request.key);
    auto operation = std::make_shared<Operation>();
    operation->change = std::move(request);
    operation->deadline = Clock::now() + m_options.claimTimeout;
    co_await enqueue(index, operation);
    co_return *operation->verdict;
}

Awaitable<bool> ClaimCommitter::settle(ClaimSettlement settlement)
{
    auto index = claimShardOf(settlement.key);
    auto operation = std::make_shared<Operation>();
    operation->change = std::move(settlement);
    operation->deadline = Clock::now() + m_options.settleTimeout;
    co_await enqueue(index, operation);
    co_return operation->settled;
}

Awaitable<Result<std::optional<ClaimRecord>>> ClaimCommitter::lookUp(ClaimKey key)
{
    auto entry = co_await m_keyValue->get(shardKey(claimShardOf(key)));
    if (!entry)
        co_return entry.error();
    std::optional<ClaimRecord> record;
    auto shard = *entry ? ClaimShard::decode((*entry)->value) : std::nullopt;
    const auto* storedClaim = shard ? shard->find(key) : nullptr;
    if (storedClaim)
        record = *storedClaim;
    co_return record;
}

Awaitable<> ClaimCommitter::commitLoop(std::size_t index)
{
    co_await sleepFor(m_options.batchWindow);
    while (!m_shards[index].pendingOperations.empty()) {
        auto batch = std::exchange(m_shards[index].pendingOperations, {});
        co_await commitBatch(index, std::move(batch));
    }
    m_shards[index].committing = false;
}

Awaitable<Result<void>> ClaimCommitter::reload(std::size_t index)
{
    auto entry = co_await m_keyValue->get(shardKey(index));
    if (!entry)
        co_return entry.error();
    auto& shard = m_shards[index];
    if (!*entry) {
        shard.version = absentVersion;
        shard.cachedClaims = ClaimShard {};
        co_return Result<void> {};
    }
    auto decoded = ClaimShard::decode((*entry)->value);
    if (!decoded)
        co_return Error { .code = ErrorCode::BadReply, .step = Step::Claim, .detail = "the stored claims are unreadable", .outcome = Outcome::NotRun };
    shard.version = (*entry)->version;
    shard.cachedClaims = std::move(decoded);
    co_return Result<void> {};
}

bool ClaimCommitter::apply(ClaimShard& shard, const std::vector<OperationPtr>& batch)
{
    auto previous = shard;
    for (const auto& operation : batch) {
        if (auto* request = std::get_if<ClaimRequest>(&operation->change))
            operation->verdict = shard.claim(*request);
        else
            shard.settle(std::get<ClaimSettlement>(operation->change));
    }
    return shard != previous;
}

/// Ends operations past their deadline. An unavailable verdict is final for its
/// nonce: the request is not sent, even if the claim turns out to be stored.
void ClaimCommitter::failExpired(std::vector<OperationPtr>& batch, const Error& error)
{
    auto now = Clock::now();
    std::erase_if(batch, [&](const OperationPtr& operation) {
        if (operation->deadline > now)
            return false;
        operation->verdict = ClaimUnavailable { .error = error };
        operation->settled = false;
        finish(*operation);
        return true;
    });
}

Awaitable<> ClaimCommitter::commitBatch(std::size_t index, std::vector<OperationPtr> batch)
{
    // The first attempt uses the cached shard; only a successful swap proves that it is current.
    bool reloaded = false;
    Error lastError { .code = ErrorCode::Unavailable, .step = Step::Claim, .detail = "claims could not be written", .outcome = Outcome::NotRun };
    while (!batch.empty()) {
        auto& shard = m_shards[index];
        if (!shard.cachedClaims) {
            auto loaded = co_await reload(index);
            if (!loaded) {
                lastError = loaded.error();
                lastError.outcome = Outcome::NotRun;
                failExpired(batch, lastError);
                co_await sleepFor(m_options.retryInterval);
                continue;
            }
            reloaded = true;
        }
        auto updated = *shard.cachedClaims;
        updated.expire(unixMilliseconds(), std::chrono::duration_cast<Milliseconds>(m_options.retention).count());
        if (!apply(updated, batch)) {
            if (reloaded)
                break;
            shard.cachedClaims.reset();
            continue;
        }
        auto encoded = updated.encode();
        if (encoded.size() > maxShardBytes) {
            lastError = { .code = ErrorCode::Overloaded, .step = Step::Claim, .detail = "too many claims are retained", .outcome = Outcome::NotRun };
            for (auto& operation : batch)
                operation->deadline = TimePoint::min();
            failExpired(batch, lastError);
            break;
        }
        auto encodedBytes = encoded.size();
        SwapOptions options { .key = shardKey(index), .expectedVersion = shard.version, .value = std::move(encoded) };
        ++m_swapAttempts;
        auto result = co_await m_keyValue->compareAndSwap(std::move(options));
        if (result && result->swapped) {
            shard.version = result->version;
            if (encodedBytes <= cachedShardBytes)
                shard.cachedClaims = std::move(updated);
            else
                shard.cachedClaims.reset();
            break;
        }
        shard.cachedClaims.reset();
        if (!result) {
            lastError = result.error();
            lastError.outcome = Outcome::NotRun;
            failExpired(batch, lastError);
            co_await sleepFor(m_options.retryInterval);
        }
    }
    for (const auto& operation : batch) {
        operation->settled = true;
        finish(*operation);
    }
}

}
