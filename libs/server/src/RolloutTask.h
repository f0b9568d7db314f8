#pragma once

#include "ControlView.h"
#include "PoolHomes.h"

#include <base/EventLog.h>
#include <rollout/RolloutPlanner.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Drives the rollouts of the routes whose pool has its home here.
 *
 * Evidence comes from the ends of dispatches. A fault stops the new version on every node at once by an alarm between
 * nodes; the durable take-back follows through the log, as soon as that takes it. The log order arbitrates between nodes
 * that both believe to drive a rollout.
 */
class RolloutTask {
public:
    struct Options {
        std::string node;
        std::shared_ptr<NodeLog> log;
        const LedgerFollower<NodeLog>* follower = nullptr;
        PoolHomes* pools = nullptr;
        std::function<void(const Message&)> broadcast;
        EventLog events;
    };

    explicit RolloutTask(Options);
    ~RolloutTask();
    RolloutTask(const RolloutTask&) = delete;
    RolloutTask& operator=(const RolloutTask&) = delete;

    void update(const ControlViewPointer&);

    /** Takes the end of a dispatch of a pool of this node. */
    void observe(const Place&, const PlaceDone&);

    /** Takes an alarm of a peer. */
    void onAlarm(const RolloutAlarm&);

    /** @return the rollouts that have been stopped here, with the reasons. */
    std::map<std::string, std::string> alarms() const;

    void stop();

private:
    struct StepEvaluation {
        RolloutJudge judge;
        int64_t step = 0;
        TimePoint stepStart {};
    };

    void run();
    void advance(const Rollout&);
    std::optional<PlannedStep> plan(const Rollout&, const std::optional<RolloutState>&);
    void submitStep(const Rollout&, int64_t base, const PlannedStep&);
    void raiseAlarm(const std::string& rollout, const std::string& reason);
    void rebroadcastAlarms();
    StepEvaluation& evaluationOf(const std::string& rollout, int64_t step);

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ControlViewPointer m_view;
    std::map<std::string, StepEvaluation> m_evaluations;
    std::map<std::string, std::string> m_alarms;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
