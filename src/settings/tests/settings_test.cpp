#include "settings/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

using namespace guavaspan;
namespace leaf = boost::leaf;

namespace {

const std::string valid = R"(instance: { name: entry-1, failure_domain: mixco }
listen: { callers: "127.0.0.1:0", peers: "[::1]:7001" }
platform: { key_value_service: "10.0.0.1:2379", instance_list: "10.0.0.1:2380" }
peers: { key: 0123456789abcdef }
)";

std::vector<SettingsFault> faultsOf(const std::string& yaml)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<SettingsFault>> {
            BOOST_LEAF_CHECK(parseSettings(yaml));
            return std::vector<SettingsFault> {};
        },
        [](const SettingsFaults& faults) { return faults.faults; },
        [] { return std::vector<SettingsFault> { { .line = -1 } }; });
}

}

Test(Settings, smallestFile_isValid)
{
    cr_expect(faultsOf(valid).empty());
}

Test(Settings, unknownKey_isRefusedWithLineAndNearestName)
{
    auto faults = faultsOf(valid + "streams:\n  max_restrats: 3\n");
    cr_assert(faults.size() == 1);
    cr_expect(faults[0].line == 6);
    cr_expect(faults[0].location == "streams.max_restrats");
    cr_expect(faults[0].message.find("max_restarts") != std::string::npos);
}

Test(Settings, everyFault_isListed)
{
    auto faults = faultsOf(R"(instance: { name: a }
listen: { callers: "localhost:80", peers: "127.0.0.1:1" }
platform: { key_value_service: "1.2.3.4:5", instance_list: "1.2.3.4:5", timeout_ms: zero }
peers: { key: short }
scheduling: { policy: best, load_poll_ms: 1 }
log: 7
)");
    std::vector<std::string> places;
    for (const auto& fault : faults)
        places.push_back(fault.location);
    for (const char* expected : { "instance.failure_domain", "listen.callers", "platform.timeout_ms", "peers.key", "scheduling.policy", "scheduling.load_poll_ms", "log" })
        cr_expect(std::find(places.begin(), places.end(), expected) != places.end(), "%s", expected);
}

Test(Settings, brokenYaml_givesLine)
{
    auto faults = faultsOf("instance: {\n  name: [\n");
    cr_assert(faults.size() == 1);
    cr_expect(faults[0].line > 0);
}
