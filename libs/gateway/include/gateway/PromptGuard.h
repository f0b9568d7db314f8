#pragma once

#include <gateway/DecisionLog.h>
#include <protocol/Messages.h>
#include <sched/PromptQuarantine.h>
#include <sched/UndecidedLosses.h>

#include <functional>
#include <map>

namespace bronzeswitch {

/**
 * Keeps requests whose prompts crash engines from all engines, together with the other nodes.
 *
 * PromptQuarantine makes the decisions; this class exchanges the messages. No message has to arrive: each crash is further evidence,
 * and reports repeat the quarantines in force.
 *
 *     if (const auto remaining = guard.remaining(parts))
 *         refuse(*remaining);
 */
class PromptGuard {
public:
    /** Connection to the other nodes. */
    struct Callbacks {
        std::function<void(const Message&)> broadcast; /**< Sends to all known nodes. */
        std::function<void(const std::string& node, const Message&)> send;
        std::function<void()> onChange; /**< Called when the quarantines have changed, so that the next report comes soon. */
        std::function<TimePoint()> lastReached; /**< @return when an upstream was last reached over this node's own path. */
        std::function<bool()> isDelegate; /**< @return true if this node knows all others, so that it can judge for them. */
    };

    explicit PromptGuard(DecisionLog&);

    void connect(Callbacks);

    /** @return the time until a request whose prompt has these parts may be dispatched; none if it may be dispatched now. */
    std::optional<Duration> remaining(const std::vector<std::string>& parts) const;

    /** @return true if a lost request with these parts should not be dispatched again. */
    bool isSuspect(const std::vector<std::string>& parts) const;

    /** Records that an upstream has answered a request with these parts. */
    void onAnswered(const std::vector<std::string>& parts);

    /** Records that a request with these parts was lost together with its upstream before it was answered. */
    void onLost(const std::string& upstream, const std::vector<std::string>& parts);

    /** Records a loss that counts only if the upstream was lost rather than the path to it. */
    void onLostWithOthers(const std::string& upstream, const std::vector<std::string>& parts);

    /** Processes a peer's message. @return false if it is not about prompts. */
    bool onMessage(const std::string& from, const Message&);

    /** Processes the quarantines in force at a peer. */
    void onPeerEntries(const std::string& from, const std::vector<QuarantineEntry>&);

    /** Processes the durable record of the quarantines, which this node has read or written. */
    void onRecord(const std::vector<QuarantineEntry>&);

    /** @return true if the quarantines in force differ from the durable record in more than their remaining times. */
    bool differsFromRecord() const;

    /** Forgets what the record contains, since it may be lost: the quarantines in force are recorded again. */
    void forgetRecord() { m_recorded.clear(); }

    /** @return the quarantines in force, for this node's reports. */
    std::vector<QuarantineEntry> entries() const;

    /** Evaluates the evidence, if this node is a delegate. Called periodically. */
    void tick();

private:
    bool mayReportLoss(TimePoint now);
    using Generations = std::map<std::vector<std::string>, int>; /**< Of quarantines, by their parts. */

    static Generations generationsOf(const std::vector<QuarantineEntry>&);

    /** Logs and reports the quarantines in force if they have changed. */
    void noteChanges(const std::string& source);

    DecisionLog& m_log;
    Callbacks m_callbacks;
    PromptQuarantine m_quarantine;
    UndecidedLosses m_undecided;
    Generations m_recorded; /**< As in the durable record. */
    Generations m_noted; /**< As logged last. */
    TimePoint m_lossSecond {}; /**< Start of the second in which the reported losses are counted. */
    int m_lossesInSecond = 0;
};

} // namespace bronzeswitch
