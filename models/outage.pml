/*
 * A request with an idempotency key is dispatched at most once, though claims are granted while the log is unreachable.
 *
 * The owner of a claim partition grants claims from memory in an episode without the log, after its peer has promised not to
 * take the partition over. One key, and an attempt at each node. Either node may lose the connection to the log at any time. A
 * lease or a promise may expire at any time, and a node may be paused between any two steps, also between a grant and its dispatch.
 *
 * Owner:     ClaimOwnership::nextDeclaration, onAck, mayGrantWithoutLog; ClaimHome::responseForFreeKey, makeBatch (logs the claims
 *            of the episode and ends it).
 * Peer:      ClaimOwnership::promise, mayTakeOver, onAppended, mayMissClaims; ClaimHome::responseForFreeKey.
 * Restarted: ClaimOwnership::wasKnownToOwner; ClaimHome::makeBatch (an owner that may miss claims does not release the partition).
 *
 * Mutants: with NO_SUSPECT, a node assumes after any takeover that it knows all claims; with NO_PROMISE, the owner grants claims
 * without the log and without a promise of its peer; with RELEASE_SUSPECT, an owner that may miss claims releases the partition;
 * with UNKNOWN_TAKES_OVER, an incarnation takes over that the owner never asked for a promise.
 */
bool ownerReachesLog = true; bool peerReachesLog = true;
byte logOwner = 1;              /* owner by log order; 0 for none */
byte logClaim = 0;              /* attempt that holds the key by log order; 0 for none */
bool episodeEndLogged = false;  /* the log holds the claims and the end of the episode */
bool leaseValid = true;         /* of the owner, renewed through the log */
bool extensionValid = false;    /* extension of the owner's lease by a promise */
bool promiseValid = false;      /* of the peer; lasts longer than the extension */
bool hasPromised = false;       /* the peer remembers that it has promised for an episode */
byte dispatches = 0;

proctype Owner() {
    bool granted = false; bool grantedWithoutLog = false;
    do
    :: ownerReachesLog && logOwner == 1 -> leaseValid = true
    :: atomic { !granted && ownerReachesLog && logOwner == 1 && logClaim == 0 -> logClaim = 1; granted = true };
       if :: dispatches++ :: skip fi
    :: atomic { !ownerReachesLog && leaseValid && !extensionValid ->
#ifndef NO_PROMISE
       if
       :: logOwner == 1 -> promiseValid = true; hasPromised = true; extensionValid = true  /* the peer promises, as it has not taken over */
       :: skip                                                                             /* it does not promise, so nothing is granted */
       fi
#else
       extensionValid = true
#endif
       }
    :: !granted && !ownerReachesLog && extensionValid && logClaim == 0 ->
       granted = true; grantedWithoutLog = true;
       if :: dispatches++ :: skip fi
    :: atomic { grantedWithoutLog && ownerReachesLog && logOwner == 1 ->
       if :: logClaim == 0 -> logClaim = 1 :: else -> skip fi;
       episodeEndLogged = true; grantedWithoutLog = false
       }
    :: granted -> break
    od
}

proctype Peer() {
    bool mayMissClaims;
    do
    :: atomic { peerReachesLog && logOwner == 1 && !leaseValid && !promiseValid -> logOwner = 2;
#ifdef NO_SUSPECT
       mayMissClaims = false
#else
       mayMissClaims = hasPromised && !episodeEndLogged
#endif
       }
    :: atomic { peerReachesLog && logOwner == 2 && logClaim == 0 && !mayMissClaims -> logClaim = 2 }; dispatches++; break
    :: logOwner == 2 && (mayMissClaims || logClaim != 0) -> break
#ifdef RELEASE_SUSPECT
    :: atomic { peerReachesLog && logOwner == 2 -> logOwner = 0 }; break
#else
    :: atomic { peerReachesLog && logOwner == 2 && !mayMissClaims -> logOwner = 0 }; break
#endif
    :: true -> break
    od
}

/* An incarnation that started after the episode and knows of no promise. */
proctype Restarted() {
    do
    :: atomic { logOwner == 0 -> logOwner = 3 }
#ifdef UNKNOWN_TAKES_OVER
    :: atomic { logOwner == 1 && !leaseValid && !extensionValid -> logOwner = 3 }
#endif
    :: atomic { logOwner == 3 && logClaim == 0 -> logClaim = 3 }; dispatches++; break
    :: logOwner == 3 && logClaim != 0 -> break
    :: true -> break
    od
}

proctype Environment() {
    do
    :: ownerReachesLog = !ownerReachesLog
    :: peerReachesLog = !peerReachesLog
    :: leaseValid = false
    :: extensionValid = false
    :: atomic { !extensionValid -> promiseValid = false }
    od
}

init { atomic { run Owner(); run Peer(); run Restarted(); run Environment() } }

ltl atMostOnce { [] (dispatches <= 1) }
