/*
 * What one item's text is put together from, small: one item run that tries engines one after the
 * other with one request id, each try asking to resume after the last event taken; reused
 * connections, each a queue of answers that are due; engines that refuse whole (not executed), fail
 * whole (500), or stream and end whole, within an event, or with a cut connection.
 *
 * A surplus answer to an earlier request may come in the place of the next one due. It is a copy of
 * the earlier answer or, of a request that ran, another stream of that same run (COPIES_ONLY: copies
 * alone). An answer is distinguished from others by the request id alone, and all tries have the same one,
 * so that the first answer due is taken for the answer to the latest try; the own one stays due. The
 * item may be given up by this daemon and taken again, from the text that is stored by then.
 *
 * Other requests on a connection take all that is due there and is not theirs. Left out: time (what
 * is due may come at any time later, or never, which is a cut before the first event), the store (see
 * jobs.pml), 422, answers without an id, and the limit of two passed-over answers. A connection that
 * has bytes waiting when it is taken is closed by the code; here they come just after.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NO_JOINT_CHECK      a stream is taken wherever it begins, events up to the last one are skipped
 *   CONNECTION_AGAIN    a connection that carried a try of this id is used for another try of it
 *   RUN_REMEMBERS       which connections carried the id is forgotten when the item is given up
 *   LATEST_ID_ONLY      a connection remembers the id of its latest request alone
 * And two faults can be left out, to tell what each rule is needed for:
 *   HEADERS_ARRIVE      else a try's Last-Event-Id may be lost on its way, so that the run begins anew
 *   COPIES_ONLY         see above
 *
 * docs/PROOF.md names the C function of each step.
 */
#ifndef EVENTS
#define EVENTS 3
#endif
#ifndef TRIES_MOST
#define TRIES_MOST 4
#endif
#ifndef SURPLUS_MOST
#define SURPLUS_MOST 1
#endif
#define CONNECTIONS 2
#define FAILURES_MOST 2 /* A route's max-attempts. */
#ifndef RESTARTS_MOST
#define RESTARTS_MOST 1
#endif
#define DUE_MOST 5      /* At least TRIES_MOST and SURPLUS_MOST together. */

mtype = { NOTHING, REFUSAL, FAILURE, STREAM };
mtype = { WHOLE, WITHIN_EVENT, CUT };

/* An answer: what it is, which try's, after which event its run was asked to go on, its last event,
 * and how it ends. */
#define ANSWER mtype, byte, byte, byte, mtype

chan due[CONNECTIONS] = [DUE_MOST] of { ANSWER };
bool is_kept[CONNECTIONS];
bool has_carried[CONNECTIONS]; /* A try of this id, as far as is remembered. */

/* One earlier answer on each connection, of which a surplus one may come. */
typedef answer {
    mtype kind;
    byte by;
    byte after;
    byte last;
    mtype ending
}
answer earlier[CONNECTIONS];

/* hs_item_run and hs_owned_item. */
byte taken = 0; /* Last event in the text. */
byte failures = 0;
byte tries = 0;

byte surplus = 0;
byte restarts = 0;

/* What the outside sees; for the properties alone. */
byte made_by[EVENTS + 1]; /* The try whose run made an event; 0: a run of another daemon. */
byte real_failures = 0;
bool completed = false;
bool dead = false;
bool wrong_joint = false;    /* A run goes on that was not asked to go on there. */
bool missing_event = false;
bool broken_promise = false; /* A try is reported as not run that ran. */

inline forget_connection(c) {
    do
    :: nempty(due[c]) -> due[c] ? kind, by, after, last, ending
    :: empty(due[c]) -> break
    od;
    is_kept[c] = false;
    has_carried[c] = false;
    earlier[c].kind = NOTHING;
    earlier[c].by = 0;
    earlier[c].after = 0;
    earlier[c].last = 0;
    earlier[c].ending = WHOLE
}

/* Any stream of a run that was asked to go on after an event. */
inline choose_stream() {
    kind = STREAM;
    last = after;
    do
    :: last < EVENTS -> last++
    :: break
    od;
    if
    :: last == EVENTS -> ending = WHOLE
    :: ending = WITHIN_EVENT
    :: ending = CUT
    fi
}

/* hs_engine_lease_connect: a reused connection or a new one; an idle one may go at any time. */
inline connect() {
    if
#ifdef CONNECTION_AGAIN
    :: is_kept[0] -> at = 0
    :: is_kept[1] -> at = 1
#else
    :: is_kept[0] && !has_carried[0] -> at = 0
    :: is_kept[1] && !has_carried[1] -> at = 1
#endif
    :: at = 0; forget_connection(0); is_kept[0] = true
    :: at = 1; forget_connection(1); is_kept[1] = true
    fi
}

/* The engine: surplus answers to earlier requests, then its own. */
inline answer_due() {
    do
    :: surplus < SURPLUS_MOST && earlier[at].kind != NOTHING ->
        surplus++;
        if
        :: kind = earlier[at].kind; by = earlier[at].by; after = earlier[at].after;
            last = earlier[at].last; ending = earlier[at].ending
#ifndef COPIES_ONLY
        :: earlier[at].kind != REFUSAL -> by = earlier[at].by; after = earlier[at].after;
            choose_stream()
#endif
        fi;
        due[at] ! kind, by, after, last, ending
    :: break
    od;
    by = tries;
    after = asked;
    last = 0;
    ending = WHOLE;
    if
    :: kind = REFUSAL
    :: kind = FAILURE
    :: choose_stream()
#ifndef HEADERS_ARRIVE
    :: after = 0; choose_stream()
#endif
    fi;
    own_kind = kind;
    due[at] ! kind, by, after, last, ending;
    if
    :: ending != CUT -> earlier[at].kind = kind; earlier[at].by = by; earlier[at].after = after;
        earlier[at].last = last; earlier[at].ending = ending
    :: skip
    fi
}

#ifdef NO_JOINT_CHECK
#define BEGINS_ELSEWHERE false
#else
#define BEGINS_ELSEWHERE (event == after + 1 && event != asked + 1)
#endif

/* hs_event_stream_take and accept_event, of what read_stream takes. */
inline take_stream() {
    event = after + 1;
    do
    :: event <= last ->
        if
        :: BEGINS_ELSEWHERE -> is_in_order = false; break
        :: !BEGINS_ELSEWHERE && event <= taken -> skip
        :: !BEGINS_ELSEWHERE && taken > 0 && event > taken + 1 -> is_in_order = false; break
        :: else ->
            if
            :: event != taken + 1 -> missing_event = true
            :: event == taken + 1 && by != made_by[taken] && after != taken -> wrong_joint = true
            :: else -> skip
            fi;
            taken = event;
            made_by[taken] = by
        fi;
        event++
    :: else -> break
    od
}

/* hs_job_worker_run after an item was abandoned, and get_item: what is stored is the new begin, a
 * part of what was taken or, of any length, the text of another daemon. */
inline begin_anew() {
    printf("given up and taken again\n");
    restarts++;
    if
    :: skip
    :: taken = EVENTS;
        for (event : 0 .. EVENTS) {
            made_by[event] = 0
        }
    fi;
    do
    :: taken > 0 -> made_by[taken] = 0; taken--
    :: break
    od;
    event = 0;
    failures = 0;
    real_failures = 0;
#ifdef RUN_REMEMBERS
    has_carried[0] = false;
    has_carried[1] = false;
#endif
}

/* Another request on a reused connection: read_head passes over what is not its own. */
inline other_request(c) {
    printf("another request on connection %d\n", c);
    do
    :: nempty(due[c]) -> due[c] ? kind, by, after, last, ending
    :: empty(due[c]) -> break
    od;
#ifdef LATEST_ID_ONLY
    has_carried[c] = false
#endif
}

/* job_worker.c, item_run.c, engine_attempt.c. */
active proctype item() {
    byte at, asked, by, after, last, event;
    mtype kind, own_kind, ending;
    bool is_in_order;
end:
    do
    :: !completed && !dead && tries < TRIES_MOST ->
        atomic {
            tries++;
            asked = taken;
            connect();
            has_carried[at] = true;
            answer_due();
            due[at] ? kind, by, after, last, ending;
            printf("try %d, connection %d, asked after %d: %e of try %d, after %d to %d, %e\n", tries,
                   at, asked, kind, by, after, last, ending);
            is_in_order = true;
            if
            :: kind == REFUSAL ->
                broken_promise = (broken_promise || own_kind != REFUSAL);
                real_failures = real_failures + (own_kind == FAILURE -> 1 : 0)
            :: kind == FAILURE ->
                failures++;
                real_failures = real_failures + (own_kind == FAILURE -> 1 : 0);
                dead = (failures >= FAILURES_MOST)
            :: kind == STREAM ->
                real_failures = real_failures + (own_kind == FAILURE -> 1 : 0);
                take_stream();
                if
                :: is_in_order && ending == WHOLE ->
                    if
                    :: completed = true
                    :: restarts < RESTARTS_MOST -> begin_anew() /* Its result was not stored. */
                    fi
                :: else -> skip
                fi
            fi;
            if
            :: ending != CUT -> skip
            :: forget_connection(at)
            fi;
            at = 0; asked = 0; by = 0; after = 0; last = 0; event = 0;
            kind = NOTHING; own_kind = NOTHING; ending = WHOLE; is_in_order = false
        }
    :: atomic { !completed && !dead && restarts < RESTARTS_MOST -> begin_anew() }
    :: atomic { is_kept[0] && (nempty(due[0]) || has_carried[0]) -> other_request(0) }
    :: atomic { is_kept[1] && (nempty(due[1]) || has_carried[1]) -> other_request(1) }
    od
}

#define WRONG_JOINT (wrong_joint || missing_event)
#define SHORT (completed && taken != EVENTS)
#define WRONGLY_DEAD (dead && real_failures < FAILURES_MOST)

ltl always_safe { [] !(WRONG_JOINT || SHORT || broken_promise || WRONGLY_DEAD) }
ltl joints_right { [] !WRONG_JOINT }
ltl whole_at_end { [] !SHORT }
ltl promises_kept { [] !broken_promise }
ltl dead_rightly { [] !WRONGLY_DEAD }
