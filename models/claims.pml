/*
 * A request with an idempotency key is dispatched at most once.
 *
 * One key, two entry nodes that make an attempt each, and two nodes that both act as the key's home. An append to the log may
 * be acknowledged, may take effect and lose its response, or may fail without effect. An entry node may crash.
 *
 * Home:  ClaimHome::commit (appends), ClaimHome::catchUp (reads back), ClaimHome::responseFor (decides).
 * Entry: RequestHandler::claim and dispatchService.
 *
 * Mutant NO_READ_BACK responds from memory after the append instead of reading the log up to the node's own record.
 */
#define ATTEMPTS 2
#define LOG_SIZE 4
#define NONE 255

byte claimRecord[LOG_SIZE];  /* attempt of each claim record, in log order */
byte length = 0;
byte dispatches = 0;
chan request[2] = [2] of { byte };
chan response[ATTEMPTS] = [4] of { bool };

inline appendClaim(attempt) {
    if
    :: length < LOG_SIZE -> claimRecord[length] = attempt; length++  /* acknowledged, or the response was lost after the effect */
    :: skip                                                          /* failed without effect */
    fi
}

proctype Home(byte home) {
    byte attempt; byte nextOffset = 0; byte winner = NONE;
    do
    :: request[home]?attempt ->
        /* read the log before the append; the first claim in log order wins */
        atomic {
            do
            :: nextOffset < length -> if :: winner == NONE -> winner = claimRecord[nextOffset] :: else -> skip fi; nextOffset++
            :: else -> break
            od
        }
        if
        :: winner == NONE ->
            appendClaim(attempt);
#ifdef NO_READ_BACK
            winner = attempt;
#else
            atomic {
                do
                :: nextOffset < length -> if :: winner == NONE -> winner = claimRecord[nextOffset] :: else -> skip fi; nextOffset++
                :: else -> break
                od
            }
#endif
        :: else -> skip
        fi;
        response[attempt]!(winner == attempt)
    :: timeout -> break
    od
}

proctype Entry(byte attempt) {
    bool granted; byte sends = 0;
    do
    :: sends < 2 ->
        sends++;
        if :: request[0]!attempt :: request[1]!attempt fi;
        if
        :: response[attempt]?granted ->
            if
            :: granted ->
                if
                :: dispatches++; break  /* an attempt dispatches once */
                :: break                /* the entry node crashes before it dispatches */
                fi
            :: else -> skip
            fi
        :: skip  /* the response is lost or late; the same attempt is claimed again */
        fi
    :: else -> break
    od
}

init { atomic { run Home(0); run Home(1); run Entry(0); run Entry(1) } }

ltl atMostOnce { [] (dispatches <= 1) }
