#include "net/persistenttask.h"

#include "common/log.h"

namespace guavaspan {

namespace {

    constexpr auto restartDelay = Milliseconds(100);

    Awaitable<bool> completes(std::function<Awaitable<>()> task, std::string name)
    {
        bool completed = false;
        try {
            co_await task();
            completed = true;
        } catch (const std::exception& exception) {
            logEvent(LogLevel::Error, "task_failed", { { "task", name }, { "detail", std::string(exception.what()) } });
        }
        co_return completed;
    }

}

Awaitable<> runPersistently(std::string name, std::function<Awaitable<>()> task)
{
    while (true) {
        bool completed = co_await completes(task, name);
        if (completed)
            co_return;
        co_await sleepFor(restartDelay);
    }
}

}
