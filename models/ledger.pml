/*
 * The configuration never reverts, whichever records the log trims.
 *
 * Operators append changes that name the revision they are based on. A compactor appends a snapshot of its state and then
 * confirms it. The log trims its oldest records. A node that starts late rebuilds the state from the remaining records. At the
 * end of the log, it must hold the same revision as a node that has read all records.
 *
 * Operator:  Publisher::publish.      Rules: LedgerState::applyChange.
 * Compactor: Compactor::compact.      LateReader: LedgerRecovery::apply.
 *
 * Mutant NO_CONFIRM trusts a snapshot as soon as it is read, without a confirmation.
 */
#define LOG_SIZE 7
mtype = { change, snapshot, confirm };

mtype kind[LOG_SIZE];
byte value[LOG_SIZE];  /* base of a change, revision of a snapshot, or offset of the snapshot that is confirmed */
byte length = 1;       /* offset 0 is not used */
byte first = 1;
byte currentRevision = 0;  /* revision of a node that has read all records */
bool late = false; byte lateRevision = 0;

inline append(recordKind, recordValue) { kind[length] = recordKind; value[length] = recordValue; length++ }

proctype Operator() {
    byte base;
    do
    :: length < LOG_SIZE -> base = currentRevision;
        if
        :: atomic { length < LOG_SIZE ->
               append(change, base);
               if :: base == currentRevision -> currentRevision = length - 1 :: else -> skip fi
           }
        :: else -> break
        fi
    :: break
    od
}

proctype Compactor() {
    byte copiedRevision; byte snapshotOffset; byte i; bool isUnchanged;
    do
    :: length < LOG_SIZE - 1 ->
        copiedRevision = currentRevision;
        if
        :: atomic { length < LOG_SIZE - 1 -> append(snapshot, copiedRevision); snapshotOffset = length - 1 }
        :: else -> break
        fi;
        /* confirm only if no change was accepted between the copied state and the snapshot */
        isUnchanged = true;
        atomic {
            i = copiedRevision + 1;
            do
            :: i < snapshotOffset -> if :: kind[i] == change && value[i] == copiedRevision -> isUnchanged = false :: else -> skip fi; i++
            :: else -> break
            od;
        }
        if
        :: isUnchanged -> atomic { if :: length < LOG_SIZE -> append(confirm, snapshotOffset) :: else -> skip fi }
        :: else -> skip
        fi
    :: break
    od
}

proctype Trimmer() {
    do :: atomic { first < length -> first++ } :: break od
}

proctype LateReader() {
    byte offset; byte revision = 0; byte pendingSnapshot = 0; bool complete = false; bool hasSnapshot = false;
    atomic {
        offset = first; complete = (first == 1);
        do
        :: offset < length ->
            if
            :: kind[offset] == change && (complete || hasSnapshot) ->
                if :: value[offset] == revision -> revision = offset :: else -> skip fi
            :: kind[offset] == snapshot && !complete ->
                revision = value[offset]; pendingSnapshot = offset; hasSnapshot = true;
#ifdef NO_CONFIRM
                complete = true;
#endif
            :: kind[offset] == confirm && !complete && hasSnapshot && value[offset] == pendingSnapshot -> complete = true
            :: else -> skip
            fi;
            offset++
        :: else -> break
        od;
        if :: complete -> assert(revision == currentRevision) :: else -> skip fi
    }
}

init { atomic { run Operator(); run Operator(); run Compactor(); run Trimmer(); run LateReader() } }
