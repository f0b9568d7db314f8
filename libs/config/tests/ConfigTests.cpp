#include <catch2/catch.hpp>
#include <config/Configuration.h>

#include <filesystem>
#include <fstream>

using namespace bronzeswitch;

namespace {

// A temporary directory of configuration files, which is removed at the end of the test.
class TemporaryDirectory {
public:
    TemporaryDirectory()
        : m_path(std::filesystem::temp_directory_path()
            / ("bronzeswitch-config-" + std::to_string(counter++) + "-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    TemporaryDirectory& addFile(const std::string& name, const std::string& text)
    {
        std::ofstream(m_path / name) << text;
        return *this;
    }
    std::string path() const { return m_path.string(); }

private:
    static inline int counter = 0;
    std::filesystem::path m_path;
};

const std::string baseConfig = R"(
tiers:
  urgent: { rank: 0 }
  normal: { rank: 1 }
organisations:
  north: { weight: 2 }
  south: { best_tier: normal }
upstreams:
  e1: { kind: engine, address: "127.0.0.1:9001", data_centre: honda, model: reader, version: v1, slots: 4 }
  s1: { kind: service, address: "127.0.0.1:9002", data_centre: honda, version: v1 }
routes:
  check: { kind: engine, model: reader, tier: urgent, version: v1 }
  sign: { kind: service, path: /sign, tier: urgent, version: v1, idempotent: false }
)";

std::string findingsOf(const TemporaryDirectory& directory)
{
    const auto document = ConfigDocument::load(directory.path());
    if (!document)
        return format(document.error());
    const auto configuration = Configuration::create(*document, 1);
    return configuration ? std::string() : format(configuration.error());
}

} // namespace

TEST_CASE("files are merged in the order of their names")
{
    TemporaryDirectory directory;
    directory.addFile("10-base.yaml", baseConfig);
    directory.addFile("20-over.yaml", "upstreams:\n  e1: { slots: 8 }\norganisations:\n  south: null\n");
    const auto document = ConfigDocument::load(directory.path());
    REQUIRE(document);
    const auto configuration = Configuration::create(*document, 7);
    REQUIRE(configuration);
    CHECK(configuration->revision() == 7);
    CHECK(configuration->findUpstream("e1")->slots == 8);
    CHECK(configuration->findUpstream("e1")->model == "reader");
    CHECK_FALSE(configuration->findOrganisation("south"));
}

TEST_CASE("an organisation's best tier lowers the priority of its requests and never raises it")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", baseConfig);
    const auto configuration = Configuration::create(*ConfigDocument::load(directory.path()), 1);
    REQUIRE(configuration);
    const auto& route = *configuration->findRoute("check");
    CHECK(configuration->rankOf(route, *configuration->findOrganisation("north")) == 0);
    CHECK(configuration->rankOf(route, *configuration->findOrganisation("south")) == 1);
}

TEST_CASE("service routes match whole path segments and prefer the longest prefix")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", baseConfig);
    directory.addFile("b.yaml", "routes:\n  sign-late: { kind: service, path: /sign/late, tier: normal, version: v1 }\n");
    const auto configuration = Configuration::create(*ConfigDocument::load(directory.path()), 1);
    REQUIRE(configuration);
    CHECK(configuration->findServiceRoute("/sign")->name == "sign");
    CHECK(configuration->findServiceRoute("/sign/late/7")->name == "sign-late");
    CHECK_FALSE(configuration->findServiceRoute("/signature"));
}

TEST_CASE("findings name file, line and field")
{
    struct Case {
        const char* text;
        const char* expected;
    };
    const Case cases[] = {
        { "nonsense: {}", "b.yaml:1: unknown section 'nonsense'" },
        { "tiers: 3", "b.yaml:1: section 'tiers' must be a mapping of names" },
        { "tiers:\n  other: { rank: 0 }", "another tier has rank 0" },
        { "tiers:\n  other: { rank: 99 }", "b.yaml:2 (tier/other.rank): must be a whole number from 0 to 15" },
        { "tiers:\n  other: { rnk: 2 }", "unknown field 'rnk'" },
        { "organisations:\n  o: { best_tier: gold }", "no tier 'gold'" },
        { "upstreams:\n  u: { kind: engine }", "field 'address' is missing" },
        { "upstreams:\n  e1: { address: localhost }", "must be an IPv4 address and a port" },
        { "upstreams:\n  e1: { kind: thing }", "must be engine or service" },
        { "routes:\n  check: { version: v9 }", "has version 'v9'" },
        { "routes:\n  check: { tier: gold }", "no tier 'gold'" },
        { "rollouts:\n  r: { route: check, from: v1, to: v1, deadline: 5 }", "are the same version" },
        { "rollouts:\n  r: { route: nowhere, from: v1, to: v2, deadline: 5 }", "no route 'nowhere'" },
        { "routes: [", "b.yaml:" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.text);
        TemporaryDirectory directory;
        directory.addFile("a.yaml", baseConfig).addFile("b.yaml", entry.text);
        CHECK_THAT(findingsOf(directory), Catch::Contains(entry.expected));
    }
}

TEST_CASE("all findings are reported together")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", baseConfig).addFile("b.yaml", "routes:\n  check: { tier: gold, version: v9 }\nnonsense: {}\n");
    directory.addFile("c.yaml", "other: {}\n");
    const auto text = findingsOf(directory);
    CHECK_THAT(text, Catch::Contains("nonsense") && Catch::Contains("other"));
}

TEST_CASE("an unquoted number that would lose digits stays text")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", "routes:\n  r: { version: 1.10, deadline_ms: 20 }\n");
    const auto entry = ConfigDocument::load(directory.path())->entries("route").at("r");
    CHECK(entry["version"] == "1.10");
    CHECK(entry["deadline_ms"] == 20);
}

TEST_CASE("a second active rollout of a route is reported")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", baseConfig)
        .addFile("b.yaml",
            "upstreams:\n  e2: { kind: engine, address: \"127.0.0.1:9003\", data_centre: honda, model: reader, version: v2 }\n"
            "rollouts:\n  r1: { route: check, from: v1, to: v2, deadline: 5 }\n  r2: { route: check, from: v1, to: v2, deadline: 5 }\n");
    CHECK_THAT(findingsOf(directory), Catch::Contains("another rollout moves route 'check'"));
}

TEST_CASE("applying a difference to its base document yields the target document")
{
    TemporaryDirectory directory;
    directory.addFile("a.yaml", baseConfig);
    const auto base = *ConfigDocument::load(directory.path());
    directory.addFile("b.yaml", "organisations:\n  south: null\n  east: { weight: 3 }\n");
    const auto target = *ConfigDocument::load(directory.path());
    const auto delta = base.differenceTo(target);
    CHECK(base.apply(delta) == target);
    CHECK(*configDeltaFromJson(toJson(delta)) == delta);
    CHECK(target.differenceTo(target).isEmpty());
}
