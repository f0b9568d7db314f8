/*
 * Claims without the log: the owner of a partition goes on from memory, another node may take over.
 *
 * One key and an attempt at each of the two nodes. The log can be cut from either node at any time. A lease or a promise
 * may run out at any time, and a node may be paused between any two steps, also between a grant and its dispatch.
 *
 * Owner:  ClaimOwnership::nextDeclaration, onAck, mayGrantWithoutLog; ClaimHome::answerForFreeKey, makeBatch (flush).
 * Other:  ClaimOwnership::promise, mayTakeOver, onAppended (mayMissClaims); ClaimHome::answerForFreeKey.
 *
 * Restarted: ClaimOwnership::wasKnownToOwner; ClaimHome::makeBatch (an owner in doubt does not give the partition up).
 *
 * Mutants: NO_SUSPECT vouches for keys after any take-over; NO_PROMISE grants from memory without asking the other node;
 * RELEASE_SUSPECT gives a partition up that is in doubt; UNKNOWN_TAKES_OVER lets a life that was never asked take over.
 */
bool ownerSeesLog = true; bool otherSeesLog = true;
byte logOwner = 1;            /* owner by log order */
byte logClaim = 0;            /* attempt that holds the key by log order */
bool logEnded = false;        /* the flush after the stretch without the log stands in the log */
bool lease = true;            /* of the owner, renewed through the log */
bool extension = false;       /* of the owner, by promises */
bool promised = false;        /* of the other node, outlasts the extension */
bool declared = false;        /* the other node remembers a stretch without the log */
byte dispatches = 0;

proctype Owner() {
    bool granted = false; bool fromMemory = false;
    do
    :: ownerSeesLog && logOwner == 1 -> lease = true
    :: atomic { !granted && ownerSeesLog && logOwner == 1 && logClaim == 0 -> logClaim = 1; granted = true };
       if :: dispatches++ :: skip fi
    :: atomic { !ownerSeesLog && lease && !extension ->
#ifndef NO_PROMISE
       if
       :: logOwner == 1 -> promised = true; declared = true; extension = true   /* the other node acknowledges, as it has not taken over */
       :: skip                                                                  /* it does not, so nothing is granted */
       fi
#else
       extension = true
#endif
       }
    :: !granted && !ownerSeesLog && extension && logClaim == 0 ->
       granted = true; fromMemory = true;
       if :: dispatches++ :: skip fi
    :: atomic { fromMemory && ownerSeesLog && logOwner == 1 -> if :: logClaim == 0 -> logClaim = 1 :: else -> skip fi; logEnded = true; fromMemory = false }
    :: granted -> break
    od
}

proctype Other() {
    bool suspect;
    do
    :: atomic { otherSeesLog && logOwner == 1 && !lease && !promised -> logOwner = 2;
#ifdef NO_SUSPECT
       suspect = false
#else
       suspect = declared && !logEnded
#endif
       }
    :: atomic { otherSeesLog && logOwner == 2 && logClaim == 0 && !suspect -> logClaim = 2 }; dispatches++; break
    :: logOwner == 2 && (suspect || logClaim != 0) -> break
#ifdef RELEASE_SUSPECT
    :: atomic { otherSeesLog && logOwner == 2 -> logOwner = 0 }; break
#else
    :: atomic { otherSeesLog && logOwner == 2 && !suspect -> logOwner = 0 }; break
#endif
    :: true -> break
    od
}

/* A life that started after the stretch and remembers no promise. */
proctype Restarted() {
    do
    :: atomic { logOwner == 0 -> logOwner = 3 }
#ifdef UNKNOWN_TAKES_OVER
    :: atomic { logOwner == 1 && !lease && !extension -> logOwner = 3 }
#endif
    :: atomic { logOwner == 3 && logClaim == 0 -> logClaim = 3 }; dispatches++; break
    :: logOwner == 3 && logClaim != 0 -> break
    :: true -> break
    od
}

proctype World() {
    do
    :: ownerSeesLog = !ownerSeesLog
    :: otherSeesLog = !otherSeesLog
    :: lease = false
    :: extension = false
    :: atomic { !extension -> promised = false }
    od
}

init { atomic { run Owner(); run Other(); run Restarted(); run World() } }

ltl atMostOnce { [] (dispatches <= 1) }
