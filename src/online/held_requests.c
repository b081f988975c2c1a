/** @file held_requests.c  See held_requests.h. */
#include "online/held_requests.h"

#include "base/clock.h"
#include "base/peer_watch.h"
#include "online/hold_queue.h"

#include <glib.h>

/** The held requests of one service. */
typedef struct {
    hs_hold_queue queue;
    GPtrArray *requests; /**< of hs_held_request*; theirs who hold them. */
} service_held;

struct hs_held_request {
    service_held *service;
    hs_fair_claim claim;
    GCond woken;
    bool is_waiting;
    bool is_woken;
    uint64_t woken_ms; /**< When it was woken last; 0: never. */
};

struct hs_held_requests {
    GMutex lock;
    GHashTable *by_service; /**< name -> service_held* */
    hs_held_counters counters;
};

static void free_service(gpointer data) {
    service_held *service = data;
    g_ptr_array_free(service->requests, TRUE);
    g_free(service);
}

hs_held_requests *hs_held_requests_new(void) {
    hs_held_requests *held = g_new0(hs_held_requests, 1);
    g_mutex_init(&held->lock);
    held->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return held;
}

void hs_held_requests_free(hs_held_requests *held) {
    if (held == NULL)
        return;
    g_hash_table_destroy(held->by_service);
    g_mutex_clear(&held->lock);
    g_free(held);
}

/** The caller holds the lock, as for all below that have no lock of their own. */
static service_held *service_of(hs_held_requests *held, const char *name) {
    service_held *service = g_hash_table_lookup(held->by_service, name);
    if (service != NULL)
        return service;
    service = g_new0(service_held, 1);
    service->requests = g_ptr_array_new();
    g_hash_table_insert(held->by_service, g_strdup(name), service);
    return service;
}

hs_held_request *hs_held_requests_enter(hs_held_requests *held, const char *service,
                                        const hs_fair_claim *claim) {
    hs_held_request *request = g_new0(hs_held_request, 1);
    g_cond_init(&request->woken);
    request->claim = *claim;
    g_mutex_lock(&held->lock);
    request->service = service_of(held, service);
    hs_hold_queue_enter(&request->service->queue, hs_clock_monotonic_ms());
    g_ptr_array_add(request->service->requests, request);
    held->counters.held++;
    g_mutex_unlock(&held->lock);
    return request;
}

/** First in order that waits and was not woken just now; NULL: none. */
static hs_held_request *first_waiting(const service_held *service, uint64_t now_ms) {
    hs_held_request *first = NULL;
    for (guint index = 0; index < service->requests->len; index++) {
        hs_held_request *request = service->requests->pdata[index];
        bool was_woken =
            request->woken_ms != 0 && now_ms < request->woken_ms + HS_HELD_TRY_LEAST_MS;
        if (!request->is_waiting || request->is_woken || was_woken)
            continue;
        if (first == NULL || hs_fair_claim_compare(&request->claim, &first->claim) < 0)
            first = request;
    }
    return first;
}

/** @p is_for_in_time: the place is for one that can be in time, or for nobody. */
static bool wake_first(hs_held_requests *held, const service_held *service, bool is_for_in_time) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_held_request *first = first_waiting(service, now_ms);
    if (first == NULL || (is_for_in_time && !first->claim.is_in_time))
        return false;
    first->is_woken = true;
    first->woken_ms = now_ms;
    held->counters.woken++;
    g_cond_signal(&first->woken);
    return true;
}

void hs_held_requests_leave(hs_held_requests *held, hs_held_request *request, bool is_placed) {
    g_mutex_lock(&held->lock);
    service_held *service = request->service;
    hs_hold_queue_leave(&service->queue, is_placed, hs_clock_monotonic_ms());
    g_ptr_array_remove(service->requests, request);
    held->counters.held--;
    if (request->is_woken && !is_placed) /* It leaves the place for which it was woken. */
        wake_first(held, service, false);
    g_mutex_unlock(&held->lock);
    g_cond_clear(&request->woken);
    g_free(request);
}

/** Wait until it is woken, @p most_ms at most. */
static void wait_for(hs_held_requests *held, hs_held_request *request, uint64_t most_ms) {
    hs_pause pause = hs_clock_pause_begin(most_ms);
    bool is_over = false;
    while (!request->is_woken && !is_over)
        is_over = !hs_clock_pause_wait(&pause, &request->woken, &held->lock);
}

/** The lock is let go meanwhile. */
static bool has_caller_left(hs_held_requests *held, int watched) {
    g_mutex_unlock(&held->lock);
    bool has_left = hs_peer_has_left(watched);
    g_mutex_lock(&held->lock);
    return has_left;
}

bool hs_held_requests_wait(hs_held_requests *held, hs_held_request *request,
                           const hs_fair_claim *claim, int watched, uint64_t most_ms) {
    g_mutex_lock(&held->lock);
    if (request->is_woken && !claim->is_in_time)
        wake_first(held, request->service, true);
    request->claim = *claim;
    request->is_woken = false;
    request->is_waiting = true;
    bool has_left = false;
    while (!request->is_woken && !has_left && most_ms > 0) {
        uint64_t look_ms = MIN(most_ms, HS_HELD_LOOK_MS);
        wait_for(held, request, look_ms);
        most_ms -= look_ms;
        has_left = !request->is_woken && has_caller_left(held, watched);
    }
    request->is_waiting = false;
    bool is_woken = request->is_woken;
    held->counters.timeouts += !is_woken;
    g_mutex_unlock(&held->lock);
    return is_woken;
}

bool hs_held_requests_wake(hs_held_requests *held, const char *service) {
    g_mutex_lock(&held->lock);
    const service_held *known = g_hash_table_lookup(held->by_service, service);
    bool is_anybody = known != NULL && wake_first(held, known, false);
    g_mutex_unlock(&held->lock);
    return is_anybody;
}

/**
 * How long the first of those waits that can be in time and are not behind @p claim (NULL: nobody
 * is); 0: there is none.
 */
static uint64_t head_waited_ms(const service_held *service, const hs_fair_claim *claim,
                               uint64_t now_ms) {
    uint64_t head_ms = 0;
    for (guint index = 0; index < service->requests->len; index++) {
        const hs_fair_claim *held =
            &((const hs_held_request *)service->requests->pdata[index])->claim;
        bool counts = held->is_in_time && (claim == NULL || !hs_fair_claim_is_behind(held, claim));
        if (counts && (head_ms == 0 || held->arrived_ms < head_ms))
            head_ms = held->arrived_ms;
    }
    return head_ms != 0 && now_ms > head_ms ? now_ms - head_ms : 0;
}

hs_held_view hs_held_requests_view(hs_held_requests *held, const char *service,
                                   const hs_fair_claim *claim) {
    hs_held_view view = {0};
    g_mutex_lock(&held->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    const service_held *known = service_of(held, service);
    view.held = known->requests->len;
    view.expected_ms = hs_hold_queue_expected_ms(&known->queue, now_ms);
    view.head_waited_ms = head_waited_ms(known, NULL, now_ms);
    view.ahead_waited_ms = head_waited_ms(known, claim, now_ms);
    g_mutex_unlock(&held->lock);
    return view;
}

hs_held_counters hs_held_requests_count(hs_held_requests *held) {
    g_mutex_lock(&held->lock);
    hs_held_counters counters = held->counters;
    g_mutex_unlock(&held->lock);
    return counters;
}
