#include <catch2/catch.hpp>
#include <map>
#include <server/Settings.h>

using namespace bronzeswitch;

namespace {

const std::vector<std::string> requiredArguments { "--node", "n1", "--data-centre", "honda", "--log-address", "127.0.0.1:1",
    "--vm-list-address", "127.0.0.1:2", "--weight-store-address", "127.0.0.1:3" };

Environment environmentOf(const std::map<std::string, std::string>& variables)
{
    return [variables](const std::string& name) {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional(found->second);
    };
}

std::vector<std::string> concatenate(std::vector<std::string> arguments, const std::vector<std::string>& more)
{
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

} // namespace

TEST_CASE("options that are not given have their defaults")
{
    const auto parsed = parseSettings(requiredArguments, environmentOf({}));
    REQUIRE(parsed);
    const auto& settings = *parsed->settings;
    CHECK(settings.callerPort == 8080);
    CHECK(settings.drainLimit == std::chrono::seconds(30));
    CHECK(settings.policy == PlacementPolicy::Home);
    CHECK(settings.logAuthority == "127.0.0.1:1");
}

TEST_CASE("a flag takes precedence over its environment variable, and that over the default")
{
    const auto environment = environmentOf({ { "BRONZESWITCH_CALLER_PORT", "9000" }, { "BRONZESWITCH_NODE_PORT", "9001" } });
    const auto parsed = parseSettings(concatenate(requiredArguments, { "--caller-port", "7000" }), environment);
    REQUIRE(parsed);
    CHECK(parsed->settings->callerPort == 7000);
    CHECK(parsed->settings->nodePort == 9001);
}

TEST_CASE("all required settings can be given by environment variables")
{
    const auto parsed = parseSettings({},
        environmentOf(
            { { "BRONZESWITCH_NODE", "n1" }, { "BRONZESWITCH_DATA_CENTRE", "honda" }, { "BRONZESWITCH_LOG_ADDRESS", "127.0.0.1:1" },
                { "BRONZESWITCH_VM_LIST_ADDRESS", "127.0.0.1:2" }, { "BRONZESWITCH_WEIGHT_STORE_ADDRESS", "127.0.0.1:3" } }));
    REQUIRE(parsed);
    CHECK(parsed->settings->node == "n1");
}

TEST_CASE("each invalid setting is a finding that names its flag or variable")
{
    struct Case {
        std::vector<std::string> arguments;
        std::map<std::string, std::string> variables;
        const char* place;
    };
    const Case cases[] = {
        { { "--caller-port", "70000" }, {}, "--caller-port" },
        { { "--caller-port", "http" }, {}, "--caller-port" },
        { {}, { { "BRONZESWITCH_NODE_PORT", "-1" } }, "BRONZESWITCH_NODE_PORT" },
        { { "--address", "localhost" }, {}, "--address" },
        { { "--drain-limit", "0" }, {}, "--drain-limit" },
        { { "--heartbeat", "500", "--dead-after", "900" }, {}, "--dead-after" },
        { { "--policy", "best" }, {}, "--policy" },
        { { "--claim-partitions", "0" }, {}, "--claim-partitions" },
        { { "--claim-lease", "1" }, {}, "--claim-lease" },
        { { "--silence", "99" }, {}, "--silence" },
    };
    for (const auto& testCase : cases) {
        CAPTURE(testCase.place);
        const auto parsed = parseSettings(concatenate(requiredArguments, testCase.arguments), environmentOf(testCase.variables));
        REQUIRE_FALSE(parsed);
        REQUIRE(parsed.error().size() == 1);
        CHECK(parsed.error()[0].place == testCase.place);
    }
}

TEST_CASE("all findings are reported together")
{
    const auto parsed = parseSettings({ "--caller-port", "x", "--log-address", "nowhere" }, environmentOf({}));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().size() == 6);
}

TEST_CASE("an unknown flag is a finding, and the help states units and defaults")
{
    CHECK_FALSE(parseSettings(concatenate(requiredArguments, { "--colour", "red" }), environmentOf({})));
    const auto help = parseSettings({ "--help" }, environmentOf({}));
    REQUIRE(help);
    CHECK_FALSE(help->settings);
    CHECK_THAT(help->text, Catch::Contains("SECONDS") && Catch::Contains("[default: 30]"));
}
