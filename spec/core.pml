/*
 * The core protocol of batch partitions, small: a log whose order is the only arbiter, two daemons
 * that may own the partition, a client that resends, a cancellation, one ordinary item and one
 * run-once item. The log is its fold: an append applies its record at once, in log order, and its
 * answer may be lost, after which the appender appends again or reads back.
 *
 * A daemon that pauses is one that is not scheduled for a while: every gap between two steps of a
 * daemon is such a pause, so that it may go on acting on a claim that has been overtaken.
 * Daemon 0 may also die for good, after any step.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NO_EPOCH_CHECK      records of ended epochs are applied
 *   NO_INTENT_READBACK  a run-once item is dispatched without reading its intent back
 *   NO_DUPLICATE_DROP   a second result of an item counts too
 *   CANCEL_IGNORED      results count after a cancellation
 *
 * docs/PROOF.md names the C function of each step.
 */
#define MAX_EPOCH 4
#define ORDINARY 0
#define RUN_ONCE 1
#define NONE 0
#define ATTEMPT(id, epoch) (1 + (id) + 2 * (epoch))

/* The fold. */
byte epoch = 0;
byte owner = 2; /* 2: nobody */
bool submitted = false;
bool cancelled = false;
byte intent = NONE; /* attempt that may run the run-once item */
bool done[2];

/* update_grants in partition_owner.c: after each append the owner reads its stream and learns of a loss. */
#define LEARN(id, mine)                                                                            \
    if                                                                                             \
    :: owner != id || epoch != mine -> mine = 0                                                    \
    :: else -> skip                                                                                \
    fi

/* What the outside sees; for the properties alone. */
byte submissions_counted = 0;
byte counted[2];
bool counted_after_cancel = false;
byte dispatched = 0;
bool stale_record_applied = false;
bool alive0 = true;

/* apply_claim in partition_state.c */
inline append_claim(id, wanted) {
    atomic {
#ifdef NO_EPOCH_CHECK
        if
        :: wanted < epoch -> stale_record_applied = true
        :: else -> skip
        fi;
        epoch = wanted;
        owner = id;
#else
        if
        :: wanted == epoch + 1 -> epoch = wanted; owner = id
        :: else -> skip
        fi;
#endif
    }
}

/* apply_submission */
inline append_submission() {
    atomic {
        if
        :: !submitted -> submitted = true; submissions_counted++
        :: else -> skip
        fi;
    }
}

/* apply_cancellation */
inline append_cancel() {
    atomic {
        if
        :: submitted && !(done[ORDINARY] && done[RUN_ONCE]) -> cancelled = true
        :: else -> skip
        fi;
    }
}

/* apply_intent */
inline append_intent(attempt, my_epoch) {
    atomic {
        if
#ifndef NO_EPOCH_CHECK
        :: my_epoch != epoch -> skip
        :: my_epoch == epoch && !cancelled && intent == NONE && !done[RUN_ONCE] -> intent = attempt
#else
        :: !cancelled && intent == NONE && !done[RUN_ONCE] ->
            intent = attempt;
            stale_record_applied = stale_record_applied || my_epoch != epoch
#endif
        :: else -> skip
        fi;
    }
}

/* apply_completion, is_result_valid: an ordinary item */
inline append_ordinary_result() {
    atomic {
        if
#ifdef NO_DUPLICATE_DROP
        :: !cancelled ->
#else
        :: !cancelled && !done[ORDINARY] ->
#endif
            done[ORDINARY] = true;
            if
            :: counted[ORDINARY] < 2 -> counted[ORDINARY]++
            :: else -> skip
            fi
#ifdef CANCEL_IGNORED
        :: cancelled && !done[ORDINARY] ->
            done[ORDINARY] = true;
            counted[ORDINARY]++;
            counted_after_cancel = true
#endif
        :: else -> skip
        fi;
    }
}

/* apply_completion, is_result_valid: a run-once item, by its attempt or as indeterminate */
inline append_run_once_result(attempt, my_epoch, indeterminate) {
    atomic {
        if
        :: done[RUN_ONCE] || intent != attempt -> skip
        :: !done[RUN_ONCE] && intent == attempt ->
            if
#ifndef NO_EPOCH_CHECK
            :: indeterminate && my_epoch != epoch -> skip
#endif
            :: else ->
                stale_record_applied =
                    stale_record_applied || (indeterminate && my_epoch != epoch);
                done[RUN_ONCE] = true;
                counted[RUN_ONCE]++
            fi
        fi;
    }
}

/* submit in commands/submit.c: append, read back, send again when the answer was lost */
proctype Client() {
    append_submission();
    do
    :: append_submission() /* the answer was lost, or the client resends; at most once more */
       ; break
    :: break
    od
}

/* cancel_job in commands/cancel.c; it may never come */
proctype Canceller() {
    if
    :: append_cancel()
    :: skip
    fi
}

/*
 * try_claim in batch/coordinator.c, then grants and item runs (batch/grant_table.c,
 * batch/item_runner.c). "mine" is the epoch the daemon believes it owns; 0: none.
 */
proctype Daemon(byte id) {
    byte mine = 0;
    byte wanted = 0;
    byte ran = NONE;      /* attempt this daemon dispatched */
    byte asked = NONE;    /* attempt whose intent it appended */
    byte orphan = NONE;
end:
    do
    /* Claim: read the fold, append, read back. Daemon 0 leaves the last epoch to daemon 1. */
    :: owner != id && epoch < MAX_EPOCH - (1 - id) ->
        wanted = epoch + 1;
        append_claim(id, wanted);
        if
        :: owner == id && epoch == wanted -> mine = wanted
        :: else -> mine = 0
        fi

    /* Learn from the stream that another's claim won. */
    :: mine != 0 && (owner != id || epoch != mine) -> mine = 0

    /* An ordinary item: run it and append the result; the answer may be lost and it be repeated. */
    :: mine != 0 && submitted && !done[ORDINARY] && !cancelled ->
        append_ordinary_result();
        if
        :: append_ordinary_result()
        :: skip
        fi

    /* A run-once item: append the intent under the epoch that the daemon takes for its own. */
    :: mine != 0 && submitted && !done[RUN_ONCE] && !cancelled && intent == NONE && asked != ATTEMPT(id, mine) ->
        asked = ATTEMPT(id, mine);
        append_intent(asked, mine)

#ifdef NO_INTENT_READBACK
    /* Dispatch on the append's answer alone. */
    :: asked != NONE && ran != asked ->
#else
    /* Dispatch only when the intent read back is ours. */
    :: asked != NONE && ran != asked && intent == asked && !done[RUN_ONCE] ->
#endif
        ran = asked;
        dispatched++

    /* Its answer came: append the result. */
    :: ran != NONE && intent == ran && !done[RUN_ONCE] ->
        append_run_once_result(ran, mine, false)

    /* An attempt of somebody else whose scheduler seems gone: its outcome cannot be recovered. */
    :: mine != 0 && intent != NONE && intent != ran && intent != asked && !done[RUN_ONCE] ->
        orphan = intent;
        append_run_once_result(orphan, mine, true);
        LEARN(id, mine)

    /* An attempt of our own that was never sent, or whose engine is lost. */
    :: mine != 0 && asked != NONE && intent == asked && ran != asked && !done[RUN_ONCE] && id == 1 ->
        append_run_once_result(asked, mine, true);
        LEARN(id, mine)

    /* Daemon 0 dies. */
    :: id == 0 -> alive0 = false; break
    od
}

init {
    atomic {
        run Client();
        run Canceller();
        run Daemon(0);
        run Daemon(1);
    }
}

#define safe (counted[ORDINARY] <= 1 && counted[RUN_ONCE] <= 1 && submissions_counted <= 1 && \
              !counted_after_cancel && dispatched <= 1 && !stale_record_applied)
#define finished (cancelled || (done[ORDINARY] && done[RUN_ONCE]))

ltl always_safe { [] safe }
ltl every_item_completes { [] (submitted -> <> finished) }
