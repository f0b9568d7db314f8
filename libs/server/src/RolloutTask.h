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
 * Drives the rollouts of the routes whose pools have this node as their home.
 *
 * A candidate version is evaluated by the outcomes of its dispatches. If it turns out to be bad, an alarm message stops it
 * immediately on every node; the durable rollback is recorded in the log as soon as the log accepts it. If two nodes both
 * act as the driver of a rollout, the order of their records in the log decides. Runs on a thread of its own.
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

    /** Starts the thread. */
    explicit RolloutTask(Options);
    ~RolloutTask();
    RolloutTask(const RolloutTask&) = delete;
    RolloutTask& operator=(const RolloutTask&) = delete;

    /** Applies a new control state. */
    void update(const ControlViewPointer&);

    /** Evaluates the outcome of a dispatch of one of this node's pools. */
    void observe(const GrantedSlot&, const SlotRelease&);

    /** Handles an alarm of a peer. */
    void onAlarm(const RolloutAlarm&);

    /** @return the reasons of the active alarms, by rollout. */
    std::map<std::string, std::string> alarms() const;

    /** Stops the thread and waits for its end. */
    void stop();

private:
    struct StepEvaluation {
        RolloutJudge judge;
        int64_t step = 0; /**< Offset of the step's record. */
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
