#include "explain/requestexplanation.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// Lines of a recorded run: one request, the shutdown notices of two engines and a copy of unknown result.
const char* const unknownCopyResultLog = R"(  11.8641 entry-3 {"time":"2026-02-13T11:31:21.826Z","level":"info","event":"attempt","request":"995a","target":"i-086a","send":1,"accepted":true,"detail":"status 200","waited_ms":3,"decider":"owner"}
  21.3703 entry-3 {"time":"2026-02-13T11:31:31.344Z","level":"info","event":"target_left","target":"i-086a","service":"s","reason":"announced","streams":1,"movable":true}
  21.3704 entry-3 {"time":"2026-02-13T11:31:31.344Z","level":"info","event":"target_left","target":"i-9001","service":"s","reason":"announced","streams":0,"movable":true}
  23.1717 entry-3 {"time":"2026-02-13T11:31:33.123Z","level":"info","event":"handover_step","request":"995a","phase":"copy","source":"i-086a","destination":"i-7e8c","result":"unknown","detail":"link_broken at read_reply with 10.1.64.43:8682: end of stream","tokens":6590,"since_leave_ms":1779,"took_ms":611}
  23.1717 entry-3 {"time":"2026-02-13T11:31:33.123Z","level":"info","event":"request_ended","request":"995a","route":"r","status":0,"reason":"stream_broke","target":"i-086a","detail":"status 200","configuration_age_ms":518}
not a log line
)";

const char* const noShutdownNoticeLog = R"({"time":"2026-04-29T14:41:07.000Z","event":"store_lost","revision":9,"age_ms":700}
{"time":"2026-04-29T14:41:08.000Z","event":"attempt","request":"8ddc","target":"i-5653","accepted":true}
{"time":"2026-04-29T14:41:09.000Z","event":"owner_unreachable","owner":"entry-2"}
{"time":"2026-04-29T14:41:10.100Z","event":"request_ended","request":"8ddc","status":0,"reason":"stream_broke","target":"i-5653","detail":"status 200"}
)";

const char* const unconfirmedKeysLog = R"({"time":"2026-04-29T14:41:07.000Z","event":"store_lost","revision":9,"age_ms":700}
{"time":"2026-04-29T14:41:12.000Z","event":"request_ended","request":"77aa","status":503,"reason":"keys_unconfirmed","target":"","detail":"","configuration":4,"configuration_age_ms":4800}
)";

const char* const unknownOutcomeLog = R"({"time":"2026-04-29T14:41:12.000Z","event":"attempt","request":"0d0e","target":"i-77","send":1,"verdict":"broken","detail":"link_broken at read_reply with 10.0.0.7:80: end of stream"}
{"time":"2026-04-29T14:41:12.001Z","event":"request_ended","request":"0d0e","status":502,"reason":"target_broke","target":"i-77","detail":"link_broken at read_reply with 10.0.0.7:80: end of stream"}
)";

std::string causeOf(const std::string& request, const char* text)
{
    auto explanation = explainRequest(request, { { .instance = "entry-3", .text = text } });
    return explanation ? explanation->cause : "";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}

Test(RequestExplanation, streamBrokenByShutdown_causeNamesEngineAndLastHandoverStep)
{
    auto cause = causeOf("995a", unknownCopyResultLog);
    cr_expect(contains(cause, "i-086a became unavailable (announced, detected at 2026-02-13T11:31:31.344Z)"), "%s", cause.c_str());
    cr_expect(contains(cause, "the copy to i-7e8c ended with result unknown 1779 ms after the notice"), "%s", cause.c_str());
    auto explanation = explainRequest("995a", { { .instance = "entry-3", .text = unknownCopyResultLog } });
    cr_expect(explanation->timeline.size() == 4, "the shutdown of the other engine is left out");
    cr_expect(contains(toText(*explanation), "waited_ms=3"));
}

Test(RequestExplanation, streamBrokenWithoutNotice_causeNamesStoreOutage)
{
    auto cause = causeOf("8ddc", noShutdownNoticeLog);
    cr_expect(contains(cause, "i-5653 ended the stream without a shutdown notice"), "%s", cause.c_str());
    cr_expect(contains(cause, "lost its connection to the store at 2026-04-29T14:41:07.000Z"), "%s", cause.c_str());
    auto explanation = explainRequest("8ddc", { { .instance = "entry-3", .text = noShutdownNoticeLog } });
    cr_expect(explanation->timeline[1].event == "owner_unreachable", "events of the instance during the request are included");
}

Test(RequestExplanation, requestRefusedOnOldConfiguration_causeNamesConfigurationAge)
{
    auto cause = causeOf("77aa", unconfirmedKeysLog);
    cr_expect(contains(cause, "4800 ms old at entry-3"), "%s", cause.c_str());
    cr_expect(contains(cause, "lost its connection to the store"), "%s", cause.c_str());
}

Test(RequestExplanation, requestWithUnknownOutcome_causeNamesTarget)
{
    auto cause = causeOf("0d0e", unknownOutcomeLog);
    cr_expect(contains(cause, "i-77 sent no complete response"), "%s", cause.c_str());
    cr_expect(contains(cause, "10.0.0.7:80"), "%s", cause.c_str());
}

Test(RequestExplanation, instanceRestartedDuringRequest_causeNamesInstance)
{
    auto cause = causeOf("5e", R"({"time":"2026-01-01T00:00:01.000Z","event":"attempt","request":"5e","target":"i-1"}
{"time":"2026-01-01T00:00:03.000Z","event":"started","instance":"entry-3"}
)");
    cr_expect(contains(cause, "entry-3 stopped while the request ran"), "%s", cause.c_str());
}

Test(RequestExplanation, unknownRequest_hasNoExplanation)
{
    cr_expect(!explainRequest("none", { { .instance = "entry-3", .text = unknownCopyResultLog } }).has_value());
}
