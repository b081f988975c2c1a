/*
 * Batch jobs of the fleet surface, small: one partition's log as its fold, one job of one item of
 * EVENTS events, a daemon that takes the job with two tries, two daemons that both may think they
 * own the partition and stand at the same events, and a daemon that answers reads from its own fold.
 *
 * An append is done and answered, or done and not answered, or refused, or not answered and done later, even
 * after other records (late_append). A daemon that runs the item may be killed at any step and
 * then begins anew from what the log holds. Faults are bounded, so that the job ends.
 *
 * With WRITERS the text of an item also remembers whose runs made its end, and is right only where
 * each run that went on in it was asked to go on there.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   UNKNOWN_IS_REFUSED   an append without an answer is reported to the caller as a refusal
 *   FORGETS_FIRST_TRY    a refused second try is reported as a refusal, whatever became of the first
 *   NO_FROM_CHECK        progress that follows an event is added wherever the fold stands
 *   NO_WRITER_CHECK      progress that follows an event is added whoever made the text before it
 *   LATER_RESULT_COUNTS  a second result of an item replaces the first
 *   NO_CATCH_UP          a read is answered from the fold as it happens to be
 *
 * docs/PROOF.md names the C function of each step.
 */
#ifdef WRITERS /* Whose runs made a text is distinguished; with fewer events, for the state space. */
#define EVENTS 2
#else
#define EVENTS 3
#endif
#define FAULTS_MOST 2
#define KILLS_MOST 1

mtype = { DONE, REFUSED, UNKNOWN, MANIFEST, PROGRESS, RESULT };

/* The fold at the log's end: hs_job_state_apply. */
bool taken = false;
bool listed = false;
byte progress = 0;
byte progress_writer = 0; /* Whose runs made its end. */
bool text_right = true;   /* Events in order, each run asked to go on where it did. */
byte result_of = 0;
bool result_right = true;

/* What the outside sees; for the properties. */
bool accepted = false;
bool promised = false; /* A refusal that says: never run. */
bool ran = false;
bool denied = false;   /* No such job, after it was accepted. */
bool changed = false;  /* A result that was read is another one now. */

/* An append that was not answered and is still on its way. */
bool late = false;
mtype late_kind;
byte late_from, late_last, late_by, late_writer, late_base;
bool late_right;

byte next_writer = 1;

byte faults = 0;
byte kills = 0;

#ifdef WRITERS
#define CHAINS(from, writer, base) (writer == progress_writer || base == from)
#else
#define CHAINS(from, writer, base) true
#endif

inline apply(kind, from, last, by, right, writer, base) {
    if
    :: kind == MANIFEST -> taken = true
    :: kind == PROGRESS && taken && !listed && last > progress ->
        if
        :: from == 0 -> progress = last; text_right = right; progress_writer = writer
#ifdef NO_FROM_CHECK
        :: from != 0 -> text_right = (text_right && right && from == progress); progress = last;
            progress_writer = writer
#else
#ifdef NO_WRITER_CHECK
        :: from != 0 && from == progress ->
            text_right = (text_right && right && CHAINS(from, writer, base));
            progress = last; progress_writer = writer
        :: from != 0 && from != progress -> skip
#else
        :: from != 0 && from == progress && CHAINS(from, writer, base) ->
            progress = last; text_right = (text_right && right); progress_writer = writer
        :: from != 0 && !(from == progress && CHAINS(from, writer, base)) -> skip
#endif
#endif
        fi
    :: kind == RESULT && taken && !listed ->
        listed = true; result_of = by; result_right = right
    :: kind == RESULT && listed ->
#ifdef LATER_RESULT_COUNTS
        result_of = by
#else
        skip
#endif
    :: else -> skip
    fi
}

/* hs_store_client_send of an append. */
inline append(kind, from, last, by, right, writer, base, outcome) {
    atomic {
        if
        :: apply(kind, from, last, by, right, writer, base); outcome = DONE
        :: faults < FAULTS_MOST -> faults++; apply(kind, from, last, by, right, writer, base);
            outcome = UNKNOWN
        :: faults < FAULTS_MOST -> faults++; outcome = REFUSED
        :: faults < FAULTS_MOST && !late -> faults++; late = true; late_kind = kind;
            late_from = from; late_last = last; late_by = by; late_right = right;
            late_writer = writer; late_base = base;
            outcome = UNKNOWN
        fi
    }
}

active proctype late_append() {
end:
    do
    :: atomic { late -> apply(late_kind, late_from, late_last, late_by, late_right, late_writer,
                              late_base);
        late = false; late_from = 0; late_last = 0; late_by = 0; late_right = false; late_kind = DONE;
        late_writer = 0; late_base = 0 }
    od
}

/* hs_job_service_submit: two tries, then the answer. */
active proctype submitter() {
    mtype first, second;
    append(MANIFEST, 0, 0, 0, true, 0, 0, first);
    if
    :: first == DONE -> accepted = true
    :: else ->
        append(MANIFEST, 0, 0, 0, true, 0, 0, second);
        if
        :: second == DONE -> accepted = true
        :: second == REFUSED ->
#ifdef FORGETS_FIRST_TRY
            promised = true
#else
            if
            :: first == REFUSED -> promised = true
            :: else -> skip /* No answer that promises anything. */
            fi
#endif
        :: second == UNKNOWN ->
#ifdef UNKNOWN_IS_REFUSED
            promised = true
#else
            if
            :: taken -> accepted = true /* Read back. */
            :: else -> skip
            fi
#endif
        fi
    fi
}

/* job_scheduler.c, job_worker.c, job_checkpoint.c. */
proctype owner(byte id) {
    byte have, stored, known, writer, base;
    bool right;
    mtype outcome;
end:
    do
    :: taken && !listed ->
        atomic { have = progress; stored = progress; right = text_right; ran = true;
#ifdef WRITERS
            base = progress; writer = next_writer; next_writer++
#endif
        }
        do
        :: have < EVENTS -> have++
        :: have > stored ->
#ifdef NO_WRITER_CHECK
            atomic { known = progress }
#else
            atomic { known = (writer == progress_writer || progress == base -> progress : 0) }
#endif
            if
            :: known != 0 && known == stored ->
                append(PROGRESS, known, have, id, right, writer, base, outcome)
            :: else -> append(PROGRESS, 0, have, id, right, writer, base, outcome)
            fi;
            atomic { stored = have; known = 0; outcome = DONE }
        :: have == EVENTS -> append(RESULT, 0, have, id, right, writer, base, outcome); break
        :: kills < KILLS_MOST -> kills++; break
        od;
        atomic { have = 0; stored = 0; right = false; outcome = DONE; writer = 0; base = 0 }
    od
}

/* hs_job_service_read: its fold is brought to the log's end for each answer. */
active proctype reader() {
    byte seen = 0;
#ifdef NO_CATCH_UP
    bool own_taken = taken; /* As of its start; it is not brought up to the end. */
#else
#define own_taken taken
#endif
end:
    do
    :: accepted && !own_taken && !denied -> denied = true
    :: accepted && listed && seen == 0 -> seen = result_of
    :: seen != 0 && seen != result_of && !changed -> changed = true
    od
}

init {
    atomic { run owner(1); run owner(2) }
}

ltl always_safe { [] !((promised && ran) || !result_right || denied || changed) }
ltl job_ends { [] (accepted -> <> listed) }
