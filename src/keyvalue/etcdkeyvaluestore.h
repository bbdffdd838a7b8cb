#pragma once

#include "keyvalue/ikeyvaluestore.h"
#include "net/nettypes.h"

namespace guavaspan {

/// Speaks the JSON gateway of the etcd v3 interface.
class EtcdKeyValueStore : public IKeyValueStore {
public:
    EtcdKeyValueStore(Endpoint, Clock::duration timeout);

    Awaitable<Result<std::optional<KeyValueEntry>>> get(std::string key) override;
    Awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    Awaitable<Result<SwapResult>> compareAndSwap(SwapOptions) override;
    Awaitable<Result<LeaseId>> grantLease(Seconds timeToLive) override;
    Awaitable<Result<void>> keepLeaseAlive(LeaseId) override;

private:
    Awaitable<Result<std::string>> call(std::string path, std::string body);

    Endpoint m_endpoint;
    Clock::duration m_timeout;
};

}
