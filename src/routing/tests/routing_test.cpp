#include "routing/activeconfiguration.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

RoutingConfiguration configurationOf(std::int64_t version)
{
    return {
        .version = version,
        .routes = {
            { .name = "wide", .host = "a.example", .pathPrefix = "/x/", .services = { { .service = "one" } } },
            { .name = "narrow", .host = "a.example", .pathPrefix = "/x/y/", .services = { { .service = "two" } } },
            { .name = "otherHost", .host = "b.example", .pathPrefix = "/", .services = { { .service = "three" } } },
        },
        .services = { { .name = "one" }, { .name = "two", .engine = EngineTraits { .slots = 4 } } },
        .requiresKeys = true,
        .organisations = { { .name = "coop", .keys = { "key-1", "key-2" }, .priority = 3 } },
    };
}

std::string routeOf(const RouteTable& table, const char* host, const char* path)
{
    const auto* route = table.match(host, path);
    return route ? route->name : "none";
}

}

Test(RouteTable, match_overlappingPrefixes_selectsLongestOfHost)
{
    RouteTable table(configurationOf(1));
    cr_expect(routeOf(table, "a.example", "/x/z") == "wide");
    cr_expect(routeOf(table, "a.example", "/x/y/z") == "narrow");
    cr_expect(routeOf(table, "a.example", "/x/y") == "wide");
    cr_expect(routeOf(table, "a.example", "/x") == "none");
    cr_expect(routeOf(table, "b.example", "/x/y/z") == "otherHost");
    cr_expect(routeOf(table, "c.example", "/x/") == "none");
}

Test(RouteTable, match_hostWithPortOrCapitals_isNormalised)
{
    RouteTable table(configurationOf(1));
    cr_expect(routeOf(table, "A.Example:8740", "/x/z") == "wide");
}

Test(RouteTable, organisationForKey_anyOfItsKeys_findsOrganisation)
{
    RouteTable table(configurationOf(1));
    const auto* organisation = table.organisationForKey("key-2");
    cr_assert(organisation != nullptr);
    cr_expect(organisation->name == "coop");
    cr_expect(organisation->priority == 3);
    cr_expect(table.organisationForKey("key-3") == nullptr);
}

Test(RouteTable, pickService_weightedServices_followsWeights)
{
    Route route { .services = { { .service = "a", .weight = 90 }, { .service = "b", .weight = 10 } } };
    cr_expect(pickService(route, 0.0) == "a");
    cr_expect(pickService(route, 0.899) == "a");
    cr_expect(pickService(route, 0.901) == "b");
    cr_expect(pickService(route, 0.999) == "b");
    cr_expect(pickService(Route {}, 0.5).empty());
}

Test(ActiveConfiguration, adopt_olderConfiguration_isRefused)
{
    ActiveConfiguration configuration(Seconds(4));
    cr_expect(!configuration.ready());
    cr_expect(configuration.adopt(configurationOf(7)));
    cr_expect(!configuration.adopt(configurationOf(7)));
    cr_expect(!configuration.adopt(configurationOf(6)));
    cr_expect(configuration.table()->version() == 7);
    cr_expect(configuration.adopt(configurationOf(9)));
    cr_expect(configuration.table()->version() == 9);
}

Test(ActiveConfiguration, keysAreCurrent_confirmationTooOld_isFalse)
{
    ActiveConfiguration configuration(Seconds(4));
    BootTime confirmedAt { Seconds(100) };
    configuration.adopt(configurationOf(1));
    cr_expect(!configuration.keysAreCurrent(confirmedAt), "never confirmed");
    configuration.confirm(confirmedAt);
    cr_expect(configuration.keysAreCurrent(confirmedAt + Seconds(4)));
    cr_expect(!configuration.keysAreCurrent(confirmedAt + Seconds(4) + Milliseconds(1)));
    configuration.confirm(confirmedAt - Seconds(3));
    cr_expect(configuration.keysAreCurrent(confirmedAt + Seconds(4)), "an older confirmation does not replace a newer one");
}

/// Guards against CONFIG: a shorter time for revoked keys was not taken over while the process ran.
Test(ActiveConfiguration, maxUnconfirmedTimeShortened_appliesToTheLastConfirmation)
{
    ActiveConfiguration configuration(Seconds(4));
    BootTime confirmedAt { Seconds(100) };
    configuration.adopt(configurationOf(1));
    configuration.confirm(confirmedAt);
    configuration.setMaxUnconfirmedTime(Seconds(2));
    cr_expect(configuration.keysAreCurrent(confirmedAt + Seconds(2)));
    cr_expect_not(configuration.keysAreCurrent(confirmedAt + Seconds(2) + Milliseconds(1)));
}

/// Guards against CONFIG: a store that had lost a version confirmed the one before, with the keys that the lost one revokes.
Test(ActiveConfiguration, peerHasNewerVersion_keysAreNotConfirmed)
{
    constexpr auto maxUnconfirmedTime = Seconds(4);
    BootTime now { Seconds(100) };
    ActiveConfiguration configuration(maxUnconfirmedTime);
    configuration.adopt({ .version = 7 });
    configuration.confirm(now);
    configuration.onVersionKnown(8);
    cr_expect(configuration.knowsNewerVersion());
    now += maxUnconfirmedTime + Seconds(1);
    configuration.confirm(now);
    cr_expect(!configuration.keysAreCurrent(now));
    configuration.adopt({ .version = 8 });
    configuration.confirm(now);
    cr_expect(configuration.keysAreCurrent(now));
}
