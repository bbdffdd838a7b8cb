#pragma once

#include "dispatch/dispatcher.h"

namespace guavaspan {

/// Keeps the state of the paths to the targets up to date: connects to some while a path is in doubt or lost.
class TargetPathProber {
public:
    TargetPathProber(asio::io_context&, Dispatcher&, TargetDirectory&, Random);

    Awaitable<> run();

private:
    void update();
    Awaitable<> probe(TargetEntry);

    asio::io_context& m_io;
    Dispatcher& m_dispatcher;
    TargetDirectory& m_directory;
    Random m_random;
};

}
