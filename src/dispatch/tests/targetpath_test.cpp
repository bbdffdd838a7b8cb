#include "dispatch/targetpath.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// A service with eight targets and one with two.
struct TargetPathFixture {
    TargetPathFixture()
    {
        for (int number = 0; number < 8; ++number)
            entries.push_back(entry("model", number));
        for (int number = 8; number < 10; ++number)
            entries.push_back(entry("shop", number));
    }

    static TargetEntry entry(const std::string& service, int number)
    {
        return { .id = service + std::to_string(number), .service = service, .endpoint = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(8000 + number) } };
    }

    TargetPath::Targets usable() const
    {
        TargetPath::Targets targets;
        for (const auto& target : entries)
            targets.push_back(&target);
        return targets;
    }

    void fail(std::size_t first, std::size_t last)
    {
        for (std::size_t number = first; number <= last; ++number)
            path.onConnectFailed(entries[number]);
    }

    std::vector<TargetEntry> entries;
    TargetPath path;
};

}

/// Guards against RECOVER: the loss of the path to all targets was taken for failures of each of them.
Test(TargetPath, severalTargetsFailInARow_pathIsLostUntilOneConnects)
{
    TargetPathFixture f;
    f.fail(0, 2);
    cr_expect(f.path.update(f.usable()).empty());
    f.fail(3, 3);
    cr_expect(f.path.update(f.usable()) == std::vector<std::string> { "model" });
    cr_expect(f.path.isLost("model") && !f.path.isLost("shop"));
    cr_expect(f.path.update(f.usable()).empty(), "a result is reported once");
    f.path.onConnected(f.entries[7]);
    cr_expect(f.path.update(f.usable()) == std::vector<std::string> { "model" });
    cr_expect(!f.path.isLost("model") && !f.path.inDoubt());
}

Test(TargetPath, connectionSucceedsInBetween_pathIsNotLost)
{
    TargetPathFixture f;
    f.fail(0, 2);
    f.path.onConnected(f.entries[5]);
    f.fail(3, 5);
    cr_expect(f.path.update(f.usable()).empty());
}

Test(TargetPath, smallService_allItsTargetsMustFail)
{
    TargetPathFixture f;
    f.fail(8, 8);
    cr_expect(f.path.update(f.usable()).empty());
    f.fail(9, 9);
    cr_expect(f.path.update(f.usable()) == std::vector<std::string> { "shop" });
}

Test(TargetPath, failedTargetsLeave_pathIsNotLost)
{
    TargetPathFixture f;
    f.fail(0, 3);
    f.entries.erase(f.entries.begin(), f.entries.begin() + 2);
    cr_expect(f.path.update(f.usable()).empty());
}

Test(TargetPath, pathInDoubt_targetsThatHaveNotFailedAreProbed)
{
    TargetPathFixture f;
    cr_expect(!f.path.inDoubt());
    cr_expect(f.path.targetsToProbe(f.usable()).empty());
    f.fail(0, 0);
    cr_expect(f.path.inDoubt());
    auto probes = f.path.targetsToProbe(f.usable());
    cr_assert(probes.size() == 2);
    cr_expect(probes[0]->id == "model1" && probes[1]->id == "model2");
    f.fail(1, 1);
    cr_expect(f.path.targetsToProbe(f.usable()).size() == 4);
}

/// Guards against RECOVER: a service with few requests was found to be out of reach late.
Test(TargetPath, pathToOneServiceIsLost_otherServicesAreProbedToo)
{
    TargetPathFixture f;
    f.fail(8, 9);
    f.path.update(f.usable());
    auto probes = f.path.targetsToProbe(f.usable());
    cr_assert(probes.size() == 2);
    cr_expect(probes[0]->service == "model" && probes[1]->service == "shop");
}

/// Guards against BUDGET: a request that was sent as soon as engines had returned crashed one before the path counted as regained, which
/// made its crash no evidence.
Test(TargetPath, targetConnects_pathIsRegainedBeforeTheNextUpdate)
{
    TargetPathFixture f;
    f.fail(8, 9);
    f.path.update(f.usable());
    cr_assert(f.path.isLost("shop"));
    f.path.onConnected(f.entries[8]);
    cr_expect(!f.path.isLost("shop"));
    cr_expect(f.path.update(f.usable()) == std::vector<std::string> { "shop" }, "the change is still reported");
}
