#pragma once

#include <trial/SequentialTest.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace bronzeswitch {

/** The result of one request, with the version that served it. */
struct RolloutSample {
    bool isCandidate = false;
    bool isFailed = false;
    double firstTokenMs = 0; /**< 0 if not measured. */
    double betweenTokensMs = 0; /**< 0 if not measured. */
    int outputTokens = 0;
    int requestedTokens = 0; /**< 0 for plain services. */

    bool operator==(const RolloutSample&) const = default;
};

/** Whether a request of the candidate was slower than the stable version on its route; empty where this is not known. */
struct SlownessFlags {
    std::optional<bool> isFirstTokenLate;
    std::optional<bool> areTokensSlow;

    bool operator==(const SlownessFlags&) const = default;
};

enum class Verdict { Undecided, Good, Bad };

/**
 * Judges the candidate version of a route by comparison with the stable version at the same time and under the same load.
 *
 * Four sequential tests run in parallel: failures, late first tokens, slow tokens and short responses. The candidate is bad as
 * soon as one test detects its bad rate, and good once all of them have established the good rate. With little traffic the
 * verdict takes longer; it is never based on too few requests.
 *
 *     RolloutJudge judge;
 *     judge.observe(sample);
 *     if (judge.verdict() == Verdict::Bad)
 *         rollBack(judge.reason());
 */
class RolloutJudge {
public:
    RolloutJudge();

    /**
     * Adds the result of a request of either version.
     * @return how a request of the candidate compares with the stable version; empty flags for one of the stable version.
     */
    SlownessFlags observe(const RolloutSample&);

    /** Adds the flags that another judge returned, so that routes with different latencies can be judged together. */
    void observe(const SlownessFlags&);

    Verdict verdict() const;

    /**
     * @return true if the candidate was tried and the evidence so far, taken together, is for good latency and response length.
     * Needs fewer requests than a verdict.
     */
    bool isLikelyOnTime() const;

    /** @return true if isLikelyOnTime() and the candidate has no more failures than chance explains. */
    bool isLikelyGood() const { return isLikelyOnTime() && !m_failures.suggestsBad(); }

    /** @return why the candidate is bad, for operators; empty if it is not known to be bad. */
    std::string reason() const;

    /** Restarts the tests for the next step; the measurements of the stable version are kept. */
    void startStep();

    /** @return the number of requests of the candidate in this step. */
    int candidateRequests() const { return m_candidateRequests; }

private:
    // The most recent values of one measurement of the stable version.
    class Window {
    public:
        void add(double value);
        bool hasEnoughValues() const;
        double quantile(double share) const;

    private:
        std::deque<double> m_values;
    };

    void observeStable(const RolloutSample&);
    SlownessFlags observeCandidate(const RolloutSample&);

    Window m_firstTokenWindow;
    Window m_betweenTokensWindow;
    Window m_lengthRatioWindow;
    double m_stableFailureRate = 0;
    SequentialTest m_failures;
    SequentialTest m_lateFirstTokens;
    SequentialTest m_slowTokens;
    SequentialTest m_shortResponses;
    int m_candidateRequests = 0;
};

} // namespace bronzeswitch
