#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <trial/RolloutJudge.h>

using namespace bronzeswitch;

namespace {

// Generates samples of a version from seeded distributions.
class SampleSource {
public:
    explicit SampleSource(unsigned seed)
        : m_random(seed)
    {
    }

    RolloutSample goodSample(bool isCandidate)
    {
        std::uniform_real_distribution<double> first(60, 200);
        std::uniform_real_distribution<double> between(9, 16);
        std::bernoulli_distribution failure(0.003);
        return { isCandidate, failure(m_random), first(m_random), between(m_random), 100, 100 };
    }

    bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }

private:
    std::mt19937 m_random;
};

struct Fault {
    const char* name;
    const char* reason;
    std::function<void(RolloutSample&, SampleSource&)> apply;
};

const std::vector<Fault> faults {
    { "fails always", "too many failures", [](RolloutSample& sample, SampleSource&) { sample.isFailed = true; } },
    { "fails a third of the time", "too many failures",
        [](RolloutSample& sample, SampleSource& source) { sample.isFailed |= source.chance(0.33); } },
    { "slow first token", "first token too late", [](RolloutSample& sample, SampleSource&) { sample.firstTokenMs *= 5; } },
    { "slow tokens", "tokens too slow", [](RolloutSample& sample, SampleSource&) { sample.betweenTokensMs *= 4; } },
    { "short responses", "answers too short", [](RolloutSample& sample, SampleSource&) { sample.outputTokens = 10; } },
};

} // namespace

TEST_CASE("each kind of bad version is detected within 40 faulty requests, whether it is bad from the start or turns bad later")
{
    for (const auto& fault : faults) {
        for (const int goodRequests : { 0, 300 }) {
            for (unsigned seed = 1; seed <= 20; ++seed) {
                CAPTURE(fault.name, goodRequests, seed);
                SampleSource source(seed);
                RolloutJudge judge;
                for (int i = 0; i < 100; ++i)
                    judge.observe(source.goodSample(false));
                int requests = 0;
                while (judge.verdict() != Verdict::Bad && requests < goodRequests + 1000) {
                    judge.observe(source.goodSample(false));
                    auto sample = source.goodSample(true);
                    if (requests++ >= goodRequests)
                        fault.apply(sample, source);
                    judge.observe(sample);
                }
                CHECK(judge.reason() == fault.reason);
                CHECK(requests <= goodRequests + 40);
            }
        }
    }
}

TEST_CASE("good versions are judged good and hardly ever bad")
{
    constexpr int versions = 200;
    int good = 0;
    int bad = 0;
    for (unsigned seed = 1; seed <= versions; ++seed) {
        SampleSource source(seed);
        RolloutJudge judge;
        for (int i = 0; i < 500; ++i) {
            judge.observe(source.goodSample(false));
            judge.observe(source.goodSample(true));
        }
        good += judge.verdict() == Verdict::Good;
        bad += judge.verdict() == Verdict::Bad;
    }
    CHECK(good >= versions * 99 / 100);
    CHECK(bad <= versions / 100);
}

TEST_CASE("load that slows both versions equally does not make the candidate bad")
{
    SampleSource source(7);
    RolloutJudge judge;
    for (int i = 0; i < 600; ++i) {
        const double load = i < 300 ? 1 : 3;
        for (const bool isCandidate : { false, true }) {
            auto sample = source.goodSample(isCandidate);
            sample.betweenTokensMs *= load;
            sample.firstTokenMs *= load;
            judge.observe(sample);
        }
    }
    CHECK(judge.verdict() != Verdict::Bad);
}

TEST_CASE("failures of both versions alike do not make the candidate bad")
{
    SampleSource source(9);
    RolloutJudge judge;
    for (int i = 0; i < 400; ++i) {
        for (const bool isCandidate : { false, true }) {
            auto sample = source.goodSample(isCandidate);
            sample.isFailed |= source.chance(0.15);
            judge.observe(sample);
        }
        if (i == 200)
            judge.startStep();
    }
    CHECK(judge.verdict() != Verdict::Bad);
}

TEST_CASE("little traffic gives no verdict")
{
    SampleSource source(3);
    RolloutJudge judge;
    for (int i = 0; i < 5; ++i) {
        judge.observe(source.goodSample(false));
        judge.observe(source.goodSample(true));
    }
    CHECK(judge.verdict() == Verdict::Undecided);
}
