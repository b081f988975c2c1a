/**
 * @file test_warmup_play.c
 * Daemons that share the limits of cold engines, in virtual time: permits, arbiters that change,
 * slow and lost messages, partitions and suspended daemons. The decisions are those of
 * warmup_budget.h; this file adds messages, and each daemon's own delay until it notices a change.
 */
#include "fleet/warmup_budget.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <string.h>

#define MAX_DAEMONS 360
#define ENGINES 30
#define SEEDS 50
#define MAX_OUTAGES 32
/** The engines return at this time; the daemons have run for long. */
#define RETURN_MS 10000
#define COLD_MS 14000
#define END_MS (RETURN_MS + COLD_MS)
#define TICK_MS 240
#define CUT_FROM_MS (RETURN_MS + 1500)
#define CUT_UNTIL_MS (RETURN_MS + 10000)
#define SUSPENDED_MS 4000
#define UNANSWERED_MS 700
#define BURST_MS 1000

typedef enum { CALM, CUT, KILLS, SUSPENSION, EVERYTHING, CONDITIONS } condition;

/** Time for which a daemon does not respond. */
typedef struct {
    uint64_t from_ms;
    uint64_t until_ms;
    bool is_killed;
} outage;

typedef struct {
    outage outages[MAX_OUTAGES];
    uint32_t outage_count;
    bool is_far; /**< On the other side of the cut. */
    uint64_t ticked_ms;
    hs_warmup_clock clock;
    hs_warmup_share share;
    hs_warmup_budget budgets[ENGINES];
    uint64_t requested_ms[ENGINES];
} play_daemon;

typedef enum { WANT, REQUEST, ANSWER } event_kind;

typedef struct {
    event_kind kind;
    uint16_t daemon;
    uint16_t engine;
    uint16_t arbiter;
    hs_warmup_verdict verdict;
    uint64_t requested_ms;
} event;

typedef struct {
    GRand *random;
    condition condition;
    double per_s;
    uint16_t count;
    play_daemon daemons[MAX_DAEMONS];
    uint16_t ranks[ENGINES][MAX_DAEMONS]; /**< Daemons by rank for the engine. */
    GArray *events[END_MS + 1];           /**< of event, by time; NULL: none. */
    GArray *arrivals[ENGINES];            /**< of uint64_t: when requests reached the engine. */
} play;

static bool has_cut(const play *game) {
    return game->condition == CUT || game->condition == EVERYTHING;
}

static void schedule(play *game, uint64_t at_ms, const event *scheduled) {
    if (at_ms >= END_MS)
        return;
    if (game->events[at_ms] == NULL)
        game->events[at_ms] = g_array_new(FALSE, FALSE, sizeof(event));
    g_array_append_val(game->events[at_ms], *scheduled);
}

/** Mostly some ms, at times up to HS_WARMUP_MAX_DELAY_MS. */
static uint64_t draw_delay_ms(play *game) {
    bool is_slow = g_rand_int_range(game->random, 0, 20) == 0;
    return (uint64_t)g_rand_int_range(game->random, 1, is_slow ? HS_WARMUP_MAX_DELAY_MS : 4);
}

/** The end of the outage in which the daemon is; 0: it responds. */
static uint64_t outage_end_ms(const play_daemon *one, uint64_t now_ms) {
    for (uint32_t index = 0; index < one->outage_count; index++)
        if (now_ms >= one->outages[index].from_ms && now_ms < one->outages[index].until_ms)
            return one->outages[index].until_ms;
    return 0;
}

static bool is_cut(const play *game, uint16_t one, uint16_t other, uint64_t now_ms) {
    return has_cut(game) && now_ms >= CUT_FROM_MS && now_ms < CUT_UNTIL_MS &&
           game->daemons[one].is_far != game->daemons[other].is_far;
}

/** When an observer takes the other daemon for lost: probes and suspicion take 0.6 to 1.6 s. */
static uint64_t detection_ms(uint16_t observer, uint16_t other) {
    return 600 + (observer * 7919U + other * 104729U) % 1000;
}

/** When an observer learns that the other daemon is alive again. */
static uint64_t learn_ms(uint16_t observer, uint16_t other) {
    return 50 + (observer * 6151U + other * 3079U) % 1500;
}

static bool is_noticed(uint16_t observer, uint16_t other, const outage *lost, uint64_t sooner_ms,
                       uint64_t now_ms) {
    uint64_t detect_ms = detection_ms(observer, other);
    return lost->until_ms - lost->from_ms > detect_ms &&
           now_ms + sooner_ms >= lost->from_ms + detect_ms &&
           now_ms < lost->until_ms + learn_ms(observer, other);
}

/**
 * Since when the observer takes the other daemon for lost, or suspects it if @p sooner_ms is above
 * 0; 0: it takes it for live.
 */
static uint64_t lost_since_ms(const play *game, uint16_t observer, uint16_t other,
                              uint64_t sooner_ms, uint64_t now_ms) {
    const play_daemon *seen = &game->daemons[other];
    outage cut = {.from_ms = CUT_FROM_MS, .until_ms = CUT_UNTIL_MS};
    if (observer == other)
        return 0;
    if (has_cut(game) && game->daemons[observer].is_far != seen->is_far &&
        is_noticed(observer, other, &cut, sooner_ms, now_ms))
        return cut.from_ms + detection_ms(observer, other);
    for (uint32_t index = 0; index < seen->outage_count; index++)
        if (is_noticed(observer, other, &seen->outages[index], sooner_ms, now_ms))
            return seen->outages[index].from_ms + detection_ms(observer, other);
    return 0;
}

static uint16_t arbiter_of(const play *game, uint16_t observer, uint16_t engine, uint64_t now_ms) {
    uint32_t rank = 0;
    while (rank + 1 < game->count &&
           lost_since_ms(game, observer, game->ranks[engine][rank], 0, now_ms) != 0)
        rank++;
    return game->ranks[engine][rank];
}

static void tick(play *game, uint16_t id, uint64_t now_ms) {
    play_daemon *one = &game->daemons[id];
    hs_warmup_members members = {.known = game->count};
    hs_warmup_clock_note(&one->clock, now_ms);
    if (one->share.is_known && now_ms < one->ticked_ms + TICK_MS)
        return;
    one->ticked_ms = now_ms;
    for (uint16_t other = 0; other < game->count; other++)
        members.live += lost_since_ms(game, id, other, 400, now_ms) == 0;
    hs_warmup_share_update(&one->share, &members, now_ms);
}

static void decide(play *game, const event *request, uint64_t now_ms) {
    play_daemon *arbiter = &game->daemons[request->arbiter];
    event answer = *request;
    answer.kind = ANSWER;
    answer.verdict = (hs_warmup_verdict){.retry_ms = 200};
    uint64_t open_ms = 0;
    tick(game, request->arbiter, now_ms);
    for (uint32_t rank = 0; game->ranks[request->engine][rank] != request->arbiter; rank++) {
        uint64_t lost_ms =
            lost_since_ms(game, request->arbiter, game->ranks[request->engine][rank], 0, now_ms);
        open_ms = MAX(open_ms, lost_ms == 0 ? 0 : lost_ms + HS_WARMUP_SETTLE_MS);
    }
    if (arbiter_of(game, request->arbiter, request->engine, now_ms) == request->arbiter)
        answer.verdict = hs_warmup_budget_request(&arbiter->budgets[request->engine],
                                                  game->per_s * arbiter->share.share,
                                                  MAX(open_ms, arbiter->clock.open_ms), now_ms);
    if (g_rand_int_range(game->random, 0, 100) > 0) /* Lost otherwise. */
        schedule(game, now_ms + draw_delay_ms(game), &answer);
}

static void want(play *game, const event *wanted, uint64_t now_ms) {
    if (game->condition == EVERYTHING && now_ms / BURST_MS % 2 != 0) { /* Bursts, then nothing. */
        schedule(game, (now_ms / BURST_MS + 1) * BURST_MS, wanted);
        return;
    }
    event request = *wanted;
    request.kind = REQUEST;
    request.requested_ms = now_ms;
    request.arbiter = arbiter_of(game, wanted->daemon, wanted->engine, now_ms);
    game->daemons[wanted->daemon].requested_ms[wanted->engine] = now_ms;
    schedule(game, now_ms + draw_delay_ms(game), &request);
    event unanswered = *wanted;
    unanswered.requested_ms = now_ms;
    schedule(game, now_ms + UNANSWERED_MS, &unanswered);
}

/** Sends the request, or requests another permit when the arbiter said. */
static void use_answer(play *game, const event *answer, uint64_t now_ms) {
    play_daemon *one = &game->daemons[answer->daemon];
    event again = {.kind = WANT, .daemon = answer->daemon, .engine = answer->engine};
    uint64_t requested_ms = one->requested_ms[answer->engine];
    if (requested_ms == 0)
        return;
    one->requested_ms[answer->engine] = 0; /* Answers have no number to match them by. */
    if (answer->verdict.is_granted && now_ms < requested_ms + HS_WARMUP_PERMIT_VALID_MS) {
        uint64_t arrives_ms = now_ms + draw_delay_ms(game);
        g_array_append_val(game->arrivals[answer->engine], arrives_ms);
    }
    uint64_t pause_ms = answer->verdict.is_granted ? 0 : answer->verdict.retry_ms;
    schedule(game, now_ms + 1 + pause_ms + (uint64_t)g_rand_int_range(game->random, 0, 50), &again);
}

static void handle(play *game, const event *handled, uint64_t now_ms) {
    uint16_t receiver = handled->kind == REQUEST ? handled->arbiter : handled->daemon;
    play_daemon *one = &game->daemons[receiver];
    uint64_t down_until_ms = outage_end_ms(one, now_ms);
    if (handled->kind != WANT && is_cut(game, handled->daemon, handled->arbiter, now_ms))
        return;
    bool is_killed = false;
    for (uint32_t index = 0; index < one->outage_count; index++)
        is_killed |= one->outages[index].is_killed && one->outages[index].until_ms == down_until_ms;
    if (down_until_ms != 0) { /* A suspended daemon reads its messages late. */
        if (handled->kind == WANT || !is_killed)
            schedule(game, down_until_ms + 1, handled);
        return;
    }
    uint64_t requested_ms = one->requested_ms[handled->engine];
    if (handled->kind == WANT && requested_ms != handled->requested_ms)
        return; /* The request was answered. */
    if (handled->kind == WANT)
        want(game, handled, now_ms);
    else if (handled->kind == REQUEST)
        decide(game, handled, now_ms);
    else
        use_answer(game, handled, now_ms);
}

static void add_outage(play *game, uint16_t id, uint64_t from_ms, uint64_t length_ms,
                       bool is_killed) {
    play_daemon *one = &game->daemons[id];
    if (one->outage_count < MAX_OUTAGES && outage_end_ms(one, from_ms) == 0)
        one->outages[one->outage_count++] = (outage){from_ms, from_ms + length_ms, is_killed};
}

/** Every second an arbiter is killed, for 2 s; one is suspended for 4 s. */
static void add_faults(play *game) {
    bool has_all = game->condition == EVERYTHING;
    if (game->condition == SUSPENSION || has_all)
        add_outage(game, game->ranks[0][0], RETURN_MS + 3000, SUSPENDED_MS, false);
    for (uint64_t at_ms = RETURN_MS - 2000; at_ms < END_MS; at_ms += 1000)
        if (game->condition == KILLS || has_all)
            add_outage(game, game->ranks[g_rand_int_range(game->random, 0, ENGINES)][0], at_ms,
                       2000, true);
}

static play *make_play(uint32_t seed, uint16_t count) {
    static const double rates[] = {2, 4, 11};
    play *game = g_new0(play, 1);
    game->random = g_rand_new_with_seed(seed);
    game->condition = (condition)(seed % CONDITIONS);
    game->per_s = rates[seed % G_N_ELEMENTS(rates)];
    game->count = count;
    for (uint16_t engine = 0; engine < ENGINES; engine++) {
        game->arrivals[engine] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        for (uint16_t id = 0; id < count; id++) {
            uint32_t at = (uint32_t)g_rand_int_range(game->random, 0, id + 1);
            game->ranks[engine][id] = game->ranks[engine][at];
            game->ranks[engine][at] = id;
            event wanted = {.kind = WANT, .daemon = id, .engine = engine};
            schedule(game, RETURN_MS + (uint64_t)g_rand_int_range(game->random, 0, 200), &wanted);
        }
    }
    for (uint16_t id = 0; id < count; id++)
        game->daemons[id].is_far = id % 2 == 0;
    add_faults(game);
    return game;
}

/** Restarts killed daemons, and lets all others note that they run. */
static void run_daemons(play *game, uint64_t now_ms) {
    for (uint16_t id = 0; id < game->count; id++) {
        play_daemon *one = &game->daemons[id];
        for (uint32_t index = 0; index < one->outage_count; index++)
            if (one->outages[index].is_killed && one->outages[index].until_ms == now_ms) {
                one->clock = (hs_warmup_clock){0};
                one->share = (hs_warmup_share){0};
                memset(one->budgets, 0, sizeof one->budgets);
            }
        if (outage_end_ms(one, now_ms) == 0)
            hs_warmup_clock_note(&one->clock, now_ms);
    }
}

static void run(play *game) {
    for (uint64_t now_ms = 1000; now_ms < END_MS; now_ms++) {
        if (now_ms % 100 == 0)
            run_daemons(game, now_ms);
        GArray *events = game->events[now_ms];
        for (guint index = 0; events != NULL && index < events->len; index++) {
            event handled = g_array_index(events, event, index);
            handle(game, &handled, now_ms);
            events = game->events[now_ms];
        }
    }
}

static gint compare_times(gconstpointer one, gconstpointer other) {
    uint64_t first = *(const uint64_t *)one;
    uint64_t second = *(const uint64_t *)other;
    return (first > second) - (first < second);
}

/** Most requests that reached the engine in any interval of one second. */
static uint32_t most_in_a_second(GArray *arrivals) {
    uint32_t most = 0;
    guint oldest = 0;
    g_array_sort(arrivals, compare_times);
    for (guint index = 0; index < arrivals->len; index++) {
        while (g_array_index(arrivals, uint64_t, oldest) + 1000 <=
               g_array_index(arrivals, uint64_t, index))
            oldest++;
        most = MAX(most, index - oldest + 1);
    }
    return most;
}

static void free_play(play *game) {
    for (int at_ms = 0; at_ms <= END_MS; at_ms++)
        if (game->events[at_ms] != NULL)
            g_array_free(game->events[at_ms], TRUE);
    for (int engine = 0; engine < ENGINES; engine++)
        g_array_free(game->arrivals[engine], TRUE);
    g_rand_free(game->random);
    g_free(game);
}

/** Plays all seeds. Prints the lowest utilisation and the highest use of the bound. */
static void play_seeds(uint16_t count) {
    static const double targets[CONDITIONS] = {0.9, 0.4, 0.4, 0.7, 0.2};
    double lowest[CONDITIONS] = {1, 1, 1, 1, 1};
    double highest[CONDITIONS] = {0};
    for (uint32_t seed = 0; seed < SEEDS; seed++) {
        play *game = make_play(seed, count);
        uint32_t total = 0;
        run(game);
        for (int engine = 0; engine < ENGINES; engine++) {
            double used = most_in_a_second(game->arrivals[engine]) / (game->per_s * 1.5 + 5);
            highest[game->condition] = MAX(highest[game->condition], used);
            total += game->arrivals[engine]->len;
        }
        double utilisation = total / (game->per_s * COLD_MS / 1000 * ENGINES);
        lowest[game->condition] = MIN(lowest[game->condition], utilisation);
        free_play(game);
    }
    for (int index = 0; index < CONDITIONS; index++) {
        g_print("# daemons=%u condition=%d utilisation=%.3f bound_used=%.3f\n", count, index,
                lowest[index], highest[index]);
        CU_ASSERT(highest[index] <= 1);
        CU_ASSERT(lowest[index] >= targets[index]);
    }
}

/** Guards against an engine that gets more than it can handle, and against one that idles. */
static void limit_holds_at_59_daemons(void) {
    play_seeds(59);
}

/** The same where most daemons ask often for the same permit. */
static void limit_holds_at_360_daemons(void) {
    play_seeds(360);
}

const test_case warmup_play_tests[] = {{"limit_holds_at_59_daemons", limit_holds_at_59_daemons},
                                       {"limit_holds_at_360_daemons", limit_holds_at_360_daemons},
                                       {NULL, NULL}};
