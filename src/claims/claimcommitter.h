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
    Clock::duration pause = Milliseconds(20);
    /// After this time a claim that is still undecided is refused.
    Clock::duration claimTimeout = Seconds(5);
    /// Settlements are tried for longer, since they only ever narrow what is known.
    Clock::duration settleTimeout = Seconds(60);
};

/// Commits claims to the key-value service, many of one shard by one swap. The
/// shard's version is the fence: a writer that was paused loses its swap.
class ClaimCommitter {
public:
    ClaimCommitter(asio::io_context&, std::shared_ptr<IKeyValueStore>, ClaimCommitterOptions);

    Awaitable<ClaimVerdict> claim(ClaimRequest);

    /// Resolves when the settlement is durable or has been given up.
    Awaitable<bool> settle(ClaimSettlement);

    /// What is on record for a key.
    Awaitable<Result<std::optional<ClaimRecord>>> lookUp(ClaimKey);

    std::uint64_t swaps() const { return m_swaps; }

private:
    struct Operation {
        std::variant<ClaimRequest, ClaimSettlement> work;
        TimePoint deadline;
        std::optional<ClaimVerdict> verdict;
        bool settled = false;
        bool done = false;
        std::unique_ptr<asio::steady_timer> finished;
    };
    using OperationPtr = std::shared_ptr<Operation>;
    struct Shard {
        std::vector<OperationPtr> waiting;
        bool committing = false;
        std::int64_t version = absentVersion;
        std::optional<ClaimShard> known;
    };

    Awaitable<> enqueue(std::size_t index, OperationPtr);
    Awaitable<> commitLoop(std::size_t index);
    Awaitable<> commitBatch(std::size_t index, std::vector<OperationPtr>);
    Awaitable<Result<void>> reload(std::size_t index);
    static void finish(Operation&);
    static bool apply(ClaimShard&, const std::vector<OperationPtr>&);
    static void giveUpLate(std::vector<OperationPtr>&, const Error&);

    asio::io_context& m_context;
    std::shared_ptr<IKeyValueStore> m_keyValue;
    ClaimCommitterOptions m_options;
    std::map<std::size_t, Shard> m_shards;
    std::uint64_t m_swaps = 0;
};

}
