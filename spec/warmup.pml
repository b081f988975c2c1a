/*
 * Permits for the requests to one cold engine, small: two daemons, each of which may be the engine's
 * arbiter and may ask for permits. Time passes in ticks; SECOND ticks are one second.
 *
 * Daemon 0 ranks first. A daemon dies and comes back, is suspended and wakes, links are cut and
 * heal; each daemon notices at most LEARN ticks later whether the other answers. A permit is used
 * within VALID ticks of the request for it, or dropped. Messages are lost by choice.
 *
 * The budget of a daemon accrues by its share: the whole limit while it sees the other daemon, half
 * of it while it takes the other for lost and for SETTLE ticks after that.
 *
 * Invariant: the requests that arrived in the last SECOND ticks are at most MOST.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NO_SETTLE       a new arbiter grants at once
 *   SLEEPER_GRANTS  a daemon that was suspended goes on granting
 *   WHOLE_SHARE     each half of a partition grants the whole limit
 *   NO_EXPIRY       a permit is used however late
 *   UNKNOWN_SENDS   a request without an answer is sent
 *
 * docs/PROOF.md names the C function of each step.
 */
#define SECOND 3
#define VALID 1
#define LEARN 1
#define SETTLE (SECOND + VALID + LEARN)
/* Permits of SECOND + VALID ticks; each half of a partition may have a part of one more. */
#define MOST 2
#ifndef TICKS
#define TICKS 14
#endif
#ifndef CHANGES
#define CHANGES 2
#endif
/* Units that one permit costs, and a budget's capacity. The whole share is two units a tick. */
#define COST 4

bool up[2] = true;
bool asleep[2];
bool cut;
bool sees[2] = true;    /* It takes the other daemon for live. */
byte unnoticed[2];      /* Ticks for which the daemon has not noticed a change. */
byte settle[2];         /* Ticks until the daemon may grant. */
byte low[2];            /* Ticks until its share rises again. */
byte units[2];          /* Its budget. */
byte permit_age[2];     /* Ticks since the request for the permit at hand; 0: none; at most 3. */
byte arrived[SECOND];   /* Requests by tick, the current one first. */
byte ticks;
byte changes;

#define ANSWERS(daemon) (up[daemon] && !asleep[daemon])
#define REACHES (ANSWERS(0) && ANSWERS(1) && !cut)
/* The arbiter as the daemon sees it. */
#define IS_ARBITER(daemon) (daemon == 0 || !sees[daemon])
#define ARBITER_OF(daemon) (IS_ARBITER(daemon) -> daemon : 0)
#ifdef WHOLE_SHARE
#define ACCRUAL(daemon) 2
#else
#define ACCRUAL(daemon) ((sees[daemon] && low[daemon] == 0) -> 2 : 1)
#endif
#define COUNT (arrived[0] + arrived[1] + arrived[2])
#define MIN(left, right) ((left) < (right) -> (left) : (right))

inline settle_again(daemon) {
#ifndef NO_SETTLE
    settle[daemon] = SETTLE;
#endif
    units[daemon] = 0
}

/* The request reaches the engine. */
inline arrive() {
    arrived[0]++
}

/* hs_engine_warmup_begin, hs_warmup_arbiter_decide: asks for a permit, and gets it or nothing. */
inline ask(daemon) {
    if
    :: (ARBITER_OF(daemon) == daemon || REACHES) && IS_ARBITER(ARBITER_OF(daemon)) &&
       settle[ARBITER_OF(daemon)] == 0 && units[ARBITER_OF(daemon)] >= COST ->
        units[ARBITER_OF(daemon)] = units[ARBITER_OF(daemon)] - COST;
        permit_age[daemon] = 1
    :: else ->
#ifdef UNKNOWN_SENDS
        if
        :: ARBITER_OF(daemon) != daemon && !REACHES -> arrive()
        :: else -> skip
        fi
#else
        skip
#endif
    fi
}

/* hs_engine_lease_use_permit: right before the request is sent. */
inline use(daemon) {
    if
#ifndef NO_EXPIRY
    :: permit_age[daemon] > VALID + 1 -> skip
#endif
    :: else -> arrive()
    fi;
    permit_age[daemon] = 0
}

inline advance(daemon) {
    if
    :: ANSWERS(daemon) || asleep[daemon] ->
        if
        :: settle[daemon] > 0 -> settle[daemon]--; units[daemon] = 0
        :: else -> units[daemon] = MIN(units[daemon] + ACCRUAL(daemon), COST)
        fi;
        if
        :: low[daemon] > 0 -> low[daemon]--
        :: else -> skip
        fi
    :: else -> skip
    fi;
    if
    :: permit_age[daemon] > 0 -> permit_age[daemon] = MIN(permit_age[daemon] + 1, 3)
    :: else -> skip
    fi;
    if
    :: ANSWERS(daemon) && sees[daemon] != REACHES -> unnoticed[daemon]++
    :: else -> unnoticed[daemon] = 0
    fi
}

/* The daemon notices whether the other answers. hs_warmup_share_update, predecessor_until_ms. */
inline notice(daemon) {
    sees[daemon] = REACHES;
    unnoticed[daemon] = 0;
    low[daemon] = SETTLE;
    if
    :: daemon == 1 && !sees[daemon] -> settle_again(daemon)
    :: else -> skip
    fi
}

active proctype world() {
    byte which;
end:
    do
    :: atomic { ticks < TICKS && unnoticed[0] < LEARN && unnoticed[1] < LEARN ->
        arrived[2] = arrived[1];
        arrived[1] = arrived[0];
        arrived[0] = 0;
        advance(0);
        advance(1);
        ticks++ }
    :: atomic { ANSWERS(0) && permit_age[0] == 0 -> ask(0) }
    :: atomic { ANSWERS(1) && permit_age[1] == 0 -> ask(1) }
    :: atomic { ANSWERS(0) && permit_age[0] > 0 -> use(0) }
    :: atomic { ANSWERS(1) && permit_age[1] > 0 -> use(1) }
    /* The answer or the request is lost. */
    :: atomic { permit_age[0] > 0 -> permit_age[0] = 0 }
    :: atomic { permit_age[1] > 0 -> permit_age[1] = 0 }
    :: atomic { changes < CHANGES -> changes++; cut = !cut }
    :: atomic { changes < CHANGES ->
        changes++;
        if
        :: which = 0
        :: which = 1
        fi;
        if
        :: up[which] -> up[which] = false; asleep[which] = false; permit_age[which] = 0
        :: else ->
            up[which] = true;
            sees[which] = REACHES;
            settle_again(which)
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
#ifndef SLEEPER_GRANTS
            settle_again(which)
#endif
        :: else -> skip
        fi }
    :: atomic { ANSWERS(0) && sees[0] != REACHES -> notice(0) }
    :: atomic { ANSWERS(1) && sees[1] != REACHES -> notice(1) }
    od
}

ltl within_rate { [] (COUNT <= MOST) }
