#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"
#include "standins/keyvaluemodel.h"

#include <deque>

namespace guavaspan {

/// What happens to one call.
enum class StoreFault {
    None,
    Outage,
    LoseResponse,
    RefuseWrite,
};

/// A key-value service in memory; each call takes the next fault of a list.
class FakeKeyValueStore : public IKeyValueStore {
public:
    std::deque<StoreFault> faults;
    standins::KeyValueModel model;
    int reads = 0;
    int writes = 0;

    Awaitable<Result<std::optional<KeyValueEntry>>> get(std::string key) override
    {
        ++reads;
        // Only faults that can strike a read are used up by one.
        if (!faults.empty() && faults.front() == StoreFault::Outage) {
            faults.pop_front();
            co_return errorWithOutcome(Outcome::Unknown);
        }
        auto entries = model.range(key, "", Clock::now());
        if (entries.empty())
            co_return std::optional<KeyValueEntry> {};
        co_return std::optional<KeyValueEntry> { entries.front() };
    }

    Awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override
    {
        ++reads;
        co_return model.range(prefix, prefix + "\xff", Clock::now());
    }

    Awaitable<Result<SwapResult>> compareAndSwap(SwapOptions options) override
    {
        ++writes;
        auto fault = StoreFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (fault == StoreFault::Outage)
            co_return errorWithOutcome(Outcome::Unknown);
        if (fault == StoreFault::RefuseWrite)
            co_return errorWithOutcome(Outcome::NotRun);
        auto answer = model.swap(options, Clock::now());
        if (fault == StoreFault::LoseResponse)
            co_return errorWithOutcome(Outcome::Unknown);
        co_return answer;
    }

    Awaitable<Result<LeaseId>> grantLease(Seconds timeToLive) override { co_return model.grantLease(timeToLive, Clock::now()); }

    Awaitable<Result<void>> keepLeaseAlive(LeaseId lease) override
    {
        if (!model.keepAlive(lease, Clock::now()))
            co_return Error { .code = ErrorCode::NotFound, .step = Step::KeyValue };
        co_return Result<void> {};
    }

private:
    static Error errorWithOutcome(Outcome outcome) { return { .code = ErrorCode::Unavailable, .step = Step::KeyValue, .outcome = outcome }; }
};

}
