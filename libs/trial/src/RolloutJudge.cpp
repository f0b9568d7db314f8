#include <algorithm>
#include <trial/RolloutJudge.h>
#include <vector>

namespace bronzeswitch {

namespace {

constexpr double goodFailureRate = 0.01;
constexpr double badFailureRate = 0.2;
constexpr double failureRateFactor = 4; // Bad failure rate in relation to that of the stable version.
constexpr double maxFailureRate = 0.9;
constexpr double failureSmoothingFactor = 0.02;
constexpr double goodSlowRate = 0.15;
constexpr double badSlowRate = 0.6;
constexpr double slowFactor = 1.5; // Slow: above the stable value by this factor and by the margin below.
constexpr double firstTokenMarginMs = 30;
constexpr double betweenTokensMarginMs = 5;
constexpr double shortResponseFactor = 0.5; // Short: below this part of the stable length ratio.
constexpr double latencyQuantile = 0.75; // Latencies of engines have a long tail, which would hide a slower version in higher quantiles.
constexpr double lengthQuantile = 0.1;
constexpr size_t windowSize = 200;
constexpr size_t minWindowValues = 10;

SequentialTest failureTest(double stableRate)
{
    const double good = std::clamp(stableRate, goodFailureRate, maxFailureRate / failureRateFactor);
    return SequentialTest(good, std::clamp(good * failureRateFactor, badFailureRate, maxFailureRate));
}

bool isSlow(double value, double stableValue, double margin) { return value > std::max(slowFactor * stableValue, stableValue + margin); }

SequentialTest slownessTest() { return SequentialTest(goodSlowRate, badSlowRate); }

} // namespace

void RolloutJudge::Window::add(double value)
{
    m_values.push_back(value);
    if (m_values.size() > windowSize)
        m_values.pop_front();
}

bool RolloutJudge::Window::hasEnoughValues() const { return m_values.size() >= minWindowValues; }

double RolloutJudge::Window::quantile(double share) const
{
    std::vector<double> sorted(m_values.begin(), m_values.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

RolloutJudge::RolloutJudge()
    : m_failures(failureTest(0))
    , m_lateFirstTokens(slownessTest())
    , m_slowTokens(slownessTest())
    , m_shortResponses(slownessTest())
{
}

void RolloutJudge::startStep()
{
    m_failures = failureTest(m_stableFailureRate);
    m_lateFirstTokens = slownessTest();
    m_slowTokens = slownessTest();
    m_shortResponses = slownessTest();
    m_candidateRequests = 0;
}

SlownessFlags RolloutJudge::observe(const RolloutSample& sample)
{
    if (sample.isCandidate)
        return observeCandidate(sample);
    observeStable(sample);
    return {};
}

void RolloutJudge::observe(const SlownessFlags& flags)
{
    if (flags.isFirstTokenLate)
        m_lateFirstTokens.observe(*flags.isFirstTokenLate);
    if (flags.areTokensSlow)
        m_slowTokens.observe(*flags.areTokensSlow);
}

void RolloutJudge::observeStable(const RolloutSample& sample)
{
    m_stableFailureRate += failureSmoothingFactor * ((sample.isFailed ? 1.0 : 0.0) - m_stableFailureRate);
    if (sample.isFailed)
        return;
    if (sample.firstTokenMs > 0)
        m_firstTokenWindow.add(sample.firstTokenMs);
    if (sample.betweenTokensMs > 0)
        m_betweenTokensWindow.add(sample.betweenTokensMs);
    if (sample.requestedTokens > 0)
        m_lengthRatioWindow.add(static_cast<double>(sample.outputTokens) / sample.requestedTokens);
}

SlownessFlags RolloutJudge::observeCandidate(const RolloutSample& sample)
{
    ++m_candidateRequests;
    m_failures.observe(sample.isFailed);
    SlownessFlags flags;
    if (sample.isFailed)
        return flags;
    if (sample.firstTokenMs > 0 && m_firstTokenWindow.hasEnoughValues())
        flags.isFirstTokenLate = isSlow(sample.firstTokenMs, m_firstTokenWindow.quantile(latencyQuantile), firstTokenMarginMs);
    if (sample.betweenTokensMs > 0 && m_betweenTokensWindow.hasEnoughValues())
        flags.areTokensSlow = isSlow(sample.betweenTokensMs, m_betweenTokensWindow.quantile(latencyQuantile), betweenTokensMarginMs);
    observe(flags);
    if (sample.requestedTokens > 0 && m_lengthRatioWindow.hasEnoughValues()) {
        const double lengthRatio = static_cast<double>(sample.outputTokens) / sample.requestedTokens;
        m_shortResponses.observe(lengthRatio < shortResponseFactor * m_lengthRatioWindow.quantile(lengthQuantile));
    }
    return flags;
}

Verdict RolloutJudge::verdict() const
{
    if (!reason().empty())
        return Verdict::Bad;
    const auto isEstablished = [](const Window& window, const SequentialTest& test) {
        return test.isGood() || (!window.hasEnoughValues() && !test.hasObservations());
    };
    const bool isGood = m_failures.isGood() && isEstablished(m_firstTokenWindow, m_lateFirstTokens)
        && isEstablished(m_betweenTokensWindow, m_slowTokens) && isEstablished(m_lengthRatioWindow, m_shortResponses);
    return isGood ? Verdict::Good : Verdict::Undecided;
}

bool RolloutJudge::isLikelyOnTime() const
{
    return m_failures.hasObservations()
        && m_lateFirstTokens.goodEvidence() + m_slowTokens.goodEvidence() + m_shortResponses.goodEvidence() >= 0;
}

std::string RolloutJudge::reason() const
{
    if (m_failures.isBad())
        return "too many failures";
    if (m_lateFirstTokens.isBad())
        return "first token too late";
    if (m_slowTokens.isBad())
        return "tokens too slow";
    if (m_shortResponses.isBad())
        return "answers too short";
    return {};
}

} // namespace bronzeswitch
