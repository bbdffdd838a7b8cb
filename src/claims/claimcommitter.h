#pragma once

#include "claims/claimshard.h"
#include "common/time.h"
#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"

#include <map>
#include <memory>
#include <vector>

namespace guavaspan {

struct ClaimCommitterOptions {
    Seconds retention { 86400 };
    Clock::duration batchWindow = Milliseconds(5);
    int maxAttempts = 30;
    Clock::duration retryInterval = Milliseconds(20);
    /// Time after which an undecided claim is refused.
    Clock::duration claimTimeout = Seconds(5);
    /// Longer than for claims: a late settlement is harmless, as it only makes the recorded outcome more precise.
    Clock::duration settleTimeout = Seconds(60);
};

/// Commits claims to the key-value service, with one compare-and-swap for all
/// pending changes of a shard. The shard's version is the fencing token: the swap
/// of a writer that was paused meanwhile fails.
class ClaimCommitter {
public:
    ClaimCommitter(asio::io_context&, std::shared_ptr<IKeyValueStore>, ClaimCommitterOptions);

    Awaitable<ClaimVerdict> claim(ClaimRequest);

    /// Returns true once the settlement is durable, false if it could not be written.
    Awaitable<bool> settle(ClaimSettlement);

    /// Reads the record of a key from the key-value service.
    Awaitable<Result<std::optional<ClaimRecord>>> lookUp(ClaimKey);

    std::uint64_t swapAttempts() const { return m_swapAttempts; }

private:
    struct Operation {
        std::variant<ClaimRequest, ClaimSettlement> change;
        TimePoint deadline;
        std::optional<ClaimVerdict> verdict;
        bool settled = false;
        bool done = false;
        std::unique_ptr<asio::steady_timer> completionTimer;
    };
    using OperationPtr = std::shared_ptr<Operation>;
    struct ShardState {
        std::vector<OperationPtr> pendingOperations;
        bool committing = false;
        std::int64_t version = absentVersion;
        std::optional<ClaimShard> cachedClaims;
    };

    Awaitable<> enqueue(std::size_t index, OperationPtr);
    Awaitable<> commitLoop(std::size_t index);
    Awaitable<> commitBatch(std::size_t index, std::vector<OperationPtr>);
    Awaitable<Result<void>> reload(std::size_t index);
    static void finish(Operation&);
    static bool apply(ClaimShard&, const std::vector<OperationPtr>&);
    static void failExpired(std::vector<OperationPtr>&, const Error&);

    asio::io_context& m_context;
    std::shared_ptr<IKeyValueStore> m_keyValue;
    ClaimCommitterOptions m_options;
    std::map<std::size_t, ShardState> m_shards;
    std::uint64_t m_swapAttempts = 0;
};

}
