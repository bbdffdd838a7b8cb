#include "common/signalarrivals.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>

namespace guavaspan {

namespace {

    using SignalHandler = void (*)(int);

    constexpr std::size_t signalCount = 65;
    std::array<std::atomic<SignalHandler>, signalCount> nextHandlers {};
    std::atomic<int> firstSignal = 0;
    std::atomic<BootClock::rep> firstArrivedAt = 0;

    static_assert(std::atomic<SignalHandler>::is_always_lock_free && std::atomic<BootClock::rep>::is_always_lock_free);

}

extern "C" {

static void noteSignalArrival(int signal)
{
    int savedError = errno;
    int none = 0;
    if (firstSignal.load() == 0) {
        firstArrivedAt = BootClock::now().time_since_epoch().count();
        firstSignal.compare_exchange_strong(none, signal);
    }
    if (auto next = nextHandlers.at(static_cast<std::size_t>(signal)).load())
        next(signal);
    errno = savedError;
}
}

void SignalArrivals::watch(int signal)
{
    struct sigaction action { };
    if (::sigaction(signal, nullptr, &action) != 0 || action.sa_handler == noteSignalArrival)
        return;
    bool callsHandler = action.sa_handler != SIG_DFL && action.sa_handler != SIG_IGN;
    nextHandlers.at(static_cast<std::size_t>(signal)) = callsHandler ? action.sa_handler : nullptr;
    action.sa_handler = noteSignalArrival;
    ::sigaction(signal, &action, nullptr);
}

std::optional<SignalArrival> SignalArrivals::first()
{
    int signal = firstSignal;
    if (signal == 0)
        return std::nullopt;
    return SignalArrival { .signal = signal, .at = BootTime(BootClock::duration(firstArrivedAt.load())) };
}

}
