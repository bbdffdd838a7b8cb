#pragma once

#include "common/random.h"
#include "net/nettypes.h"
#include "soak/record.h"

#include <functional>

namespace guavaspan::soak {

/// What a caller wants next.
struct Wish {
    RequestKind kind = RequestKind::Lookup;
    std::string path;
    std::string key;
    /// Pieces of a stream.
    int pieces = 0;
};

/// An instance as callers find it.
struct Entrance {
    std::string instance;
    int life = 0;
    Endpoint endpoint;
};

struct CallerOptions {
    std::string name;
    std::uint64_t seed = 1;
    std::function<Wish(Random&)> wish;
    std::function<Entrance(Random&)> entrance;
    std::function<bool()> goesOn;
    std::vector<Attempt>& attempts;
};

/// Sends one request after the other and stays on its connection until it ends.
class Caller {
public:
    Caller(asio::io_context&, CallerOptions);

    Awaitable<> run();

private:
    Awaitable<bool> connect();
    Awaitable<> perform(const Wish&);
    Awaitable<> readAnswer(Attempt&);

    CallerOptions m_options;
    Random m_random;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    Entrance m_entrance;
    bool m_connected = false;
    int m_count = 0;
};

}
