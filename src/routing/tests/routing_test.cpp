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
            { .name = "elsewhere", .host = "b.example", .pathPrefix = "/", .services = { { .service = "three" } } },
        },
        .services = { { .name = "one" }, { .name = "two", .engine = EngineTraits { .slots = 4 } } },
        .organisations = { { .name = "coop", .keys = { "key-1", "key-2" }, .priority = 3 } },
    };
}

std::string routeOf(const RouteTable& table, const char* host, const char* path)
{
    const auto* route = table.match(host, path);
    return route ? route->name : "none";
}

}

Test(RouteTable, overlappingPrefixes_longestOfTheHostWins)
{
    RouteTable table(configurationOf(1));
    cr_expect(routeOf(table, "a.example", "/x/z") == "wide");
    cr_expect(routeOf(table, "a.example", "/x/y/z") == "narrow");
    cr_expect(routeOf(table, "a.example", "/x/y") == "wide");
    cr_expect(routeOf(table, "a.example", "/x") == "none");
    cr_expect(routeOf(table, "b.example", "/x/y/z") == "elsewhere");
    cr_expect(routeOf(table, "c.example", "/x/") == "none");
}

Test(RouteTable, hostWithPortOrCapitals_isTheSameHost)
{
    RouteTable table(configurationOf(1));
    cr_expect(routeOf(table, "A.Example:8740", "/x/z") == "wide");
}

Test(RouteTable, everyKeyOfAnOrganisation_findsItAndItsPriority)
{
    RouteTable table(configurationOf(1));
    const auto* organisation = table.organisationForKey("key-2");
    cr_assert(organisation != nullptr);
    cr_expect(organisation->name == "coop");
    cr_expect(organisation->priority == 3);
    cr_expect(table.organisationForKey("key-3") == nullptr);
}

Test(RouteTable, weightedServices_areDrawnByWeight)
{
    Route route { .services = { { .service = "a", .weight = 90 }, { .service = "b", .weight = 10 } } };
    cr_expect(pickService(route, 0.0) == "a");
    cr_expect(pickService(route, 0.899) == "a");
    cr_expect(pickService(route, 0.901) == "b");
    cr_expect(pickService(route, 0.999) == "b");
    cr_expect(pickService(Route {}, 0.5).empty());
}

Test(ActiveConfiguration, olderConfiguration_isNeverAdopted)
{
    ActiveConfiguration gate(Seconds(4));
    cr_expect(!gate.ready());
    cr_expect(gate.adopt(configurationOf(7)));
    cr_expect(!gate.adopt(configurationOf(7)));
    cr_expect(!gate.adopt(configurationOf(6)));
    cr_expect(gate.table()->version() == 7);
    cr_expect(gate.adopt(configurationOf(9)));
    cr_expect(gate.table()->version() == 9);
}

Test(ActiveConfiguration, confirmationTooOld_keysNoLongerCount)
{
    ActiveConfiguration gate(Seconds(4));
    BootTime start { Seconds(100) };
    gate.adopt(configurationOf(1));
    cr_expect(!gate.keysAreCurrent(start), "never confirmed");
    gate.confirm(start);
    cr_expect(gate.keysAreCurrent(start + Seconds(4)));
    cr_expect(!gate.keysAreCurrent(start + Seconds(4) + Milliseconds(1)));
    gate.confirm(start - Seconds(3));
    cr_expect(gate.keysAreCurrent(start + Seconds(4)), "an older confirmation takes nothing back");
}
