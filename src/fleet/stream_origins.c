/** @file stream_origins.c  See stream_origins.h. */
#include "fleet/stream_origins.h"

#include "base/clock.h"
#include "base/hash.h"
#include "fleet/software_history.h"

#include <glib.h>
#include <string.h>

/** Maximum number of streams; the oldest are dropped first. About 5 MB. */
#define MAX_STREAMS 65536

typedef struct {
    uint64_t stream;
    uint64_t software;
    uint64_t known_ms; /**< When this daemon learned it last. */
    GList link;        /**< In hs_stream_origins.by_age. */
} origin;

struct hs_stream_origins {
    GMutex lock;         /**< Guards the two fields below. */
    GHashTable *streams; /**< uint64_t* stream -> origin*, which contains the key. */
    GQueue by_age;       /**< Of origin*, oldest first. */
    hs_origin_calls calls;
};

hs_stream_origins *hs_stream_origins_new(void) {
    hs_stream_origins *origins = g_new0(hs_stream_origins, 1);
    g_mutex_init(&origins->lock);
    origins->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&origins->by_age);
    return origins;
}

void hs_stream_origins_free(hs_stream_origins *origins) {
    if (origins == NULL)
        return;
    g_hash_table_destroy(origins->streams);
    g_mutex_clear(&origins->lock);
    g_free(origins);
}

void hs_stream_origins_set_calls(hs_stream_origins *origins, const hs_origin_calls *calls) {
    origins->calls = *calls;
}

uint64_t hs_stream_origins_name(const char *request_id) {
    return hs_hash_bytes(request_id, strlen(request_id));
}

static bool is_outdated(const origin *known, uint64_t now_ms) {
    return known->known_ms + HS_MAX_STREAM_AGE_MS < now_ms;
}

/** Drops outdated origins, and the oldest ones beyond the maximum. The caller holds the lock. */
static void drop_old(hs_stream_origins *origins, uint64_t now_ms) {
    while (origins->by_age.head != NULL) {
        origin *oldest = origins->by_age.head->data;
        if (!is_outdated(oldest, now_ms) && origins->by_age.length <= MAX_STREAMS)
            return;
        g_queue_unlink(&origins->by_age, &oldest->link);
        g_hash_table_remove(origins->streams, &oldest->stream);
    }
}

void hs_stream_origins_put(hs_stream_origins *origins, uint64_t stream, uint64_t software) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&origins->lock);
    origin *known = g_hash_table_lookup(origins->streams, &stream);
    if (known == NULL) {
        known = g_new0(origin, 1);
        *known = (origin){.stream = stream, .link.data = known};
        g_hash_table_insert(origins->streams, &known->stream, known);
    } else {
        g_queue_unlink(&origins->by_age, &known->link);
    }
    known->software = software;
    known->known_ms = now_ms;
    g_queue_push_tail_link(&origins->by_age, &known->link);
    drop_old(origins, now_ms);
    g_mutex_unlock(&origins->lock);
}

uint64_t hs_stream_origins_find(hs_stream_origins *origins, uint64_t stream) {
    g_mutex_lock(&origins->lock);
    const origin *known = g_hash_table_lookup(origins->streams, &stream);
    bool is_known = known != NULL && !is_outdated(known, hs_clock_monotonic_ms());
    uint64_t software = is_known ? known->software : 0;
    g_mutex_unlock(&origins->lock);
    return software;
}

void hs_stream_origins_announce(hs_stream_origins *origins, uint64_t stream, uint64_t software) {
    hs_stream_origins_put(origins, stream, software);
    if (origins->calls.announce != NULL)
        origins->calls.announce(stream, software, origins->calls.user_data);
}

hs_origin_answer hs_stream_origins_look_up(hs_stream_origins *origins, uint64_t stream) {
    hs_origin_answer answer = {.software = hs_stream_origins_find(origins, stream),
                               .is_final = true};
    if (answer.software != 0 || origins->calls.query == NULL)
        return answer;
    answer = origins->calls.query(stream, origins->calls.user_data);
    if (answer.software != 0)
        hs_stream_origins_put(origins, stream, answer.software);
    return answer;
}
