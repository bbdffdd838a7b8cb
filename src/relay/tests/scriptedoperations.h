#pragma once

#include "handover/itargetoperations.h"

#include <functional>
#include <utility>
#include <vector>

namespace guavaspan {

/// Returns scripted answers and records each call.
class ScriptedOperations : public ITargetOperations {
public:
    Awaitable<CopyAnswer> copyGeneration(CopyOptions options) override
    {
        calls.push_back(options);
        if (onCall)
            onCall();
        auto answer = nextAnswer < answers.size() ? answers[nextAnswer++] : CopyAnswer { .result = HandoverResult::Done, .handle = options.stop ? "handle" : "" };
        co_return answer;
    }

    Awaitable<std::optional<TargetReport>> readReport(Endpoint target, Clock::duration) override
    {
        polledEndpoints.push_back(target);
        co_return report;
    }

    Awaitable<> freeCopy(Endpoint holder, std::string handle) override
    {
        freedCopies.emplace_back(std::move(holder), std::move(handle));
        co_return;
    }

    std::vector<Endpoint> polledEndpoints;
    std::vector<std::pair<Endpoint, std::string>> freedCopies;
    std::optional<TargetReport> report;

    std::function<void()> onCall;
    std::vector<CopyOptions> calls;
    std::vector<CopyAnswer> answers;
    std::size_t nextAnswer = 0;
};

}
