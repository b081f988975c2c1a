/**
 * @file test_holding.c
 * Held requests: each free slot wakes one, in priority order, and none is lost.
 */
#include "base/clock.h"
#include "online/held_requests.h"
#include "tests/unit/unit_tests.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HELD 200
/** Longer than a test, so that only a wake-up ends a wait. */
#define PAUSE_MS 20000

typedef struct {
    hs_held_requests *held;
    GMutex lock;
    GCond placed;
    uint64_t order[HELD]; /**< Arrival times in the order of wake-ups. */
    guint woken;
} wait_group;

typedef struct {
    wait_group *group;
    hs_queue_priority priority;
    bool skips_slot; /**< It leaves without using the slot it was woken for. */
} waiter;

static gpointer wait_for_slot(gpointer data) {
    const waiter *self = data;
    wait_group *group = self->group;
    hs_held_request *request = hs_held_requests_enter(group->held, "service", &self->priority);
    bool is_woken = hs_held_requests_wait(group->held, request, &self->priority, -1, PAUSE_MS);
    hs_held_requests_leave(group->held, request, is_woken && !self->skips_slot);
    g_mutex_lock(&group->lock);
    if (is_woken)
        group->order[group->woken++] = self->priority.arrived_ms;
    g_cond_signal(&group->placed);
    g_mutex_unlock(&group->lock);
    return NULL;
}

/** Wakes a request and waits until it has left. */
static void wake_next(wait_group *group, guint number) {
    while (!hs_held_requests_wake(group->held, "service"))
        hs_clock_sleep_ms(1);
    hs_pause pause = hs_clock_pause_begin(PAUSE_MS);
    bool is_waiting = true;
    g_mutex_lock(&group->lock);
    while (group->woken < number && is_waiting)
        is_waiting = hs_clock_pause_wait(&pause, &group->placed, &group->lock);
    g_mutex_unlock(&group->lock);
}

/** Of 200 held requests every second one can be in time; slots become free one by one. */
static void free_slots_wake_held_requests_in_order(void) {
    wait_group group = {.held = hs_held_requests_new()};
    static waiter waiters[HELD];
    GThread *threads[HELD];
    for (int index = 0; index < HELD; index++) {
        waiters[index] = (waiter){.group = &group,
                                  .priority = {.is_in_time = index % 2 == 0,
                                               .deadline_ms = 10000 + (uint64_t)index,
                                               .arrived_ms = 1000 + (uint64_t)index}};
        threads[index] = g_thread_new("waiter", wait_for_slot, &waiters[index]);
    }
    while (hs_held_requests_view(group.held, "service", NULL).held < HELD)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20); /* Lets the last threads begin to wait. */
    CU_ASSERT_FALSE(hs_held_requests_wake(group.held, "another"));
    for (guint slot = 1; slot <= HELD; slot++)
        wake_next(&group, slot);
    for (int index = 0; index < HELD; index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(group.woken, HELD);
    for (int index = 0; index < HELD / 2; index++) {
        CU_ASSERT_EQUAL(group.order[index], 1000 + 2 * index);
        CU_ASSERT_EQUAL(group.order[HELD / 2 + index], 1001 + 2 * index);
    }
    hs_held_counters counters = hs_held_requests_get_counters(group.held);
    CU_ASSERT_EQUAL(counters.woken, HELD);
    CU_ASSERT_EQUAL(counters.timeouts, 0);
    CU_ASSERT_EQUAL(counters.held, 0);
    CU_ASSERT_FALSE(hs_held_requests_wake(group.held, "service"));
    hs_held_requests_free(group.held);
}

typedef struct {
    hs_held_requests *held;
    gint attempts;
    gint is_over;
} retrier;

static gpointer wait_repeatedly(gpointer data) {
    retrier *self = data;
    hs_queue_priority priority = {.arrived_ms = 1, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(self->held, "service", &priority);
    while (!g_atomic_int_get(&self->is_over)) {
        hs_held_requests_wait(self->held, request, &priority, -1, PAUSE_MS);
        g_atomic_int_inc(&self->attempts);
    }
    hs_held_requests_leave(self->held, request, false);
    return NULL;
}

/** Repeated reports of the same free slot cause at most one attempt per 15 ms. */
static void frequent_wakes_of_a_request_are_limited(void) {
    retrier self = {.held = hs_held_requests_new()};
    GThread *thread = g_thread_new("retrier", wait_repeatedly, &self);
    uint64_t until_ms = hs_clock_monotonic_ms() + 300;
    while (hs_clock_monotonic_ms() < until_ms) {
        hs_held_requests_wake(self.held, "service");
        hs_clock_sleep_ms(1);
    }
    int attempts = g_atomic_int_get(&self.attempts);
    CU_ASSERT(attempts >= 1 && attempts <= 300 / HS_HELD_MIN_WAKE_INTERVAL_MS + 2);
    g_atomic_int_set(&self.is_over, 1);
    while (!hs_held_requests_wake(self.held, "service"))
        hs_clock_sleep_ms(1);
    g_thread_join(thread);
    hs_held_requests_free(self.held);
}

static void an_unused_slot_wakes_the_next_request(void) {
    wait_group group = {.held = hs_held_requests_new()};
    waiter first = {.group = &group, .priority = {.arrived_ms = 1}, .skips_slot = true};
    waiter next = {.group = &group, .priority = {.arrived_ms = 2}};
    GThread *threads[] = {g_thread_new("waiter", wait_for_slot, &first),
                          g_thread_new("waiter", wait_for_slot, &next)};
    while (hs_held_requests_view(group.held, "service", NULL).held < 2)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20);
    CU_ASSERT_TRUE(hs_held_requests_wake(group.held, "service"));
    for (guint index = 0; index < G_N_ELEMENTS(threads); index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(group.woken, 2);
    CU_ASSERT_EQUAL(group.order[0] + group.order[1], 3);
    hs_held_requests_free(group.held);
}

/** Also checks that only requests that can be in time count for head_waited_ms. */
static void a_wait_times_out_without_a_free_slot(void) {
    hs_held_requests *held = hs_held_requests_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_queue_priority late = {.arrived_ms = now_ms - 5000};
    hs_queue_priority in_time = {.arrived_ms = now_ms - 100, .is_in_time = true};
    hs_held_request *one = hs_held_requests_enter(held, "service", &late);
    CU_ASSERT_EQUAL(hs_held_requests_view(held, "service", NULL).head_waited_ms, 0);
    hs_held_request *other = hs_held_requests_enter(held, "service", &in_time);
    CU_ASSERT_FALSE(hs_held_requests_wait(held, other, &in_time, -1, 5));
    CU_ASSERT_EQUAL(hs_held_requests_get_counters(held).timeouts, 1);
    uint64_t head_ms = hs_held_requests_view(held, "service", NULL).head_waited_ms;
    CU_ASSERT(head_ms >= 100 && head_ms < 4000);
    hs_held_requests_leave(held, one, false);
    hs_held_requests_leave(held, other, false);
    CU_ASSERT_EQUAL(hs_held_requests_get_counters(held).held, 0);
    hs_held_requests_free(held);
}

typedef struct {
    hs_held_requests *held;
    int descriptor;
    uint64_t waited_ms;
} watched_waiter;

static gpointer wait_with_caller(gpointer data) {
    watched_waiter *self = data;
    hs_queue_priority priority = {.arrived_ms = 1, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(self->held, "service", &priority);
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_held_requests_wait(self->held, request, &priority, self->descriptor, 3000);
    self->waited_ms = hs_clock_monotonic_ms() - started_ms;
    hs_held_requests_leave(self->held, request, false);
    return NULL;
}

/** The wait ends soon after the caller closes its connection, and not before. */
static void a_leaving_caller_ends_its_wait(void) {
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    watched_waiter self = {.held = hs_held_requests_new(), .descriptor = ends[0]};
    GThread *thread = g_thread_new("waiter", wait_with_caller, &self);
    hs_clock_sleep_ms(200);
    close(ends[1]);
    g_thread_join(thread);
    CU_ASSERT_TRUE(self.waited_ms >= 150);
    CU_ASSERT_TRUE(self.waited_ms < 1000); /* 200 ms, 50 ms to notice, and scheduling delay. */
    close(ends[0]);
    hs_held_requests_free(self.held);
}

static gpointer wait_in_time_then_late(gpointer data) {
    const waiter *self = data;
    hs_queue_priority late = self->priority;
    late.is_in_time = false;
    hs_held_requests *held = self->group->held;
    hs_held_request *request = hs_held_requests_enter(held, "service", &self->priority);
    hs_held_requests_wait(held, request, &self->priority, -1, PAUSE_MS);
    hs_held_requests_wait(held, request, &late, -1, 300);
    hs_held_requests_leave(held, request, false);
    return NULL;
}

static void a_late_request_passes_its_slot_to_one_in_time(void) {
    wait_group group = {.held = hs_held_requests_new()};
    waiter late = {.group = &group, .priority = {.arrived_ms = 1, .is_in_time = true}};
    waiter next = {.group = &group, .priority = {.arrived_ms = 2, .is_in_time = true}};
    GThread *threads[] = {g_thread_new("late", wait_in_time_then_late, &late),
                          g_thread_new("next", wait_for_slot, &next)};
    while (hs_held_requests_view(group.held, "service", NULL).held < 2)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20);
    CU_ASSERT_TRUE(hs_held_requests_wake(group.held, "service"));
    g_thread_join(threads[0]);
    CU_ASSERT_EQUAL(hs_held_requests_get_counters(group.held).woken, 2);
    if (hs_held_requests_get_counters(group.held).held > 0) /* Lets the thread end in any case. */
        hs_held_requests_wake(group.held, "service");
    g_thread_join(threads[1]);
    CU_ASSERT_EQUAL(group.woken, 1);
    CU_ASSERT_EQUAL(hs_held_requests_get_counters(group.held).held, 0);
    hs_held_requests_free(group.held);
}

static void all_waiting_requests_are_woken_at_a_stop(void) {
    wait_group group = {.held = hs_held_requests_new()};
    waiter first = {.group = &group, .priority = {.arrived_ms = 1, .is_in_time = true}};
    waiter second = {.group = &group, .priority = {.arrived_ms = 2}};
    GThread *threads[] = {g_thread_new("first", wait_for_slot, &first),
                          g_thread_new("second", wait_for_slot, &second)};
    while (hs_held_requests_view(group.held, "service", NULL).held < 2)
        hs_clock_sleep_ms(1);
    hs_clock_sleep_ms(20);
    hs_held_requests_wake_all(group.held);
    g_thread_join(threads[0]);
    g_thread_join(threads[1]);
    CU_ASSERT_EQUAL(group.woken, 2);
    hs_held_requests_free(group.held);
}

/** Held requests of a tenant with much use do not delay those of a tenant with little use. */
static void lower_priorities_do_not_lengthen_a_wait(void) {
    hs_held_requests *held = hs_held_requests_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_queue_priority large = {.used_slots = 90, .arrived_ms = now_ms - 200, .is_in_time = true};
    hs_queue_priority small = {.used_slots = 2, .arrived_ms = now_ms, .is_in_time = true};
    hs_queue_priority unknown = {.arrived_ms = now_ms, .is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(held, "service", &large);
    hs_held_view view = hs_held_requests_view(held, "service", &small);
    CU_ASSERT_EQUAL(view.ahead_waited_ms, 0);
    CU_ASSERT_TRUE(view.head_waited_ms >= 200);
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &large).ahead_waited_ms >= 200);
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &unknown).ahead_waited_ms >= 200);
    small.rank = 1; /* A more urgent kind goes first, whatever the use. */
    CU_ASSERT_TRUE(hs_held_requests_view(held, "service", &small).ahead_waited_ms >= 200);
    hs_held_requests_leave(held, request, false);
    hs_held_requests_free(held);
}

const test_case holding_tests[] = {
    {"all_waiting_requests_are_woken_at_a_stop", all_waiting_requests_are_woken_at_a_stop},
    {"free_slots_wake_held_requests_in_order", free_slots_wake_held_requests_in_order},
    {"frequent_wakes_of_a_request_are_limited", frequent_wakes_of_a_request_are_limited},
    {"an_unused_slot_wakes_the_next_request", an_unused_slot_wakes_the_next_request},
    {"a_wait_times_out_without_a_free_slot", a_wait_times_out_without_a_free_slot},
    {"a_leaving_caller_ends_its_wait", a_leaving_caller_ends_its_wait},
    {"lower_priorities_do_not_lengthen_a_wait", lower_priorities_do_not_lengthen_a_wait},
    {"a_late_request_passes_its_slot_to_one_in_time",
     a_late_request_passes_its_slot_to_one_in_time},
    {NULL, NULL}};
