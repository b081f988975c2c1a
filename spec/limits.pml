/*
 * A tenant's limit over three daemons, small: tokens come in by ticks, RATE for the whole limit, a
 * third of it for one daemon's allowance; a full bucket holds BURST.
 *
 * Daemon 0 ranks first for the tenant and daemon 1 second; the third never goes and queries daemon 1
 * wherever that is the limit owner (home), so that daemon 1 without daemon 0 has two parts. Links are cut
 * and heal, a daemon dies and starts, stands still and wakes; each daemon notices by itself, at any later
 * time, who answers. A query goes to the limit owner as the querying daemon sees it; where that gives no
 * answer the querying daemon decides by its own allowance. What a limit owner or an allowance admits while
 * a change is not noticed by all is counted apart (unnoticed): no rule without agreement can avoid it, and
 * time bounds it.
 *
 * Invariant: what passed is at most BURST, RATE a tick, and unnoticed.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NEW_HOME_FULL   a limit owner that has no bucket of the tenant begins with a full one
 *   WHOLE_LIMIT     a disconnected daemon admits the whole limit
 *   SLEEPER_KEEPS   a daemon that stood still keeps its bucket, which came full meanwhile
 *   MOVED_KEEPS     a daemon keeps the bucket of a tenant whose limit owner is another now, and it fills
 *   PART_KEEPS      what a daemon accrued of its allowance while the owner did not answer outlives that
 *
 * docs/PROOF.md names the C function of each step.
 */
#define DAEMONS 2
#ifndef RATE
#define RATE 3
#endif
#define BURST 3
#ifndef TICKS
#define TICKS 4
#endif
#ifndef CHANGES
#define CHANGES 3
#endif

bool up[DAEMONS] = true;
bool asleep[DAEMONS];
bool cut;
bool sees[DAEMONS] = true;  /* It believes that the other answers. */
bool has_bucket[DAEMONS];
byte tokens[DAEMONS];
byte age[DAEMONS] = BURST;  /* Ticks since it noticed a change last, long ago at first. */
byte ticks;
byte changes;
byte passed;
byte unnoticed;

/* hs_limit_reachability and allowance_fraction. */
#define IS_HOME(daemon) (daemon == 0 || !sees[daemon])
#ifdef WHOLE_LIMIT
#define RATE_OF(daemon) RATE
#define CAPACITY_OF(daemon) BURST
#else
/* Parts of three: daemon 0 alone one, daemon 1 as the limit owner two, else, without an answer, one. */
#define PARTS_OF(daemon)                                                                           \
    ((daemon == 0 && sees[0]) -> 3 : ((daemon == 1 && !sees[1]) -> 2 : 1))
#define RATE_OF(daemon) (RATE * PARTS_OF(daemon) / 3)
#define CAPACITY_OF(daemon) (BURST * PARTS_OF(daemon) / 3)
#endif
#define ANSWERS(daemon) (up[daemon] && !asleep[daemon])
#define REACHES (ANSWERS(0) && ANSWERS(1) && !cut)
#define MIN(left, right) ((left) < (right) -> (left) : (right))

/* hs_limit_book_check. */
inline decide(daemon) {
    if
    :: !has_bucket[daemon] ->
        has_bucket[daemon] = true;
#ifdef NEW_HOME_FULL
        tokens[daemon] = CAPACITY_OF(daemon)
#else
        if
        :: IS_HOME(daemon) ->
            tokens[daemon] = MIN(CAPACITY_OF(daemon), RATE_OF(daemon) * age[daemon])
        :: else -> tokens[daemon] = 0
        fi
#endif
    :: else -> skip
    fi;
    if
    :: tokens[daemon] > CAPACITY_OF(daemon) -> tokens[daemon] = CAPACITY_OF(daemon)
    :: else -> skip
    fi;
    if
    :: tokens[daemon] > 0 ->
        tokens[daemon]--;
        passed++
    :: else -> skip
    fi
}

/* hs_tenant_limiter_check: of a request that came to @daemon. */
inline ask(daemon) {
    if
    :: IS_HOME(daemon) -> decide(daemon)
    :: !IS_HOME(daemon) && REACHES ->
#ifndef PART_KEEPS
        has_bucket[daemon] = false;
        tokens[daemon] = 0;
#endif
        decide(0)
    :: !IS_HOME(daemon) && !REACHES -> decide(daemon)
    fi
}

/* Whether the daemon admits requests by a rate of its own now. */
#define LETS_PASS(daemon) (ANSWERS(daemon) && (IS_HOME(daemon) || !REACHES))

inline refill(daemon) {
    if
#if defined(PART_KEEPS) || defined(MOVED_KEEPS)
    :: has_bucket[daemon] ->
#else
    :: has_bucket[daemon] && (IS_HOME(daemon) || !REACHES) ->
#endif
        tokens[daemon] = MIN(CAPACITY_OF(daemon), tokens[daemon] + RATE_OF(daemon))
    :: else -> skip
    fi;
    age[daemon] = MIN(age[daemon] + 1, BURST)
}

/* hs_limit_book_note_reach_change: the daemon finds out who answers. */
inline notice(daemon, answers) {
    sees[daemon] = answers;
    age[daemon] = 0;
#ifndef MOVED_KEEPS
    if
    :: !IS_HOME(daemon) -> has_bucket[daemon] = false; tokens[daemon] = 0
    :: else -> skip
    fi
#endif
}

inline forget(daemon) {
    has_bucket[daemon] = false;
    tokens[daemon] = 0;
    age[daemon] = 0
}

active proctype world() {
    byte which;
    int rates;
end:
    do
    :: atomic { ticks < TICKS ->
        /* What all admit in this tick beyond the limit, since not all have noticed. */
        rates = (LETS_PASS(0) -> RATE_OF(0) : 0) + (LETS_PASS(1) -> RATE_OF(1) : 0);
        if
#ifndef WHOLE_LIMIT
        :: rates > RATE -> unnoticed = unnoticed + rates - RATE
#endif
        :: else -> skip
        fi;
        refill(0);
        refill(1);
        ticks++ }
    :: atomic { ANSWERS(0) -> ask(0) }
    :: atomic { ANSWERS(1) -> ask(1) }
    :: atomic { changes < CHANGES -> changes++; cut = !cut }
    :: atomic { changes < CHANGES ->
        changes++;
        if
        :: which = 0
        :: which = 1
        fi;
        if
        :: up[which] -> up[which] = false; asleep[which] = false
        :: else ->
            up[which] = true;
            sees[which] = REACHES;
            forget(which)
        fi }
    :: atomic { changes < CHANGES ->
        changes++;
        if
        :: which = 0
        :: which = 1
        fi;
        if
        :: up[which] && !asleep[which] -> asleep[which] = true
        :: up[which] && asleep[which] ->
            asleep[which] = false;
#ifndef SLEEPER_KEEPS
            forget(which)
#endif
        :: else -> skip
        fi }
    :: atomic { ANSWERS(0) && sees[0] != REACHES -> notice(0, REACHES) }
    :: atomic { ANSWERS(1) && sees[1] != REACHES -> notice(1, REACHES) }
    od
}

ltl within_limit { [] (passed <= BURST + RATE * ticks + unnoticed) }
