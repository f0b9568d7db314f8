#pragma once

#include <base/TimerService.h>

#include <optional>

namespace bronzeswitch {

/** Speed that is assumed of an engine until its own has been measured. */
struct NominalSpeed {
    double prefillTokensPerSecond = 10000;
    double betweenTokensMs = 15;

    bool operator==(const NominalSpeed&) const = default;
};

/**
 * Estimates how long one engine takes for a request.
 *
 * Engines differ several times in speed. The time between tokens is learned from the responses, and the speed of prefill is
 * assumed to differ from the nominal one by the same factor. An engine processes prompts one after the other, so the prompts
 * already dispatched form a backlog that delays the first token of the next request.
 */
class SpeedEstimate {
public:
    explicit SpeedEstimate(NominalSpeed);

    /** Updates the estimate with the mean time between tokens of a response; values of 0 or less are ignored. */
    void onResponse(double betweenTokensMs);

    /** Uses another node's estimate of the time between tokens, until this one has seen a response itself. */
    void onPeerEstimate(double betweenTokensMs);

    /** Adds a prompt to the backlog. @param tokens tokens of the prompt that are not cached. */
    void onDispatch(int tokens, TimePoint now);

    /** @return the expected time to process so many prompt tokens. */
    double prefillSeconds(int tokens) const;

    /** @return the expected time to generate so many output tokens. */
    double decodeSeconds(int tokens) const;

    /** @return the expected time until the prompts already dispatched have been processed. */
    double backlogSeconds(TimePoint now) const;

    double betweenTokensMs() const { return m_betweenTokensMs; }

    /** @return true while neither this node nor another one has measured the speed. */
    bool isNominal() const { return !m_isLearned && m_betweenTokensMs == m_nominal.betweenTokensMs; }

    /** @return the time between tokens in milliseconds, if it was learned from responses seen here. */
    std::optional<double> learned() const;

private:
    NominalSpeed m_nominal;
    double m_betweenTokensMs;
    bool m_isLearned = false;
    TimePoint m_backlogUntil {};
};

} // namespace bronzeswitch
