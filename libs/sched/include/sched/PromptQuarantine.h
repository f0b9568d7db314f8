#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace bronzeswitch {

/**
 * Finds the parts of prompts that crash every engine which begins to answer them, and keeps requests with them from the engines.
 *
 * Load pattern: callers keep sending requests that have one part in common. Each of them ends the engine that runs it, and all other
 * requests there; retries carry it to the next engine. Sound requests share their organisation, route and other parts.
 *
 * A request is lost if its upstream's connection broke before the answer had begun. A part is suspect after losses at several
 * upstreams if no request with it was answered meanwhile. Suspect parts that were always lost together can't be told apart; then only
 * requests with all of them are refused, until an answer shows which ones are sound. Nodes report losses to each other, and answers
 * when one of them is about to put parts in quarantine. A quarantine ends after a time that grows each time the parts are lost again.
 *
 * Not thread-safe. The caller passes in the current time.
 *
 *     quarantine.onLost("e1", parts, now);
 *     const auto questions = quarantine.tick(now); // Parts that a peer may know to be sound.
 *     if (const auto remaining = quarantine.remaining(parts, now))
 *         refuse(*remaining);
 */
class PromptQuarantine {
public:
    using Parts = std::vector<std::string>;

    /** Records that an upstream has answered a request whose prompt has these parts. */
    void onAnswered(const Parts&, TimePoint now);

    /** Drops what speaks against these parts, because a peer has recently seen an answer to a request with them. */
    void onPeerAnswered(const Parts&, TimePoint now);

    /**
     * Records that a request was lost together with its upstream, at this node or at a peer.
     * @return those of its parts that were not answered recently, in ascending order, for the peers.
     */
    Parts onLost(const std::string& upstream, const Parts&, TimePoint now);

    /** @return those of some parts that were answered recently. */
    Parts answeredAmong(const Parts&) const;

    /**
     * Puts parts in quarantine whose confirmation time has passed, and looks for new suspects.
     * @return the new suspects; a peer that has seen an answer to one of them should say so.
     */
    Parts tick(TimePoint now);

    /** @return the time until a request with these parts may be dispatched; none if it may be dispatched now. */
    std::optional<Duration> remaining(const Parts&, TimePoint now) const;

    /** @return true if a request with these parts should not be dispatched again after it was lost: its parts may be the cause. */
    bool isSuspect(const Parts&, TimePoint now) const;

    /** @return the quarantines in force, in a bounded number. */
    std::vector<QuarantineEntry> entries(TimePoint now) const;

    /** Adds a peer's quarantine. @return true if it was not known and none of its parts was answered here recently. */
    bool adopt(const QuarantineEntry&, TimePoint now);

    /** @return how often quarantines have been started, extended or lifted; changes when the entries do. */
    uint64_t changes() const { return m_changes; }

private:
    struct Loss {
        TimePoint time;
        std::string upstream;
        Parts parts; /**< In ascending order. */
    };

    struct Quarantine {
        int generation = 1;
        TimePoint until {};
        bool isRefuted = false; /**< An answer has ended it; kept so that it isn't taken over again from a peer. */
    };

    bool isAnswered(const std::string& part) const;
    void rotateAnswers(TimePoint now);
    void dropExpired(TimePoint now);
    int crashesWith(const std::string& part) const;
    int requiredCrashes(const Parts& lostTogether) const;
    Parts lostTogetherWith(const std::string& part) const;
    bool isCovered(const Parts& parts, TimePoint now) const;
    void put(const Parts&, TimePoint now);
    void removeSuspicion(const std::string& part, TimePoint now);

    std::deque<Loss> m_losses;
    std::set<std::string> m_newlyLost; /**< Parts that were lost since the last tick. */
    std::unordered_set<std::string> m_answers; /**< Parts that were answered since the last rotation. */
    std::unordered_set<std::string> m_olderAnswers; /**< Parts that were answered between the last two rotations. */
    TimePoint m_rotatedAt {};
    std::map<Parts, TimePoint> m_unconfirmed; /**< Suspect parts, and when the peers were asked about them. */
    std::map<Parts, Quarantine> m_quarantines; /**< In force, and ended ones whose parts are put in quarantine sooner. */
    uint64_t m_changes = 0;
};

} // namespace bronzeswitch
