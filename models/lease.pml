/*
 * Orders to an engine under a lease: two holders, either of which may be paused at any time, and an order that may still be
 * on its way when the lease has passed on.
 *
 * Holder: LeaseKeeper::acquireOrRenew and fencingNumber, OrderTask::order.  Engine: refuses old fencing numbers, or ignores them.
 *
 * Property: once an order of the second lease has been obeyed, none of the first is obeyed after it.
 * With IGNORES the engine obeys every order; then the second holder waits until no earlier order can be on its way.
 * Mutants: NO_FENCE lets a checking engine obey anything; NO_WAIT leaves the wait out before an ignoring engine.
 */
byte leaseFence = 0;          /* fencing number in force by log order: 1, then 2 */
bool firstValid = false;      /* the first holder's lease has time left for an order's bound */
byte onWay1 = 0; byte onWay2 = 0;
byte highest = 0;             /* highest fencing number that the engine has seen */
byte lastObeyed = 0;
bool reverted = false;

inline obey(f) {
    if
    :: f < lastObeyed -> reverted = true
    :: else -> lastObeyed = f
    fi
}

proctype First() {
    atomic { leaseFence == 0 -> leaseFence = 1; firstValid = true };
    do
    :: atomic { firstValid && onWay1 == 0 -> onWay1 = 1 }    /* checked and sent; a pause follows the send, not the check */
    :: break
    od
}

proctype Second() {
    atomic { leaseFence == 1 && !firstValid -> leaseFence = 2 };
#if defined(IGNORES) && !defined(NO_WAIT)
    onWay1 == 0;              /* OrderTask::isOrderSafe: longer than an order can be on its way */
#endif
    onWay2 = 1
}

proctype Engine() {
    do
#if defined(IGNORES) || defined(NO_FENCE)
    :: atomic { onWay1 == 1 -> onWay1 = 0; obey(1) }
#else
    :: atomic { onWay1 == 1 -> onWay1 = 0; if :: highest <= 1 -> highest = 1; obey(1) :: else -> skip fi }
#endif
    :: atomic { onWay2 == 1 -> onWay2 = 2; highest = 2; obey(2) }
    :: atomic { onWay1 == 1 -> onWay1 = 0 }                  /* lost */
    :: timeout -> break
    od
}

proctype Time() { leaseFence == 1; firstValid = false }

init { atomic { run First(); run Second(); run Engine(); run Time() } }

ltl neverReverts { [] (!reverted) }
