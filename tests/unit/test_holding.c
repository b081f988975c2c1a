/**
 * @file test_holding.c
 * Held requests and the places that wake them: in order, one a place, none lost.
 */
#include "base/clock.h"
#include "online/held_requests.h"
#include "tests/unit/unit_tests.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HELD 200
/** Longer in ms than the test lasts: only a place ends a pause. */
#define PAUSE_MS 20000

typedef struct {
    hs_held_requests *held;
    GMutex lock;
    GCond placed;
    uint64_t order[HELD]; /**< Arrivals of those that were woken, as they were. */
    guint woken;
} waiting_room;

typedef struct {
    waiting_room *room;
    hs_fair_claim claim;
    bool takes_nothing; /**< It leaves without the place that woke it. */
} waiter;

static gpointer wait_for_place(gpointer data) {
    const waiter *self = data;
    waiting_room *room = self->room;
    hs_held_request *request = hs_held_requests_enter(room->held, "service", &self->claim);
    bool is_woken = hs_held_requests_wait(room->held, request, &self->claim, -1, PAUSE_MS);
    hs_held_requests_leave(room->held, request, is_woken && !self->takes_nothing);
    g_mutex_lock(&room->lock);
    if (is_woken)
        room->order[room->woken++] = self->claim.arrived_ms;
    g_cond_signal(&room->placed);
    g_mutex_unlock(&room->lock);
    return NULL;
}

/** Free a place and wait until its request is gone. */
static void free_place(waiting_room *room, guint number) {
    while (!hs_held_requests_wake(room->held, "service"))
        hs_clock_sleep_ms(1);
    hs_pause pause = hs_clock_pause_begin(PAUSE_MS);
    bool is_waiting = true;
    g_mutex_lock(&room->lock);
    while (room->woken < number && is_waiting)
        is_waiting = hs_clock_pause_wait(&pause, &room->placed, &room->lock);
    g_mutex_unlock(&room->lock);
}

/** 200 are held, every other one past its objective; places free one at a time. */
static void places_wake_held_requests_in_order(void) {
    waiting_room room = {.held = hs_held_requests_new()};
    static waiter waiters[HELD];
    GThread *threads[HELD];
    for (int index = 0; index < HELD; index++) {
        waiters[index] = (waiter){.room = &room,
                                  .claim = {.is_in_time = index % 2 == 0,
                                            .deadline_ms = 10000 + (uint64_t)index,
                                            .arrived_ms = 1000 + (uint64_t)index}};
        threads[index] = g_thread_new("waiter", wait_for_place, &waiters[index]);
    }
    while (hs_held_requests_view(room.held, "service", NULL).held < HELD)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20); /* The last ones wait by now. */
    CU_ASSERT_FALSE(hs_held_requests_wake(room.held, "another"));
    for (guint place = 1; place <= HELD; place++)
        free_place(&room, place);
    for (int index = 0; index < HELD; index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(room.woken, HELD);
    for (int index = 0; index < HELD / 2; index++) {
        CU_ASSERT_EQUAL(room.order[index], 1000 + 2 * index);
        CU_ASSERT_EQUAL(room.order[HELD / 2 + index], 1001 + 2 * index);
    }
    hs_held_counters counters = hs_held_requests_count(room.held);
    CU_ASSERT_EQUAL(counters.woken, HELD);
    CU_ASSERT_EQUAL(counters.timeouts, 0);
    CU_ASSERT_EQUAL(counters.held, 0);
    CU_ASSERT_FALSE(hs_held_requests_wake(room.held, "service"));
    hs_held_requests_free(room.held);
}

typedef struct {
    hs_held_requests *held;
    gint tries;
    gint is_over;
} asker;

static gpointer ask_again_and_again(gpointer data) {
    asker *self = data;
    hs_fair_claim claim = {.arrived_ms = 1, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(self->held, "service", &claim);
    while (!g_atomic_int_get(&self->is_over)) {
        hs_held_requests_wait(self->held, request, &claim, -1, PAUSE_MS);
        g_atomic_int_inc(&self->tries);
    }
    hs_held_requests_leave(self->held, request, false);
    return NULL;
}

/** Words that show the same place many times cost a try each 15 ms at most. */
static void words_that_come_often_cost_few_tries(void) {
    asker self = {.held = hs_held_requests_new()};
    GThread *thread = g_thread_new("asker", ask_again_and_again, &self);
    uint64_t until_ms = hs_clock_monotonic_ms() + 300;
    while (hs_clock_monotonic_ms() < until_ms) {
        hs_held_requests_wake(self.held, "service");
        hs_clock_sleep_ms(1);
    }
    int tries = g_atomic_int_get(&self.tries);
    CU_ASSERT(tries >= 1 && tries <= 300 / HS_HELD_TRY_LEAST_MS + 2);
    g_atomic_int_set(&self.is_over, 1);
    while (!hs_held_requests_wake(self.held, "service"))
        hs_clock_sleep_ms(1);
    g_thread_join(thread);
    hs_held_requests_free(self.held);
}

/** Whoever leaves without the place that woke it passes the place on. */
static void a_place_that_is_left_wakes_the_next(void) {
    waiting_room room = {.held = hs_held_requests_new()};
    waiter first = {.room = &room, .claim = {.arrived_ms = 1}, .takes_nothing = true};
    waiter next = {.room = &room, .claim = {.arrived_ms = 2}};
    GThread *threads[] = {g_thread_new("waiter", wait_for_place, &first),
                          g_thread_new("waiter", wait_for_place, &next)};
    while (hs_held_requests_view(room.held, "service", NULL).held < 2)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20);
    CU_ASSERT_TRUE(hs_held_requests_wake(room.held, "service"));
    for (guint index = 0; index < G_N_ELEMENTS(threads); index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(room.woken, 2);
    CU_ASSERT_EQUAL(room.order[0] + room.order[1], 3);
    hs_held_requests_free(room.held);
}

/** A pause without a place ends, and the head is the first of those that can be in time. */
static void a_pause_ends_without_a_place(void) {
    hs_held_requests *held = hs_held_requests_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fair_claim late = {.arrived_ms = now_ms - 5000};
    hs_fair_claim in_time = {.arrived_ms = now_ms - 100, .is_in_time = true};
    hs_held_request *one = hs_held_requests_enter(held, "service", &late);
    CU_ASSERT_EQUAL(hs_held_requests_view(held, "service", NULL).head_waited_ms, 0);
    hs_held_request *other = hs_held_requests_enter(held, "service", &in_time);
    CU_ASSERT_FALSE(hs_held_requests_wait(held, other, &in_time, -1, 5));
    CU_ASSERT_EQUAL(hs_held_requests_count(held).timeouts, 1);
    uint64_t head_ms = hs_held_requests_view(held, "service", NULL).head_waited_ms;
    CU_ASSERT(head_ms >= 100 && head_ms < 4000);
    hs_held_requests_leave(held, one, false);
    hs_held_requests_leave(held, other, false);
    CU_ASSERT_EQUAL(hs_held_requests_count(held).held, 0);
    hs_held_requests_free(held);
}

typedef struct {
    hs_held_requests *held;
    int near;
    uint64_t waited_ms;
} watched_waiter;

static gpointer wait_with_caller(gpointer data) {
    watched_waiter *self = data;
    hs_fair_claim claim = {.arrived_ms = 1, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(self->held, "service", &claim);
    uint64_t begun_ms = hs_clock_monotonic_ms();
    hs_held_requests_wait(self->held, request, &claim, self->near, 3000);
    self->waited_ms = hs_clock_monotonic_ms() - begun_ms;
    hs_held_requests_leave(self->held, request, false);
    return NULL;
}

/** A caller that leaves ends a long pause; one that stays doesn't. */
static void a_caller_that_leaves_ends_its_pause(void) {
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    watched_waiter self = {.held = hs_held_requests_new(), .near = ends[0]};
    GThread *thread = g_thread_new("waiter", wait_with_caller, &self);
    hs_clock_sleep_ms(200);
    close(ends[1]);
    g_thread_join(thread);
    CU_ASSERT_TRUE(self.waited_ms >= 150);
    CU_ASSERT_TRUE(self.waited_ms < 1000); /* 200, 50 to notice, and what the machine adds. */
    close(ends[0]);
    hs_held_requests_free(self.held);
}

static gpointer wait_and_wait_again_late(gpointer data) {
    const waiter *self = data;
    hs_fair_claim late = self->claim;
    late.is_in_time = false;
    hs_held_requests *held = self->room->held;
    hs_held_request *request = hs_held_requests_enter(held, "service", &self->claim);
    hs_held_requests_wait(held, request, &self->claim, -1, PAUSE_MS);
    hs_held_requests_wait(held, request, &late, -1, 300);
    hs_held_requests_leave(held, request, false);
    return NULL;
}

/** A place that woke one that is no longer in time goes to one that is. */
static void a_place_goes_on_to_one_in_time(void) {
    waiting_room room = {.held = hs_held_requests_new()};
    waiter late = {.room = &room, .claim = {.arrived_ms = 1, .is_in_time = true}};
    waiter next = {.room = &room, .claim = {.arrived_ms = 2, .is_in_time = true}};
    GThread *threads[] = {g_thread_new("late", wait_and_wait_again_late, &late),
                          g_thread_new("next", wait_for_place, &next)};
    while (hs_held_requests_view(room.held, "service", NULL).held < 2)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20);
    CU_ASSERT_TRUE(hs_held_requests_wake(room.held, "service"));
    g_thread_join(threads[0]);
    CU_ASSERT_EQUAL(hs_held_requests_count(room.held).woken, 2);
    if (hs_held_requests_count(room.held).held > 0) /* Its thread is to end in any case. */
        hs_held_requests_wake(room.held, "service");
    g_thread_join(threads[1]);
    CU_ASSERT_EQUAL(room.woken, 1);
    CU_ASSERT_EQUAL(hs_held_requests_count(room.held).held, 0);
    hs_held_requests_free(room.held);
}

/** What waits of a tenant that asks for much lengthens no wait of one that asks for little. */
static void those_behind_do_not_lengthen_a_wait(void) {
    hs_held_requests *held = hs_held_requests_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fair_claim hot = {.used_slots = 90, .arrived_ms = now_ms - 200, .is_in_time = true};
    hs_fair_claim small = {.used_slots = 2, .arrived_ms = now_ms, .is_in_time = true};
    hs_fair_claim nobodys = {.arrived_ms = now_ms, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(held, "service", &hot);
    hs_held_view view = hs_held_requests_view(held, "service", &small);
    CU_ASSERT_EQUAL(view.ahead_waited_ms, 0);
    CU_ASSERT_TRUE(view.head_waited_ms >= 200);
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &hot).ahead_waited_ms >= 200);
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &nobodys).ahead_waited_ms >= 200);
    small.rank = 1; /* A more urgent kind goes first, whoever asks. */
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &small).ahead_waited_ms >= 200);
    hs_held_requests_leave(held, request, false);
    hs_held_requests_free(held);
}

const test_case holding_tests[] = {
    {"places_wake_held_requests_in_order", places_wake_held_requests_in_order},
    {"words_that_come_often_cost_few_tries", words_that_come_often_cost_few_tries},
    {"a_place_that_is_left_wakes_the_next", a_place_that_is_left_wakes_the_next},
    {"a_pause_ends_without_a_place", a_pause_ends_without_a_place},
    {"a_caller_that_leaves_ends_its_pause", a_caller_that_leaves_ends_its_pause},
    {"those_behind_do_not_lengthen_a_wait", those_behind_do_not_lengthen_a_wait},
    {"a_place_goes_on_to_one_in_time", a_place_goes_on_to_one_in_time},
    {NULL, NULL}};
