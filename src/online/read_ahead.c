/** @file read_ahead.c  See read_ahead.h. */
#include "online/read_ahead.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "base/stop_wait.h"
#include "base/thread.h"
#include "online/online_request_state.h"

/** Interval of the checks of all streams; engines keep an unread response for some seconds. */
#define CHECK_INTERVAL_MS 250
/** A caller that has read nothing for this time is stalled. */
#define CALLER_STALL_MS 200

struct hs_read_ahead {
    GMutex lock;
    GPtrArray *requests; /**< hs_online_request *, borrowed. */
    hs_read_ahead_counters counters;
    hs_stop_wait stop_wait;
    GThread *thread;
};

/** Reports whether the caller reads no bytes. The stream's lock is held. */
static bool is_stalled(const hs_online_request *request, uint64_t now_ms) {
    const hs_stream_state *stream = &request->stream;
    return stream->delivered_ms != 0 && now_ms >= stream->delivered_ms + CALLER_STALL_MS;
}

/** Extends the connection timeout of a stalled caller while its kernel still responds. */
static void keep_stalled_connection(hs_online_request *request, uint64_t now_ms) {
    int descriptor = request->inbound->descriptor;
    if (descriptor >= 0)
        hs_connection_extend_timeout(descriptor, HS_CONNECTION_CALLER,
                                     now_ms - request->stream.started_ms);
}

/** Reads all stalled streams ahead. The caller holds the lock. */
static void read_ahead_of_stalled(hs_read_ahead *ahead, uint64_t now_ms) {
    for (guint index = 0; index < ahead->requests->len; index++) {
        hs_online_request *request = ahead->requests->pdata[index];
        if (!g_mutex_trylock(&request->stream.lock))
            continue;
        bool is_first = request->stream.charged_bytes == 0;
        if (is_stalled(request, now_ms)) {
            keep_stalled_connection(request, now_ms);
            hs_online_stream_read_ahead(request);
        }
        ahead->counters.read_ahead += is_first && request->stream.charged_bytes > 0;
        g_mutex_unlock(&request->stream.lock);
    }
}

/**
 * Lists the callers of all streams by the index of the stream; entries of streams that are not
 * stalled are zero. The lock is held. Free with g_array_free.
 */
static GArray *list_stalled_readers(const hs_read_ahead *ahead, uint64_t now_ms) {
    GArray *readers = g_array_new(FALSE, TRUE, sizeof(hs_memory_reader));
    g_array_set_size(readers, ahead->requests->len);
    for (guint index = 0; index < ahead->requests->len; index++) {
        hs_online_request *request = ahead->requests->pdata[index];
        if (!g_mutex_trylock(&request->stream.lock))
            continue;
        const hs_stream_state *stream = &request->stream;
        if (is_stalled(request, now_ms))
            g_array_index(readers, hs_memory_reader, index) =
                (hs_memory_reader){.buffered_bytes = stream->charged_bytes,
                                   .consumed_bytes = stream->delivered_bytes,
                                   .open_ms = now_ms - stream->started_ms};
        g_mutex_unlock(&request->stream.lock);
    }
    return readers;
}

/** Drops streams, slowest reader first, until memory is no longer critical. The lock is held. */
static void drop_slowest(hs_read_ahead *ahead, uint64_t now_ms) {
    GArray *readers = list_stalled_readers(ahead, now_ms);
    hs_memory_reader *first = &g_array_index(readers, hs_memory_reader, 0);
    while (hs_memory_get_level() == HS_MEMORY_CRITICAL) {
        size_t slowest = hs_memory_find_slowest_reader(first, readers->len);
        if (slowest == readers->len)
            break;
        hs_online_request *request = ahead->requests->pdata[slowest];
        first[slowest].buffered_bytes = 0;
        if (!g_mutex_trylock(&request->stream.lock)) /* The caller reads again. */
            continue;
        ahead->counters.dropped += hs_online_stream_drop(request);
        g_mutex_unlock(&request->stream.lock);
    }
    g_array_free(readers, TRUE);
}

static gpointer run(gpointer data) {
    hs_read_ahead *ahead = data;
    while (hs_stop_wait_pause(&ahead->stop_wait, CHECK_INTERVAL_MS)) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        g_mutex_lock(&ahead->lock);
        read_ahead_of_stalled(ahead, now_ms);
        if (hs_memory_get_level() == HS_MEMORY_CRITICAL)
            drop_slowest(ahead, now_ms);
        g_mutex_unlock(&ahead->lock);
    }
    return NULL;
}

hs_read_ahead *hs_read_ahead_new(void) {
    hs_read_ahead *ahead = g_new0(hs_read_ahead, 1);
    g_mutex_init(&ahead->lock);
    hs_stop_wait_init(&ahead->stop_wait);
    ahead->requests = g_ptr_array_new();
    ahead->thread = hs_thread_try_start("read_ahead", run, ahead);
    if (ahead->thread != NULL)
        return ahead;
    hs_read_ahead_free(ahead);
    return NULL;
}

void hs_read_ahead_free(hs_read_ahead *ahead) {
    if (ahead == NULL)
        return;
    hs_stop_wait_request_stop(&ahead->stop_wait);
    if (ahead->thread != NULL)
        g_thread_join(ahead->thread);
    hs_stop_wait_clear(&ahead->stop_wait);
    g_ptr_array_free(ahead->requests, TRUE);
    g_mutex_clear(&ahead->lock);
    g_free(ahead);
}

void hs_read_ahead_add(hs_read_ahead *ahead, gpointer request) {
    g_mutex_lock(&ahead->lock);
    g_ptr_array_add(ahead->requests, request);
    g_mutex_unlock(&ahead->lock);
}

void hs_read_ahead_remove(hs_read_ahead *ahead, gpointer request) {
    g_mutex_lock(&ahead->lock);
    g_ptr_array_remove_fast(ahead->requests, request);
    g_mutex_unlock(&ahead->lock);
}

hs_read_ahead_counters hs_read_ahead_get_counters(hs_read_ahead *ahead) {
    hs_read_ahead_counters counters = {0};
    if (ahead == NULL)
        return counters;
    g_mutex_lock(&ahead->lock);
    counters = ahead->counters;
    g_mutex_unlock(&ahead->lock);
    return counters;
}
