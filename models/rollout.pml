/*
 * Rollout steps: two nodes that both believe to drive a rollout, one of which may be paused at any point.
 *
 * Driver: RolloutTask::advance reads the newest step, plans, and submits on that base.
 * Rules:  LedgerState::rejectionReason accepts a step only on the newest base and never after a final stage.
 *
 * Properties: a final stage is never left, and a version that was taken back gets no share again.
 * Mutant NO_BASE accepts a step on any base while the stage is not final at the time of the plan.
 */
#define LOG 6
mtype = { none, canary, expanding, finished, takenBack };

byte length = 0;
byte base = 0;            /* place of the newest accepted step */
mtype stage = none;
bool wasFinal = false; mtype finalStage = none;
bool fault = false;       /* the fault of the version has shown to a driver */

inline submit(onBase, next) {
    atomic {
        length++;
        if
#ifdef NO_BASE
        :: true ->
#else
        :: onBase == base && stage != finished && stage != takenBack ->
#endif
            stage = next; base = length;
            if
            :: wasFinal -> assert(stage == finalStage)
            :: else -> if :: stage == finished || stage == takenBack -> wasFinal = true; finalStage = stage :: else -> skip fi
            fi
#ifndef NO_BASE
        :: else -> skip
#endif
        fi
    }
}

proctype Driver() {
    byte seen; mtype now; mtype next;
    do
    :: length < LOG ->
        atomic { seen = base; now = stage }          /* read; the node may be paused after this for any time */
        if
        :: now == finished || now == takenBack -> break
        :: else -> skip
        fi;
        if
        :: fault -> next = takenBack
        :: !fault && now == none -> next = canary
        :: !fault && now == canary -> next = expanding
        :: !fault && now == expanding -> next = finished
        fi;
        submit(seen, next)
    :: else -> break
    od
}

proctype Fault() { fault = true }

init { atomic { run Driver(); run Driver(); run Fault() } }
