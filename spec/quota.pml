/*
 * Admission of batch jobs under a route's limit, small: JOBS jobs of one token, each submitted at a
 * daemon of its own, capacity for LIMIT. The admission log is its order; partitions are one set.
 *
 * A submission appends its reservation, reads what is unfinished (maybe long before it decides, as a
 * sum that is not made anew), and decides by that and by the reservations before its own. The
 * manifest's append may be done and answered, or not answered and done later, or never; then the submission
 * keeps its reservation. A daemon may also stop at any step and leave its reservation behind. Items finish
 * at any time. A reservation is dropped once its manifest can no longer come.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NO_RESERVATIONS        only what is stored counts
 *   RELEASES_UNKNOWN       an append without an answer releases its reservation
 *   DROPS_EARLY            a reservation is dropped while its manifest may still come
 *
 * docs/PROOF.md names the C function of each step.
 */
#define JOBS 3
#define LIMIT 1

byte next_place = 0;
byte place[JOBS];       /* 0: no reservation. */
bool released[JOBS];
bool dropped[JOBS];     /* Settled as never stored: is_settled_by_level of quota_fold.c. */
bool stored[JOBS];
bool finished[JOBS];
bool late[JOBS];        /* An append that got no answer is still on its way. */
bool gone[JOBS];        /* No append of this job is possible any more. */
byte unfinished = 0;

inline store(job) {
    stored[job] = true;
    unfinished++
}

/* The sum at hand: hs_job_quota_report and apply_level of quota_fold.c. */
inline take_sum() {
    d_step {
        sum = 0;
        other = 0;
        do
        :: other < JOBS ->
            in_sum[other] = stored[other];
            if
            :: stored[other] && !finished[other] -> sum++
            :: else -> skip
            fi;
            other++
        :: else -> break
        od
    }
}

inline decide() {
    d_step {
        count = sum;
        other = 0;
        do
        :: other < JOBS ->
            if
#ifndef NO_RESERVATIONS
            :: other != self && place[other] != 0 && place[other] < place[self] &&
               !released[other] && !dropped[other] && !in_sum[other] -> count++
#endif
            :: else -> skip
            fi;
            other++
        :: else -> break
        od
    }
}

proctype submission(byte self) {
    byte sum = 0;
    byte other = 0;
    byte count = 0;
    bool sum_is_old = false; /* Made before the reservation. */
    bool in_sum[JOBS];
    if
    :: true -> take_sum(); sum_is_old = true
    :: true -> skip
    fi;
    atomic {
        next_place++;
        place[self] = next_place
    }
    if
    :: true -> gone[self] = true; goto stop /* The daemon dies here. */
    :: true -> skip
    fi;
    if
    :: !sum_is_old -> take_sum()
    :: else -> skip
    fi;
    decide();
    if
    :: count < LIMIT ->
        if
        :: true -> atomic { store(self); gone[self] = true }
        :: true ->
            late[self] = true; /* No answer: the caller gets 504. */
#ifdef RELEASES_UNKNOWN
            released[self] = true
#endif
        :: true -> gone[self] = true /* The daemon dies here. */
        fi
    :: else -> atomic { gone[self] = true; released[self] = true }
    fi;
stop:
    skip
}

/* Late appends, ends of items, and the forgetting of what cannot come any more. */
proctype surroundings() {
    byte job;
end:
    do
    :: atomic { select (job : 0 .. JOBS - 1); late[job] -> late[job] = false; gone[job] = true;
        if
        :: store(job)
        :: skip
        fi }
    :: atomic { select (job : 0 .. JOBS - 1); stored[job] && !finished[job] ->
        finished[job] = true; unfinished-- }
#ifdef DROPS_EARLY
    :: atomic { select (job : 0 .. JOBS - 1); place[job] != 0 && !stored[job] && !dropped[job] ->
        dropped[job] = true }
#else
    :: atomic { select (job : 0 .. JOBS - 1); gone[job] && !stored[job] && !dropped[job] ->
        dropped[job] = true }
#endif
    od
}

init {
    atomic {
        byte job = 0;
        do
        :: job < JOBS -> run submission(job); job++
        :: else -> break
        od;
        run surroundings()
    }
}

ltl limit_holds { [] (unfinished <= LIMIT) }
