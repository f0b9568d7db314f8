#include <catch2/catch.hpp>
#include <gateway/UpstreamNotices.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr int64_t startedAt = 1790000000000;

UpstreamEntry makeEntry(int64_t born = startedAt) { return { "e1", "reader", "127.0.0.1:9", "honda", "v1", 2, false, false, born }; }

// The notices of a node with one upstream.
struct Fixture {
    Fixture()
    {
        directory.put(makeEntry());
        notices.connect(
            { [this](const std::function<bool(UpstreamDirectory&)>& change) { return change(directory); }, [this] { ++limitChanges; },
                [this](const Message& message) { announced.push_back(std::get<NoticeUpdate>(message).notices.at(0)); },
                [this] { return unixTime; } });
    }

    void respond(std::optional<double> limit, TimePoint now)
    {
        ResponseMetadata metadata;
        metadata.requestLimit = limit;
        notices.onResponse(*directory.find("e1"), metadata, now);
    }

    std::map<std::string, double> limits() const { return notices.requestLimits(directory); }

    LineWriter writer { -1, 4096 };
    DecisionLog log { "n1", writer, 10 };
    UpstreamDirectory directory;
    UpstreamNotices notices { log };
    int limitChanges = 0;
    int64_t unixTime = startedAt + 3000;
    std::vector<UpstreamNotice> announced;
};

const std::map<std::string, double> noLimits;

} // namespace

TEST_CASE("a request limit holds until a later response states another one or none")
{
    Fixture fixture;
    fixture.respond(std::nullopt, start);
    CHECK(fixture.limits() == noLimits);
    fixture.respond(1.4, start);
    CHECK(fixture.limits() == std::map<std::string, double> { { "e1", 1.4 } });
    fixture.respond(1.4, start + Duration(100));
    CHECK(fixture.limitChanges == 1);
    fixture.respond(1.3, start + Duration(200));
    CHECK(fixture.limits().at("e1") == 1.3);
    CHECK(fixture.announced == std::vector<UpstreamNotice> { { "e1", startedAt, false, 0, 1400 } });
    fixture.respond(std::nullopt, start + Duration(300));
    CHECK(fixture.limits() == noLimits);
    CHECK(fixture.limitChanges == 3);
    REQUIRE(fixture.announced.size() == 2);
    CHECK(fixture.announced[1] == UpstreamNotice { "e1", startedAt, false, 0, -1 });
}

TEST_CASE("of several nodes' statements about an upstream's limit, the latest counts")
{
    Fixture fixture;
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, false, 100, 2000 } }, start);
    CHECK(fixture.limits().at("e1") == 2);
    fixture.respond(std::nullopt, start);
    CHECK(fixture.limits() == noLimits);
    // The peer's statement is older than the last response.
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, false, 600, 2000 } }, start + Duration(500));
    CHECK(fixture.limits() == noLimits);
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, false, 100, 3000 } }, start + Duration(500));
    CHECK(fixture.limits().at("e1") == 3);
    const auto reported = fixture.notices.entries(fixture.directory, start + Duration(700));
    REQUIRE(reported.size() == 1);
    CHECK(reported[0] == UpstreamNotice { "e1", startedAt, false, 300, 3000 });
    CHECK(fixture.notices.entries(fixture.directory, start + Duration(60000)).empty());
    CHECK(fixture.limits().at("e1") == 3);
}

TEST_CASE("what an upstream has stated ends when it starts again under its identifier")
{
    Fixture fixture;
    fixture.respond(1, start);
    ResponseMetadata leaving;
    leaving.isLeaving = true;
    fixture.notices.onResponse(makeEntry(), leaving, start);
    CHECK(fixture.directory.find("e1")->isDraining);
    CHECK(fixture.notices.entries(fixture.directory, start).at(0).isLeaving);
    fixture.directory.put(makeEntry(startedAt + 5000));
    CHECK_FALSE(fixture.directory.find("e1")->isDraining);
    CHECK(fixture.limits() == noLimits);
    CHECK(fixture.notices.entries(fixture.directory, start).empty());
    // A peer that has not seen the new start yet.
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, true, 10, 1000 } }, start + Duration(6000));
    CHECK_FALSE(fixture.directory.find("e1")->isDraining);
    CHECK(fixture.limits() == noLimits);
}

TEST_CASE("a statement holds for starts that the directory names later, if they began before it")
{
    Fixture fixture;
    fixture.unixTime = startedAt + 60000;
    ResponseMetadata leaving;
    leaving.isLeaving = true;
    fixture.notices.onResponse(makeEntry(), leaving, start);
    fixture.directory.put(makeEntry(startedAt + 50000));
    CHECK(fixture.directory.find("e1")->isDraining);
    fixture.directory.put(makeEntry(startedAt + 61000));
    CHECK_FALSE(fixture.directory.find("e1")->isDraining);
}

TEST_CASE("a response without a statement does not take back that an upstream leaves")
{
    Fixture fixture;
    ResponseMetadata leaving;
    leaving.isLeaving = true;
    fixture.notices.onResponse(makeEntry(), leaving, start);
    fixture.respond(std::nullopt, start + Duration(10));
    CHECK(fixture.directory.find("e1")->isDraining);
    fixture.directory.put(makeEntry());
    CHECK(fixture.directory.find("e1")->isDraining);
}

TEST_CASE("what a node learns from a peer is not announced again, and a limit that goes on is announced once in a while")
{
    Fixture fixture;
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, true, 0, 2000 } }, start);
    CHECK(fixture.announced.empty());
    for (int response = 0; response < 20; ++response)
        fixture.respond(2.1, start + Duration(1000 * (response + 1)));
    CHECK(fixture.announced.size() == 4);
    fixture.respond(1.0, start + Duration(20100));
    CHECK(fixture.announced.size() == 5);
}

TEST_CASE("reports repeat that an upstream leaves only while its entry does not say so")
{
    Fixture fixture;
    ResponseMetadata leaving;
    leaving.isLeaving = true;
    fixture.notices.onResponse(makeEntry(), leaving, start);
    CHECK(fixture.announced.size() == 1);
    CHECK(fixture.notices.entries(fixture.directory, start).size() == 1);
    auto listed = makeEntry();
    listed.isDraining = true;
    fixture.directory.put(listed);
    CHECK(fixture.notices.entries(fixture.directory, start).empty());
    fixture.notices.onWithheld(*fixture.directory.find("e1"), start + Duration(100));
    CHECK(fixture.announced.size() == 1);
    fixture.notices.onWithheld(*fixture.directory.find("e1"), start + Duration(1000));
    CHECK(fixture.announced.size() == 2);
}

TEST_CASE("a peer's malformed notice about a limit changes nothing")
{
    Fixture fixture;
    fixture.notices.onPeerNotices("n2", { { "e1", startedAt, false, -1, 1000 }, { "e1", startedAt, false, 1LL << 60, 1000 } }, start);
    CHECK(fixture.limits() == noLimits);
    CHECK(fixture.limitChanges == 0);
}
