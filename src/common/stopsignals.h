#pragma once

#include <csignal>

namespace guavaspan {

/// Decides which of the signals that ask a process to stop ends it at once.
class StopSignals {
public:
    /// True for the second SIGINT, which a user sends from a terminal. Init systems and operators repeat SIGTERM
    /// without meaning to cut requests; to end a process at once they use SIGKILL.
    bool endsAtOnce(int signal)
    {
        if (signal != SIGINT)
            return false;
        return ++m_interrupts > 1;
    }

private:
    int m_interrupts = 0;
};

}
