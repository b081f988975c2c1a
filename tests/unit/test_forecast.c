/**
 * @file test_forecast.c  Room before a wave: the forecast, and what it costs items beside what it
 * gives online requests.
 */
#include "jobs/demand_forecast.h"
#include "jobs/item_choice.h"
#include "jobs/job_capacity.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>

#define TICK_MS 10
#define PASS_MS 100
#define DAY_MS 90000
#define COUNTED_FROM_MS 15000
#define ONLINE_RUN_MS 900
#define DUE_MS 18000
#define STEP_ASIDE_PAUSE_MS 100
#define READ_AGAIN_MS 150
#define WAVE_BEGIN_MS 300
#define ITEMS_MOST 8192

/** What items that are not pressing leave free. */
typedef enum {
    NOTHING,        /**< What online requests do not hold now is taken. */
    RECENT_MAXIMUM, /**< The most of the last 30 s, whatever came back. */
    WHOLE_RUN,      /**< What is expected within the item's run. */
    NEXT_PIECE,     /**< What is expected within the next piece of it: the product's. */
    POLICIES
} room_policy;

/** A form of online demand, in slots. */
typedef double (*demand_form)(uint64_t now_ms);

typedef struct {
    const char *name;
    demand_form demand;
    bool (*is_wave_begin)(uint64_t now_ms);
    double items_a_s;
    uint32_t slots;
    bool has_heap; /**< Six times as many items for 3 s. */
} play_terms;

typedef struct {
    double due_ms;
    double needs_ms;
    uint64_t may_start_ms;
    bool is_running;
    bool has_ended;
} play_item;

typedef struct {
    uint32_t begins;
    uint32_t begins_free;
    uint32_t items;
    uint32_t items_in_time;
    uint32_t cuts;
    double idle;
    double room;
} play_outcome;

typedef struct {
    const play_terms *terms;
    room_policy policy;
    GRand *chance;
    play_item items[ITEMS_MOST];
    size_t item_count;
    uint32_t online;
    uint32_t batch;
    uint32_t ending[ONLINE_RUN_MS / TICK_MS];
    double owed_items;
    hs_demand_forecast forecast;
    play_outcome outcome;
} play;

static double squares(uint64_t now_ms) {
    return now_ms % 5800 < 3400 ? 95 : 460;
}
static bool squares_begin(uint64_t now_ms) {
    return now_ms % 5800 >= 3400 && now_ms % 5800 < 3400 + WAVE_BEGIN_MS;
}
static double ramps(uint64_t now_ms) {
    uint64_t at_ms = now_ms % 10000;
    return at_ms < 5000 ? 74 + 286.0 * (double)at_ms / 5000
                        : 360 - 286.0 * (double)(at_ms - 5000) / 5000;
}
static bool ramps_rise(uint64_t now_ms) {
    return now_ms % 10000 < 5000;
}
static double spike(uint64_t now_ms) {
    return now_ms % 40000 >= 38000 ? 360 : 150;
}
static bool spike_begins(uint64_t now_ms) {
    return now_ms % 40000 >= 38000 && now_ms % 40000 < 38000 + WAVE_BEGIN_MS;
}
static double constant(uint64_t now_ms) {
    (void)now_ms;
    return 240;
}
static bool always(uint64_t now_ms) {
    (void)now_ms;
    return true;
}
/** Squares that end for good half-way. */
static double ended_squares(uint64_t now_ms) {
    return now_ms < 45000 ? squares(now_ms) : 95;
}

static double rank_of(const play_item *item, double now_ms) {
    return item->due_ms - now_ms + item->needs_ms;
}

/** The item that can wait longest steps aside. */
static void cut_one(play *state, uint64_t now_ms) {
    play_item *next = NULL;
    for (size_t index = 0; index < state->item_count; index++) {
        play_item *item = &state->items[index];
        if (item->is_running && (next == NULL || rank_of(item, 0) > rank_of(next, 0)))
            next = item;
    }
    if (next == NULL)
        return;
    next->is_running = false;
    next->needs_ms += READ_AGAIN_MS;
    next->may_start_ms = now_ms + STEP_ASIDE_PAUSE_MS;
    state->batch--;
    state->outcome.cuts += now_ms >= COUNTED_FROM_MS;
}

static void come_online(play *state, uint64_t now_ms) {
    size_t place = now_ms / TICK_MS % (ONLINE_RUN_MS / TICK_MS);
    state->online -= state->ending[place];
    double wanted = state->terms->demand(now_ms) / ONLINE_RUN_MS * TICK_MS;
    uint32_t coming = (uint32_t)wanted + (g_rand_double(state->chance) < wanted - floor(wanted));
    state->ending[place] = coming;
    bool is_begin = state->terms->is_wave_begin(now_ms) && now_ms >= COUNTED_FROM_MS;
    for (uint32_t index = 0; index < coming; index++) {
        bool is_free = state->online + state->batch < state->terms->slots;
        if (!is_free && state->batch > 0)
            cut_one(state, now_ms);
        state->online++;
        state->outcome.begins += is_begin;
        state->outcome.begins_free += is_begin && is_free;
    }
}

static void come_items(play *state, uint64_t now_ms) {
    bool is_heap = state->terms->has_heap && now_ms >= 30000 && now_ms < 33000;
    state->owed_items += state->terms->items_a_s * (is_heap ? 6 : 1) * TICK_MS / 1000;
    while (state->owed_items >= 10) { /* A job has ten. */
        for (int index = 0; index < 10 && state->item_count < ITEMS_MOST; index++)
            state->items[state->item_count++] =
                (play_item){.due_ms = (double)now_ms + DUE_MS,
                            .needs_ms = g_rand_double_range(state->chance, 3000, 9000)};
        state->owed_items -= 10;
    }
}

static void run_items(play *state, uint64_t now_ms) {
    for (size_t index = 0; index < state->item_count; index++) {
        play_item *item = &state->items[index];
        if (!item->is_running)
            continue;
        item->needs_ms -= TICK_MS;
        if (item->needs_ms > 0)
            continue;
        item->is_running = false;
        item->has_ended = true;
        state->batch--;
        bool counts = item->due_ms >= COUNTED_FROM_MS + DUE_MS && item->due_ms < DAY_MS;
        state->outcome.items_in_time += counts && (double)now_ms <= item->due_ms;
    }
}

static int by_rank(const void *first, const void *second) {
    double one = rank_of(*(play_item *const *)first, 0);
    double other = rank_of(*(play_item *const *)second, 0);
    return (one > other) - (one < other);
}

static double recent_maximum(const hs_demand_forecast *forecast) {
    double highest = 0;
    for (size_t index = 0; index < HS_DEMAND_STEPS; index++)
        highest = fmax(highest, forecast->online[index]);
    return highest;
}

static double expected(const play *state, const hs_demand_outlook *outlook, double needs_ms) {
    double soon = 0;
    if (state->policy == RECENT_MAXIMUM)
        soon = recent_maximum(&state->forecast);
    else if (state->policy == WHOLE_RUN)
        soon = hs_demand_outlook_expect(outlook, (uint64_t)needs_ms);
    else if (state->policy == NEXT_PIECE)
        soon = hs_demand_outlook_expect(outlook, HS_ITEM_PIECE_MS);
    return fmax(soon, state->online);
}

/** One pass of an owner that has all partitions. */
static void start_items(play *state, uint64_t now_ms) {
    static play_item *open[ITEMS_MOST];
    static hs_choice_item choice[ITEMS_MOST];
    size_t count = 0;
    for (size_t index = 0; index < state->item_count; index++)
        if (!state->items[index].has_ended)
            open[count++] = &state->items[index];
    qsort(open, count, sizeof(void *), by_rank);
    for (size_t index = 0; index < count; index++)
        choice[index] = (hs_choice_item){.left_ms = (int64_t)open[index]->due_ms - (int64_t)now_ms,
                                         .remaining_ms = (uint64_t)fmax(open[index]->needs_ms, 1)};
    hs_demand_outlook outlook = hs_demand_forecast_read(&state->forecast);
    double level = fmax(state->terms->slots - outlook.mean, 1) * 0.9;
    bool is_scarce = hs_item_choice_is_scarce(choice, count, level);
    for (size_t index = 0; index < count; index++) {
        play_item *item = open[index];
        double kept = is_scarce ? state->online : expected(state, &outlook, item->needs_ms);
        if (item->is_running || now_ms < item->may_start_ms ||
            state->batch + kept + 1 > state->terms->slots)
            continue;
        item->is_running = true;
        state->batch++;
    }
}

static play_outcome run_play(const play_terms *terms, room_policy policy) {
    play *state = g_new0(play, 1);
    state->terms = terms;
    state->policy = policy;
    state->chance = g_rand_new_with_seed(7);
    for (uint64_t now_ms = TICK_MS; now_ms < DAY_MS; now_ms += TICK_MS) {
        come_online(state, now_ms);
        come_items(state, now_ms);
        run_items(state, now_ms);
        if (now_ms % PASS_MS == 0) {
            hs_demand_forecast_note(&state->forecast, state->online, now_ms);
            start_items(state, now_ms);
        }
        if (now_ms < COUNTED_FROM_MS)
            continue;
        state->outcome.room += terms->slots;
        state->outcome.idle += fmax((double)terms->slots - state->online - state->batch, 0);
    }
    for (size_t index = 0; index < state->item_count; index++)
        state->outcome.items += state->items[index].due_ms >= COUNTED_FROM_MS + DUE_MS &&
                                state->items[index].due_ms < DAY_MS;
    play_outcome outcome = state->outcome;
    g_rand_free(state->chance);
    g_free(state);
    return outcome;
}

static double free_share(const play_outcome *outcome) {
    return (double)outcome->begins_free / outcome->begins;
}
static double in_time(const play_outcome *outcome) {
    return (double)outcome->items_in_time / outcome->items;
}
static double cuts_an_item(const play_outcome *outcome) {
    return (double)outcome->cuts / outcome->items;
}

enum { SQUARES, HEAP, FIFTH_LOST, ENDED_SQUARES, RAMPS };

static const play_terms plays[] = {
    [SQUARES] = {"squares", squares, squares_begin, 28, 480, false},
    [HEAP] = {"squares, a heap", squares, squares_begin, 28, 480, true},
    [FIFTH_LOST] = {"squares, a fifth lost", squares, squares_begin, 28, 384, false},
    [ENDED_SQUARES] = {"ended squares", ended_squares, squares_begin, 28, 480, false},
    [RAMPS] = {"ramps", ramps, ramps_rise, 28, 480, false},
    {"single spikes", spike, spike_begins, 28, 480, false},
    {"constant", constant, always, 28, 480, false},
};

static play_outcome outcomes[G_N_ELEMENTS(plays)][POLICIES];

static void play_all(void) {
    static bool is_played;
    if (is_played)
        return;
    is_played = true;
    for (size_t index = 0; index < G_N_ELEMENTS(plays); index++)
        for (room_policy policy = NOTHING; policy < POLICIES; policy++) {
            play_outcome *outcome = &outcomes[index][policy];
            *outcome = run_play(&plays[index], policy);
            if (g_getenv("FORECAST_TABLE") != NULL)
                printf("%-22s policy %d free %.3f cuts/item %.2f in time %.3f idle %.3f\n",
                       plays[index].name, policy, free_share(outcome), cuts_an_item(outcome),
                       in_time(outcome), outcome->idle / outcome->room);
        }
}

/** Before waves that come again requests find room, and fewer items are cut. */
static void room_before_waves_is_kept(void) {
    play_all();
    CU_ASSERT_TRUE(free_share(&outcomes[SQUARES][NEXT_PIECE]) >= 0.97);
    CU_ASSERT_TRUE(outcomes[SQUARES][NEXT_PIECE].cuts < outcomes[SQUARES][NOTHING].cuts);
}

/** No form of demand without a heap costs items, and none requests or cuts by chance's measure. */
static void room_before_waves_costs_no_item(void) {
    play_all();
    for (size_t index = 0; index < G_N_ELEMENTS(plays); index++) {
        const play_outcome *before = &outcomes[index][NOTHING];
        const play_outcome *after = &outcomes[index][NEXT_PIECE];
        CU_ASSERT_TRUE(free_share(after) >= free_share(before) - 0.005);
        CU_ASSERT_TRUE(in_time(after) >= in_time(before) - (index == HEAP ? 0.005 : 0));
        CU_ASSERT_TRUE(after->cuts <= before->cuts + 0.02 * before->items);
    }
}

/** After a heap, too, as many items as without a forecast end in time. */
static void room_costs_no_item_after_a_heap(void) {
    play_all();
    CU_ASSERT_TRUE(in_time(&outcomes[HEAP][NEXT_PIECE]) >= in_time(&outcomes[HEAP][NOTHING]));
}

/** No form of demand but ramps has more items cut. */
static void room_costs_no_cut(void) {
    play_all();
    for (size_t index = 0; index < G_N_ELEMENTS(plays); index++)
        if (index != RAMPS)
            CU_ASSERT_TRUE(outcomes[index][NEXT_PIECE].cuts <= outcomes[index][NOTHING].cuts);
}

/** Nor have ramps. */
static void room_costs_no_cut_on_ramps(void) {
    play_all();
    CU_ASSERT_TRUE(outcomes[RAMPS][NEXT_PIECE].cuts <= outcomes[RAMPS][NOTHING].cuts);
}

/** Where waves come again a third of the cuts is left. */
static void room_before_waves_saves_two_of_three_cuts(void) {
    play_all();
    CU_ASSERT_TRUE(3 * outcomes[SQUARES][NEXT_PIECE].cuts <= outcomes[SQUARES][NOTHING].cuts);
}

/** After a heap of six times 0.90 of the items end in time. */
static void items_after_a_heap_end_in_time(void) {
    play_all();
    CU_ASSERT_TRUE(in_time(&outcomes[HEAP][NEXT_PIECE]) >= 0.90);
}

/** Online slots from one form of demand, every 100 ms from @p from_ms to @p to_ms. */
static void note_demand(hs_demand_forecast *forecast, demand_form demand, uint64_t from_ms,
                        uint64_t to_ms) {
    for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += PASS_MS)
        hs_demand_forecast_note(forecast, demand(now_ms), now_ms);
}

static double expect_at(const hs_demand_forecast *forecast, uint64_t ahead_ms) {
    hs_demand_outlook outlook = hs_demand_forecast_read(forecast);
    return hs_demand_outlook_expect(&outlook, ahead_ms);
}

/** Without a past, without waves, and after one wave only: what is held now. */
static void nothing_is_expected_that_never_came_back(void) {
    hs_demand_forecast forecast = {0};
    CU_ASSERT_EQUAL(expect_at(&forecast, 5000), 0);
    note_demand(&forecast, constant, 100000, 120000);
    CU_ASSERT_EQUAL(expect_at(&forecast, 5000), 240);
    hs_demand_forecast once = {0};
    note_demand(&once, squares, 5800 * 10, 5800 * 11 + 1000); /* One wave, then a trough. */
    CU_ASSERT_EQUAL(expect_at(&once, 5000), 95);
}

/** A wave that came before is expected from the shortest time on that it ever took. */
static void a_wave_is_expected_before_it_comes(void) {
    hs_demand_forecast forecast = {0};
    note_demand(&forecast, squares, 58000, 58000 + 5 * 5800 + 1000);
    CU_ASSERT_EQUAL(expect_at(&forecast, 1000), 95);
    CU_ASSERT_EQUAL(expect_at(&forecast, 5000), 460);
    note_demand(&forecast, squares, 58000 + 5 * 5800 + 1000, 58000 + 5 * 5800 + 2600);
    CU_ASSERT_EQUAL(expect_at(&forecast, 1000), 460);
}

/** One trough later than it ever came it is expected no more, until it has come again. */
static void a_wave_that_stays_away_costs_one_trough(void) {
    hs_demand_forecast forecast = {0};
    note_demand(&forecast, ended_squares, 20000, 45000 + 3400);
    CU_ASSERT_EQUAL(expect_at(&forecast, 1000), 460);
    note_demand(&forecast, ended_squares, 45000 + 3400, 45000 + 2 * 3400);
    CU_ASSERT_TRUE(hs_demand_forecast_read(&forecast).has_failed);
    CU_ASSERT_EQUAL(expect_at(&forecast, 1000), 95);
}

/** A daemon that stood still for longer than is remembered begins without a past. */
static void a_long_pause_begins_anew(void) {
    hs_demand_forecast forecast = {0};
    note_demand(&forecast, squares, 58000, 58000 + 5 * 5800);
    hs_demand_forecast_note(&forecast, 7, 200000);
    CU_ASSERT_EQUAL(expect_at(&forecast, 5000), 7);
    hs_demand_forecast_note(&forecast, 9, 200090);
    hs_demand_forecast_note(&forecast, 8, 200095); /* The highest of a step counts. */
    CU_ASSERT_EQUAL(expect_at(&forecast, 5000), 9);
}

/** Items wait for room only while they can all end in time in @p slots. */
static void room_is_scarce_where_one_would_end_late(void) {
    hs_choice_item items[] = {{.left_ms = 12000, .remaining_ms = 4000},
                              {.left_ms = 12000, .remaining_ms = 4000},
                              {.left_ms = 30000, .remaining_ms = 4000}};
    CU_ASSERT_FALSE(hs_item_choice_is_scarce(items, 3, 10));
    CU_ASSERT_FALSE(hs_item_choice_is_scarce(items, 3, 1));
    CU_ASSERT_FALSE(hs_item_choice_is_scarce(items, 3, 0.5)); /* One at least. */
    CU_ASSERT_FALSE(hs_item_choice_is_scarce(items, 0, 1));
    items[1].left_ms = 8600; /* 8,000 of it would be used. */
    CU_ASSERT_TRUE(hs_item_choice_is_scarce(items, 3, 1));
    CU_ASSERT_FALSE(hs_item_choice_is_scarce(items, 3, 2));
    items[2].remaining_ms = 0; /* It is not known. */
    CU_ASSERT_TRUE(hs_item_choice_is_scarce(items, 3, 10));
    items[2].remaining_ms = 4000;
    items[2].is_left_out = true;
    CU_ASSERT_TRUE(hs_item_choice_is_scarce(items, 3, 10));
}

const test_case forecast_tests[] = {
    {"room_before_waves_is_kept", room_before_waves_is_kept},
    {"room_before_waves_costs_no_item", room_before_waves_costs_no_item},
    {"room_costs_no_item_after_a_heap", room_costs_no_item_after_a_heap},
    {"room_costs_no_cut", room_costs_no_cut},
    {"room_costs_no_cut_on_ramps", room_costs_no_cut_on_ramps},
    {"room_before_waves_saves_two_of_three_cuts", room_before_waves_saves_two_of_three_cuts},
    {"items_after_a_heap_end_in_time", items_after_a_heap_end_in_time},
    {"nothing_is_expected_that_never_came_back", nothing_is_expected_that_never_came_back},
    {"a_wave_is_expected_before_it_comes", a_wave_is_expected_before_it_comes},
    {"a_wave_that_stays_away_costs_one_trough", a_wave_that_stays_away_costs_one_trough},
    {"a_long_pause_begins_anew", a_long_pause_begins_anew},
    {"room_is_scarce_where_one_would_end_late", room_is_scarce_where_one_would_end_late},
    {NULL, NULL}};
