/** @file appender.c  See appender.h. */
#include "store/appender.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/ring.h"

#include <string.h>

#define IDLE_WAIT_MS 100
#define GROUP_WAIT_MS 2
#define MAX_GROUP_BYTES (4U << 20)
#define RETRY_INTERVAL_MS 50

/** A record to append, on the stack of the waiting caller. */
typedef struct {
    const char *stream;
    const void *record;
    uint32_t length;
    uint64_t deadline_ms;
    bool maybe_appended; /**< Some attempt failed other than by a refusal. */
    bool finished;
    int result;
    uint64_t offset;
    hs_error error;
    GCond answered;
} pending_append;

struct hs_appender {
    const hs_log_client *log;
    hs_ring *ring;
    GMutex lock;
    GPtrArray *pending; /**< Taken from the ring, not finished; used by the thread only. */
    gint stopping;
    GThread *thread;
};

hs_appender *hs_appender_new(const hs_log_client *log, uint32_t capacity) {
    hs_appender *appender = g_new0(hs_appender, 1);
    appender->log = log;
    appender->ring = hs_ring_new(capacity);
    appender->pending = g_ptr_array_new();
    g_mutex_init(&appender->lock);
    return appender;
}

void hs_appender_free(hs_appender *appender) {
    hs_ring_free(appender->ring);
    g_ptr_array_free(appender->pending, TRUE);
    g_mutex_clear(&appender->lock);
    g_free(appender);
}

static void finish(hs_appender *appender, pending_append *entry, int result, uint64_t offset) {
    g_mutex_lock(&appender->lock);
    entry->result = result;
    entry->offset = offset;
    entry->finished = true;
    g_cond_signal(&entry->answered);
    g_mutex_unlock(&appender->lock);
}

/** Moves waiting records from the ring, waiting briefly for more to join the same append. */
static void take_group(hs_appender *appender) {
    uint32_t wait_ms = appender->pending->len == 0 ? IDLE_WAIT_MS : GROUP_WAIT_MS;
    pending_append *entry = hs_ring_take(appender->ring, wait_ms);
    size_t bytes = 0;
    while (entry != NULL) {
        g_ptr_array_add(appender->pending, entry);
        bytes += entry->length;
        if (bytes > MAX_GROUP_BYTES)
            return;
        entry = hs_ring_take(appender->ring, GROUP_WAIT_MS);
    }
}

/** Removes and returns the pending records of the first record's stream, in order. */
static GPtrArray *take_first_stream(GPtrArray *pending) {
    GPtrArray *group = g_ptr_array_new();
    GPtrArray *rest = g_ptr_array_new();
    const char *stream = ((pending_append *)pending->pdata[0])->stream;
    for (guint index = 0; index < pending->len; index++) {
        pending_append *entry = pending->pdata[index];
        g_ptr_array_add(strcmp(entry->stream, stream) == 0 ? group : rest, entry);
    }
    g_ptr_array_set_size(pending, 0);
    for (guint index = 0; index < rest->len; index++)
        g_ptr_array_add(pending, rest->pdata[index]);
    g_ptr_array_free(rest, TRUE);
    return group;
}

/** Adds the group's records to @p retries, or finishes those whose deadline has passed. */
static void retry_or_fail(hs_appender *appender, GPtrArray *group, GPtrArray *retries, int result,
                          const hs_error *error) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < group->len; index++) {
        pending_append *entry = group->pdata[index];
        entry->maybe_appended |= result != HS_PLATFORM_REFUSED;
        entry->error = *error;
        if (now_ms < entry->deadline_ms)
            g_ptr_array_add(retries, entry);
        else
            finish(appender, entry,
                   entry->maybe_appended ? HS_PLATFORM_UNKNOWN : HS_PLATFORM_REFUSED, 0);
    }
}

static void append_group(hs_appender *appender, GPtrArray *group, GPtrArray *retries) {
    GByteArray *batch = g_byte_array_new();
    for (guint index = 0; index < group->len; index++) {
        const pending_append *entry = group->pdata[index];
        hs_log_frame_append(batch, entry->record, entry->length);
    }
    hs_error error = {0};
    uint64_t first_offset = 0;
    const char *stream = ((pending_append *)group->pdata[0])->stream;
    int result = hs_log_append(appender->log, stream, batch, &first_offset, &error);
    g_byte_array_free(batch, TRUE);
    if (result != 0) {
        hs_log_warning("append_failed", "stream=%s records=%u cause=\"%s\"", stream, group->len,
                       error.message);
        retry_or_fail(appender, group, retries, result, &error);
        return;
    }
    for (guint index = 0; index < group->len; index++)
        finish(appender, group->pdata[index], 0, first_offset + index);
}

static gpointer append_records(gpointer data) {
    hs_appender *appender = data;
    GPtrArray *retries = g_ptr_array_new();
    for (;;) {
        take_group(appender);
        if (appender->pending->len == 0) {
            if (g_atomic_int_get(&appender->stopping))
                break;
            continue;
        }
        while (appender->pending->len > 0) {
            GPtrArray *group = take_first_stream(appender->pending);
            append_group(appender, group, retries);
            g_ptr_array_free(group, TRUE);
        }
        for (guint index = 0; index < retries->len; index++)
            g_ptr_array_add(appender->pending, retries->pdata[index]);
        if (retries->len > 0)
            hs_clock_sleep_ms(RETRY_INTERVAL_MS);
        g_ptr_array_set_size(retries, 0);
    }
    g_ptr_array_free(retries, TRUE);
    return NULL;
}

void hs_appender_start(hs_appender *appender) {
    appender->thread = g_thread_new("log-appender", append_records, appender);
}

void hs_appender_stop(hs_appender *appender) {
    g_atomic_int_set(&appender->stopping, 1);
    g_thread_join(appender->thread);
}

int hs_appender_append(hs_appender *appender, const char *stream, const void *record,
                       uint32_t length, uint32_t timeout_ms, uint64_t *offset, hs_error *error) {
    pending_append entry = {.stream = stream,
                            .record = record,
                            .length = length,
                            .deadline_ms = hs_clock_monotonic_ms() + timeout_ms};
    g_cond_init(&entry.answered);
    if (!hs_ring_put(appender->ring, &entry)) {
        g_cond_clear(&entry.answered);
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_BUSY, "too many appends waiting");
    }
    g_mutex_lock(&appender->lock);
    while (!entry.finished)
        g_cond_wait(&entry.answered, &appender->lock);
    g_mutex_unlock(&appender->lock);
    g_cond_clear(&entry.answered);
    if (entry.result != 0)
        return hs_error_set(error, HS_LAYER_PLATFORM, entry.result, "%.200s", entry.error.message);
    *offset = entry.offset;
    return 0;
}

uint32_t hs_appender_backlog(const hs_appender *appender) {
    return hs_ring_size(appender->ring);
}
