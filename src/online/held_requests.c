/** @file held_requests.c  See held_requests.h. */
#include "online/held_requests.h"

#include "base/clock.h"
#include "base/peer_watch.h"
#include "fleet/region_policy.h"
#include "online/hold_queue.h"

#include <glib.h>
#include <string.h>

typedef struct {
    hs_hold_queue queue;
    GPtrArray *requests; /**< of hs_held_request*, not owned. */
} service_held;

struct hs_held_request {
    service_held *service;
    hs_queue_priority priority;
    GCond woken;
    bool is_waiting;
    bool is_woken;
    uint64_t woken_ms; /**< When it was last woken; 0: never. */
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

/** Returns the service, added if missing. The caller holds the lock, as for all helpers below. */
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
                                        const hs_queue_priority *priority) {
    hs_held_request *request = g_new0(hs_held_request, 1);
    g_cond_init(&request->woken);
    request->priority = *priority;
    g_mutex_lock(&held->lock);
    request->service = service_of(held, service);
    hs_hold_queue_enter(&request->service->queue, hs_clock_monotonic_ms());
    g_ptr_array_add(request->service->requests, request);
    held->counters.held++;
    g_mutex_unlock(&held->lock);
    return request;
}

/** Returns the first waiting request that was not woken recently, or NULL. */
static hs_held_request *first_waiting(const service_held *service, uint64_t now_ms) {
    hs_held_request *first = NULL;
    for (guint index = 0; index < service->requests->len; index++) {
        hs_held_request *request = service->requests->pdata[index];
        bool was_woken_recently =
            request->woken_ms != 0 && now_ms < request->woken_ms + HS_HELD_MIN_WAKE_INTERVAL_MS;
        if (!request->is_waiting || request->is_woken || was_woken_recently)
            continue;
        if (first == NULL || hs_queue_priority_compare(&request->priority, &first->priority) < 0)
            first = request;
    }
    return first;
}

/** Wakes the first waiting request; with @p only_in_time only if it can be in time. */
static bool wake_first(hs_held_requests *held, const service_held *service, bool only_in_time) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_held_request *first = first_waiting(service, now_ms);
    if (first == NULL || (only_in_time && !first->priority.is_in_time))
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
    if (request->is_woken && !is_placed) /* The slot it was woken for is unused. */
        wake_first(held, service, false);
    g_mutex_unlock(&held->lock);
    g_cond_clear(&request->woken);
    g_free(request);
}

/** Waits until the request is woken or @p max_wait_ms have passed. */
static void wait_for(hs_held_requests *held, hs_held_request *request, uint64_t max_wait_ms) {
    hs_pause pause = hs_clock_pause_begin(max_wait_ms);
    bool is_timed_out = false;
    while (!request->is_woken && !is_timed_out)
        is_timed_out = !hs_clock_pause_wait(&pause, &request->woken, &held->lock);
}

/** Releases the lock during the check. */
static bool has_caller_left(hs_held_requests *held, int watched) {
    g_mutex_unlock(&held->lock);
    bool has_left = hs_peer_has_disconnected(watched);
    g_mutex_lock(&held->lock);
    return has_left;
}

bool hs_held_requests_wait(hs_held_requests *held, hs_held_request *request,
                           const hs_queue_priority *priority, int watched, uint64_t max_wait_ms) {
    g_mutex_lock(&held->lock);
    if (request->is_woken && !priority->is_in_time)
        wake_first(held, request->service, true);
    request->priority = *priority;
    request->is_woken = false;
    request->is_waiting = true;
    bool has_left = false;
    while (!request->is_woken && !has_left && max_wait_ms > 0) {
        uint64_t slice_ms = MIN(max_wait_ms, HS_HELD_CALLER_CHECK_INTERVAL_MS);
        wait_for(held, request, slice_ms);
        max_wait_ms -= slice_ms;
        has_left = !request->is_woken && has_caller_left(held, watched);
    }
    request->is_waiting = false;
    bool is_woken = request->is_woken;
    held->counters.timeouts += !is_woken;
    g_mutex_unlock(&held->lock);
    return is_woken;
}

/** Whether the key is that of requests to @p service that are restricted to regions. */
static bool is_restricted_group(const char *key, const char *service) {
    size_t length = strlen(service);
    return strncmp(key, service, length) == 0 && key[length] == HS_REGION_GROUP_SEPARATOR;
}

/**
 * Wakes the first request of each group that is restricted to regions, since the slot's region is
 * not known here. Of the requests woken, one gets the slot and the others are held again.
 */
static bool wake_restricted(hs_held_requests *held, const char *service) {
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    bool is_any_woken = false;
    g_hash_table_iter_init(&iterator, held->by_service);
    while (g_hash_table_iter_next(&iterator, &key, &value))
        if (is_restricted_group(key, service) && wake_first(held, value, false))
            is_any_woken = true;
    return is_any_woken;
}

bool hs_held_requests_wake(hs_held_requests *held, const char *service) {
    g_mutex_lock(&held->lock);
    const service_held *known = g_hash_table_lookup(held->by_service, service);
    bool is_any_woken = known != NULL && wake_first(held, known, false);
    bool is_restricted_woken = wake_restricted(held, service);
    g_mutex_unlock(&held->lock);
    return is_any_woken || is_restricted_woken;
}

void hs_held_requests_wake_all(hs_held_requests *held) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&held->lock);
    g_hash_table_iter_init(&iterator, held->by_service);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const service_held *service = value;
        for (guint index = 0; index < service->requests->len; index++) {
            hs_held_request *request = service->requests->pdata[index];
            request->is_woken = true;
            g_cond_signal(&request->woken);
        }
    }
    g_mutex_unlock(&held->lock);
}

/**
 * Returns how long the oldest request has waited that can be in time and is not behind @p priority
 * (NULL: none is behind). Returns 0 if there is none.
 */
static uint64_t head_waited_ms(const service_held *service, const hs_queue_priority *priority,
                               uint64_t now_ms) {
    uint64_t head_ms = 0;
    for (guint index = 0; index < service->requests->len; index++) {
        const hs_queue_priority *held =
            &((const hs_held_request *)service->requests->pdata[index])->priority;
        bool counts =
            held->is_in_time && (priority == NULL || !hs_queue_priority_is_behind(held, priority));
        if (counts && (head_ms == 0 || held->arrived_ms < head_ms))
            head_ms = held->arrived_ms;
    }
    return head_ms != 0 && now_ms > head_ms ? now_ms - head_ms : 0;
}

hs_held_view hs_held_requests_view(hs_held_requests *held, const char *service,
                                   const hs_queue_priority *priority) {
    hs_held_view view = {0};
    g_mutex_lock(&held->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    const service_held *known = service_of(held, service);
    view.held = known->requests->len;
    view.expected_ms = hs_hold_queue_expected_ms(&known->queue, now_ms);
    view.head_waited_ms = head_waited_ms(known, NULL, now_ms);
    view.ahead_waited_ms = head_waited_ms(known, priority, now_ms);
    g_mutex_unlock(&held->lock);
    return view;
}

hs_held_counters hs_held_requests_get_counters(hs_held_requests *held) {
    g_mutex_lock(&held->lock);
    hs_held_counters counters = held->counters;
    g_mutex_unlock(&held->lock);
    return counters;
}
