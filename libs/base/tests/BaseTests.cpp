#include <base/EventLog.h>
#include <base/Hash.h>
#include <base/TimerService.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>

using namespace bronzeswitch;

TEST_CASE("the table of docs/EVENTS.md lists exactly the events of the catalogue, in order")
{
    std::ifstream page(BRONZESWITCH_SOURCE_DIR "/docs/EVENTS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])))
            rows.push_back(line);
    }
    std::vector<std::string> expected;
    int last = 0;
    for (const auto& event : eventCatalogue()) {
        CHECK(event.number > last);
        last = event.number;
        expected.push_back(
            "| " + std::to_string(event.number) + " | " + event.name + " | " + toString(event.level) + " | " + event.meaning + " |");
    }
    CHECK(rows == expected);
}

TEST_CASE("a manual timer service runs callbacks in the order of their due times, and only when it is advanced")
{
    const auto timers = TimerService::createManual();
    std::vector<int> calls;
    const auto slow = timers->subscribe(Duration(30), [&] { calls.push_back(30); });
    auto fast = timers->subscribe(Duration(20), [&] { calls.push_back(20); });
    const auto start = timers->now();
    timers->advance(Duration(19));
    CHECK(calls.empty());
    timers->advance(Duration(41));
    // Callbacks that are due at the same time run in the order of their subscription.
    CHECK(calls == std::vector<int> { 20, 30, 20, 30, 20 });
    CHECK(timers->now() - start == Duration(60));
    fast.reset();
    timers->advance(Duration(30));
    CHECK(calls.size() == 6);
}

TEST_CASE("removing a member from rendezvous hashing moves only the keys of that member")
{
    const std::vector<std::string> before { "n1", "n2", "n3", "n4", "n5" };
    const std::vector<std::string> after { "n1", "n2", "n4", "n5" };
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
        const auto key = "key-" + std::to_string(i);
        const auto home = selectByRendezvousHash(key, before);
        ++counts[home];
        if (home != "n3")
            CHECK(selectByRendezvousHash(key, after) == home);
    }
    for (const auto& [member, count] : counts)
        CHECK(count > 120);
    CHECK(selectByRendezvousHash("key", {}).empty());
}

TEST_CASE("random identifiers are unique and have 32 digits")
{
    std::set<std::string> ids;
    for (int i = 0; i < 1000; ++i)
        ids.insert(randomId());
    CHECK(ids.size() == 1000);
    CHECK(ids.begin()->size() == 32);
}
