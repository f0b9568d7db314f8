#pragma once

#include <base/TimerService.h>

#include <optional>

namespace bronzeswitch {

/** Speed of an engine that has not shown its own yet. */
struct NominalSpeed {
    double prefillTokensPerSecond = 10000;
    double betweenTokensMs = 15;

    bool operator==(const NominalSpeed&) const = default;
};

/**
 * What a dispatch to one engine is expected to take.
 *
 * Engines differ several times in speed. The time between tokens is learned from the answers; prompts are taken to be read
 * faster or slower in the same ratio. Prompts are read one after the other, so the ones dispatched before form a backlog that
 * delays the first token of the next.
 */
class SpeedEstimate {
public:
    explicit SpeedEstimate(NominalSpeed);

    /** Takes the mean time between tokens of an answer. */
    void onAnswer(double betweenTokensMs);

    /** Takes what others have learned, which counts until this estimate has learned itself. */
    void onSuggestion(double betweenTokensMs);

    /** Notes that a prompt will be read. @param tokens that are not cached. */
    void onDispatch(int tokens, TimePoint now);

    double prefillSeconds(int tokens) const;
    double decodeSeconds(int tokens) const;

    /** @return seconds until the prompts dispatched before have been read. */
    double backlogSeconds(TimePoint now) const;

    double betweenTokensMs() const { return m_betweenTokensMs; }

    /** @return the time between tokens that this estimate has learned itself. */
    std::optional<double> learned() const;

private:
    NominalSpeed m_nominal;
    double m_betweenTokensMs;
    bool m_isLearned = false;
    TimePoint m_backlogUntil {};
};

} // namespace bronzeswitch
