#include "targets/brittleservices.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

struct BrittleServicesFixture {
    BrittleServices services;
    TargetEntry target { .id = "shop-1", .service = "shop", .slots = 16 };
};

}

Test(BrittleServices, nothingStated_nothingIsLimited)
{
    BrittleServicesFixture f;
    f.services.onAnswer(f.target, std::nullopt);
    cr_expect(!f.services.requestLimit(f.target));
    cr_expect(!f.services.pauseAfterRejection("shop"));
}

/// Guards against LIMIT: many instances filled the queues of engines that fail when they reject requests.
Test(BrittleServices, oneTargetStatesIt_allTargetsOfTheServiceAreLimited)
{
    BrittleServicesFixture f;
    f.services.setInstances(8);
    f.services.onAnswer(f.target, 4);
    TargetEntry other { .id = "shop-2", .service = "shop", .slots = 6 };
    cr_expect(f.services.requestLimit(f.target) == 2);
    cr_expect(f.services.requestLimit(other) == 1);
    cr_expect(!f.services.requestLimit({ .id = "model-1", .service = "model", .slots = 24 }));
}

Test(BrittleServices, rejectionsOfAllInstances_areFewerThanATargetSurvives)
{
    BrittleServicesFixture f;
    for (std::size_t instances : { 1, 8, 24 }) {
        f.services.setInstances(instances);
        f.services.onAnswer(f.target, 8);
        auto pause = f.services.pauseAfterRejection("shop");
        cr_assert(pause.has_value());
        auto rejectionsPerSecond = static_cast<double>(instances) / std::chrono::duration<double>(*pause).count();
        cr_expect_leq(rejectionsPerSecond, 4.0);
    }
    f.services.onAnswer(f.target, 0);
    cr_expect(f.services.pauseAfterRejection("shop") == Seconds(8));
}

Test(BrittleServices, answerWithoutTheStatement_endsTheLimits)
{
    BrittleServicesFixture f;
    f.services.onAnswer(f.target, 4);
    f.services.onAnswer(f.target, std::nullopt);
    cr_expect(!f.services.isBrittle("shop"));
}
