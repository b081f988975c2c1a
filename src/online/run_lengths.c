/** @file run_lengths.c  See run_lengths.h. */
#include "online/run_lengths.h"

#include "base/clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKETS_PER_OCTAVE 8
/** The last bucket begins at about an hour. */
#define BUCKET_COUNT 176
#define GENERATION_MS 60000

/** Histogram of lengths in buckets of an eighth of an octave. */
typedef struct {
    uint32_t total; /**< Of whole runs. */
    uint32_t buckets[BUCKET_COUNT];
    uint32_t broken_off[BUCKET_COUNT]; /**< Runs that would have taken longer than that. */
} length_histogram;

typedef struct {
    length_histogram current;
    length_histogram previous;
    uint64_t current_since_ms;
    GQueue open; /**< of hs_open_run */
} route_lengths;

struct hs_open_run {
    hs_run_lengths *lengths;
    route_lengths *route;
    GList link;
    uint64_t started_ms;
};

struct hs_run_lengths {
    GMutex lock;
    GHashTable *by_route; /**< name -> route_lengths* */
};

hs_run_lengths *hs_run_lengths_new(void) {
    hs_run_lengths *lengths = g_new0(hs_run_lengths, 1);
    g_mutex_init(&lengths->lock);
    lengths->by_route = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return lengths;
}

void hs_run_lengths_free(hs_run_lengths *lengths) {
    if (lengths == NULL)
        return;
    g_hash_table_destroy(lengths->by_route);
    g_mutex_clear(&lengths->lock);
    g_free(lengths);
}

static size_t bucket_index(uint64_t length_ms) {
    double index = BUCKETS_PER_OCTAVE * log2((double)MAX(length_ms, 1));
    return (size_t)fmin(index, BUCKET_COUNT - 1);
}

/** Drops generations that have ended. */
static void update_generations(route_lengths *route, uint64_t now_ms) {
    uint64_t age_ms = now_ms - route->current_since_ms;
    if (age_ms < GENERATION_MS)
        return;
    if (age_ms < 2 * (uint64_t)GENERATION_MS)
        route->previous = route->current;
    else
        memset(&route->previous, 0, sizeof route->previous);
    memset(&route->current, 0, sizeof route->current);
    route->current_since_ms = now_ms;
}

/** Returns the route's entry, which exists from now on. The caller holds the lock. */
static route_lengths *get_route(hs_run_lengths *lengths, const char *name) {
    route_lengths *route = g_hash_table_lookup(lengths->by_route, name);
    if (route == NULL) {
        route = g_new0(route_lengths, 1);
        route->current_since_ms = hs_clock_monotonic_ms();
        g_hash_table_insert(lengths->by_route, g_strdup(name), route);
    }
    return route;
}

/** The caller holds the lock. */
static void count_length(route_lengths *route, size_t bucket, bool is_whole) {
    update_generations(route, hs_clock_monotonic_ms());
    if (is_whole)
        route->current.buckets[bucket]++;
    else
        route->current.broken_off[bucket]++;
    route->current.total += is_whole;
}

hs_open_run *hs_run_lengths_begin(hs_run_lengths *lengths, const char *name, uint64_t started_ms) {
    if (lengths == NULL)
        return NULL;
    hs_open_run *run = g_new0(hs_open_run, 1);
    run->lengths = lengths;
    run->link.data = run;
    run->started_ms = started_ms;
    g_mutex_lock(&lengths->lock);
    run->route = get_route(lengths, name);
    g_queue_push_tail_link(&run->route->open, &run->link);
    g_mutex_unlock(&lengths->lock);
    return run;
}

void hs_run_lengths_end(hs_open_run *run, bool is_whole) {
    if (run == NULL)
        return;
    size_t bucket = bucket_index(hs_clock_monotonic_ms() - run->started_ms);
    g_mutex_lock(&run->lengths->lock);
    g_queue_unlink(&run->route->open, &run->link);
    count_length(run->route, bucket, is_whole);
    g_mutex_unlock(&run->lengths->lock);
    g_free(run);
}

static uint32_t count_open_longer(const route_lengths *route, uint64_t time_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint32_t count = 0;
    for (const GList *link = route->open.head; link != NULL; link = link->next)
        count += now_ms > ((const hs_open_run *)link->data)->started_ms + time_ms;
    return count;
}

static uint32_t count_from(const uint32_t *buckets, size_t first) {
    uint32_t count = 0;
    for (size_t index = first; index < BUCKET_COUNT; index++)
        count += buckets[index];
    return count;
}

hs_run_length_view hs_run_lengths_compare(hs_run_lengths *lengths, const char *name,
                                          uint64_t time_ms) {
    hs_run_length_view view = {0};
    g_mutex_lock(&lengths->lock);
    route_lengths *route = g_hash_table_lookup(lengths->by_route, name);
    if (route != NULL) {
        size_t first = bucket_index(time_ms);
        update_generations(route, hs_clock_monotonic_ms());
        uint32_t unfinished = count_open_longer(route, time_ms) +
                              count_from(route->current.broken_off, first) +
                              count_from(route->previous.broken_off, first);
        view.count = route->current.total + route->previous.total + unfinished;
        uint32_t longer = count_from(route->current.buckets, first) +
                          count_from(route->previous.buckets, first) + unfinished;
        view.longer_share = view.count > 0 ? (double)longer / view.count : 0;
    }
    g_mutex_unlock(&lengths->lock);
    return view;
}
