#include "claims/claimcommitter.h"

#include "common/log.h"

#include <fmt/format.h>

namespace guavaspan {

namespace {

    // Larger shards are read again before each batch, which bounds this instance's memory.
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
    operation.finished->cancel();
}

Awaitable<> ClaimCommitter::enqueue(std::size_t index, OperationPtr operation)
{
    operation->finished = std::make_unique<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    auto& shard = m_shards[index];
    shard.waiting.push_back(operation);
    if (!shard.committing) {
        shard.committing = true;
        asio::co_spawn(m_context, commitLoop(index), asio::detached);
    }
    while (!operation->done)
        co_await operation->finished->async_wait(asTuple);
}

Awaitable<ClaimVerdict> ClaimCommitter::claim(ClaimRequest request)
{
    auto index = claimShardOf(request.key);
    auto operation = std::make_shared<Operation>();
    operation->work = std::move(request);
    operation->deadline = Clock::now() + m_options.claimTimeout;
    co_await enqueue(index, operation);
    co_return *operation->verdict;
}

Awaitable<bool> ClaimCommitter::settle(ClaimSettlement settlement)
{
    auto index = claimShardOf(settlement.key);
    auto operation = std::make_shared<Operation>();
    operation->work = std::move(settlement);
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
    const auto* found = shard ? shard->find(key) : nullptr;
    if (found)
        record = *found;
    co_return record;
}

Awaitable<> ClaimCommitter::commitLoop(std::size_t index)
{
    co_await sleepFor(m_options.batchWindow);
    while (!m_shards[index].waiting.empty()) {
        auto batch = std::exchange(m_shards[index].waiting, {});
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
        shard.known = ClaimShard {};
        co_return Result<void> {};
    }
    auto decoded = ClaimShard::decode((*entry)->value);
    if (!decoded)
        co_return Error { .code = ErrorCode::BadReply, .step = Step::Claim, .detail = "claims cannot be read", .outcome = Outcome::NotRun };
    shard.version = (*entry)->version;
    shard.known = std::move(decoded);
    co_return Result<void> {};
}

bool ClaimCommitter::apply(ClaimShard& shard, const std::vector<OperationPtr>& batch)
{
    auto before = shard;
    for (const auto& operation : batch) {
        if (auto* request = std::get_if<ClaimRequest>(&operation->work))
            operation->verdict = shard.claim(*request);
        else
            shard.settle(std::get<ClaimSettlement>(operation->work));
    }
    return shard != before;
}

/// An attempt that ends without an answer dispatches nothing, whatever the
/// store says later: a verdict of unavailable is final for its nonce.
void ClaimCommitter::giveUpLate(std::vector<OperationPtr>& batch, const Error& error)
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
    // What this instance wrote last is tried first; only a swap proves that it still holds.
    bool reloaded = false;
    Error lastError { .code = ErrorCode::Unavailable, .step = Step::Claim, .detail = "claims could not be written", .outcome = Outcome::NotRun };
    while (!batch.empty()) {
        auto& shard = m_shards[index];
        if (!shard.known) {
            auto loaded = co_await reload(index);
            if (!loaded) {
                lastError = loaded.error();
                lastError.outcome = Outcome::NotRun;
                giveUpLate(batch, lastError);
                co_await sleepFor(m_options.pause);
                continue;
            }
            reloaded = true;
        }
        auto next = *shard.known;
        next.expire(unixMilliseconds(), std::chrono::duration_cast<Milliseconds>(m_options.retention).count());
        if (!apply(next, batch)) {
            if (reloaded)
                break;
            shard.known.reset();
            continue;
        }
        auto encoded = next.encode();
        if (encoded.size() > maxShardBytes) {
            lastError = { .code = ErrorCode::Overloaded, .step = Step::Claim, .detail = "too many claims are retained", .outcome = Outcome::NotRun };
            for (auto& operation : batch)
                operation->deadline = TimePoint::min();
            giveUpLate(batch, lastError);
            break;
        }
        auto encodedBytes = encoded.size();
        SwapOptions options { .key = shardKey(index), .expectedVersion = shard.version, .value = std::move(encoded) };
        ++m_swaps;
        auto answer = co_await m_keyValue->compareAndSwap(std::move(options));
        if (answer && answer->swapped) {
            shard.version = answer->version;
            if (encodedBytes <= cachedShardBytes)
                shard.known = std::move(next);
            else
                shard.known.reset();
            break;
        }
        shard.known.reset();
        if (!answer) {
            lastError = answer.error();
            lastError.outcome = Outcome::NotRun;
            giveUpLate(batch, lastError);
            co_await sleepFor(m_options.pause);
        }
    }
    for (const auto& operation : batch) {
        operation->settled = true;
        finish(*operation);
    }
}

}
