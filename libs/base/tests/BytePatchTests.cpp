#include <base/BytePatch.h>
#include <catch2/catch.hpp>
#include <random>

using namespace bronzeswitch;

namespace {

std::string randomText(std::size_t size, std::minstd_rand& random)
{
    std::string text;
    std::uniform_int_distribution<int> digits('a', 'h');
    while (text.size() < size)
        text += static_cast<char>(digits(random));
    return text;
}

std::size_t statedBytes(const BytePatch& patch)
{
    std::size_t size = 0;
    for (const auto& step : patch.steps) {
        if (const auto* stated = std::get_if<std::string>(&step))
            size += stated->size();
    }
    return size;
}

} // namespace

TEST_CASE("a patch turns its base into the target, whatever has changed")
{
    std::minstd_rand random(1);
    std::uniform_int_distribution<std::size_t> sizes(0, 900);
    for (int round = 0; round < 300; ++round) {
        const auto base = randomText(sizes(random), random);
        auto target = base;
        for (int change = 0; change < 3; ++change) {
            const auto at = std::uniform_int_distribution<std::size_t>(0, target.size())(random);
            target.erase(at, sizes(random) / 8);
            target.insert(at, randomText(sizes(random) / 8, random));
        }
        if (round % 5 == 0)
            target = target.substr(target.size() / 2) + target.substr(0, target.size() / 2);
        CHECK(BytePatch::between(base, target).apply(base) == target);
    }
}

TEST_CASE("a patch for a few changes in a large text is short")
{
    std::minstd_rand random(1);
    const auto base = randomText(300000, random);
    auto target = base;
    target.replace(10, 2, "17");
    target.insert(150000, "a new route");
    target.erase(250000, 400);
    const auto patch = BytePatch::between(base, target);
    CHECK(patch.apply(base) == target);
    CHECK(statedBytes(patch) < 200);
    CHECK(patch.steps.size() < 10);
}

TEST_CASE("a patch that exceeds its base is refused")
{
    const BytePatch patch { { BytePatch::Copy { 2, 3 } } };
    CHECK_FALSE(patch.apply("abcd"));
    CHECK_FALSE(BytePatch { { BytePatch::Copy { 5, static_cast<std::size_t>(-4) } } }.apply("abcd"));
    CHECK(patch.apply("abcde") == std::string("cde"));
}
