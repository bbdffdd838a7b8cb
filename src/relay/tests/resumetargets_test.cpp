#include "relay/resumetargets.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct ResumeFixture {
    DomainEvacuations evacuations;
    TimePoint now { Seconds(1000) };
    StreamMove move { .destination = { .id = "copy", .failureDomain = "north" }, .source = { .id = "source", .failureDomain = "south" } };

    std::vector<std::string> targets(Clock::duration later = {}) const
    {
        std::vector<std::string> ids;
        for (const auto& target : resumeTargets(move, evacuations, now + later))
            ids.push_back(target.id);
        return ids;
    }
};

using Ids = std::vector<std::string>;

}

Test(ResumeTargets, noEvacuation_copyIsTriedBeforeSource)
{
    ResumeFixture f;
    cr_expect(f.targets() == (Ids { "copy", "source" }));
    f.move.source = f.move.destination;
    cr_expect(f.targets() == Ids { "copy" });
}

/// Guards against a resumed generation that reaches an evacuated domain although the other engine can take it.
Test(ResumeTargets, oneEngineEvacuated_theOtherIsTriedFirstAndAloneLater)
{
    ResumeFixture f;
    f.evacuations.onEvacuated("north", f.now);
    cr_expect(f.targets() == (Ids { "source", "copy" }));
    cr_expect(f.targets(Seconds(2)) == Ids { "source" });
}

/// Guards against streams that are lost because an evacuation began between the stop and the resumption.
Test(ResumeTargets, stoppedWithoutCopy_sourceResumesJustAfterTheEvacuationOnly)
{
    ResumeFixture f;
    f.move.destination = f.move.source;
    f.evacuations.onEvacuated("south", f.now);
    cr_expect(f.targets(Seconds(1)) == Ids { "source" });
    cr_expect(f.targets(Seconds(2)).empty());
}
