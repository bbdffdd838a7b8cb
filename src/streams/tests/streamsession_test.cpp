#include "streams/streamsession.h"

#include <criterion/criterion.h>
#include <vector>

using namespace guavaspan;

namespace {

const GenerationIdentity firstGeneration { .target = "engine-1", .incarnation = "a", .generation = "1" };
const GenerationIdentity secondGeneration { .target = "engine-2", .incarnation = "b", .generation = "2" };
const Error linkBroken { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = "engine-1", .outcome = Outcome::Unknown };
const Error generationNotFound { .code = ErrorCode::NotFound, .step = Step::Resume, .peer = "engine-1", .outcome = Outcome::NotRun };

/// Events and failures that are applied to a session.
struct Token {
    GenerationIdentity identity;
    int offset;
};
struct End {
    GenerationIdentity identity;
    int total;
};
struct Open {
    GenerationIdentity identity;
};
struct LinkFails {
};
struct ResumeRefused {
};
struct StartFails {
};
using SessionInput = std::variant<Token, End, Open, LinkFails, ResumeRefused, StartFails>;

std::string nameOf(const StreamAction& action)
{
    static const char* names[] = { "deliver", "drop", "resume", "restart", "complete", "fail" };
    return names[action.index()];
}

struct TestCase {
    const char* name;
    bool bufferedAnswer;
    std::vector<SessionInput> inputs;
    std::vector<std::string> expected;
};

std::string apply(StreamSession& session, const SessionInput& input)
{
    if (auto* token = std::get_if<Token>(&input))
        return nameOf(session.onEvent(TokenReceived { .identity = token->identity, .offset = token->offset, .text = "t" }));
    if (auto* end = std::get_if<End>(&input))
        return nameOf(session.onEvent(GenerationEnded { .identity = end->identity, .total = end->total, .finishReason = "stop" }));
    if (auto* open = std::get_if<Open>(&input)) {
        session.onOpened(open->identity);
        return "open";
    }
    if (std::holds_alternative<LinkFails>(input))
        return nameOf(session.onLinkFailure(linkBroken));
    if (std::holds_alternative<ResumeRefused>(input))
        return nameOf(session.onResumeRefused(generationNotFound));
    return nameOf(session.onStartFailed(linkBroken));
}

const std::vector<TestCase> testCases {
    { "tokens in order", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, Token { firstGeneration, 1 }, End { firstGeneration, 2 } }, { "open", "deliver", "deliver", "complete" } },
    { "duplicate token", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, Token { firstGeneration, 0 }, Token { firstGeneration, 1 } }, { "open", "deliver", "drop", "deliver" } },
    { "token of another generation", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, Token { secondGeneration, 1 }, Token { firstGeneration, 1 } }, { "open", "deliver", "drop", "deliver" } },
    { "gap in the offsets", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, Token { firstGeneration, 2 }, Token { firstGeneration, 1 } }, { "open", "deliver", "resume", "deliver" } },
    { "end before all tokens", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, End { firstGeneration, 3 } }, { "open", "deliver", "resume" } },
    { "late token after the end", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, End { firstGeneration, 1 }, Token { firstGeneration, 1 } }, { "open", "deliver", "complete", "drop" } },
    { "link breaks after delivery", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, LinkFails {}, Token { firstGeneration, 1 } }, { "open", "deliver", "resume", "deliver" } },
    { "engine loses generation after delivery", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, LinkFails {}, ResumeRefused {} }, { "open", "deliver", "resume", "fail" } },
    { "engine loses generation before delivery", false, { Open { firstGeneration }, LinkFails {}, ResumeRefused {}, Open { secondGeneration }, Token { secondGeneration, 0 } }, { "open", "resume", "restart", "open", "deliver" } },
    { "old generation after restart", false, { Open { firstGeneration }, LinkFails {}, ResumeRefused {}, Open { secondGeneration }, Token { firstGeneration, 0 }, Token { secondGeneration, 0 } }, { "open", "resume", "restart", "open", "drop", "deliver" } },
    { "buffered answer restarts after tokens", true, { Open { firstGeneration }, Token { firstGeneration, 0 }, Token { firstGeneration, 1 }, LinkFails {}, ResumeRefused {}, Open { secondGeneration }, Token { secondGeneration, 0 } }, { "open", "deliver", "deliver", "resume", "restart", "open", "deliver" } },
    { "start fails more often than allowed", false, { StartFails {}, StartFails {}, StartFails {} }, { "restart", "restart", "fail" } },
    { "link breaks without progress", false, { Open { firstGeneration }, Token { firstGeneration, 0 }, LinkFails {}, LinkFails {}, LinkFails {}, LinkFails {}, LinkFails {} }, { "open", "deliver", "resume", "resume", "resume", "resume", "fail" } },
};

}

Test(StreamSession, inputSequence_givesExpectedActions)
{
    for (const auto& testCase : testCases) {
        // [GIVEN] a session with the options of the test case
        StreamSession session({ .bufferedAnswer = testCase.bufferedAnswer });
        // [WHEN] the inputs are applied in order
        std::vector<std::string> actions;
        for (const auto& input : testCase.inputs)
            actions.push_back(apply(session, input));
        // [THEN] each input gives the expected action
        for (std::size_t i = 0; i < testCase.expected.size(); ++i)
            cr_expect(actions[i] == testCase.expected[i], "%s: input %zu gave %s", testCase.name, i, actions[i].c_str());
    }
}

Test(StreamSession, failureAfterDelivery_reportsIncompleteAndTokenCount)
{
    StreamSession session({ .maxResumes = 0 });
    session.onOpened(firstGeneration);
    session.onEvent(TokenReceived { .identity = firstGeneration, .offset = 0, .text = "t" });
    auto action = session.onLinkFailure(linkBroken);
    auto* failure = std::get_if<FailStream>(&action);
    cr_assert(failure);
    cr_expect(failure->error.code == ErrorCode::Incomplete);
    cr_expect(failure->error.outcome == Outcome::Ran);
    cr_expect(failure->delivered == 1);
}

Test(StreamSession, callerResume_neverRestarts)
{
    StreamSession session({ .maxResumes = 0, .firstOffset = 5, .resumedGeneration = firstGeneration });
    auto duplicate = session.onEvent(TokenReceived { .identity = firstGeneration, .offset = 4, .text = "t" });
    cr_expect(nameOf(duplicate) == "drop");
    cr_expect(nameOf(session.onResumeRefused(generationNotFound)) == "fail");
}
