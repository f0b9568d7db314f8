/*
 * Orders to an engine under a lease: two successive holders, either of which may be paused at any time, and an order of the
 * first that may still be in flight when the lease has passed to the second.
 *
 * Holder: LeaseKeeper::acquireOrRenew and fencingNumber, OrderTask::order.
 * Engine: refuses outdated fencing numbers, or ignores fencing numbers.
 *
 * Property: after the engine has executed an order of the second holder, it executes none of the first.
 * With IGNORES the engine executes every order, so the second holder waits until no earlier order can be in flight.
 * Mutants: NO_FENCE lets an engine that checks fencing numbers execute any order; NO_WAIT omits the wait of the second holder
 * for an engine that ignores them.
 */
byte currentFencingNumber = 0;  /* by log order: 1, then 2 */
bool firstLeaseValid = false;   /* the first lease has more time left than an order may take */
byte inFlight1 = 0; byte inFlight2 = 0;
byte highestSeen = 0;  /* highest fencing number that the engine has seen */
byte lastExecuted = 0;
bool hasReverted = false;

inline execute(fencingNumber) {
    if
    :: fencingNumber < lastExecuted -> hasReverted = true
    :: else -> lastExecuted = fencingNumber
    fi
}

proctype FirstHolder() {
    atomic { currentFencingNumber == 0 -> currentFencingNumber = 1; firstLeaseValid = true };
    do
    :: atomic { firstLeaseValid && inFlight1 == 0 -> inFlight1 = 1 }  /* check and send; a pause may follow the send, not the check */
    :: break
    od
}

proctype SecondHolder() {
    atomic { currentFencingNumber == 1 && !firstLeaseValid -> currentFencingNumber = 2 };
#if defined(IGNORES) && !defined(NO_WAIT)
    inFlight1 == 0;  /* OrderTask::isOrderSafe: waits longer than an order can be in flight */
#endif
    inFlight2 = 1
}

proctype Engine() {
    do
#if defined(IGNORES) || defined(NO_FENCE)
    :: atomic { inFlight1 == 1 -> inFlight1 = 0; execute(1) }
#else
    :: atomic { inFlight1 == 1 -> inFlight1 = 0; if :: highestSeen <= 1 -> highestSeen = 1; execute(1) :: else -> skip fi }
#endif
    :: atomic { inFlight2 == 1 -> inFlight2 = 2; highestSeen = 2; execute(2) }
    :: atomic { inFlight1 == 1 -> inFlight1 = 0 }  /* lost */
    :: timeout -> break
    od
}

proctype Clock() { currentFencingNumber == 1; firstLeaseValid = false }

init { atomic { run FirstHolder(); run SecondHolder(); run Engine(); run Clock() } }

ltl neverReverts { [] (!hasReverted) }
