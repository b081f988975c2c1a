/**
 * @file test_pace_play.c
 * Engines of unequal pace under demand in squares, played over the choice of an engine: 60 engines
 * of 8 slots at 0.6, 1 and 1.6 of the usual time, each at times 2.5 times slower since others share
 * its machine, and 90 daemons that choose, each by what it has heard so far.
 */
#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/engine_spread.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { ENGINES = 60, SLOTS = 8, DECIDERS = 90, QUEUE_MOST = 512, LOOKS_MOST = 3 };
enum { RUN_MS = 200, FIRST_MS = 10, RUN_EVENTS = 19, TARGET_MS = 300 };
enum { PLAY_MS = 29000, LEARN_MS = 5800, HISTORY_MS = 601, WAITS_MOST = 200000 };
enum { SQUARE_MS = 5800, HIGH_MS = 2400 };
#define LOW_LOAD 0.38
#define HIGH_LOAD 1.87
#define SLOW_TIMES 2.5
#define SLOW_SHARE 0.15
/** The most expected work that an engine may have, beside the mean. */
#define MOST_WORK 1.5
/** Chance in each ms that a slow time begins, and that it ends: 600 ms each. */
#define SLOW_BEGINS (SLOW_SHARE / (1 - SLOW_SHARE) / 600)
#define SLOW_ENDS (1.0 / 600)

/** Who chooses. */
typedef enum { BY_SERVICE, BY_PACE, BY_SPREAD, LEAST_OUTSTANDING, EXACT } policy;

typedef struct {
    int came_ms;
    int began_ms;   /**< -1: it waits. */
    double left_ms; /**< Of its run at the usual pace. */
} run;

/** What there was to hear of an engine at one moment. */
typedef struct {
    int running;
    hs_engine_pace pace;
} heard;

typedef struct {
    double usual; /**< Times as long as at the mean engine, */
    double now;   /**< and with those that share its machine. */
    run runs[QUEUE_MOST];
    int count;
    double work_ms;      /**< Of those there, over the play. */
    hs_engine_pace pace; /**< As all daemons together know it. */
    heard history[HISTORY_MS];
} engine;

typedef struct {
    policy chosen_by;
    int view_most_ms; /**< Views are 0 to as old. */
    bool has_words;   /**< The engines tell how long work takes. */
    bool are_equal;   /**< All engines at the usual time, always. */
    GRand *chance;
    hs_engine_speed speed;
    engine engines[ENGINES];
    int waits[WAITS_MOST];
    int asked;
    int in_time;
} play;

static const double paces[] = {0.6, 1.0, 1.6};

/** Until the first event, and a little for each run there, which decides between idle engines. */
static double true_delay(const engine *at) {
    double over = fmax(at->count + 1 - SLOTS, 0);
    return (over / SLOTS * RUN_MS + FIRST_MS) * at->now + at->count * 0.5;
}

/** A daemon's word on an engine grows old until the next comes; both by no common beat. */
static int age_of(const play *played, int decider, int index, int now_ms) {
    if (played->view_most_ms == 0)
        return 0;
    return (now_ms + decider * 131 + index * 37) % played->view_most_ms;
}

static const heard *view_of(const play *played, int decider, int index, int now_ms) {
    int then_ms = MAX(now_ms - age_of(played, decider, index, now_ms), 0);
    return &played->engines[index].history[then_ms % HISTORY_MS];
}

/** @p running: believed there. */
static double delay_of(const play *played, const engine *at, const heard *view, int running,
                       int now_ms) {
    if (played->chosen_by == EXACT)
        return true_delay(at);
    if (played->chosen_by == LEAST_OUTSTANDING)
        return running;
    hs_engine_candidate candidate = {.slots = SLOTS, .running = running};
    if (played->chosen_by == BY_PACE)
        candidate.pace =
            hs_engine_pace_factor(&view->pace, played->speed.event_ms, (uint64_t)now_ms);
    return hs_engine_choice_cost(&candidate, &played->speed);
}

/** The engine that seems best; @p running: known of those that were looked at, else negative. */
static int best_engine(const play *played, int decider, int first, const int *running, int now_ms) {
    int best = first;
    double best_delay = INFINITY;
    for (int step = 0; step < ENGINES; step++) {
        int index = (first + step) % ENGINES;
        const heard *view = view_of(played, decider, index, now_ms);
        double delay = delay_of(played, &played->engines[index], view,
                                running[index] >= 0 ? running[index] : view->running, now_ms);
        if (delay < best_delay) {
            best = index;
            best_delay = delay;
        }
    }
    return best;
}

/** As a daemon chooses: by the words that it has, with their ages, and the engines' paces. */
static int spread_engine(const play *played, int decider, int first, const int *running,
                         int now_ms) {
    hs_engine_candidate view[ENGINES];
    hs_engine_turn turn = {.draw = g_rand_double(played->chance), .first = (size_t)first};
    for (int index = 0; index < ENGINES; index++) {
        const heard *word = view_of(played, decider, index, now_ms);
        bool is_told = running[index] >= 0;
        view[index] = (hs_engine_candidate){
            .slots = SLOTS,
            .running = is_told ? running[index] : word->running,
            .word_age_ms = is_told ? 0 : age_of(played, decider, index, now_ms),
            .pace = hs_engine_pace_factor(&word->pace, played->speed.event_ms, (uint64_t)now_ms)};
    }
    return hs_engine_spread_pick(view, ENGINES, &turn, &played->speed);
}

/** The arbiter tells what is at the chosen engine; where that is full the next is looked at. */
static int look_for_engine(const play *played, int now_ms) {
    int decider = g_rand_int_range(played->chance, 0, DECIDERS);
    int first = g_rand_int_range(played->chance, 0, ENGINES);
    int running[ENGINES];
    int best = -1;
    memset(running, -1, sizeof running);
    for (int look = 0; look < LOOKS_MOST; look++) {
        int next = played->chosen_by == BY_SPREAD
                       ? spread_engine(played, decider, first, running, now_ms)
                       : best_engine(played, decider, first, running, now_ms);
        if (next == best)
            break;
        best = next;
        running[best] = played->engines[best].count;
        if (running[best] < SLOTS)
            break;
    }
    return best;
}

static void ask(play *played, int now_ms) {
    engine *at = &played->engines[look_for_engine(played, now_ms)];
    CU_ASSERT_FATAL(at->count < QUEUE_MOST);
    at->runs[at->count++] = (run){.came_ms = now_ms, .began_ms = -1, .left_ms = RUN_MS};
    if (played->has_words) /* With the head of the answer. */
        hs_engine_pace_note_word(&at->pace, (uint32_t)(at->now / at->usual * 100), 0,
                                 (uint64_t)now_ms);
}

static void note_begin(play *played, const engine *at, run *begun, int now_ms) {
    begun->began_ms = now_ms;
    if (begun->came_ms < LEARN_MS || played->asked == WAITS_MOST)
        return;
    int wait_ms = now_ms - begun->came_ms + (int)(FIRST_MS * at->now);
    played->waits[played->asked++] = wait_ms;
    played->in_time += wait_ms <= TARGET_MS;
}

static void note_end(play *played, engine *at, const run *ended, int now_ms) {
    double event_ms = (double)(now_ms - ended->began_ms) / RUN_EVENTS;
    played->speed.event_ms += (event_ms - played->speed.event_ms) * 0.02;
    hs_engine_pace_note_events(&at->pace, RUN_EVENTS, (uint64_t)(now_ms - ended->began_ms),
                               (uint64_t)now_ms);
}

static void work(play *played, engine *at, int now_ms) {
    bool is_slow = at->now > at->usual;
    at->work_ms += at->count * at->now * RUN_MS;
    if (!played->are_equal && g_rand_double(played->chance) < (is_slow ? SLOW_ENDS : SLOW_BEGINS))
        at->now = at->usual * (is_slow ? 1 : SLOW_TIMES);
    for (int index = MIN(at->count, SLOTS) - 1; index >= 0; index--) {
        run *worked = &at->runs[index];
        if (worked->began_ms < 0)
            note_begin(played, at, worked, now_ms);
        worked->left_ms -= 1 / at->now;
        if (worked->left_ms > 0)
            continue;
        note_end(played, at, worked, now_ms);
        at->count--;
        memmove(worked, worked + 1, sizeof(run) * (size_t)(at->count - index));
    }
    at->history[now_ms % HISTORY_MS] = (heard){.running = at->count, .pace = at->pace};
}

static gint by_length(gconstpointer first, gconstpointer second) {
    return *(const int *)first - *(const int *)second;
}

static double share_in_time(const play *played) {
    return (double)played->in_time / played->asked;
}

static int wait_p99_ms(const play *played) {
    return played->waits[played->asked * 99 / 100];
}

/** Expected work at the engine that had most over the play, in times of the mean. */
static double most_work(const play *played) {
    double most = 0;
    double sum = 0;
    for (int index = 0; index < ENGINES; index++) {
        most = fmax(most, played->engines[index].work_ms);
        sum += played->engines[index].work_ms;
    }
    return most / (sum / ENGINES);
}

/** What engines can do together, in runs a ms. */
static double capacity_of(const play *played) {
    double runs_per_ms = 0;
    double slow_times = played->are_equal ? 1 : 1 + SLOW_SHARE * (SLOW_TIMES - 1);
    for (int index = 0; index < ENGINES; index++)
        runs_per_ms += SLOTS / (RUN_MS * played->engines[index].usual * slow_times);
    return runs_per_ms;
}

/** Play squares of a mean of @p load of what the engines can do. Free with g_free. */
static play *play_squares(policy chosen_by, int view_most_ms, bool are_equal, double load) {
    play *played = g_new0(play, 1);
    *played = (play){.chosen_by = chosen_by,
                     .view_most_ms = view_most_ms,
                     .has_words = !are_equal,
                     .are_equal = are_equal,
                     .chance = g_rand_new_with_seed(7),
                     .speed = {.tokens_per_ms = 60,
                               .run_ms = RUN_MS,
                               .online_run_ms = RUN_MS,
                               .first_byte_ms = FIRST_MS,
                               .event_ms = (double)RUN_MS / RUN_EVENTS}};
    for (int index = 0; index < ENGINES; index++) {
        engine *at = &played->engines[index];
        at->usual = are_equal ? 1 : paces[index % 3];
        at->now = at->usual;
    }
    double mean = capacity_of(played) * load;
    double due = 0;
    for (int now_ms = 0; now_ms < PLAY_MS; now_ms++) {
        for (int index = 0; index < ENGINES; index++)
            work(played, &played->engines[index], now_ms);
        due += mean * (now_ms % SQUARE_MS < HIGH_MS ? HIGH_LOAD : LOW_LOAD);
        while (due >= 1) {
            ask(played, now_ms);
            due--;
        }
    }
    g_rand_free(played->chance);
    qsort(played->waits, (size_t)played->asked, sizeof(int), by_length);
    g_debug("by %d views %d: in time %.3f p99 %d most work %.2f", chosen_by, view_most_ms,
            share_in_time(played), wait_p99_ms(played), most_work(played));
    return played;
}

/**
 * With fresh views squares at 1.2 times what all engines can do are borne within a tenth of what
 * exact knowledge of each engine's pace and queue gives, and better than by the service's pace.
 */
static void squares_are_borne_as_if_paces_were_known(void) {
    play *by_pace = play_squares(BY_PACE, 0, false, 0.65);
    play *exact = play_squares(EXACT, 0, false, 0.65);
    CU_ASSERT(share_in_time(by_pace) >= 0.9 * share_in_time(exact));
    CU_ASSERT(wait_p99_ms(by_pace) <= 1.1 * wait_p99_ms(exact));
    static const policy others[] = {BY_SERVICE, LEAST_OUTSTANDING};
    for (size_t index = 0; index < G_N_ELEMENTS(others); index++) {
        play *other = play_squares(others[index], 0, false, 0.65);
        CU_ASSERT(share_in_time(by_pace) > share_in_time(other));
        CU_ASSERT(wait_p99_ms(by_pace) < wait_p99_ms(other));
        CU_ASSERT(most_work(by_pace) < most_work(other));
        g_free(other);
    }
    g_free(by_pace);
    g_free(exact);
}

/** What words of up to 600 ms do, as daemons have them; played once, as long as tests run. */
static const play *play_old_words(void) {
    static play *by_words = NULL;
    if (by_words == NULL)
        by_words = play_squares(BY_SPREAD, 600, false, 0.65);
    return by_words;
}

/** With old words a tenth fewer at most are in time, and none is stampeded. */
static void squares_are_borne_with_old_words(void) {
    const play *by_words = play_old_words();
    play *exact = play_squares(EXACT, 0, false, 0.65);
    CU_ASSERT(share_in_time(by_words) >= 0.9 * share_in_time(exact));
    CU_ASSERT(most_work(by_words) <= MOST_WORK);
    g_free(exact);
}

static void longest_waits_with_old_words_are_nearly_the_shortest(void) {
    play *exact = play_squares(EXACT, 0, false, 0.65);
    CU_ASSERT(wait_p99_ms(play_old_words()) <= 1.1 * wait_p99_ms(exact));
    g_free(exact);
}

/** No stampede on the engine that looks best, with fresh views. */
static void no_engine_has_much_more_work_than_the_mean(void) {
    play *by_pace = play_squares(BY_PACE, 0, false, 0.65);
    CU_ASSERT(most_work(by_pace) <= MOST_WORK);
    g_free(by_pace);
}

/** Where all engines are alike each choice is the one by the service's pace. */
static void equal_engines_are_chosen_among_as_before(void) {
    for (int view_ms = 0; view_ms <= 600; view_ms += 600) {
        play *by_pace = play_squares(BY_PACE, view_ms, true, 0.65);
        play *by_service = play_squares(BY_SERVICE, view_ms, true, 0.65);
        CU_ASSERT_EQUAL(by_pace->asked, by_service->asked);
        CU_ASSERT_EQUAL(memcmp(by_pace->waits, by_service->waits, sizeof by_pace->waits), 0);
        for (int index = 0; index < ENGINES; index++)
            CU_ASSERT_EQUAL(by_pace->engines[index].work_ms, by_service->engines[index].work_ms);
        g_free(by_pace);
        g_free(by_service);
    }
}

const test_case pace_play_tests[] = {
    {"squares_are_borne_as_if_paces_were_known", squares_are_borne_as_if_paces_were_known},
    {"squares_are_borne_with_old_words", squares_are_borne_with_old_words},
    {"longest_waits_with_old_words_are_nearly_the_shortest",
     longest_waits_with_old_words_are_nearly_the_shortest},
    {"no_engine_has_much_more_work_than_the_mean", no_engine_has_much_more_work_than_the_mean},
    {"equal_engines_are_chosen_among_as_before", equal_engines_are_chosen_among_as_before},
    {NULL, NULL}};
