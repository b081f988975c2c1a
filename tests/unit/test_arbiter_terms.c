/** @file test_arbiter_terms.c  Load reports on an engine while its arbiter changes. */
#include "fleet/arbiter_term.h"
#include "fleet/engine_words.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#define ENGINE 7
/** Daemons with one run each at the engine. */
#define DAEMONS 8
#define STEP_MS 10
/** Times from which daemons report to the new and again to the former arbiter. */
#define MOVE_MS 2000
#define RETURN_MS 5000
#define END_MS 8000
/** Time between two daemons' reports. */
#define PHASE_MS 30
/** Time between two daemons' learning of a change: the last one learns after 210 or 840 ms. */
#define LEARN_FAST_MS 30
#define LEARN_SLOWLY_MS 120
/** Time after a change within which a correct report must be available. */
#define BOUND_MS 1000
#define NEVER UINT64_MAX

/** What happens to the former arbiter "a" while daemons report to "b". */
typedef struct {
    const char *name;
    uint64_t away_ms;   /**< From then to back_ms it receives and sends nothing. */
    uint64_t back_ms;   /**< NEVER: it doesn't come back. */
    uint64_t learns_ms; /**< From then to returns_ms it is not the arbiter in its own view. */
    uint64_t returns_ms;
    bool is_running;  /**< While away it arbitrates its own uses. */
    bool is_replaced; /**< It comes back as a new process. */
    bool is_refuting; /**< It comes back with a new incarnation. */
} change;

/** Report that a daemon would keep: the newest one. */
typedef struct {
    uint64_t made_ms;
    uint32_t wrong;         /**< Kept reports whose total was not that of all runs. */
    uint32_t wrong_in_full; /**< Those of them that count in full. */
} kept_report;

typedef struct {
    hs_slot_ledger *a;
    hs_slot_ledger *b;
    uint64_t sequence;
    kept_report kept;
    uint64_t learn_ms;
    uint64_t longest_gap_ms; /**< Longest time without a valid report. */
} play_state;

static void report_use(play_state *play, hs_slot_ledger *ledger, int daemon, uint32_t online,
                       uint64_t now_ms) {
    g_autoptr(GArray) requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    g_autofree char *id = g_strdup_printf("d%d", daemon);
    hs_use_report report = {.daemon = id, .incarnation = 1};
    report.use = (hs_engine_use){
        .engine_hash = ENGINE, .sequence = ++play->sequence, .slots = 8, .online = online};
    hs_slot_ledger_put_report(ledger, &report, now_ms, requests);
}

static void keep_listed(kept_report *kept, const hs_slot_ledger *ledger, uint64_t now_ms) {
    g_autoptr(GArray) reports = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    hs_slot_ledger_list(ledger, now_ms, reports);
    for (guint index = 0; index < reports->len; index++) {
        const hs_engine_load_report *load = &g_array_index(reports, hs_engine_load_report, index);
        if (now_ms - load->age_ms <= kept->made_ms)
            continue;
        kept->made_ms = now_ms - load->age_ms;
        kept->wrong += load->online != DAEMONS;
        kept->wrong_in_full += load->online != DAEMONS && load->age_ms < HS_ENGINE_REPORT_RECENT_MS;
    }
}

static bool is_away(const change *what, uint64_t now_ms) {
    return now_ms >= what->away_ms && now_ms < what->back_ms;
}

/** Whether daemons that learn of changes after @p delay_ms see "b" as the arbiter. */
static bool is_b_arbiter(const change *what, uint64_t delay_ms, uint64_t now_ms) {
    return now_ms >= MOVE_MS + delay_ms &&
           (what->returns_ms == NEVER || now_ms < RETURN_MS + delay_ms);
}

static void run_round(hs_slot_ledger *ledger, uint64_t incarnation, bool is_arbiter,
                      uint64_t now_ms) {
    hs_slot_ledger_note_round(ledger, incarnation, now_ms);
    hs_slot_ledger_set_arbitrated(ledger, ENGINE, is_arbiter, now_ms);
    hs_slot_ledger_expire(ledger, now_ms);
}

static void run_rounds(play_state *play, const change *what, uint64_t now_ms) {
    bool has_returned = now_ms >= what->back_ms;
    bool is_a_arbiter = now_ms < what->learns_ms || now_ms >= what->returns_ms;
    if (has_returned && what->is_replaced && now_ms < what->back_ms + STEP_MS) {
        hs_slot_ledger_free(play->a);
        play->a = hs_slot_ledger_new();
    }
    if (now_ms % HS_USE_REPORT_INTERVAL_MS != 0 && now_ms != what->back_ms)
        return;
    if (!is_away(what, now_ms) || what->is_running)
        run_round(play->a, has_returned && what->is_refuting ? 2 : 1, is_a_arbiter, now_ms);
    if (what->is_running && (is_away(what, now_ms) || now_ms == what->back_ms))
        report_use(play, play->a, DAEMONS, now_ms < what->back_ms, now_ms);
    run_round(play->b, 1, is_b_arbiter(what, 0, now_ms), now_ms);
}

static void report_uses(play_state *play, const change *what, uint64_t now_ms) {
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        uint64_t delay_ms = (uint64_t)daemon * play->learn_ms;
        if (now_ms % HS_USE_REPORT_INTERVAL_MS != (uint64_t)daemon * PHASE_MS)
            continue;
        if (is_b_arbiter(what, delay_ms, now_ms))
            report_use(play, play->b, daemon, 1, now_ms);
        else if (!is_away(what, now_ms))
            report_use(play, play->a, daemon, 1, now_ms);
    }
}

/**
 * Plays a change; asserts that no wrong report is kept, or, if daemons learn slowly, that none
 * counts in full, and that valid ones are back in time.
 */
static void play_change(const change *what, uint64_t learn_ms) {
    play_state play = {.a = hs_slot_ledger_new(), .b = hs_slot_ledger_new(), .learn_ms = learn_ms};
    for (uint64_t now_ms = 2 * HS_USE_REPORT_INTERVAL_MS; now_ms < END_MS; now_ms += STEP_MS) {
        run_rounds(&play, what, now_ms);
        report_uses(&play, what, now_ms);
        if (!is_away(what, now_ms))
            keep_listed(&play.kept, play.a, now_ms);
        keep_listed(&play.kept, play.b, now_ms);
        if (now_ms >= MOVE_MS)
            play.longest_gap_ms = MAX(play.longest_gap_ms, now_ms - play.kept.made_ms);
    }
    if (play.kept.wrong_in_full > 0 || play.longest_gap_ms > BOUND_MS)
        printf("%s: %u wrong reports, %u of them count in full, none for %" G_GUINT64_FORMAT
               " ms\n",
               what->name, play.kept.wrong, play.kept.wrong_in_full, (guint64)play.longest_gap_ms);
    CU_ASSERT_EQUAL(play.kept.wrong_in_full, 0);
    CU_ASSERT(play.kept.wrong == 0 || learn_ms > LEARN_FAST_MS);
    CU_ASSERT(play.longest_gap_ms <= BOUND_MS);
    hs_slot_ledger_free(play.a);
    hs_slot_ledger_free(play.b);
}

/**
 * The former arbiter must not list the engine as idle once its uses have expired, and the new one
 * must not list it with the uses of the first daemons only.
 */
static void no_wrong_report_is_kept_while_the_arbiter_changes(void) {
    static const change changes[] = {
        {"b joins", NEVER, NEVER, MOVE_MS, NEVER, false, false, false},
        {"two arbiters", NEVER, NEVER, MOVE_MS + 900, RETURN_MS, false, false, false},
        {"killed", MOVE_MS, NEVER, NEVER, NEVER, false, false, false},
        {"restarted", MOVE_MS, RETURN_MS, MOVE_MS, RETURN_MS, false, true, true},
        {"suspended", MOVE_MS, RETURN_MS, RETURN_MS + 400, NEVER, false, false, false},
        {"suspended and arbiter again", MOVE_MS, RETURN_MS, NEVER, 0, false, false, true},
        {"cut off", MOVE_MS, RETURN_MS, NEVER, 0, true, false, true},
    };
    for (size_t index = 0; index < G_N_ELEMENTS(changes); index++)
        for (uint64_t learn_ms = LEARN_FAST_MS; learn_ms <= LEARN_SLOWLY_MS;
             learn_ms += LEARN_SLOWLY_MS - LEARN_FAST_MS)
            play_change(&changes[index], learn_ms);
}

/** An engine whose runs have ended is listed as idle, so that daemons find it. */
static void the_present_arbiter_lists_an_idle_engine(void) {
    play_state play = {.a = hs_slot_ledger_new()};
    for (uint64_t now_ms = 1; now_ms < 3000; now_ms += HS_USE_REPORT_INTERVAL_MS) {
        run_round(play.a, 1, true, now_ms);
        if (now_ms < 1000)
            report_use(&play, play.a, 1, now_ms < 700, now_ms);
    }
    g_autoptr(GArray) reports = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    hs_slot_ledger_list(play.a, 3000, reports);
    CU_ASSERT_EQUAL_FATAL(reports->len, 1);
    CU_ASSERT_EQUAL(g_array_index(reports, hs_engine_load_report, 0).online, 0);
    CU_ASSERT_EQUAL(g_array_index(reports, hs_engine_load_report, 0).age_ms, 0);
    run_round(play.a, 1, false, 3001);
    g_array_set_size(reports, 0);
    hs_slot_ledger_list(play.a, 3002, reports);
    CU_ASSERT_EQUAL(reports->len, 0);
    hs_slot_ledger_free(play.a);
}

/** A lost report of a use leaves the sum current, two lost ones age it. */
static void a_report_has_the_age_of_its_oldest_use(void) {
    play_state play = {.a = hs_slot_ledger_new()};
    g_autoptr(GArray) reports = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    for (uint64_t now_ms = 1; now_ms < 3000; now_ms += HS_USE_REPORT_INTERVAL_MS) {
        run_round(play.a, 1, true, now_ms);
        report_use(&play, play.a, 1, 1, now_ms);
        if (now_ms < 2000)
            report_use(&play, play.a, 2, 1, now_ms); /* The last one at 1921. */
    }
    hs_slot_ledger_list(play.a, 1921 + 480, reports);
    hs_slot_ledger_list(play.a, 1921 + 780, reports);
    hs_slot_ledger_list(play.a, 1921 + 480 + HS_ENGINE_REPORT_VALID_MS, reports);
    CU_ASSERT_EQUAL_FATAL(reports->len, 2);
    CU_ASSERT_EQUAL(g_array_index(reports, hs_engine_load_report, 0).age_ms, 0);
    CU_ASSERT_EQUAL(g_array_index(reports, hs_engine_load_report, 1).age_ms, 300);
    hs_slot_ledger_free(play.a);
}

const test_case arbiter_term_tests[] = {
    {"no_wrong_report_is_kept_while_the_arbiter_changes",
     no_wrong_report_is_kept_while_the_arbiter_changes},
    {"the_present_arbiter_lists_an_idle_engine", the_present_arbiter_lists_an_idle_engine},
    {"a_report_has_the_age_of_its_oldest_use", a_report_has_the_age_of_its_oldest_use},
    {NULL, NULL}};
