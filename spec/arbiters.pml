/*
 * The exchange with an engine's arbiter, small: one engine, two daemons with one online request and
 * one batch item each at most, and two daemons that may be its arbiter. Each daemon reports its counts
 * to the one that it takes for the arbiter, at each change and repeated while it has something
 * there; which one that is may change, and the two may then differ for a while. A daemon may die. An
 * arbiter that receives no reports keeps the last ones, as one does that was disconnected
 * and comes back. Reports, answers and preemptions may be lost; no daemon has to answer.
 * Faults and starts are bounded; no item has to end by itself.
 *
 * Left out: time (a limit is a step that may come at any moment), ranks (any item may be preempted),
 * reports in the wrong order (by their sequence, a unit test), health, and the question about a second
 * engine.
 *
 * Each rule can be removed by a macro; check.sh must then find a counterexample:
 *   NO_REPEAT           counts are reported at changes alone
 *   LEAVING_FOR_GOOD    a preempted item counts as gone until its daemon reports that it is
 *   USES_KEPT           a report counts until the next one, however long its daemon sends none
 *   WAITS_FOR_ARBITER   an item is not sent before the arbiter has answered
 * And with DISAGREE the daemons report to different arbiters to the end: the bound is then the slots once
 * for each arbiter.
 *
 * docs/PROOF.md names the C function of each step.
 */
#ifndef SLOTS
#define SLOTS 1
#endif
#ifndef STARTS_MOST
#define STARTS_MOST 2
#endif
#ifndef LOSSES_MOST
#define LOSSES_MOST 1
#endif
#ifdef DISAGREE
#undef CHANGES_MOST
#define CHANGES_MOST 0
#endif
#ifndef CHANGES_MOST
#define CHANGES_MOST 1
#endif
#ifndef DEATHS_MOST
#define DEATHS_MOST 0
#endif

#define NONE 0
#define WAITING 1
#define RUNNING 2

typedef pair { byte by[2] }
typedef flags { bool by[2] }

/* The daemons: engine_uses.c and engine_attempt.c. */
byte online[2], batch[2];
byte view[2];
bool alive[2] = true;

/* Reports and preemptions on their way. */
bool word[2];
bool ask[2];

/* Two ledgers: slot_ledger.c. */
pair told_online[2], told_batch[2];
flags leaving[2];

byte starts = 0;
byte losses = 0;
byte changes = 0;
byte deaths = 0;

#define HAS(d) (online[d] + (batch[d] != NONE))
#define ON_ENGINE(d) (online[d] + (batch[d] == RUNNING))
#define STAYING(a, d) (told_batch[a].by[d] * (1 - leaving[a].by[d]))
#define SUM(a) (told_online[a].by[0] + told_online[a].by[1] + STAYING(a, 0) + STAYING(a, 1))

/* hs_fleet_engines_notify_use. An earlier report that is still on its way counts as lost, and each
 * change is reported, so that a report on its way has the daemon's current counts. */
inline tell(d) {
    word[d] = true
}

/* One daemon's requests, and what it takes for the arbiter. */
proctype daemon(byte d) {
end:
    do
    :: true -> skip /* Nothing has to begin or end. */
    :: atomic { alive[d] && starts < STARTS_MOST && online[d] == 0 -> starts++; online[d] = 1; tell(d) }
    :: atomic { alive[d] && online[d] == 1 -> online[d] = 0; tell(d) }
    :: atomic { alive[d] && starts < STARTS_MOST && batch[d] == NONE ->
           starts++; batch[d] = WAITING; tell(d) }
    :: atomic { alive[d] && batch[d] == RUNNING -> batch[d] = NONE; tell(d) }
    :: atomic { alive[d] && changes < CHANGES_MOST -> changes++; view[d] = 1 - view[d] }
    :: atomic { alive[d] && deaths < DEATHS_MOST -> deaths++; alive[d] = false; online[d] = 0;
           batch[d] = NONE; word[d] = false; ask[d] = false }
    od
}

/* hs_engine_lease_confirm: until the arbiter's answer came, or its time was over. */
proctype confirmation(byte d) {
end:
    do
#ifdef WAITS_FOR_ARBITER
    :: false
#else
    :: atomic { batch[d] == WAITING -> batch[d] = RUNNING }
#endif
    od
}

/* hs_slot_arbiter_refresh and hs_fleet_engines_own_uses. */
proctype repetition(byte d) {
end:
    do
#ifndef NO_REPEAT
    :: atomic { alive[d] && !word[d] -> tell(d) }
#endif
    :: HAS(d) == 0 -> skip /* Nothing there any more. */
    od
}

/* hs_slot_ledger_put_report at the arbiter that the report was sent to, and its answer. */
proctype words(byte d) {
    byte a;
end:
    do
    :: atomic { word[d] ->
           a = view[d];
           if
           :: told_batch[a].by[d] > (batch[d] != NONE) -> leaving[a].by[d] = false
           :: else -> skip
           fi;
           told_online[a].by[d] = online[d];
           told_batch[a].by[d] = (batch[d] != NONE);
           word[d] = false;
           do
           :: SUM(a) > SLOTS && STAYING(a, 0) > 0 -> leaving[a].by[0] = true; ask[0] = alive[0]
           :: SUM(a) > SLOTS && STAYING(a, 1) > 0 -> leaving[a].by[1] = true; ask[1] = alive[1]
           :: !(SUM(a) > SLOTS && STAYING(a, 0) + STAYING(a, 1) > 0) -> break
           od;
           if
           :: batch[d] == WAITING -> batch[d] = RUNNING
           :: skip /* Lost, or late. */
           fi;
           a = 0 }
    :: atomic { word[d] && losses < LOSSES_MOST -> losses++; word[d] = false }
    od
}

/* hs_fleet_engines_preempt_items. */
proctype asks(byte d) {
end:
    do
    :: atomic { ask[d] ->
           ask[d] = false;
           if
           :: batch[d] != NONE -> batch[d] = NONE; tell(d)
           :: else -> skip
           fi }
    :: atomic { ask[d] && losses < LOSSES_MOST -> losses++; ask[d] = false }
    od
}

#define SILENT(a, d) (!alive[d] || view[d] != a || HAS(d) == 0)

/* PREEMPTION_VALID_MS and REPORT_VALID_MS in slot_ledger.c. */
proctype limits(byte a, d) {
end:
    do
#ifndef LEAVING_FOR_GOOD
    :: leaving[a].by[d] && !SILENT(a, d) -> leaving[a].by[d] = false
#endif
#ifndef USES_KEPT
    :: atomic { told_online[a].by[d] + told_batch[a].by[d] > 0 && SILENT(a, d) ->
           told_online[a].by[d] = 0; told_batch[a].by[d] = 0; leaving[a].by[d] = false }
#endif
    od
}

/* Daemons come to know the same live daemons: membership. */
proctype agreement() {
end:
    do
    :: atomic { view[0] != view[1] ->
           if
           :: view[0] = view[1]
           :: view[1] = view[0]
           fi }
    od
}

init {
    atomic {
#ifdef DISAGREE
        view[1] = 1;
#else
        run agreement();
#endif
        run daemon(0); run daemon(1); run confirmation(0); run confirmation(1);
        run repetition(0); run repetition(1); run words(0); run words(1); run asks(0); run asks(1);
        run limits(0, 0); run limits(0, 1); run limits(1, 0); run limits(1, 1)
    }
}

#define ALL (ON_ENGINE(0) + ON_ENGINE(1))
#define NO_BATCH (batch[0] == NONE && batch[1] == NONE)
#define LEDGER_TRUE(a) (SUM(a) == HAS(0) + HAS(1))

ltl within_slots_at_last { <>[] (ALL <= SLOTS || NO_BATCH) }
ltl within_both_at_last { <>[] (ALL <= 2 * SLOTS || NO_BATCH) }
ltl ledger_true_at_last { <>[] ((view[0] == 0 && LEDGER_TRUE(0)) || (view[0] == 1 && LEDGER_TRUE(1))) }
ltl nobody_waits { [] (batch[0] == WAITING -> <> (batch[0] != WAITING)) }
