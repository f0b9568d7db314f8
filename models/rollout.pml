/*
 * Steps of a rollout: two nodes that both drive the rollout, either of which may be paused at any point.
 *
 * Driver: RolloutTask::advance reads the newest step, plans the next one and submits it with that step as its base.
 * Rules:  LedgerState::rejectionReason accepts a step only if its base is the newest step, and none after a final stage.
 *
 * Properties: a final stage is never left, and a version that was rolled back gets no traffic again.
 * Mutant NO_BASE accepts a step on any base, if the stage was not final when the step was planned.
 */
#define LOG_SIZE 6
mtype = { none, canary, expanding, finished, rolledBack };

byte recordCount = 0;
byte newestStep = 0;  /* log position of the newest accepted step */
mtype stage = none;
bool reachedFinalStage = false; mtype finalStage = none;
bool faultDetected = false;  /* a fault of the version has become visible to the drivers */

inline submit(submittedBase, nextStage) {
    atomic {
        recordCount++;
        if
#ifdef NO_BASE
        :: true ->
#else
        :: submittedBase == newestStep && stage != finished && stage != rolledBack ->
#endif
            stage = nextStage; newestStep = recordCount;
            if
            :: reachedFinalStage -> assert(stage == finalStage)
            :: else -> if :: stage == finished || stage == rolledBack -> reachedFinalStage = true; finalStage = stage :: else -> skip fi
            fi
#ifndef NO_BASE
        :: else -> skip
#endif
        fi
    }
}

proctype Driver() {
    byte seenBase; mtype seenStage; mtype nextStage;
    do
    :: recordCount < LOG_SIZE ->
        atomic { seenBase = newestStep; seenStage = stage }  /* read; the node may be paused here for any time */
        if
        :: seenStage == finished || seenStage == rolledBack -> break
        :: else -> skip
        fi;
        if
        :: faultDetected -> nextStage = rolledBack
        :: !faultDetected && seenStage == none -> nextStage = canary
        :: !faultDetected && seenStage == canary -> nextStage = expanding
        :: !faultDetected && seenStage == expanding -> nextStage = finished
        fi;
        submit(seenBase, nextStage)
    :: else -> break
    od
}

proctype Fault() { faultDetected = true }

init { atomic { run Driver(); run Driver(); run Fault() } }
