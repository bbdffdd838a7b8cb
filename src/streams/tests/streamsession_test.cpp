#include "streams/streamsession.h"

#include <criterion/criterion.h>
#include <vector>

using namespace guavaspan;

namespace {

const GenerationIdentity first { .target = "engine-1", .incarnation = "a", .generation = "1" };
const GenerationIdentity second { .target = "engine-2", .incarnation = "b", .generation = "2" };
const Error linkBroken { .code = ErrorCode::LinkBroken, .step = Step::Relay, .peer = "engine-1", .outcome = Outcome::Unknown };
const Error generationNotFound { .code = ErrorCode::NotFound, .step = Step::Resume, .peer = "engine-1", .outcome = Outcome::NotRun };

/// What strikes a stream, in order.
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
    { "tokens in order", false, { Open { first }, Token { first, 0 }, Token { first, 1 }, End { first, 2 } }, { "open", "deliver", "deliver", "complete" } },
    { "duplicate token", false, { Open { first }, Token { first, 0 }, Token { first, 0 }, Token { first, 1 } }, { "open", "deliver", "drop", "deliver" } },
    { "crossed generation", false, { Open { first }, Token { first, 0 }, Token { second, 1 }, Token { first, 1 } }, { "open", "deliver", "drop", "deliver" } },
    { "gap", false, { Open { first }, Token { first, 0 }, Token { first, 2 }, Token { first, 1 } }, { "open", "deliver", "resume", "deliver" } },
    { "end before all tokens", false, { Open { first }, Token { first, 0 }, End { first, 3 } }, { "open", "deliver", "resume" } },
    { "late token after the end", false, { Open { first }, Token { first, 0 }, End { first, 1 }, Token { first, 1 } }, { "open", "deliver", "complete", "drop" } },
    { "link breaks after delivery", false, { Open { first }, Token { first, 0 }, LinkFails {}, Token { first, 1 } }, { "open", "deliver", "resume", "deliver" } },
    { "engine forgets after delivery", false, { Open { first }, Token { first, 0 }, LinkFails {}, ResumeRefused {} }, { "open", "deliver", "resume", "fail" } },
    { "engine forgets before delivery", false, { Open { first }, LinkFails {}, ResumeRefused {}, Open { second }, Token { second, 0 } }, { "open", "resume", "restart", "open", "deliver" } },
    { "old generation after restart", false, { Open { first }, LinkFails {}, ResumeRefused {}, Open { second }, Token { first, 0 }, Token { second, 0 } }, { "open", "resume", "restart", "open", "drop", "deliver" } },
    { "whole answer restarts after tokens", true, { Open { first }, Token { first, 0 }, Token { first, 1 }, LinkFails {}, ResumeRefused {}, Open { second }, Token { second, 0 } }, { "open", "deliver", "deliver", "resume", "restart", "open", "deliver" } },
    { "start fails more often than allowed", false, { StartFails {}, StartFails {}, StartFails {} }, { "restart", "restart", "fail" } },
    { "link breaks without progress", false, { Open { first }, Token { first, 0 }, LinkFails {}, LinkFails {}, LinkFails {}, LinkFails {}, LinkFails {} }, { "open", "deliver", "resume", "resume", "resume", "resume", "fail" } },
};

}

Test(StreamSession, eachInput_givesExpectedAction)
{
    for (const auto& testCase : testCases) {
        // [GIVEN] a session of the row's kind
        StreamSession session({ .bufferedAnswer = testCase.bufferedAnswer });
        // [WHEN] the strikes come in order
        std::vector<std::string> actions;
        for (const auto& input : testCase.inputs)
            actions.push_back(apply(session, input));
        // [THEN] each is answered as the table says
        for (std::size_t i = 0; i < testCase.expected.size(); ++i)
            cr_expect(actions[i] == testCase.expected[i], "%s: strike %zu gave %s", testCase.name, i, actions[i].c_str());
    }
}

Test(StreamSession, failureAfterDelivery_reportsIncompleteAndTokenCount)
{
    StreamSession session({ .maxResumes = 0 });
    session.onOpened(first);
    session.onEvent(TokenReceived { .identity = first, .offset = 0, .text = "t" });
    auto action = session.onLinkFailure(linkBroken);
    auto* failure = std::get_if<FailStream>(&action);
    cr_assert(failure);
    cr_expect(failure->error.code == ErrorCode::Incomplete);
    cr_expect(failure->error.outcome == Outcome::Ran);
    cr_expect(failure->delivered == 1);
}

Test(StreamSession, callerResume_neverRestarts)
{
    StreamSession session({ .maxResumes = 0, .firstOffset = 5, .resumedGeneration = first });
    auto duplicate = session.onEvent(TokenReceived { .identity = first, .offset = 4, .text = "t" });
    cr_expect(nameOf(duplicate) == "drop");
    cr_expect(nameOf(session.onResumeRefused(generationNotFound)) == "fail");
}
