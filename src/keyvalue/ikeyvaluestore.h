#pragma once

#include "common/error.h"
#include "common/time.h"
#include "keyvalue/keyvaluetypes.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

namespace guavaspan {

/// The platform's key-value service. An error whose outcome is unknown may
/// stand for a write that took effect.
class IKeyValueStore {
public:
    virtual ~IKeyValueStore() = default;

    virtual boost::asio::awaitable<Result<std::optional<KeyValueEntry>>> get(std::string key) = 0;
    virtual boost::asio::awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) = 0;
    virtual boost::asio::awaitable<Result<SwapResult>> compareAndSwap(SwapOptions) = 0;
    virtual boost::asio::awaitable<Result<LeaseId>> grantLease(Seconds timeToLive) = 0;
    virtual boost::asio::awaitable<Result<void>> keepLeaseAlive(LeaseId) = 0;
};

}
